//! A source tracks which changes all its reachable followers have confirmed and when, and which followers lag or are
//! disconnected.

mod common;
use common::*;
use spanspur_distribution::source::{LAG_THRESHOLD, REACHABLE_FOR, TRACKING_INTERVAL};

#[test]
fn propagated_lagging_and_disconnected_are_distinguished() {
    let mut sim = Simulation::new(61, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    for _ in 0..10 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(10_000);
    let status = sim.sources[0].status(sim.now);
    assert!(status.settled);
    assert_eq!((status.followers, status.primary_followers), (10, 10));
    assert_eq!((status.lagging, status.disconnected), (0, 0));
    // All followers are reachable: a change has propagated once each of them has polled again after receiving it.
    sim.publish_all(&[entry(1, 11)]);
    sim.run(2500);
    let change = sim.sources[0].status(sim.now).changes[0].clone();
    let after = change.propagated_after.expect("propagated");
    println!(
        "propagated after {after} ms to {} followers",
        change.followers
    );
    assert_eq!((change.key, change.version, change.followers), (1, 11, 10));
    assert!(after <= 2000 + 2 * TRACKING_INTERVAL, "{after}");
    // One follower is isolated. At first it lags. Then it is disconnected, and the change has propagated to the
    // others.
    sim.isolated.insert(follower_address(3));
    sim.publish_all(&[entry(2, 12)]);
    sim.run(LAG_THRESHOLD + 500);
    let status = sim.sources[0].status(sim.now);
    let names: Vec<&str> = status
        .lagging_followers
        .iter()
        .map(|follower| follower.name.as_str())
        .collect();
    assert_eq!((status.lagging, names), (1, vec!["balancer-3"]));
    assert_eq!(status.changes[0].propagated_after, None);
    sim.run(REACHABLE_FOR);
    let status = sim.sources[0].status(sim.now);
    let names: Vec<&str> = status
        .disconnected_followers
        .iter()
        .map(|follower| follower.name.as_str())
        .collect();
    assert_eq!((status.disconnected, names), (1, vec!["balancer-3"]));
    assert_eq!((status.lagging, status.primary_followers), (0, 9));
    assert_eq!(status.changes[0].followers, 9);
    assert!(status.changes[0].propagated_after.is_some());
    // Once reachable again, the follower also receives the change.
    sim.isolated.clear();
    sim.run(10_000);
    let status = sim.sources[0].status(sim.now);
    assert_eq!(
        (
            status.disconnected,
            status.lagging,
            status.primary_followers
        ),
        (0, 0, 10)
    );
    assert!(sim.same_content(3, 0));
}

/// A restarted follower holds nothing, whatever its previous incarnation had confirmed.
#[test]
fn a_restarted_follower_has_confirmed_nothing() {
    let mut sim = Simulation::new(62, &[LOCAL_ZONE]);
    // 167 datagrams of 12 rows at 20 per second: an initial synchronization takes eight seconds.
    (sim.limits.datagrams_per_second, sim.limits.burst) = (20, 8);
    sim.restart_source(0, 150);
    sim.publish_all(&entries(0..2000, 10));
    sim.add_follower(LOCAL_ZONE);
    sim.run(20_000);
    assert!(sim.same_content(0, 0));
    assert_eq!(sim.sources[0].status(sim.now).lagging, 0);
    sim.followers[0] = sim.new_follower(0, LOCAL_ZONE, 200);
    sim.observations[0] = Observations::default();
    sim.run(4000);
    assert!(!sim.same_content(0, 0));
    assert_eq!(sim.sources[0].status(sim.now).lagging, 1);
    sim.run(16_000);
    assert!(sim.same_content(0, 0));
    assert_eq!(sim.sources[0].status(sim.now).lagging, 0);
}

/// The lists in a status are bounded, their counts are not.
#[test]
fn lists_of_a_status_are_bounded() {
    let mut sim = Simulation::new(63, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..10, 10));
    for _ in 0..100 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(3000);
    (0..100).for_each(|i| {
        sim.isolated.insert(follower_address(i));
    });
    sim.run(10_000);
    let status = sim.sources[0].status(sim.now);
    assert_eq!(status.disconnected, 100);
    assert_eq!(status.disconnected_followers.len(), 64);
    for version in 11..400 {
        sim.publish_all(&[entry(1, version)]);
    }
    assert_eq!(sim.sources[0].status(sim.now).changes.len(), 256);
}
