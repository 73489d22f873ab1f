//! The schedule of a graceful shutdown: what has to be done by when, so that nothing is owed to a client once SIGKILL may
//! arrive. All times are offsets from SIGTERM.

use std::time::Duration;

/// Time for which new clients are awaited. Clients may arrive for up to 0.4 s after SIGTERM, and one that is migrated
/// earlier could be sent back here.
const ARRIVAL_TIME: Duration = Duration::from_millis(450);
/// Migrations are spread over this time if the schedule permits, so that the clients do not reconnect to the other
/// balancers all at once.
const MIGRATION_TIME: Duration = Duration::from_millis(1000);
/// Cap on the longest client wait. SIGKILL follows SIGTERM no earlier than the capped wait plus [`KILL_GRACE`].
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(3);
/// Grace period before SIGKILL, added to the longest client wait.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which pending requests get their final response.
const FINAL_RESPONSES_BEFORE_KILL: Duration = Duration::from_millis(450);
/// Time from the final responses to the exit. The responses and the last migrations are sent within it.
const SEND_TIME: Duration = Duration::from_millis(200);
/// Time before SIGKILL at which the process exits at the latest, although clients have not closed their connections yet.
const LATEST_EXIT_BEFORE_KILL: Duration = Duration::from_millis(125);

/// When the steps of a graceful shutdown are due. The fields are in the order of the steps, and each time is at or after
/// the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// End of the arrivals: no client is migrated before it.
    pub arrivals_end: Duration,
    /// By this time all connections established so far have been told to migrate.
    pub migration_deadline: Duration,
    /// From this time on, pending requests get their final response, and every connection that is still here is told to
    /// migrate at once.
    pub final_responses: Duration,
    /// The process exits without waiting for requests any longer.
    pub exit: Duration,
    /// The process exits without waiting for clients to close their connections either. An exit with unread bytes resets
    /// a connection, and its client could lose the last line sent to it.
    pub latest_exit: Duration,
    /// The earliest time at which SIGKILL may arrive.
    pub kill: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule for clients that wait at most `longest_wait` for a response.
    pub fn new(longest_wait: Duration) -> Self {
        let kill = longest_wait.min(MAX_CLIENT_WAIT) + KILL_GRACE;
        // With the shortest waits, the clients that still arrive determine the schedule.
        let final_responses = (kill - FINAL_RESPONSES_BEFORE_KILL).max(ARRIVAL_TIME);
        let latest_exit = kill - LATEST_EXIT_BEFORE_KILL;
        Self {
            arrivals_end: ARRIVAL_TIME,
            migration_deadline: (ARRIVAL_TIME + MIGRATION_TIME).min(final_responses),
            final_responses,
            exit: (final_responses + SEND_TIME).min(latest_exit),
            latest_exit,
            kill,
        }
    }
}
