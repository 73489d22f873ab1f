//! Disconnected and outdated sources: the follower keeps its entries, and reports the age of its data.

mod common;
use common::*;
use spanspur_distribution::Event;

#[test]
fn while_disconnected_entries_are_kept_and_their_age_grows() {
    let mut sim = Simulation::new(41, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..200, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    let root_hash = sim.followers[follower].store().root_hash();
    let age = sim.followers[follower]
        .data_age(sim.now)
        .expect("no data age");
    assert!(age < 1200);
    sim.isolated.insert(follower_address(follower));
    let (isolated_at, sent_before) = (sim.now, sim.sent[&follower_address(follower)].1);
    sim.run(3_600_000);
    let isolated = &sim.followers[follower];
    assert_eq!(isolated.store().root_hash(), root_hash);
    let age_while_disconnected = isolated.data_age(sim.now).expect("no data age");
    assert!(
        (3_600_000..3_601_500).contains(&age_while_disconnected),
        "{age_while_disconnected}"
    );
    assert!(isolated.status(sim.now).disconnected);
    // Each of the two sources is retried once in 5 to 7.5 s, not more often.
    let attempts = sim.sent[&follower_address(follower)].1 - sent_before;
    println!("{attempts} datagrams in an hour without a source");
    assert!(attempts < 2 * 3600 / 5 + 20, "{attempts}");
    sim.isolated.clear();
    let reachable_since = sim.now;
    while sim.followers[follower].status(sim.now).disconnected && sim.now < reachable_since + 12_000
    {
        sim.run(50);
    }
    println!("reconnected after {} ms", sim.now - reachable_since);
    assert!(sim.now - reachable_since < 8500);
    sim.run(1500);
    assert!(
        sim.followers[follower]
            .data_age(sim.now)
            .expect("no data age")
            < 1600
    );
    let disconnected: Vec<bool> = (sim.observations[follower].events.iter())
        .filter_map(|(_, event)| match event {
            Event::Disconnected(disconnected) => Some(*disconnected),
            _ => None,
        })
        .collect();
    assert_eq!(disconnected, [true, false]);
    assert!(isolated_at < reachable_since);
}

#[test]
fn the_next_source_replaces_a_disconnected_one_until_it_reconnects() {
    let mut sim = Simulation::new(42, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
    sim.publish_all(&entries(0..200, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    let roles = |sim: &Simulation| -> Vec<u8> {
        let sources = sim.followers[follower].status(sim.now).sources;
        sources.iter().map(|source| source.role).collect()
    };
    assert_eq!(roles(&sim), [1, 2, 0]);
    sim.isolated.insert(source_address(0));
    sim.run(4000);
    assert_eq!(roles(&sim), [0, 1, 2]);
    sim.publish(1, &[entry(1, 11)]);
    sim.run(1200);
    assert_eq!(sim.observations[follower].versions[&1], 11);
    sim.isolated.clear();
    sim.run(8500);
    assert_eq!(roles(&sim), [1, 2, 0]);
    // The replacement has been unsubscribed from, and does not count the follower as disconnected.
    sim.run(10_000);
    assert_eq!(sim.sources[1].status(sim.now).disconnected, 0);
    assert_eq!(sim.sources[0].status(sim.now).primary_followers, 1);
    let events: Vec<&Event> = sim.observations[follower]
        .events
        .iter()
        .map(|(_, event)| event)
        .collect();
    assert!(events.contains(&&Event::SourceDisconnected("control-0".into())));
    assert!(events.contains(&&Event::SourceReconnected("control-0".into())));
}

#[test]
fn of_two_sources_the_one_ahead_determines_changes_and_age() {
    let mut sim = Simulation::new(43, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..200, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    // The first source no longer hears from a writer, but still responds.
    sim.sources_with_writer.remove(&0);
    sim.run(60_000);
    sim.publish(1, &[entry(1, 11)]);
    sim.run(1200);
    assert_eq!(sim.observations[follower].versions[&1], 11);
    let status = sim.followers[follower].status(sim.now);
    assert!(status.sources[0].data_age.expect("no data age") >= 60_000);
    assert!(
        sim.followers[follower]
            .data_age(sim.now)
            .expect("no data age")
            < 1200
    );
    // Only the outdated source is left. The age continues from the data of the other source.
    sim.isolated.insert(source_address(1));
    let isolated_at = sim.now;
    sim.run(30_000);
    let age = sim.followers[follower]
        .data_age(sim.now)
        .expect("no data age");
    let elapsed = sim.now - isolated_at;
    assert!(
        (elapsed..elapsed + 1200).contains(&age),
        "{age} after {elapsed}"
    );
}

/// A source that has not heard from a writer sends its entries, but the follower reports neither that it is
/// synchronized nor an age of its data.
#[test]
fn a_source_that_heard_no_writer_synchronizes_no_follower() {
    let mut sim = Simulation::new(44, &[LOCAL_ZONE]);
    sim.sources_with_writer.clear();
    let all = entries(0..100, 10);
    let now = sim.now;
    sim.sources[0].publish(now, &all);
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(5000);
    assert!(sim.same_content(follower, 0));
    assert!(!sim.followers[follower].is_synchronized());
    assert_eq!(sim.followers[follower].data_age(sim.now), None);
    sim.sources_with_writer.insert(0);
    sim.run(1500);
    assert!(sim.followers[follower].is_synchronized());
}

/// If responses arrive after the response timeout, the timeout grows.
#[test]
fn a_latency_above_the_response_timeout_still_works() {
    let mut sim = Simulation::new(45, &[LOCAL_ZONE]);
    sim.delay = 700;
    sim.publish_all(&entries(0..300, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(60_000);
    assert!(
        sim.same_content(follower, 0),
        "{:?}",
        sim.followers[follower].status(sim.now)
    );
    assert!(
        sim.followers[follower]
            .data_age(sim.now)
            .expect("no data age")
            < 5000
    );
}
