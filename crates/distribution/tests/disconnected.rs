//! Sources that are disconnected or behind: the follower keeps its entries, and reports their age.

mod common;
use common::*;
use spanspur_distribution::Event;

#[test]
fn while_disconnected_entries_are_kept_and_their_age_grows() {
    let mut sim = Simulation::new(41, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..200, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    let root = sim.followers[one].store().root_hash();
    let age = sim.followers[one].data_age(sim.now).expect("heard");
    assert!(age < 1200);
    sim.isolated.insert(follower_address(one));
    let (start, sent) = (sim.now, sim.sent[&follower_address(one)].1);
    sim.run(3_600_000);
    let follower = &sim.followers[one];
    assert_eq!(follower.store().root_hash(), root);
    let later = follower.data_age(sim.now).expect("heard");
    assert!((3_600_000..3_601_500).contains(&later), "{later}");
    assert!(follower.status(sim.now).disconnected);
    // Each source is tried again once in 5 to 7.5 s, no more.
    let tried = sim.sent[&follower_address(one)].1 - sent;
    println!("{tried} datagrams in an hour of darkness");
    assert!(tried < 2 * 3600 / 5 + 20, "{tried}");
    sim.isolated.clear();
    let healed = sim.now;
    while sim.followers[one].status(sim.now).disconnected && sim.now < healed + 12_000 {
        sim.run(50);
    }
    println!("light after {} ms", sim.now - healed);
    assert!(sim.now - healed < 8500);
    sim.run(1500);
    assert!(sim.followers[one].data_age(sim.now).expect("heard") < 1600);
    let dark: Vec<bool> = (sim.observations[one].events.iter())
        .filter_map(|(_, event)| match event {
            Event::Disconnected(yes) => Some(*yes),
            _ => None,
        })
        .collect();
    assert_eq!(dark, [true, false]);
    assert!(start < healed);
}

#[test]
fn the_next_source_replaces_a_disconnected_one_until_it_reconnects() {
    let mut sim = Simulation::new(42, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
    sim.publish_all(&entries(0..200, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    let roles = |sim: &Simulation| -> Vec<u8> {
        let sources = sim.followers[one].status(sim.now).sources;
        sources.iter().map(|source| source.role).collect()
    };
    assert_eq!(roles(&sim), [1, 2, 0]);
    sim.isolated.insert(source_address(0));
    sim.run(4000);
    assert_eq!(roles(&sim), [0, 1, 2]);
    sim.publish(1, &[entry(1, 11)]);
    sim.run(1200);
    assert_eq!(sim.observations[one].versions[&1], 11);
    sim.isolated.clear();
    sim.run(8500);
    assert_eq!(roles(&sim), [1, 2, 0]);
    // The one that stood in is told: it does not hold the follower for one in the dark.
    sim.run(10_000);
    assert_eq!(sim.sources[1].status(sim.now).disconnected, 0);
    assert_eq!(sim.sources[0].status(sim.now).primary_followers, 1);
    let names: Vec<&Event> = sim.observations[one]
        .events
        .iter()
        .map(|(_, n)| n)
        .collect();
    assert!(names.contains(&&Event::SourceDisconnected("control-0".into())));
    assert!(names.contains(&&Event::SourceReconnected("control-0".into())));
}

#[test]
fn of_two_sources_the_one_ahead_determines_changes_and_age() {
    let mut sim = Simulation::new(43, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..200, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    // The first hears no writer any more; it still answers.
    sim.sources_with_writer.remove(&0);
    sim.run(60_000);
    sim.publish(1, &[entry(1, 11)]);
    sim.run(1200);
    assert_eq!(sim.observations[one].versions[&1], 11);
    let status = sim.followers[one].status(sim.now);
    assert!(status.sources[0].data_age.expect("heard") >= 60_000);
    assert!(sim.followers[one].data_age(sim.now).expect("heard") < 1200);
    // Only the one behind is left: the age goes on from what the other last gave.
    sim.isolated.insert(source_address(1));
    let cut = sim.now;
    sim.run(30_000);
    let age = sim.followers[one].data_age(sim.now).expect("heard");
    let span = sim.now - cut;
    assert!((span..span + 1200).contains(&age), "{age} after {span}");
}

/// A source that has not heard from a writer sends what it has, but it counts neither as complete nor as of any age.
#[test]
fn a_source_that_heard_no_writer_synchronizes_no_follower() {
    let mut sim = Simulation::new(44, &[LOCAL_ZONE]);
    sim.sources_with_writer.clear();
    let all = entries(0..100, 10);
    let now = sim.now;
    sim.sources[0].publish(now, &all);
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(5000);
    assert!(sim.same_content(one, 0));
    assert!(!sim.followers[one].is_synchronized());
    assert_eq!(sim.followers[one].data_age(sim.now), None);
    sim.sources_with_writer.insert(0);
    sim.run(1500);
    assert!(sim.followers[one].is_synchronized());
}

/// Where responses come after the timeout, the timeout grows.
#[test]
fn a_latency_above_the_response_timeout_still_works() {
    let mut sim = Simulation::new(45, &[LOCAL_ZONE]);
    sim.delay = 700;
    sim.publish_all(&entries(0..300, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(60_000);
    assert!(
        sim.same_content(one, 0),
        "{:?}",
        sim.followers[one].status(sim.now)
    );
    assert!(sim.followers[one].data_age(sim.now).expect("heard") < 5000);
}
