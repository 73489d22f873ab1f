//! A follower's versions only increase, whichever source responds, and removed entries stay removed.

mod common;
use common::*;
use rand::RngExt;
use spanspur_distribution::Entry;

/// Asserts that the follower holds this version of all these keys.
fn assert_versions(sim: &Simulation, follower: usize, keys: std::ops::Range<u64>, version: u64) {
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
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    assert_versions(&sim, follower, 0..300, 20);
    // The follower's primary source holds the old state. Only this source remains reachable.
    sim.isolated.insert(source_address(1));
    sim.run(20_000);
    assert_versions(&sim, follower, 0..300, 20);
    assert_eq!(sim.version_regressions(), 0);
    assert_eq!(sim.followers[follower].status(sim.now).sources[0].role, 1);
}

#[test]
fn a_source_restarted_with_less_reverts_nothing_and_new_changes_pass() {
    let mut sim = Simulation::new(12, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..300, 10));
    sim.publish_all(&entries(0..200, 20));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    assert!(sim.same_content(follower, 0));
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..250, 10));
    sim.run(4000);
    assert_versions(&sim, follower, 0..200, 20);
    assert_versions(&sim, follower, 200..300, 10);
    // New changes at the restarted source reach the follower before the source has received the rest itself.
    sim.publish(0, &[entry(5, 30), entry(6, 15)]);
    sim.run(1500);
    let store = sim.followers[follower].store();
    assert_eq!(store.get(5).map(|e| e.version), Some(30));
    assert_eq!(store.get(6).map(|e| e.version), Some(20));
    assert_eq!(sim.version_regressions(), 0);
}

#[test]
fn a_source_resumed_after_a_pause_reverts_nothing() {
    let mut sim = Simulation::new(13, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
    sim.publish_all(&entries(0..300, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(4000);
    sim.paused.insert(source_address(0));
    sim.sources_with_writer.remove(&0);
    sim.run(1000);
    sim.publish(1, &entries(0..300, 20));
    sim.publish(2, &entries(0..300, 20));
    sim.run(60_000);
    assert_versions(&sim, follower, 0..300, 20);
    let roles: Vec<u8> = (sim.followers[follower].status(sim.now).sources.iter())
        .map(|source| source.role)
        .collect();
    assert_eq!(roles, [0, 1, 2], "the next sources replace the paused one");
    // The source resumes with its old state and all datagrams that arrived meanwhile.
    sim.paused.clear();
    sim.run(20_000);
    assert_versions(&sim, follower, 0..300, 20);
    assert_eq!(sim.followers[follower].status(sim.now).sources[0].role, 1);
    assert_eq!(sim.version_regressions(), 0);
    // The source's old data does not increase the age of the follower's data, which comes from the secondary source.
    let age = sim.followers[follower]
        .data_age(sim.now)
        .expect("no data age");
    assert!(age < 1200, "{age}");
}

#[test]
fn a_removed_entry_stays_removed() {
    let mut sim = Simulation::new(14, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(3000);
    let tombstone = Entry {
        key: 7,
        version: 20,
        value: Vec::new(),
    };
    sim.publish(0, std::slice::from_ref(&tombstone));
    sim.run(1500);
    assert_eq!(sim.followers[follower].store().get(7), Some(&tombstone));
    // The other source never received the removal. A new follower of both sources receives the tombstone too, in
    // whichever order the sources respond.
    let second_follower = sim.add_follower(OTHER_ZONE);
    sim.run(5000);
    assert_eq!(
        sim.followers[second_follower].store().get(7),
        Some(&tombstone)
    );
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..100, 10));
    sim.run(10_000);
    for index in [follower, second_follower] {
        assert_eq!(sim.followers[index].store().get(7), Some(&tombstone));
    }
    assert_eq!(sim.version_regressions(), 0);
}

/// Two writers in a partition: a follower that hears from both sources merges their entries by version.
#[test]
fn entries_of_two_writers_merge_to_the_same_everywhere() {
    let mut sim = Simulation::new(15, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish(0, &entries(0..50, 10));
    sim.publish(1, &entries(25..75, 11));
    sim.publish(1, &entries(0..10, 9));
    let followers: Vec<usize> = [LOCAL_ZONE, OTHER_ZONE, LOCAL_ZONE]
        .map(|location| sim.add_follower(location))
        .to_vec();
    sim.run(8000);
    for follower in followers {
        assert_versions(&sim, follower, 0..25, 10);
        assert_versions(&sim, follower, 25..75, 11);
    }
    assert_eq!(sim.version_regressions(), 0);
}

/// Random loss, duplication, isolation and restarts: versions never decrease, and finally all followers hold the same
/// content as the source.
#[test]
fn random_faults_lose_nothing_and_revert_nothing() {
    for seed in 100..110 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION]);
        (sim.loss, sim.duplication, sim.jitter) = (0.05, 0.05, 80);
        sim.publish_all(&entries(0..400, 10));
        let locations = [LOCAL_ZONE, OTHER_ZONE, OTHER_REGION];
        for i in 0..9 {
            sim.add_follower(locations[i % 3]);
        }
        let mut all: Vec<Entry> = entries(0..400, 10);
        for round in 0..40_u64 {
            let key = sim.rng.random_range(0..450);
            let new = entry(key, 20 + round);
            all.push(new.clone());
            let source = sim.rng.random_range(0..3);
            sim.publish(source, &[new]);
            match sim.rng.random_range(0..5) {
                0 => drop(sim.isolated.insert(source_address(source))),
                1 => sim.isolated.clear(),
                2 => {
                    sim.restart_source(source, 200 + round);
                    let published = sim.rng.random_range(0..all.len());
                    let part = all[..published].to_vec();
                    sim.publish(source, &part);
                }
                3 => {
                    let follower = sim.rng.random_range(0..9);
                    let restarted =
                        sim.new_follower(follower, locations[follower % 3], 200 + round);
                    sim.followers[follower] = restarted;
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

/// The other tests of this file depend on this counter of updates with a lower version.
#[test]
fn an_update_to_a_lower_version_is_counted_as_a_regression() {
    let mut observations = Observations::default();
    observations.record_update(&entry(1, 5));
    observations.record_update(&entry(1, 6));
    assert_eq!(observations.version_regressions, 0);
    observations.record_update(&entry(1, 5));
    assert_eq!(observations.version_regressions, 1);
}
