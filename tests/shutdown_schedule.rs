//! The schedule of a graceful shutdown, for any longest client wait.

use spanspur::lifecycle::shutdown_schedule::ShutdownSchedule;
use std::time::Duration;

/// SIGKILL arrives no earlier than the longest wait, of which at most 3 s count, and 0.7 s after SIGTERM.
fn earliest_kill(longest_wait: Duration) -> Duration {
    longest_wait.min(Duration::from_secs(3)) + Duration::from_millis(700)
}

/// Clients may arrive for this long after SIGTERM.
const ARRIVALS: Duration = Duration::from_millis(400);

/// Guards against connections that are cut off without MOVE because the exit comes before the end of the migrations.
#[test]
fn all_connections_have_migrated_before_the_exit_whatever_the_longest_wait() {
    for milliseconds in 0..=10_000 {
        let longest_wait = Duration::from_millis(milliseconds);
        let schedule = ShutdownSchedule::new(longest_wait);
        let steps = [
            ARRIVALS,
            schedule.arrivals_end,
            schedule.migration_deadline,
            schedule.final_responses,
            schedule.exit,
            schedule.latest_exit,
            schedule.kill,
        ];
        assert!(steps.is_sorted(), "{longest_wait:?}: {schedule:?}");
        // Time to send MOVE and the final responses.
        let send_time = schedule.exit - schedule.final_responses;
        assert!(
            send_time >= Duration::from_millis(100),
            "{longest_wait:?}: {schedule:?}"
        );
        assert_eq!(schedule.kill, earliest_kill(longest_wait));
    }
}

#[test]
fn migrations_are_spread_over_a_second_where_the_longest_wait_permits() {
    for milliseconds in [1200, 2000, 3000, 60_000] {
        let schedule = ShutdownSchedule::new(Duration::from_millis(milliseconds));
        let spread = schedule.migration_deadline - schedule.arrivals_end;
        assert_eq!(spread, Duration::from_secs(1), "{milliseconds} ms");
    }
}
