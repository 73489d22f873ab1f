//! Initial synchronization: an empty follower receives all entries of its sources, and afterwards only changes.

mod common;
use common::*;

#[test]
fn an_empty_follower_gets_all_entries_and_then_each_change() {
    let mut sim = Simulation::new(1, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    let synchronized = &sim.followers[follower];
    println!("{:?}", synchronized.counters());
    println!("{:?}", sim.sources[0].counters());
    println!("{:?}", sim.sources[1].counters());
    assert!(
        sim.same_content(follower, 0),
        "{:?}",
        synchronized.status(sim.now)
    );
    assert!(synchronized.is_synchronized());
    assert!(synchronized.data_age(sim.now).expect("no data age") < 1100);
    sim.publish_all(&[entry(7, 11)]);
    sim.run(1100);
    assert!(sim.same_content(follower, 0));
    assert_eq!(sim.observations[follower].versions[&7], 11);
    assert_eq!(sim.version_regressions(), 0);
}
