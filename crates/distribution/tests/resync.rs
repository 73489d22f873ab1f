//! What is transferred is what is new: with a valid cursor, in a resynchronization, and nothing between equal contents.

mod common;
use common::*;
use rand::seq::SliceRandom;
use spanspur_distribution::messages::{self, Query, ResponseBody};

/// Bytes that both sides sent, as sealed datagrams.
fn bytes(net: &Net) -> u64 {
    net.sent.values().map(|sent| sent.0).sum()
}

#[test]
fn with_an_equal_root_hash_the_head_of_a_new_incarnation_is_adopted_without_resync() {
    let mut net = Net::new(21, &[HERE, NEAR]);
    net.publish_all(&entries(0..5000, 10));
    let one = net.follow(HERE);
    net.run(8000);
    assert!(net.same(one, 0));
    let before = net.followers[one].counters();
    let start = bytes(&net);
    net.restart_source(0, 200);
    net.publish(0, &entries(0..5000, 10));
    net.run(3000);
    let after = net.followers[one].counters();
    assert_eq!(after.get("comparisons"), before.get("comparisons"));
    assert_eq!(after.get("walks"), before.get("walks"));
    // The new run is heard of by a greeting or two; nothing else is larger than a regular ask.
    let spent = bytes(&net) - start;
    println!("{spent} bytes in 3 s with a restart of a source that holds the same");
    assert!(spent < 2500, "{spent}");
    // The cursor holds: a change comes as a change.
    net.publish(0, &[entry(1, 11)]);
    net.run(1100);
    assert!(net.same(one, 0));
    let last = net.followers[one].counters();
    assert_eq!(last.get("comparisons"), before.get("comparisons"));
}

/// 240 of 5,000 entries change while a follower is cut off, and the sources' change logs are gone when it is back.
#[test]
fn with_an_expired_cursor_only_differing_entries_are_transferred() {
    let mut net = Net::new(22, &[HERE, NEAR]);
    net.limits.change_log_capacity = 100;
    for i in 0..2 {
        net.restart_source(i, 150);
    }
    net.publish_all(&entries(0..5000, 10));
    let one = net.follow(HERE);
    let start = bytes(&net);
    net.run(8000);
    assert!(net.same(one, 0));
    let all = bytes(&net) - start;
    net.cut.insert(follower_at(one));
    let mut keys: Vec<u64> = (0..5000).collect();
    keys.shuffle(&mut net.rng);
    let changed: Vec<_> = keys[..240].iter().map(|key| entry(*key, 11)).collect();
    for change in &changed {
        net.publish_all(std::slice::from_ref(change));
        net.run(15_000);
    }
    net.cut.clear();
    let (start, healed) = (bytes(&net), net.now);
    while !net.same(one, 0) && net.now < healed + 12_000 {
        net.run(100);
    }
    let took = net.now - healed;
    assert!(net.same(one, 0), "not within 12 s");
    net.run(3000);
    let spent = bytes(&net) - start;
    let wanted: usize = changed.iter().map(messages::entry_row_size).sum();
    println!(
        "{took} ms, {spent} bytes for 240 rows of {wanted} bytes, {all} for all 5,000 at first"
    );
    assert_eq!(net.followers[one].counters()["comparisons"], 1);
    assert!(spent < 100_000, "{spent}");
    assert!(spent * 5 < all);
}

/// The same with the change logs retained: rows, and hardly anything else.
#[test]
fn with_a_valid_cursor_only_changes_are_transferred() {
    let mut net = Net::new(23, &[HERE, NEAR]);
    net.publish_all(&entries(0..5000, 10));
    let one = net.follow(HERE);
    net.run(8000);
    let before = net.followers[one].counters();
    net.cut.insert(follower_at(one));
    // The same keys change again and again: the last version travels, once.
    for version in 11..15 {
        net.publish_all(&entries(0..60, version));
    }
    net.run(60_000);
    net.cut.clear();
    let start = bytes(&net);
    net.run(9000);
    assert!(net.same(one, 0));
    let spent = bytes(&net) - start;
    println!("{spent} bytes for 60 rows and 9 s");
    assert_eq!(
        net.followers[one].counters().get("comparisons"),
        before.get("comparisons")
    );
    assert!(spent < 60 * 120 + 9 * 500, "{spent}");
}

/// A source that holds less than the follower has nothing to transfer, and is not polled again at once.
#[test]
fn a_source_that_holds_less_transfers_nothing() {
    let mut net = Net::new(24, &[HERE, NEAR]);
    net.publish_all(&entries(0..1000, 10));
    let one = net.follow(HERE);
    net.run(5000);
    net.restart_source(0, 200);
    net.publish(0, &entries(0..400, 10));
    net.run(5000);
    let counters = net.followers[one].counters();
    assert_eq!(counters["comparisons"], 1);
    assert_eq!(
        counters.get("not-newer"),
        None,
        "no row that was held travelled"
    );
    let start = bytes(&net);
    net.run(10_000);
    let spent = bytes(&net) - start;
    assert!(spent < 10 * 500, "{spent}");
}

/// A missing entry with a cursor at the head is found by the check of the contents.
#[test]
fn a_lasting_divergence_at_the_head_is_resynchronized() {
    let mut net = Net::new(25, &[HERE]);
    net.publish_all(&entries(0..100, 10));
    let one = net.follow(HERE);
    net.run(3000);
    // The follower is given an entry by a source that is then gone for good: the source here never has it.
    net.restart_source(0, 200);
    net.publish_all(&entries(0..99, 10));
    net.run(3000);
    let before = net.followers[one].counters()["comparisons"];
    net.run(1_300_000);
    let after = net.followers[one].counters()["comparisons"];
    assert_eq!(after - before, 2, "every ten minutes, no more often");
}

/// Responses are of at most eight datagrams at a time.
#[test]
fn a_response_is_a_bounded_window_of_datagrams() {
    let mut net = Net::new(26, &[HERE]);
    net.publish_all(&entries(0..5000, 10));
    let one = net.follow(HERE);
    net.run(500);
    net.pieces.clear();
    net.run(8000);
    assert!(net.same(one, 0));
    let mut at_once = std::collections::BTreeMap::<u64, usize>::new();
    for (at, _) in &net.pieces {
        *at_once.entry(*at).or_default() += 1;
    }
    let most = at_once.values().max();
    assert_eq!(most, Some(&8));
}

/// Entries are applied in any order, and the cursor advances only over complete ranges.
#[test]
fn reordered_and_lost_datagrams_leave_no_gap() {
    for seed in 270..275 {
        let mut net = Net::new(seed, &[HERE, NEAR]);
        (net.loss, net.jitter) = (0.2, 200);
        net.publish_all(&entries(0..1500, 10));
        let one = net.follow(HERE);
        net.run(60_000);
        for round in 0..20 {
            net.publish_all(&entries(round * 70..(round + 1) * 70, 11 + round));
            net.run(700);
        }
        (net.loss, net.jitter) = (0.0, 2);
        net.run(10_000);
        assert!(
            net.same(one, 0),
            "seed {seed}: {:?}",
            net.followers[one].status(net.now)
        );
        assert_eq!(net.backwards(), 0);
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
