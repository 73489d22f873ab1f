//! Clusters of real nodes in virtual time. Each test prints its seed; the same seed plays the same again.

use rand::RngExt;
use spanspur_fleet_rig::{Fault, Plan, Verdict, World};

/// From here on every duty has been done once, whatever the instances abstained for.
fn settled(plan: &Plan) -> u64 {
    3 * plan.every + plan.skew + 4000
}

fn judged(world: &World, until: u64) -> Verdict {
    let plan = &world.plan;
    world
        .judge
        .verdict(&world.duty_ids(), plan.every, settled(plan), until)
}

fn sound(world: &World, seed: u64, until: u64) -> Verdict {
    let verdict = judged(world, until);
    println!(
        "seed {seed}: {} acts, {} fenced, longest {:.2}, closest {:.2}, {} single misses",
        verdict.acts, verdict.fenced, verdict.longest, verdict.closest, verdict.missed_one
    );
    assert!(
        verdict.twice.is_empty(),
        "seed {seed}: {:?}",
        verdict.twice.first()
    );
    assert!(
        verdict.gaps.is_empty(),
        "seed {seed}: {} gaps: {:?}",
        verdict.gaps.len(),
        verdict.gaps
    );
    verdict
}

#[test]
fn a_quiet_cluster_does_each_duty_once_a_period() {
    let plan = Plan {
        loss: 0.0,
        ..Plan::default()
    };
    let mut world = World::new(plan, 1);
    world.run_until(100_000);
    let verdict = sound(&world, 1, 100_000);
    assert!(
        verdict.longest < 1.15 && verdict.closest > 0.85,
        "{verdict:?}"
    );
    assert_eq!(verdict.missed_one, 0);
}

/// Faults one after the other, with time to settle in between, so that both promises have to hold strictly.
#[test]
fn kills_freezes_cuts_and_leavings_one_after_the_other() {
    for seed in 0..12 {
        let plan = Plan::default();
        let every = plan.every;
        let rest = 5 * every + plan.skew;
        let mut world = World::new(plan, seed);
        let mut at = settled(&world.plan);
        for _ in 0..6 {
            let who = world.random().random_range(0..5);
            let after = world.random().random_range(0..every);
            let from = at + after;
            let others: Vec<usize> = (0..5).filter(|i| *i != who).collect();
            let kind = world.random().random_range(0..6);
            println!("seed {seed}: fault {kind} to {who} at {from} ms");
            match kind {
                0 => {
                    world.at(from, Fault::Kill(who));
                    world.at(from + rest, Fault::Start(who));
                }
                1 => {
                    // Two, 50 ms apart.
                    let second = (who + 1) % 5;
                    world.at(from, Fault::Kill(who));
                    world.at(from + 50, Fault::Kill(second));
                    world.at(from + rest, Fault::Start(who));
                    world.at(from + rest, Fault::Start(second));
                }
                2 => {
                    world.at(from, Fault::Freeze(who));
                    world.at(from + 3 * every, Fault::Thaw(who));
                }
                3 => {
                    let minority = vec![who, (who + 1) % 5];
                    let rest: Vec<usize> = (0..5).filter(|i| !minority.contains(i)).collect();
                    world.at(from, Fault::Cut(minority.clone(), rest.clone()));
                    world.at(from, Fault::Cut(rest, minority));
                    world.at(from + 4 * every, Fault::Heal);
                }
                // It hears nobody, and all hear it.
                4 => {
                    world.at(from, Fault::Cut(others, vec![who]));
                    world.at(from + 4 * every, Fault::Heal);
                }
                _ => {
                    world.at(from, Fault::Leave(who));
                    world.at(from + 2 * every, Fault::Start(who));
                }
            }
            at = from + rest + rest;
        }
        world.run_until(at);
        sound(&world, seed, at);
    }
}

