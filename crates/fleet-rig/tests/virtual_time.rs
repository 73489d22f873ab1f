//! Clusters of real nodes in virtual time. The same seed gives the same run.

use rand::RngExt;
use spanspur_fleet_rig::{CheckReport, Fault, Plan, World};

/// The time by which each lease's task has been carried out once, even though instances abstain after their start.
fn settled_at(plan: &Plan) -> u64 {
    3 * plan.interval + plan.max_skew + 4000
}

fn check(world: &World, until: u64) -> CheckReport {
    let plan = &world.plan;
    world
        .checker
        .check(&world.lease_ids(), plan.interval, settled_at(plan), until)
}

fn assert_passed(world: &World, seed: u64, until: u64) -> CheckReport {
    let report = check(world, until);
    println!(
        "seed {seed}: {} acts, {} fenced, longest {:.2}, closest {:.2}, {} single misses",
        report.acts, report.fenced, report.longest_gap, report.shortest_term, report.single_misses
    );
    assert!(
        report.duplicates.is_empty(),
        "seed {seed}: {:?}",
        report.duplicates.first()
    );
    assert!(
        report.gaps.is_empty(),
        "seed {seed}: {} gaps: {:?}",
        report.gaps.len(),
        report.gaps
    );
    report
}

#[test]
fn a_cluster_without_faults_acts_once_per_term() {
    let plan = Plan {
        loss: 0.0,
        ..Plan::default()
    };
    let mut world = World::new(plan, 1);
    world.run_until(100_000);
    let report = assert_passed(&world, 1, 100_000);
    assert!(
        report.longest_gap < 1.15 && report.shortest_term > 0.85,
        "{report:?}"
    );
    assert_eq!(report.single_misses, 0);
}

/// Faults one after the other, with time to recover in between, so that no term may be executed twice and no more than
/// one in a row may be missed.
#[test]
fn separate_kills_freezes_cuts_and_departures_cause_no_violation() {
    for seed in 0..12 {
        let plan = Plan::default();
        let interval = plan.interval;
        let recovery = 5 * interval + plan.max_skew;
        let mut world = World::new(plan, seed);
        let mut at = settled_at(&world.plan);
        for _ in 0..6 {
            let target = world.random().random_range(0..5);
            let after = world.random().random_range(0..interval);
            let from = at + after;
            let others: Vec<usize> = (0..5).filter(|i| *i != target).collect();
            let kind = world.random().random_range(0..6);
            println!("seed {seed}: fault {kind} to {target} at {from} ms");
            match kind {
                0 => {
                    world.inject(from, Fault::Kill(target));
                    world.inject(from + recovery, Fault::Start(target));
                }
                1 => {
                    // Two kills, 50 ms apart.
                    let second = (target + 1) % 5;
                    world.inject(from, Fault::Kill(target));
                    world.inject(from + 50, Fault::Kill(second));
                    world.inject(from + recovery, Fault::Start(target));
                    world.inject(from + recovery, Fault::Start(second));
                }
                2 => {
                    world.inject(from, Fault::Freeze(target));
                    world.inject(from + 3 * interval, Fault::Thaw(target));
                }
                3 => {
                    let minority = vec![target, (target + 1) % 5];
                    let rest: Vec<usize> = (0..5).filter(|i| !minority.contains(i)).collect();
                    world.inject(from, Fault::Cut(minority.clone(), rest.clone()));
                    world.inject(from, Fault::Cut(rest, minority));
                    world.inject(from + 4 * interval, Fault::Heal);
                }
                // A one-way cut: the instance receives nothing, and the others receive its datagrams.
                4 => {
                    world.inject(from, Fault::Cut(others, vec![target]));
                    world.inject(from + 4 * interval, Fault::Heal);
                }
                _ => {
                    world.inject(from, Fault::Leave(target));
                    world.inject(from + 2 * interval, Fault::Start(target));
                }
            }
            at = from + recovery + recovery;
        }
        world.run_until(at);
        assert_passed(&world, seed, at);
    }
}

