//! What a source holds soon reaches its followers, in datagrams of bounded size, and afterwards only changes.

mod common;
use common::*;

#[test]
fn an_empty_follower_gets_all_entries_and_then_each_change() {
    let mut sim = Simulation::new(1, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    let follower = &sim.followers[one];
    println!("{:?}", follower.counters());
    println!("{:?}", sim.sources[0].counters());
    println!("{:?}", sim.sources[1].counters());
    assert!(sim.same_content(one, 0), "{:?}", follower.status(sim.now));
    assert!(follower.is_synchronized());
    assert!(follower.data_age(sim.now).expect("heard") < 1100);
    sim.publish_all(&[entry(7, 11)]);
    sim.run(1100);
    assert!(sim.same_content(one, 0));
    assert_eq!(sim.observations[one].versions[&7], 11);
    assert_eq!(sim.version_regressions(), 0);
}
