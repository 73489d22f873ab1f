//! What is transferred is what is new: with a valid cursor, in a resynchronization, and nothing between equal contents.

mod common;
use common::*;
use rand::seq::SliceRandom;
use spanspur_distribution::messages::{self, Query, ResponseBody};

/// Bytes that both sides sent, as sealed datagrams.
fn bytes(sim: &Simulation) -> u64 {
    sim.sent.values().map(|sent| sent.0).sum()
}

#[test]
fn with_an_equal_root_hash_the_head_of_a_new_incarnation_is_adopted_without_resync() {
    let mut sim = Simulation::new(21, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    assert!(sim.same_content(one, 0));
    let before = sim.followers[one].counters();
    let start = bytes(&sim);
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..5000, 10));
    sim.run(3000);
    let after = sim.followers[one].counters();
    assert_eq!(after.get("comparisons"), before.get("comparisons"));
    assert_eq!(after.get("walks"), before.get("walks"));
    // The new run is heard of by a greeting or two; nothing else is larger than a regular ask.
    let spent = bytes(&sim) - start;
    println!("{spent} bytes in 3 s with a restart of a source that holds the same");
    assert!(spent < 2500, "{spent}");
    // The cursor holds: a change comes as a change.
    sim.publish(0, &[entry(1, 11)]);
    sim.run(1100);
    assert!(sim.same_content(one, 0));
    let last = sim.followers[one].counters();
    assert_eq!(last.get("comparisons"), before.get("comparisons"));
}

/// 240 of 5,000 entries change while a follower is cut off, and the sources' change logs are gone when it is back.
#[test]
fn with_an_expired_cursor_only_differing_entries_are_transferred() {
    let mut sim = Simulation::new(22, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.limits.change_log_capacity = 100;
    for i in 0..2 {
        sim.restart_source(i, 150);
    }
    sim.publish_all(&entries(0..5000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    let start = bytes(&sim);
    sim.run(8000);
    assert!(sim.same_content(one, 0));
    let all = bytes(&sim) - start;
    sim.isolated.insert(follower_address(one));
    let mut keys: Vec<u64> = (0..5000).collect();
    keys.shuffle(&mut sim.rng);
    let changed: Vec<_> = keys[..240].iter().map(|key| entry(*key, 11)).collect();
    for change in &changed {
        sim.publish_all(std::slice::from_ref(change));
        sim.run(15_000);
    }
    sim.isolated.clear();
    let (start, healed) = (bytes(&sim), sim.now);
    while !sim.same_content(one, 0) && sim.now < healed + 12_000 {
        sim.run(100);
    }
    let took = sim.now - healed;
    assert!(sim.same_content(one, 0), "not within 12 s");
    sim.run(3000);
    let spent = bytes(&sim) - start;
    let wanted: usize = changed.iter().map(messages::entry_row_size).sum();
    println!(
        "{took} ms, {spent} bytes for 240 rows of {wanted} bytes, {all} for all 5,000 at first"
    );
    assert_eq!(sim.followers[one].counters()["comparisons"], 1);
    assert!(spent < 100_000, "{spent}");
    assert!(spent * 5 < all);
}

/// The same with the change logs retained: rows, and hardly anything else.
#[test]
fn with_a_valid_cursor_only_changes_are_transferred() {
    let mut sim = Simulation::new(23, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    let before = sim.followers[one].counters();
    sim.isolated.insert(follower_address(one));
    // The same keys change again and again: the last version travels, once.
    for version in 11..15 {
        sim.publish_all(&entries(0..60, version));
    }
    sim.run(60_000);
    sim.isolated.clear();
    let start = bytes(&sim);
    sim.run(9000);
    assert!(sim.same_content(one, 0));
    let spent = bytes(&sim) - start;
    println!("{spent} bytes for 60 rows and 9 s");
    assert_eq!(
        sim.followers[one].counters().get("comparisons"),
        before.get("comparisons")
    );
    assert!(spent < 60 * 120 + 9 * 500, "{spent}");
}

/// A source that holds less than the follower has nothing to transfer, and is not polled again at once.
#[test]
fn a_source_that_holds_less_transfers_nothing() {
    let mut sim = Simulation::new(24, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..1000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(5000);
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..400, 10));
    sim.run(5000);
    let counters = sim.followers[one].counters();
    assert_eq!(counters["comparisons"], 1);
    assert_eq!(
        counters.get("not-newer"),
        None,
        "no row that was held travelled"
    );
    let start = bytes(&sim);
    sim.run(10_000);
    let spent = bytes(&sim) - start;
    assert!(spent < 10 * 500, "{spent}");
}

/// A missing entry with a cursor at the head is found by the check of the contents.
#[test]
fn a_lasting_divergence_at_the_head_is_resynchronized() {
    let mut sim = Simulation::new(25, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(3000);
    // The follower is given an entry by a source that is then gone for good: the source here never has it.
    sim.restart_source(0, 200);
    sim.publish_all(&entries(0..99, 10));
    sim.run(3000);
    let before = sim.followers[one].counters()["comparisons"];
    sim.run(1_300_000);
    let after = sim.followers[one].counters()["comparisons"];
    assert_eq!(after - before, 2, "every ten minutes, no more often");
}

/// Responses are of at most eight datagrams at a time.
#[test]
fn a_response_is_a_bounded_window_of_datagrams() {
    let mut sim = Simulation::new(26, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(500);
    sim.large_datagrams.clear();
    sim.run(8000);
    assert!(sim.same_content(one, 0));
    let mut at_once = std::collections::BTreeMap::<u64, usize>::new();
    for (at, _) in &sim.large_datagrams {
        *at_once.entry(*at).or_default() += 1;
    }
    let most = at_once.values().max();
    assert_eq!(most, Some(&8));
}

/// Entries are applied in any order, and the cursor advances only over complete ranges.
#[test]
fn reordered_and_lost_datagrams_leave_no_gap() {
    for seed in 270..275 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE, OTHER_ZONE]);
        (sim.loss, sim.jitter) = (0.2, 200);
        sim.publish_all(&entries(0..1500, 10));
        let one = sim.add_follower(LOCAL_ZONE);
        sim.run(60_000);
        for round in 0..20 {
            sim.publish_all(&entries(round * 70..(round + 1) * 70, 11 + round));
            sim.run(700);
        }
        (sim.loss, sim.jitter) = (0.0, 2);
        sim.run(10_000);
        assert!(
            sim.same_content(one, 0),
            "seed {seed}: {:?}",
            sim.followers[one].status(sim.now)
        );
        assert_eq!(sim.version_regressions(), 0);
    }
}

/// Headers never exceed the space reserved for them.
#[test]
fn headers_fit_into_their_limit() {
    let most = u64::MAX;
    let parts = [
        ResponseBody::Changes {
            after: most,
            up_to: most,
            last: true,
        },
        ResponseBody::Entries {
            from: most,
            next: Some(most),
            last: true,
        },
    ];
    for part in parts {
        let answer = messages::PollResponse {
            nonce: u32::MAX,
            data_age: Some(most),
            head: most,
            body: part,
        };
        assert!(messages::encode_response(&answer).len() <= messages::MAX_HEADER);
    }
    let want = Query::LeafHashes {
        branches: most,
        salt: u32::MAX,
    };
    let ask = messages::PollRequest {
        nonce: u32::MAX,
        is_primary: true,
        incarnation: most,
        sequence: most,
        root_hash: most,
        window: messages::MAX_WINDOW,
        query: want,
    };
    assert!(messages::encode_request(&ask, &[]).len() <= messages::MAX_HEADER);
}
