//! Only new data is transferred: changes with a valid cursor, differing entries in a resynchronization, and nothing
//! between equal contents.

mod common;
use common::*;
use rand::seq::SliceRandom;
use spanspur_distribution::messages::{self, Query, ResponseBody};

/// The bytes that both sides have sent, as sealed datagrams.
fn bytes_sent(sim: &Simulation) -> u64 {
    sim.sent.values().map(|sent| sent.0).sum()
}

#[test]
fn with_an_equal_root_hash_the_head_of_a_new_incarnation_is_adopted_without_resync() {
    let mut sim = Simulation::new(21, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    assert!(sim.same_content(follower, 0));
    let before = sim.followers[follower].counters();
    let start = bytes_sent(&sim);
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..5000, 10));
    sim.run(3000);
    let after = sim.followers[follower].counters();
    assert_eq!(after.get("comparisons"), before.get("comparisons"));
    assert_eq!(after.get("walks"), before.get("walks"));
    // The new incarnation causes one or two handshakes. All other datagrams are as small as those of a regular poll.
    let spent = bytes_sent(&sim) - start;
    println!("{spent} bytes in 3 s with a restart of a source with equal content");
    assert!(spent < 2500, "{spent}");
    // The adopted cursor is valid: a change arrives without a resynchronization.
    sim.publish(0, &[entry(1, 11)]);
    sim.run(1100);
    assert!(sim.same_content(follower, 0));
    let last = sim.followers[follower].counters();
    assert_eq!(last.get("comparisons"), before.get("comparisons"));
}