/// Everything at once, also what no cluster can bear: nothing is done twice, whatever is missed.
#[test]
fn in_chaos_nothing_is_done_twice() {
    let mut acts = 0;
    for seed in 100..112 {
        let plan = Plan {
            loss: 0.05,
            twice: 0.05,
            delay: 300,
            act: 2000,
            skew: 10_000,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        let end = 400_000;
        let mut at = 5_000;
        while at < end {
            let random = world.random();
            let (who, gap) = (random.random_range(0..5), random.random_range(0..3_000));
            let (first, kind) = (random.random_range(0..5), random.random_range(0..9));
            let jump = random.random_range(-5_000..5_000);
            let known = random.random_range(0..40);
            world.at(
                at,
                match kind {
                    0 => Fault::Kill(who),
                    1 | 2 => Fault::Start(who),
                    3 => Fault::Freeze(who),
                    4 => Fault::Thaw(who),
                    5 => Fault::Cut(vec![first], vec![who]),
                    6 => Fault::Heal,
                    7 => Fault::Jump(who, jump),
                    _ => Fault::Duties(who, known),
                },
            );
            world.at(at, Fault::Forge(who));
            at += gap;
        }
        world.run_until(end);
        let verdict = judged(&world, end);
        println!(
            "seed {seed}: {} acts, {} fenced",
            verdict.acts, verdict.fenced
        );
        let same = verdict.twice.iter().find(|what| what.contains("instance"));
        assert!(same.is_none(), "seed {seed}: {same:?}");
        acts += verdict.acts;
    }
    assert!(acts > 4000, "{acts} acts in all: too few to show anything");
}

#[test]
fn the_judge_sees_it_where_votes_are_left_out() {
    let plan = Plan {
        without_votes: true,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    // Without a majority both sides of a cut act.
    world.at(30_000, Fault::Cut(vec![0, 1], vec![2, 3, 4]));
    world.at(30_000, Fault::Cut(vec![2, 3, 4], vec![0, 1]));
    world.run_until(60_000);
    assert!(!judged(&world, 60_000).twice.is_empty());
}

#[test]
fn three_of_five_gone_nothing_is_done_and_all_resumes_when_one_returns() {
    let plan = Plan::default();
    let (every, skew) = (plan.every, plan.skew);
    let mut world = World::new(plan, 3);
    let gone = 40_000;
    for (n, who) in [0, 2, 4].into_iter().enumerate() {
        world.at(gone + 50 * n as u64, Fault::Kill(who));
    }
    let back = gone + 8 * every;
    world.at(back, Fault::Start(2));
    let end = back + 12 * every;
    // A period won before may still be carried out; from then on until one is back and votes again, none.
    world.judge.excused.push((gone, back + 3 * every + skew));
    world.run_until(back);
    let before = judged(&world, back).acts;
    world.run_until(back + every);
    assert_eq!(
        judged(&world, back + every).acts,
        before,
        "done in a minority"
    );
    let said = [1, 3].iter().filter(|i| {
        let node = world.node(**i).expect("runs");
        let now = world.clocks(**i);
        node.status(now)
            .iter()
            .any(|(_, status)| status.is_quorum_lost)
    });
    assert_eq!(said.count(), 2, "a minority says so");
    world.run_until(end);
    let verdict = sound(&world, 3, end);
    assert!(
        verdict.acts > before + 200,
        "resumes: {} after {before}",
        verdict.acts
    );
    let missed = [1, 2, 3].iter().map(|i| {
        let node = world.node(*i).expect("runs");
        let now = world.clocks(*i);
        node.status(now)
            .iter()
            .map(|(_, status)| status.missed)
            .sum::<u64>()
    });
    assert!(missed.sum::<u64>() >= 40 * 5, "what was missed is reported");
}

#[test]
fn clocks_ten_seconds_apart_and_one_that_jumps_change_nothing() {
    for seed in 20..24 {
        let plan = Plan {
            skew: 10_000,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        world.at(40_000, Fault::Jump(1, 3_600_000));
        world.at(60_000, Fault::Jump(1, -7_200_000));
        world.at(70_000, Fault::Kill(0));
        world.at(75_000, Fault::Start(0));
        world.run_until(140_000);
        sound(&world, seed, 140_000);
    }
}

#[test]
fn a_restart_within_a_period_under_the_same_name() {
    for seed in 30..36 {
        let mut world = World::new(Plan::default(), seed);
        let at = 30_000 + world.random().random_range(0..4000);
        world.at(at, Fault::Kill(1));
        world.at(at + 200, Fault::Start(1));
        world.run_until(90_000);
        sound(&world, seed, 90_000);
    }
}

#[test]
fn a_rolling_restart_of_all() {
    for seed in 40..44 {
        let mut world = World::new(Plan::default(), seed);
        for who in 0..5 {
            let at = 30_000 + 10_000 * who as u64;
            world.at(at, Fault::Leave(who));
            world.at(at + 1_000, Fault::Start(who));
        }
        world.run_until(120_000);
        sound(&world, seed, 120_000);
    }
}

#[test]
fn duties_that_come_and_go_at_one_instance_before_the_others() {
    for seed in 50..54 {
        let mut world = World::new(Plan::default(), seed);
        // All know 30 at first, and one after the other learns of ten more; later ten go in the same way.
        for who in 0..5 {
            world.at(0, Fault::Duties(who, 30));
            world.at(20_000 + 6_000 * who as u64, Fault::Duties(who, 40));
        }
        let ids = world.duty_ids();
        world.run_until(100_000);
        let all = world.judge.verdict(&ids, 4000, 52_000, 100_000);
        assert!(all.sound(), "seed {seed}: {:?} {:?}", all.twice, all.gaps);
        for who in 0..5 {
            world.at(100_000 + 6_000 * who as u64, Fault::Duties(who, 30));
        }
        world.run_until(170_000);
        let kept = world.judge.verdict(&ids[..30], 4000, 52_000, 170_000);
        assert!(
            kept.sound(),
            "seed {seed}: {:?} {:?}",
            kept.twice,
            kept.gaps
        );
        let gone = world.judge.verdict(&ids[30..], 4000, 52_000, 170_000);
        assert!(gone.twice.is_empty(), "seed {seed}: {:?}", gone.twice);
    }
}

#[test]
fn frozen_between_looking_and_acting() {
    let mut fenced = 0;
    for seed in 60..72 {
        let plan = Plan {
            act: 1500,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        for n in 0..4 {
            let who = world.random().random_range(0..5);
            let at = 30_000 + 40_000 * n + world.random().random_range(0..4_000);
            world.at(at, Fault::Freeze(who));
            world.at(at + 12_000, Fault::Thaw(who));
        }
        world.run_until(190_000);
        fenced += sound(&world, seed, 190_000).fenced;
    }
    assert!(fenced > 0, "no freeze fell between looking and acting");
}

#[test]
fn the_same_seed_plays_the_same() {
    let play = || {
        let mut world = World::new(Plan::default(), 9);
        world.at(20_000, Fault::Kill(3));
        world.run_until(40_000);
        let sent = world.sent.clone();
        (
            sent,
            serde_json::to_string(&judged(&world, 40_000)).expect("written"),
        )
    };
    assert_eq!(play(), play());
}
