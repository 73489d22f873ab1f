//! Faults drawn from a seed: kills, starts with nothing, freezes, cuts between any sets, also one-way, lost, doubled
//! and late datagrams, and forged ones; then all is healed, and judged once it is quiet.

use super::checker::Wrong;
use super::world::{CONTROLS, Fault, Plan, Planted, REGIONS, World, key};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use spanspur_leases::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The control instances find each other and the first rows are written.
const FIRST: Millis = 15_000;
/// Faults from here to there.
const FAULTS: (Millis, Millis) = (20_000, 170_000);
/// All is healed, and quiet from here on; judged then.
const HEALED: Millis = 175_000;
const JUDGED: Millis = 265_000;
/// Control instances that are down, frozen or have not yet heard all again, at once at most.
const MAX_WEAK: usize = 4;
/// One that started with nothing has heard all again by then.
const REFILLED: Millis = 30_000;

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Which.
    pub seed: u64,
    /// What was wrong, and how often.
    pub wrong: BTreeMap<Wrong, u64>,
    /// Of it, told.
    pub told: Vec<String>,
    /// Faults played, changes made, and entries looked at.
    pub faults: usize,
    /// See `faults`.
    pub changes: usize,
    /// See `faults`.
    pub looks: u64,
    /// What sources and followers counted.
    pub counted: BTreeMap<String, u64>,
}

impl Outcome {
    /// Whether nothing was wrong.
    pub fn sound(&self) -> bool {
        self.wrong.is_empty()
    }
}

/// Plays a seed.
pub fn play(seed: u64, followers: usize, planted: Planted) -> Outcome {
    let plan = Plan {
        followers,
        planted,
        scan: true,
        ..Plan::default()
    };
    let keys = plan.entries;
    let mut world = World::new(plan, seed);
    world.start_followers(FIRST, 5000);
    changes(&mut world, keys);
    let faults = script(&mut world);
    let count = faults.len();
    for (at, fault) in faults {
        world.at(at, fault);
    }
    world.run_until(HEALED);
    world.at(HEALED, Fault::Heal);
    world.at(HEALED, Fault::Network(0.01, 0.01, 0.0));
    for i in 0..CONTROLS + followers {
        world.at(HEALED, Fault::Thaw(i));
        world.at(HEALED, Fault::Start(i));
    }
    world.run_until(JUDGED);
    world.last_look();
    let all = 0..CONTROLS + followers;
    Outcome {
        seed,
        wrong: world.checker.wrong.clone(),
        told: world.checker.told.clone(),
        faults: count,
        changes: world.checker.changes.len(),
        looks: world.checker.looks,
        counted: world.counters(all),
    }
}

/// Rows change, go, come back and are new, a few of them again and again.
fn changes(world: &mut World, keys: usize) {
    let mut at = FAULTS.0;
    let mut new = keys;
    while at < HEALED {
        at += world.random().random_range(50..900);
        let hot = world.random().random_range(0..10);
        let any = world.random().random_range(0..keys);
        let fault = match world.random().random_range(0..10) {
            0..4 => Fault::Set(key(hot)),
            4..6 => Fault::Set(key(any)),
            6 => Fault::Remove(key(hot)),
            7 => Fault::Remove(key(any)),
            _ => {
                new += 1;
                Fault::Set(key(new))
            }
        };
        world.at(at, fault);
    }
}

fn some(random: &mut ChaCha8Rng, all: usize) -> Vec<usize> {
    let share = random.random_range(0.1..0.7);
    (0..all).filter(|_| random.random_bool(share)).collect()
}

fn script(world: &mut World) -> Vec<(Millis, Fault)> {
    let all = CONTROLS + world.plan.followers;
    let splits: Vec<_> = (0..REGIONS as u32).map(|r| world.split(r)).collect();
    let seed = world.random().next_u64();
    let random = &mut <ChaCha8Rng as rand::SeedableRng>::seed_from_u64(seed);
    let mut faults = Vec::new();
    // Until when each control instance is weak, and each process is busy with a fault.
    let mut weak = [0; CONTROLS];
    let mut busy = vec![0; all];
    let mut at = FAULTS.0;
    while at < FAULTS.1 {
        at += random.random_range(500..4000);
        let span = random.random_range(500..20_000);
        let end = (at + span).min(FAULTS.1 + 4000);
        match random.random_range(0..12) {
            what @ 0..6 => {
                let control = what < 4;
                let i = match control {
                    true => random.random_range(0..CONTROLS),
                    false => random.random_range(CONTROLS..all),
                };
                let freeze = random.random_bool(0.5);
                if busy[i] > at {
                    continue;
                }
                if control {
                    let others = weak.iter().filter(|until| **until > at).count();
                    if others >= MAX_WEAK {
                        continue;
                    }
                    weak[i] = end + if freeze { 0 } else { REFILLED };
                }
                busy[i] = end + 1;
                let (first, then) = match freeze {
                    true => (Fault::Freeze(i), Fault::Thaw(i)),
                    false => (Fault::Kill(i), Fault::Start(i)),
                };
                faults.extend([(at, first), (end, then)]);
            }
            6 => {
                // Everybody of a region starts again at once.
                let region = &splits[random.random_range(0..REGIONS)].0;
                let of = region.iter().copied().filter(|i| *i >= CONTROLS);
                for i in of.filter(|i| busy[*i] <= at).collect::<Vec<_>>() {
                    busy[i] = at + 101;
                    faults.extend([(at, Fault::Kill(i)), (at + 100, Fault::Start(i))]);
                }
            }
            7 | 8 => {
                let (a, b) = match random.random_range(0..3) {
                    0 => splits[random.random_range(0..REGIONS)].clone(),
                    1 => (some(random, all), some(random, all)),
                    _ => {
                        let a: BTreeSet<usize> = some(random, all).into_iter().collect();
                        let b = (0..all).filter(|i| !a.contains(i)).collect();
                        (a.into_iter().collect(), b)
                    }
                };
                faults.push((at, Fault::Cut(a.clone(), b.clone())));
                if random.random_bool(0.6) {
                    faults.push((at, Fault::Cut(b, a)));
                }
                faults.push((end, Fault::Heal));
            }
            9 => {
                let network = match random.random_range(0..3) {
                    0 => Fault::Network(random.random_range(0.1..0.5), 0.01, 0.0),
                    1 => Fault::Network(0.01, random.random_range(0.1..0.5), 0.01),
                    _ => Fault::Network(0.02, 0.05, random.random_range(0.02..0.2)),
                };
                faults.push((at, network));
                faults.push((end, Fault::Network(0.01, 0.01, 0.001)));
            }
            _ => {
                for _ in 0..20 {
                    let i = match random.random_bool(0.5) {
                        true => random.random_range(0..CONTROLS),
                        false => random.random_range(0..all),
                    };
                    let after = random.random_range(0..2000);
                    faults.push((at + after, Fault::Forge(i)));
                }
            }
        }
    }
    faults
}

/// Plays many seeds on a few threads; tells what each came to.
pub fn many(seeds: std::ops::Range<u64>, followers: usize, jobs: usize) -> Vec<Outcome> {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let work = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= seeds.end {
                return outcomes;
            }
            outcomes.push(play(seed, followers, Planted::None));
        }
    };
    let mut all: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined.flat_map(|of| of.expect("a play ends")).collect()
    });
    all.sort_by_key(|outcome| outcome.seed);
    all
}