/// 240 of 5,000 entries change while a follower is isolated. When the follower is reachable again, its cursors are
/// older than the change logs of the sources.
#[test]
fn with_an_expired_cursor_only_differing_entries_are_transferred() {
    let mut sim = Simulation::new(22, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.limits.change_log_capacity = 100;
    for i in 0..2 {
        sim.restart_source(i, 150);
    }
    sim.publish_all(&entries(0..5000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    let start = bytes_sent(&sim);
    sim.run(8000);
    assert!(sim.same_content(follower, 0));
    let initial = bytes_sent(&sim) - start;
    sim.isolated.insert(follower_address(follower));
    let mut keys: Vec<u64> = (0..5000).collect();
    keys.shuffle(&mut sim.rng);
    let changed: Vec<_> = keys[..240].iter().map(|key| entry(*key, 11)).collect();
    for change in &changed {
        sim.publish_all(std::slice::from_ref(change));
        sim.run(15_000);
    }
    sim.isolated.clear();
    let (start, reachable_since) = (bytes_sent(&sim), sim.now);
    while !sim.same_content(follower, 0) && sim.now < reachable_since + 12_000 {
        sim.run(100);
    }
    let took = sim.now - reachable_since;
    assert!(
        sim.same_content(follower, 0),
        "not synchronized within 12 s"
    );
    sim.run(3000);
    let spent = bytes_sent(&sim) - start;
    let row_bytes: usize = changed.iter().map(messages::entry_row_size).sum();
    println!(
        "{took} ms, {spent} bytes for 240 rows of {row_bytes} bytes, {initial} bytes for the initial 5,000 rows"
    );
    assert_eq!(sim.followers[follower].counters()["comparisons"], 1);
    assert!(spent < 100_000, "{spent}");
    assert!(spent * 5 < initial);
}

/// A follower is isolated while 60 entries change, and the change logs still cover its cursors: hardly more than the
/// changed rows are transferred.
#[test]
fn with_a_valid_cursor_only_changes_are_transferred() {
    let mut sim = Simulation::new(23, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    let before = sim.followers[follower].counters();
    sim.isolated.insert(follower_address(follower));
    // The same keys change repeatedly. Only the last version is transferred, once.
    for version in 11..15 {
        sim.publish_all(&entries(0..60, version));
    }
    sim.run(60_000);
    sim.isolated.clear();
    let start = bytes_sent(&sim);
    sim.run(9000);
    assert!(sim.same_content(follower, 0));
    let spent = bytes_sent(&sim) - start;
    println!("{spent} bytes for 60 rows and 9 s");
    assert_eq!(
        sim.followers[follower].counters().get("comparisons"),
        before.get("comparisons")
    );
    assert!(spent < 60 * 120 + 9 * 500, "{spent}");
}

/// A source that holds less than the follower has nothing to transfer, and is not polled again at once.
#[test]
fn a_source_that_holds_less_transfers_nothing() {
    let mut sim = Simulation::new(24, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..1000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(5000);
    sim.restart_source(0, 200);
    sim.publish(0, &entries(0..400, 10));
    sim.run(5000);
    let counters = sim.followers[follower].counters();
    assert_eq!(counters["comparisons"], 1);
    assert_eq!(
        counters.get("not-newer"),
        None,
        "no row that the follower held was transferred"
    );
    let start = bytes_sent(&sim);
    sim.run(10_000);
    let spent = bytes_sent(&sim) - start;
    assert!(spent < 10 * 500, "{spent}");
}

/// The cursor is at the source's head, but the contents still differ. The follower detects this by the root hashes, and
/// resynchronizes after ten minutes.
#[test]
fn a_lasting_divergence_at_the_head_is_resynchronized() {
    let mut sim = Simulation::new(25, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(3000);
    // The source restarts without an entry that the follower holds, and never receives it again.
    sim.restart_source(0, 200);
    sim.publish_all(&entries(0..99, 10));
    sim.run(3000);
    let before = sim.followers[follower].counters()["comparisons"];
    sim.run(1_300_000);
    let after = sim.followers[follower].counters()["comparisons"];
    assert_eq!(
        after - before,
        2,
        "a resynchronization every ten minutes, not more often"
    );
}

/// A response has at most eight datagrams at a time.
#[test]
fn a_response_is_a_bounded_window_of_datagrams() {
    let mut sim = Simulation::new(26, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(500);
    sim.large_datagrams.clear();
    sim.run(8000);
    assert!(sim.same_content(follower, 0));
    let mut datagrams_by_time = std::collections::BTreeMap::<u64, usize>::new();
    for (at, _) in &sim.large_datagrams {
        *datagrams_by_time.entry(*at).or_default() += 1;
    }
    let largest = datagrams_by_time.values().max();
    assert_eq!(largest, Some(&8));
}

/// Entries are applied in any order, but the cursor advances only over complete ranges.
#[test]
fn reordered_and_lost_datagrams_leave_no_gap() {
    for seed in 270..275 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE, OTHER_ZONE]);
        (sim.loss, sim.jitter) = (0.2, 200);
        sim.publish_all(&entries(0..1500, 10));
        let follower = sim.add_follower(LOCAL_ZONE);
        sim.run(60_000);
        for round in 0..20 {
            sim.publish_all(&entries(round * 70..(round + 1) * 70, 11 + round));
            sim.run(700);
        }
        (sim.loss, sim.jitter) = (0.0, 2);
        sim.run(10_000);
        assert!(
            sim.same_content(follower, 0),
            "seed {seed}: {:?}",
            sim.followers[follower].status(sim.now)
        );
        assert_eq!(sim.version_regressions(), 0);
    }
}

/// Headers never exceed the space reserved for them.
#[test]
fn headers_fit_into_their_limit() {
    let max = u64::MAX;
    let bodies = [
        ResponseBody::Changes {
            after: max,
            up_to: max,
            last: true,
        },
        ResponseBody::Entries {
            from: max,
            next: Some(max),
            last: true,
        },
    ];
    for body in bodies {
        let response = messages::PollResponse {
            nonce: u32::MAX,
            data_age: Some(max),
            head: max,
            body,
        };
        assert!(messages::encode_response(&response).len() <= messages::MAX_HEADER);
    }
    let query = Query::LeafHashes {
        branches: max,
        salt: u32::MAX,
    };
    let request = messages::PollRequest {
        nonce: u32::MAX,
        is_primary: true,
        incarnation: max,
        sequence: max,
        root_hash: max,
        window: messages::MAX_WINDOW,
        query,
    };
    assert!(messages::encode_request(&request, &[]).len() <= messages::MAX_HEADER);
}
