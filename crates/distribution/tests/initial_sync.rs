//! What a source holds soon reaches its followers, in datagrams of bounded size, and afterwards only changes.

mod common;
use common::*;

#[test]
fn an_empty_follower_gets_all_entries_and_then_each_change() {
    let mut net = Net::new(1, &[HERE, NEAR]);
    net.publish_all(&entries(0..5000, 10));
    let one = net.follow(HERE);
    net.run(8000);
    let follower = &net.followers[one];
    println!("{:?}", follower.counters());
    println!("{:?}", net.sources[0].counters());
    println!("{:?}", net.sources[1].counters());
    assert!(net.same(one, 0), "{:?}", follower.status(net.now));
    assert!(follower.is_synchronized());
    assert!(follower.data_age(net.now).expect("heard") < 1100);
    net.publish_all(&[entry(7, 11)]);
    net.run(1100);
    assert!(net.same(one, 0));
    assert_eq!(net.seen[one].versions[&7], 11);
    assert_eq!(net.backwards(), 0);
}
