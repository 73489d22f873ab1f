//! Sources that are disconnected or behind: the follower keeps its entries, and reports their age.

mod common;
use common::*;
use spanspur_distribution::Event;

#[test]
fn while_disconnected_entries_are_kept_and_their_age_grows() {
    let mut net = Net::new(41, &[HERE, NEAR]);
    net.publish_all(&entries(0..200, 10));
    let one = net.follow(HERE);
    net.run(4000);
    let root = net.followers[one].store().root_hash();
    let age = net.followers[one].data_age(net.now).expect("heard");
    assert!(age < 1200);
    net.cut.insert(follower_at(one));
    let (start, sent) = (net.now, net.sent[&follower_at(one)].1);
    net.run(3_600_000);
    let follower = &net.followers[one];
    assert_eq!(follower.store().root_hash(), root);
    let later = follower.data_age(net.now).expect("heard");
    assert!((3_600_000..3_601_500).contains(&later), "{later}");
    assert!(follower.status(net.now).disconnected);
    // Each source is tried again once in 5 to 7.5 s, no more.
    let tried = net.sent[&follower_at(one)].1 - sent;
    println!("{tried} datagrams in an hour of darkness");
    assert!(tried < 2 * 3600 / 5 + 20, "{tried}");
    net.cut.clear();
    let healed = net.now;
    while net.followers[one].status(net.now).disconnected && net.now < healed + 12_000 {
        net.run(50);
    }
    println!("light after {} ms", net.now - healed);
    assert!(net.now - healed < 8500);
    net.run(1500);
    assert!(net.followers[one].data_age(net.now).expect("heard") < 1600);
    let dark: Vec<bool> = (net.seen[one].events.iter())
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
    let mut net = Net::new(42, &[HERE, NEAR, FAR]);
    net.publish_all(&entries(0..200, 10));
    let one = net.follow(HERE);
    net.run(4000);
    let roles = |net: &Net| -> Vec<u8> {
        let sources = net.followers[one].status(net.now).sources;
        sources.iter().map(|source| source.role).collect()
    };
    assert_eq!(roles(&net), [1, 2, 0]);
    net.cut.insert(source_at(0));
    net.run(4000);
    assert_eq!(roles(&net), [0, 1, 2]);
    net.publish(1, &[entry(1, 11)]);
    net.run(1200);
    assert_eq!(net.seen[one].versions[&1], 11);
    net.cut.clear();
    net.run(8500);
    assert_eq!(roles(&net), [1, 2, 0]);
    // The one that stood in is told: it does not hold the follower for one in the dark.
    net.run(10_000);
    assert_eq!(net.sources[1].status(net.now).disconnected, 0);
    assert_eq!(net.sources[0].status(net.now).primary_followers, 1);
    let names: Vec<&Event> = net.seen[one].events.iter().map(|(_, n)| n).collect();
    assert!(names.contains(&&Event::SourceDisconnected("control-0".into())));
    assert!(names.contains(&&Event::SourceReconnected("control-0".into())));
}

#[test]
fn of_two_sources_the_one_ahead_determines_changes_and_age() {
    let mut net = Net::new(43, &[HERE, NEAR]);
    net.publish_all(&entries(0..200, 10));
    let one = net.follow(HERE);
    net.run(4000);
    // The first hears no writer any more; it still answers.
    net.fresh.remove(&0);
    net.run(60_000);
    net.publish(1, &[entry(1, 11)]);
    net.run(1200);
    assert_eq!(net.seen[one].versions[&1], 11);
    let status = net.followers[one].status(net.now);
    assert!(status.sources[0].data_age.expect("heard") >= 60_000);
    assert!(net.followers[one].data_age(net.now).expect("heard") < 1200);
    // Only the one behind is left: the age goes on from what the other last gave.
    net.cut.insert(source_at(1));
    let cut = net.now;
    net.run(30_000);
    let age = net.followers[one].data_age(net.now).expect("heard");
    let span = net.now - cut;
    assert!((span..span + 1200).contains(&age), "{age} after {span}");
}

/// A source that has not heard from a writer sends what it has, but it counts neither as complete nor as of any age.
#[test]
fn a_source_that_heard_no_writer_synchronizes_no_follower() {
    let mut net = Net::new(44, &[HERE]);
    net.fresh.clear();
    let all = entries(0..100, 10);
    let now = net.now;
    net.sources[0].publish(now, &all);
    let one = net.follow(HERE);
    net.run(5000);
    assert!(net.same(one, 0));
    assert!(!net.followers[one].is_synchronized());
    assert_eq!(net.followers[one].data_age(net.now), None);
    net.fresh.insert(0);
    net.run(1500);
    assert!(net.followers[one].is_synchronized());
}

/// Where responses come after the timeout, the timeout grows.
#[test]
fn a_latency_above_the_response_timeout_still_works() {
    let mut net = Net::new(45, &[HERE]);
    net.delay = 700;
    net.publish_all(&entries(0..300, 10));
    let one = net.follow(HERE);
    net.run(60_000);
    assert!(net.same(one, 0), "{:?}", net.followers[one].status(net.now));
    assert!(net.followers[one].data_age(net.now).expect("heard") < 5000);
}
