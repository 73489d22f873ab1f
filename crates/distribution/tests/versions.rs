//! A follower's versions only increase, whichever source responds, and removed entries stay removed.

mod common;
use common::*;
use rand::RngExt;
use spanspur_distribution::Entry;

/// What both ends held is not lost, and the follower holds the newest of all.
fn assert_newest(net: &Net, follower: usize, keys: std::ops::Range<u64>, version: u64) {
    let store = net.followers[follower].store();
    for key in keys {
        let held = store.get(key).map(|entry| entry.version);
        assert_eq!(held, Some(version), "key {key}");
    }
}

#[test]
fn a_source_with_old_state_reverts_nothing() {
    let mut net = Net::new(11, &[HERE, NEAR]);
    net.publish_all(&entries(0..300, 10));
    net.publish(1, &entries(0..300, 20));
    let one = net.follow(HERE);
    net.run(4000);
    assert_newest(&net, one, 0..300, 20);
    // Its first source is the one with the old state; only that one is left.
    net.cut.insert(source_at(1));
    net.run(20_000);
    assert_newest(&net, one, 0..300, 20);
    assert_eq!(net.backwards(), 0);
    assert_eq!(net.followers[one].status(net.now).sources[0].role, 1);
}

#[test]
fn a_source_restarted_with_less_reverts_nothing_and_new_changes_pass() {
    let mut net = Net::new(12, &[HERE, NEAR]);
    net.publish_all(&entries(0..300, 10));
    net.publish_all(&entries(0..200, 20));
    let one = net.follow(HERE);
    net.run(4000);
    assert!(net.same(one, 0));
    net.restart_source(0, 200);
    net.publish(0, &entries(0..250, 10));
    net.run(4000);
    assert_newest(&net, one, 0..200, 20);
    assert_newest(&net, one, 200..300, 10);
    // What it learns from now on reaches the follower, before it has caught up with the rest itself.
    net.publish(0, &[entry(5, 30), entry(6, 15)]);
    net.run(1500);
    let store = net.followers[one].store();
    assert_eq!(store.get(5).map(|e| e.version), Some(30));
    assert_eq!(store.get(6).map(|e| e.version), Some(20));
    assert_eq!(net.backwards(), 0);
}

#[test]
fn a_source_resumed_after_a_freeze_reverts_nothing() {
    let mut net = Net::new(13, &[HERE, NEAR, FAR]);
    net.publish_all(&entries(0..300, 10));
    let one = net.follow(HERE);
    net.run(4000);
    net.frozen.insert(source_at(0));
    net.fresh.remove(&0);
    net.run(1000);
    net.publish(1, &entries(0..300, 20));
    net.publish(2, &entries(0..300, 20));
    net.run(60_000);
    assert_newest(&net, one, 0..300, 20);
    let roles: Vec<u8> = (net.followers[one].status(net.now).sources.iter())
        .map(|source| source.role)
        .collect();
    assert_eq!(roles, [0, 1, 2], "the next ones stand in");
    // It wakes with all that had come to it, and what it knew.
    net.frozen.clear();
    net.run(20_000);
    assert_newest(&net, one, 0..300, 20);
    assert_eq!(net.followers[one].status(net.now).sources[0].role, 1);
    assert_eq!(net.backwards(), 0);
    // Its old knowledge does not make the follower's age, which comes from the second source.
    let age = net.followers[one].data_age(net.now).expect("heard");
    assert!(age < 1200, "{age}");
}

#[test]
fn a_removed_entry_stays_removed() {
    let mut net = Net::new(14, &[HERE, NEAR]);
    net.publish_all(&entries(0..100, 10));
    let one = net.follow(HERE);
    net.run(3000);
    let gone = Entry {
        key: 7,
        version: 20,
        value: Vec::new(),
    };
    net.publish(0, std::slice::from_ref(&gone));
    net.run(1500);
    assert_eq!(net.followers[one].store().get(7), Some(&gone));
    // The other source never heard of it; a new follower of both gets it too, in either order.
    let two = net.follow(NEAR);
    net.run(5000);
    assert_eq!(net.followers[two].store().get(7), Some(&gone));
    net.restart_source(0, 200);
    net.publish(0, &entries(0..100, 10));
    net.run(10_000);
    for follower in [one, two] {
        assert_eq!(net.followers[follower].store().get(7), Some(&gone));
    }
    assert_eq!(net.backwards(), 0);
}

/// Two writers in a partition: what both wrote is merged by version at whoever hears both.
#[test]
fn entries_of_two_writers_merge_to_the_same_everywhere() {
    let mut net = Net::new(15, &[HERE, NEAR]);
    net.publish(0, &entries(0..50, 10));
    net.publish(1, &entries(25..75, 11));
    net.publish(1, &entries(0..10, 9));
    let followers: Vec<usize> = [HERE, NEAR, HERE].map(|place| net.follow(place)).to_vec();
    net.run(8000);
    for follower in followers {
        assert_newest(&net, follower, 0..25, 10);
        assert_newest(&net, follower, 25..75, 11);
    }
    assert_eq!(net.backwards(), 0);
}

/// Loss, doubling, cuts and restarts at random: versions never go back, and in the end all hold the same.
#[test]
fn random_faults_lose_nothing_and_revert_nothing() {
    for seed in 100..110 {
        let mut net = Net::new(seed, &[HERE, NEAR, FAR]);
        (net.loss, net.doubling, net.jitter) = (0.05, 0.05, 80);
        net.publish_all(&entries(0..400, 10));
        let places = [HERE, NEAR, FAR];
        for i in 0..9 {
            net.follow(places[i % 3]);
        }
        let mut all: Vec<Entry> = entries(0..400, 10);
        for round in 0..40_u64 {
            let key = net.rng.random_range(0..450);
            let new = entry(key, 20 + round);
            all.push(new.clone());
            let at = net.rng.random_range(0..3);
            net.publish(at, &[new]);
            match net.rng.random_range(0..5) {
                0 => drop(net.cut.insert(source_at(at))),
                1 => net.cut.clear(),
                2 => {
                    net.restart_source(at, 200 + round);
                    let some = net.rng.random_range(0..all.len());
                    let part = all[..some].to_vec();
                    net.publish(at, &part);
                }
                3 => {
                    let follower = net.rng.random_range(0..9);
                    let fresh = net.fresh_follower(follower, places[follower % 3], 200 + round);
                    net.followers[follower] = fresh;
                    net.seen[follower] = Seen::default();
                }
                _ => {}
            }
            net.run(1500);
        }
        net.cut.clear();
        net.publish_all(&all);
        net.run(30_000);
        for follower in 0..9 {
            assert!(net.same(follower, 0), "follower {follower} of seed {seed}");
        }
        assert_eq!(net.backwards(), 0, "seed {seed}");
    }
}

/// The check above is one that can fail: told of a version that goes back, it counts it.
#[test]
fn the_check_sees_a_version_that_goes_back() {
    let mut seen = Seen::default();
    seen.changed(&entry(1, 5));
    seen.changed(&entry(1, 6));
    assert_eq!(seen.backwards, 0);
    seen.changed(&entry(1, 5));
    assert_eq!(seen.backwards, 1);
}
