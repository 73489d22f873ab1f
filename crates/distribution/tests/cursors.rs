//! What travels is what is new: over a cursor, over a comparison, and nothing where both hold the same.

mod common;
use common::*;
use rand::seq::SliceRandom;
use spanspur_distribution::messages::{self, Query, ResponseBody};

/// Bytes that both ends sent, as sealed datagrams.
fn bytes(net: &Net) -> u64 {
    net.sent.values().map(|sent| sent.0).sum()
}

#[test]
fn a_cursor_of_another_run_with_an_equal_root_is_adopted_without_a_comparison() {
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

/// 240 of 5,000 entries change while a follower is cut off, and the sources' logs are gone when it is back.
#[test]
fn over_a_cursor_too_old_only_what_differs_travels() {
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

/// The same with the logs kept: rows, and hardly anything else.
#[test]
fn over_a_cursor_that_is_kept_changes_travel_alone() {
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

/// A source that holds less than the follower: compared, it has nothing to give, and nothing is asked again at once.
#[test]
fn a_source_that_holds_less_gives_nothing() {
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

/// What a comparison can't see, the later check does: a cursor at the head, and yet an entry is missing.
#[test]
fn a_lasting_difference_is_compared_after_a_while() {
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

/// Answers come in pieces that each hold in one datagram, no more than eight at a time.
#[test]
fn an_answer_is_a_bounded_window_of_whole_pieces() {
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

/// Entries are taken in any order, and the cursor goes on only over what has come whole.
#[test]
fn pieces_out_of_order_and_lost_leave_no_gap() {
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

/// Heads are never larger than what is set aside for them.
#[test]
fn heads_fit() {
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
