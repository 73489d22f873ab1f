//! A follower's versions only increase, whichever source responds, and removed entries stay removed.

mod common;
use common::*;
use rand::RngExt;
use spanspur_distribution::Entry;

/// What both ends held is not lost, and the follower holds the newest of all.
fn assert_newest(sim: &Simulation, follower: usize, keys: std::ops::Range<u64>, version: u64) {
    let store = sim.followers[follower].store();
    for key in keys {
        let held = store.get(key).map(|entry| entry.version);
        assert_eq!(held, Some(version), "key {key}");
    }
}

#[test]
fn a_source_with_old_state_reverts_nothing() {
    let mut sim = Simulation::new(11, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..300, 10));
    sim.publish(1, &entries(0..300, 20));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    assert_newest(&sim, one, 0..300, 20);
    // Its first source is the one with the old state; only that one is left.
    sim.isolated.insert(source_address(1));
    sim.run(20_000);
    assert_newest(&sim, one, 0..300, 20);
    assert_eq!(sim.version_regressions(), 0);
    assert_eq!(sim.followers[one].status(sim.now).sources[0].role, 1);
}

#[test]
fn a_source_restarted_with_less_reverts_nothing_and_new_changes_pass() {
    let mut sim = Simulation::new(12, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..300, 10));
    sim.publish_all(&entries(0..200, 20));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    assert!(sim.same_content(one, 0));
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..250, 10));
    sim.run(4000);
    assert_newest(&sim, one, 0..200, 20);
    assert_newest(&sim, one, 200..300, 10);
    // What it learns from now on reaches the follower, before it has caught up with the rest itself.
    sim.publish(0, &[entry(5, 30), entry(6, 15)]);
    sim.run(1500);
    let store = sim.followers[one].store();
    assert_eq!(store.get(5).map(|e| e.version), Some(30));
    assert_eq!(store.get(6).map(|e| e.version), Some(20));
    assert_eq!(sim.version_regressions(), 0);
}

#[test]
fn a_source_resumed_after_a_freeze_reverts_nothing() {
    let mut sim = Simulation::new(13, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
    sim.publish_all(&entries(0..300, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    sim.paused.insert(source_address(0));
    sim.sources_with_writer.remove(&0);
    sim.run(1000);
    sim.publish(1, &entries(0..300, 20));
    sim.publish(2, &entries(0..300, 20));
    sim.run(60_000);
    assert_newest(&sim, one, 0..300, 20);
    let roles: Vec<u8> = (sim.followers[one].status(sim.now).sources.iter())
        .map(|source| source.role)
        .collect();
    assert_eq!(roles, [0, 1, 2], "the next ones stand in");
    // It wakes with all that had come to it, and what it knew.
    sim.paused.clear();
    sim.run(20_000);
    assert_newest(&sim, one, 0..300, 20);
    assert_eq!(sim.followers[one].status(sim.now).sources[0].role, 1);
    assert_eq!(sim.version_regressions(), 0);
    // Its old knowledge does not make the follower's age, which comes from the second source.
    let age = sim.followers[one].data_age(sim.now).expect("heard");
    assert!(age < 1200, "{age}");
}

#[test]
fn a_removed_entry_stays_removed() {
    let mut sim = Simulation::new(14, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(3000);
    let gone = Entry {
        key: 7,
        version: 20,
        value: Vec::new(),
    };
    sim.publish(0, std::slice::from_ref(&gone));
    sim.run(1500);
    assert_eq!(sim.followers[one].store().get(7), Some(&gone));
    // The other source never heard of it; a new follower of both gets it too, in either order.
    let two = sim.add_follower(OTHER_ZONE);
    sim.run(5000);
    assert_eq!(sim.followers[two].store().get(7), Some(&gone));
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..100, 10));
    sim.run(10_000);
    for follower in [one, two] {
        assert_eq!(sim.followers[follower].store().get(7), Some(&gone));
    }
    assert_eq!(sim.version_regressions(), 0);
}

/// Two writers in a partition: what both wrote is merged by version at whoever hears both.
#[test]
fn entries_of_two_writers_merge_to_the_same_everywhere() {
    let mut sim = Simulation::new(15, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish(0, &entries(0..50, 10));
    sim.publish(1, &entries(25..75, 11));
    sim.publish(1, &entries(0..10, 9));
    let followers: Vec<usize> = [LOCAL_ZONE, OTHER_ZONE, LOCAL_ZONE]
        .map(|place| sim.add_follower(place))
        .to_vec();
    sim.run(8000);
    for follower in followers {
        assert_newest(&sim, follower, 0..25, 10);
        assert_newest(&sim, follower, 25..75, 11);
    }
    assert_eq!(sim.version_regressions(), 0);
}

/// Loss, doubling, cuts and restarts at random: versions never go back, and in the end all hold the same.
#[test]
fn random_faults_lose_nothing_and_revert_nothing() {
    for seed in 100..110 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
        (sim.loss, sim.duplication, sim.jitter) = (0.05, 0.05, 80);
        sim.publish_all(&entries(0..400, 10));
        let places = [LOCAL_ZONE, OTHER_ZONE, OTHER_REGION];
        for i in 0..9 {
            sim.add_follower(places[i % 3]);
        }
        let mut all: Vec<Entry> = entries(0..400, 10);
        for round in 0..40_u64 {
            let key = sim.rng.random_range(0..450);
            let new = entry(key, 20 + round);
            all.push(new.clone());
            let at = sim.rng.random_range(0..3);
            sim.publish(at, &[new]);
            match sim.rng.random_range(0..5) {
                0 => drop(sim.isolated.insert(source_address(at))),
                1 => sim.isolated.clear(),
                2 => {
                    sim.restart_source(at, 200 + round);
                    let some = sim.rng.random_range(0..all.len());
                    let part = all[..some].to_vec();
                    sim.publish(at, &part);
                }
                3 => {
                    let follower = sim.rng.random_range(0..9);
                    let fresh = sim.new_follower(follower, places[follower % 3], 200 + round);
                    sim.followers[follower] = fresh;
                    sim.observations[follower] = Observations::default();
                }
                _ => {}
            }
            sim.run(1500);
        }
        sim.isolated.clear();
        sim.publish_all(&all);
        sim.run(30_000);
        for follower in 0..9 {
            assert!(
                sim.same_content(follower, 0),
                "follower {follower} of seed {seed}"
            );
        }
        assert_eq!(sim.version_regressions(), 0, "seed {seed}");
    }
}

/// The check above is one that can fail: told of a version that goes back, it counts it.
#[test]
fn the_check_sees_a_version_that_goes_back() {
    let mut observations = Observations::default();
    observations.record_update(&entry(1, 5));
    observations.record_update(&entry(1, 6));
    assert_eq!(observations.version_regressions, 0);
    observations.record_update(&entry(1, 5));
    assert_eq!(observations.version_regressions, 1);
}
