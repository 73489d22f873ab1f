//! The distribution at small sizes: random faults, injected bugs and the measurements in virtual time, and a run over
//! sockets.

use spanspur_fleet_rig::distribution::Violation;
use spanspur_fleet_rig::distribution::chaos;
use spanspur_fleet_rig::distribution::measure::{self, Failures};
use spanspur_fleet_rig::distribution::sockets::{self, SocketRunConfig};
use spanspur_fleet_rig::distribution::world::{CONTROLS, Fault, InjectedBug, Plan, World, key};
use std::time::Duration;

/// Number of followers in the runs: ten in each region.
const FOLLOWERS: usize = 60;

#[test]
fn twenty_fault_seeds_show_no_violation() {
    let outcomes = chaos::run_seeds(0..20, FOLLOWERS, 3);
    assert_eq!(outcomes.len(), 20);
    for outcome in &outcomes {
        println!(
            "seed {}: {} faults, {} changes, {} checked entries",
            outcome.seed, outcome.faults, outcome.changes, outcome.checks
        );
        assert!(
            outcome.faults > 20 && outcome.changes > 100,
            "too few faults or changes"
        );
    }
    let unsound: Vec<_> = outcomes.iter().filter(|outcome| !outcome.sound()).collect();
    for outcome in &unsound {
        println!("seed {}: {:?}", outcome.seed, outcome.violations);
        outcome
            .descriptions
            .iter()
            .take(10)
            .for_each(|text| println!("  {text}"));
    }
    assert!(unsound.is_empty(), "seeds with violations are listed above");
}

#[test]
fn same_seed_gives_the_same_run() {
    let (a, b) = (
        chaos::run_seed(3, 30, InjectedBug::None),
        chaos::run_seed(3, 30, InjectedBug::None),
    );
    assert_eq!((a.checks, &a.counted), (b.checks, &b.counted));
    assert_eq!(a.descriptions, b.descriptions);
}

#[test]
fn forged_datagrams_are_rejected_for_each_reason() {
    let outcomes = chaos::run_seeds(0..3, FOLLOWERS, 3);
    let counted = |what: &str| -> u64 {
        let of = outcomes.iter().filter_map(|o| o.counted.get(what));
        of.sum()
    };
    for what in ["forged", "replay", "other-run", "size"] {
        assert!(counted(what) > 0, "no datagram was counted as {what}");
    }
}

#[test]
fn follower_accepting_older_versions_is_detected() {
    let outcome = chaos::run_seed(1, FOLLOWERS, InjectedBug::AcceptsOlderVersions);
    println!("seed 1: {:?}", outcome.violations);
    assert!(
        outcome.violations.contains_key(&Violation::Back),
        "a lower version was not detected"
    );
    assert!(
        outcome.violations.contains_key(&Violation::Returned),
        "a removed entry that came back was not detected"
    );
}

#[test]
fn sources_dropping_changes_are_detected() {
    let outcome = chaos::run_seed(1, FOLLOWERS, InjectedBug::DropsChanges(10));
    println!("seed 1: {:?}", outcome.violations);
    assert!(
        outcome.violations.contains_key(&Violation::Lost),
        "a lost entry was not detected"
    );
}

#[test]
fn follower_corrupting_entries_is_detected() {
    let outcome = chaos::run_seed(1, FOLLOWERS, InjectedBug::CorruptsEntries(50));
    println!("seed 1: {:?}", outcome.violations);
    assert!(
        outcome.violations.contains_key(&Violation::Invented),
        "an entry that was never written was not detected"
    );
}

#[test]
fn burst_with_packet_loss_propagates_within_bounds() {
    let delay = measure::measure_delay("5% loss", FOLLOWERS, 0.05, Failures::None, 2, 1);
    println!("seed 1: {delay:?}");
    assert_eq!(delay.missing, 0, "not in effect everywhere");
    assert!(
        delay.each.count as usize >= 100 * FOLLOWERS,
        "too few changes took effect"
    );
    assert!(delay.each.p99 <= 3000, "p99 of the delay exceeds 3 s");
    assert!(delay.each.last <= 12_000, "a delay exceeds 12 s");
}

#[test]
fn two_crashed_control_instances_keep_delays_within_bounds() {
    let delay = measure::measure_delay(
        "5% loss, two dead",
        FOLLOWERS,
        0.05,
        Failures::BeforeChanges([2, 8]),
        2,
        1,
    );
    println!("seed 1: {delay:?}");
    assert_eq!(delay.missing, 0, "not in effect everywhere");
    assert!(delay.each.p99 <= 3000, "p99 of the delay exceeds 3 s");
    assert!(delay.each.last <= 12_000, "a delay exceeds 12 s");
}

