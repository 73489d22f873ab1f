//! The schedule of a drain.

use spanspur_admin::drain_schedule::DrainSchedule;

#[test]
fn all_connections_migrate_by_the_deadline_and_never_many_at_once() {
    let schedule = DrainSchedule {
        start: 0.5,
        deadline: 2.0,
    };
    let (mut remaining, mut now, mut max_count) = (300, 0.0, 0);
    while now < 2.0 {
        let count = schedule.due(now, 0.02, remaining);
        assert!(now >= 0.5 || count == 0);
        (remaining, max_count, now) = (remaining - count, max_count.max(count), now + 0.02);
    }
    assert_eq!(remaining, 0);
    assert!(max_count <= 5, "{max_count} of 300 in one tick of 75");
    assert_eq!(schedule.due(3.0, 0.02, 7), 7);
}