/// Overlapping faults of all kinds, including those that no cluster can tolerate: terms may be missed, but none is
/// executed twice.
#[test]
fn concurrent_faults_cause_no_duplicate_execution() {
    let mut acts = 0;
    for seed in 100..112 {
        let plan = Plan {
            loss: 0.05,
            duplication: 0.05,
            max_delay: 300,
            max_act_delay: 2000,
            max_skew: 10_000,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        let end = 400_000;
        let mut at = 5_000;
        while at < end {
            let random = world.random();
            let (target, gap) = (random.random_range(0..5), random.random_range(0..3_000));
            let (sender, kind) = (random.random_range(0..5), random.random_range(0..9));
            let jump = random.random_range(-5_000..5_000);
            let lease_count = random.random_range(0..40);
            world.inject(
                at,
                match kind {
                    0 => Fault::Kill(target),
                    1 | 2 => Fault::Start(target),
                    3 => Fault::Freeze(target),
                    4 => Fault::Thaw(target),
                    5 => Fault::Cut(vec![sender], vec![target]),
                    6 => Fault::Heal,
                    7 => Fault::Jump(target, jump),
                    _ => Fault::Duties(target, lease_count),
                },
            );
            world.inject(at, Fault::Forge(target));
            at += gap;
        }
        world.run_until(end);
        let report = check(&world, end);
        println!(
            "seed {seed}: {} acts, {} fenced",
            report.acts, report.fenced
        );
        // The report also lists overlapping grants. Only the text for a term that was executed twice contains the word
        // "instance".
        let duplicate = report
            .duplicates
            .iter()
            .find(|violation| violation.contains("instance"));
        assert!(duplicate.is_none(), "seed {seed}: {duplicate:?}");
        acts += report.acts;
    }
    assert!(
        acts > 4000,
        "{acts} executions are too few to show anything"
    );
}

#[test]
fn the_checker_detects_duplicates_without_votes() {
    let plan = Plan {
        without_votes: true,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    // Without votes, both sides of a cut act.
    world.inject(30_000, Fault::Cut(vec![0, 1], vec![2, 3, 4]));
    world.inject(30_000, Fault::Cut(vec![2, 3, 4], vec![0, 1]));
    world.run_until(60_000);
    assert!(!check(&world, 60_000).duplicates.is_empty());
}

#[test]
fn without_a_quorum_nothing_is_executed_until_a_voter_returns() {
    let plan = Plan::default();
    let (interval, skew) = (plan.interval, plan.max_skew);
    let mut world = World::new(plan, 3);
    let killed_at = 40_000;
    for (n, target) in [0, 2, 4].into_iter().enumerate() {
        world.inject(killed_at + 50 * n as u64, Fault::Kill(target));
    }
    let restarted_at = killed_at + 8 * interval;
    world.inject(restarted_at, Fault::Start(2));
    let end = restarted_at + 12 * interval;
    // A term that was won before may still be executed. No other is, until an instance is back and votes again.
    world
        .checker
        .excused
        .push((killed_at, restarted_at + 3 * interval + skew));
    world.run_until(restarted_at);
    let before = check(&world, restarted_at).acts;
    world.run_until(restarted_at + interval);
    assert_eq!(
        check(&world, restarted_at + interval).acts,
        before,
        "a minority executed a term"
    );
    let reporting = [1, 3].iter().filter(|i| {
        let node = world.node(**i).expect("the instance runs");
        let now = world.clocks(**i);
        node.status(now)
            .iter()
            .any(|(_, status)| status.is_quorum_lost)
    });
    assert_eq!(reporting.count(), 2, "both report the lost quorum");
    world.run_until(end);
    let report = assert_passed(&world, 3, end);
    assert!(
        report.acts > before + 200,
        "execution did not resume: {} after {before}",
        report.acts
    );
    let missed = [1, 2, 3].iter().map(|i| {
        let node = world.node(*i).expect("the instance runs");
        let now = world.clocks(*i);
        node.status(now)
            .iter()
            .map(|(_, status)| status.missed)
            .sum::<u64>()
    });
    assert!(missed.sum::<u64>() >= 40 * 5, "missed terms are reported");
}

#[test]
fn skewed_and_jumping_wall_clocks_cause_no_violation() {
    for seed in 20..24 {
        let plan = Plan {
            max_skew: 10_000,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        world.inject(40_000, Fault::Jump(1, 3_600_000));
        world.inject(60_000, Fault::Jump(1, -7_200_000));
        world.inject(70_000, Fault::Kill(0));
        world.inject(75_000, Fault::Start(0));
        world.run_until(140_000);
        assert_passed(&world, seed, 140_000);
    }
}

#[test]
fn a_restart_within_a_term_causes_no_violation() {
    for seed in 30..36 {
        let mut world = World::new(Plan::default(), seed);
        let at = 30_000 + world.random().random_range(0..4000);
        world.inject(at, Fault::Kill(1));
        world.inject(at + 200, Fault::Start(1));
        world.run_until(90_000);
        assert_passed(&world, seed, 90_000);
    }
}

#[test]
fn a_rolling_restart_causes_no_violation() {
    for seed in 40..44 {
        let mut world = World::new(Plan::default(), seed);
        for target in 0..5 {
            let at = 30_000 + 10_000 * target as u64;
            world.inject(at, Fault::Leave(target));
            world.inject(at + 1_000, Fault::Start(target));
        }
        world.run_until(120_000);
        assert_passed(&world, seed, 120_000);
    }
}

#[test]
fn leases_added_and_removed_at_one_instance_after_another_cause_no_violation() {
    for seed in 50..54 {
        let mut world = World::new(Plan::default(), seed);
        // All instances start with 30 leases. One after the other adds ten, and later one after the other removes them.
        for target in 0..5 {
            world.inject(0, Fault::Duties(target, 30));
            world.inject(20_000 + 6_000 * target as u64, Fault::Duties(target, 40));
        }
        let ids = world.lease_ids();
        world.run_until(100_000);
        let added = world.checker.check(&ids, 4000, 52_000, 100_000);
        assert!(
            added.passed(),
            "seed {seed}: {:?} {:?}",
            added.duplicates,
            added.gaps
        );
        for target in 0..5 {
            world.inject(100_000 + 6_000 * target as u64, Fault::Duties(target, 30));
        }
        world.run_until(170_000);
        let kept = world.checker.check(&ids[..30], 4000, 52_000, 170_000);
        assert!(
            kept.passed(),
            "seed {seed}: {:?} {:?}",
            kept.duplicates,
            kept.gaps
        );
        let removed = world.checker.check(&ids[30..], 4000, 52_000, 170_000);
        assert!(
            removed.duplicates.is_empty(),
            "seed {seed}: {:?}",
            removed.duplicates
        );
    }
}

#[test]
fn a_freeze_between_checking_and_acting_is_fenced() {
    let mut fenced = 0;
    for seed in 60..72 {
        let plan = Plan {
            max_act_delay: 1500,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        for n in 0..4 {
            let target = world.random().random_range(0..5);
            let at = 30_000 + 40_000 * n + world.random().random_range(0..4_000);
            world.inject(at, Fault::Freeze(target));
            world.inject(at + 12_000, Fault::Thaw(target));
        }
        world.run_until(190_000);
        fenced += assert_passed(&world, seed, 190_000).fenced;
    }
    assert!(fenced > 0, "no freeze fell between checking and acting");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut world = World::new(Plan::default(), 9);
        world.inject(20_000, Fault::Kill(3));
        world.run_until(40_000);
        let sent = world.sent.clone();
        (
            sent,
            serde_json::to_string(&check(&world, 40_000)).expect("serializable"),
        )
    };
    assert_eq!(run(), run());
}