#[test]
fn writer_crash_in_a_burst_delays_no_longer_than_the_takeover() {
    let delay = measure::measure_delay(
        "writer dies",
        FOLLOWERS,
        0.05,
        Failures::WriterInBurst,
        2,
        1,
    );
    println!("seed 1: {delay:?}");
    assert_eq!(delay.missing, 0, "not in effect everywhere");
    assert!(delay.each.last <= 12_000, "a delay exceeds 12 s");
}

#[test]
fn region_after_a_cut_receives_little_more_than_the_changes() {
    let [few, many] = [60, 240].map(|changes| {
        let cut = measure::measure_cut("ten minutes", FOLLOWERS, 5000, 600, changes, false, 1);
        println!("seed 1: {cut:?}");
        assert_eq!(cut.missing, 0, "not in effect after the cut");
        assert!(cut.each.last <= 12_000, "too late after the cut");
        assert!(cut.age >= 590_000, "the reported data age is too low");
        cut
    });
    // Changes are sent by up to three sources: the two of a follower, and one that replaced one of these.
    let bytes_per_changed_byte = (many.bytes - few.bytes) / (many.changed - few.changed);
    assert!(
        (0.5..5.0).contains(&bytes_per_changed_byte),
        "not in proportion to the changed bytes: {bytes_per_changed_byte}"
    );
    // In addition a follower compares with one source, whatever the number of changes: at most 64 branches of 64
    // hashes.
    let fixed_bytes = (few.bytes - bytes_per_changed_byte * few.changed) / few.followers as f64;
    assert!(
        fixed_bytes < 20_000.0,
        "too many bytes that do not depend on the changes: {fixed_bytes}"
    );
    assert!(
        many.bytes < many.all / 4.0,
        "as much as a transfer of all entries"
    );
}

#[test]
fn simultaneous_start_stays_within_the_rate_limit() {
    let start = measure::measure_simultaneous_start(120, 630, None, 1);
    println!("seed 1: {start:?}");
    assert_eq!(start.missing, 0, "not all synchronized");
    assert!(
        start.pieces <= start.budget.1,
        "above the limit of the rate limiter"
    );
    assert!(
        start.until_full.last <= 30_000,
        "not synchronized within 30 s"
    );
}

#[test]
fn frozen_or_restarted_control_instance_restores_no_old_entries() {
    let plan = Plan {
        followers: FOLLOWERS,
        check_all_entries: true,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    world.start_followers(20_000, 1000);
    world.run_until(40_000);
    // Not the writer, whose failure is covered by another test.
    let writer = world.writer().expect("a writer");
    let others: Vec<usize> = (0..CONTROLS).filter(|i| *i != writer).collect();
    world.at(40_000, Fault::Freeze(others[0]));
    world.at(40_000, Fault::Kill(others[1]));
    for n in 0..20 {
        let fault = match n % 2 {
            0 => Fault::Set(key(n)),
            _ => Fault::Remove(key(n)),
        };
        world.at(41_000 + 200 * n as u64, fault);
    }
    world.at(60_000, Fault::Thaw(others[0]));
    world.at(60_000, Fault::Start(others[1]));
    world.run_until(100_000);
    world.final_check();
    println!(
        "seed 7: {:?} {:?}",
        world.checker.violations, world.checker.descriptions
    );
    assert!(world.checker.sound());
    let changed_followers = world.checker.changes.iter().map(|c| c.effective_at.len());
    assert_eq!(changed_followers.sum::<usize>(), 20 * FOLLOWERS);
}

#[test]
fn idle_cost_of_a_balancer_is_low_and_independent_of_fleet_size() {
    let (few, many) = (
        measure::measure_cost(30, 150, 20, 1),
        measure::measure_cost(120, 150, 20, 1),
    );
    println!("seed 1: {few:?}\n{many:?}");
    assert_eq!((few.full, many.full), (30, 120), "not all synchronized");
    assert!(
        many.follow_most.bytes < 4096.0,
        "a balancer uses 4,096 B/s or more"
    );
    let ratio = many.follow.bytes / few.follow.bytes;
    assert!(
        (0.9..1.1).contains(&ratio),
        "the cost depends on the number of balancers: {ratio}"
    );
}

#[test]
fn followers_synchronize_and_receive_changes_over_sockets() {
    let run = sockets::run(SocketRunConfig {
        followers: 30,
        entries: 150,
        changes: 2,
        idle_time: Duration::from_secs(1),
    });
    println!("{run:?}");
    let run = run.expect("the run over sockets");
    assert!(run.until_full.is_some(), "not all synchronized in time");
    assert_eq!(
        (run.full, run.until_all.count),
        (30, 30),
        "not all synchronized"
    );
    assert_eq!(run.missing, 0, "a change is not in effect everywhere");
    assert_eq!(
        run.everywhere.count, 2,
        "a change is not in effect everywhere"
    );
    assert!(run.follow.datagrams > 0.0 && run.control.datagrams > 0.0);
}
