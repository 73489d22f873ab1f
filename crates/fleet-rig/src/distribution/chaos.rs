//! Runs with random faults drawn from a seed: crashes, restarts without state, freezes, cuts between arbitrary sets of
//! instances (also one-way), lost, duplicated, delayed and forged datagrams. All faults end before the final check,
//! with time for recovery.

use super::checker::Violation;
use super::world::{CONTROLS, Fault, InjectedBug, Plan, REGIONS, World, key};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use spanspur_leases::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Start of the followers, in ms; by then the control instances have formed a cluster and written the first rows.
const FOLLOWERS_START: Millis = 15_000;
/// Span in which faults are generated, in ms. The last one begins up to 4 s after its end.
const FAULT_SPAN: (Millis, Millis) = (20_000, 170_000);
/// Time at which all faults end, in ms. The last change and the last forged datagram follow within a second.
const HEALED_AT: Millis = 175_000;
/// Time of the final check, in ms.
const CHECKED_AT: Millis = 265_000;
/// Largest number of control instances that are down, frozen or still recovering at the same time. A majority of the
/// nine voters stays unimpaired.
const MAX_IMPAIRED: usize = 4;
/// Time in which a control instance that restarted without state has received all entries again, in ms.
const RECOVERY_TIME: Millis = 30_000;

/// Result of [`run_seed`].
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
    /// Descriptions of the first violations.
    pub descriptions: Vec<String>,
    /// Number of scheduled fault events. The event that ends a fault is counted too.
    pub faults: usize,
    /// Number of changes of the list at discovery.
    pub changes: usize,
    /// Number of checked entries.
    pub checks: u64,
    /// Counters of all running sources and followers at the end of the run, added up.
    pub counted: BTreeMap<String, u64>,
}

impl Outcome {
    /// Whether there was no violation.
    pub fn sound(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Runs a simulation with the faults and changes of one seed, and checks it after recovery.
pub fn run_seed(seed: u64, followers: usize, injected_bug: InjectedBug) -> Outcome {
    let plan = Plan {
        followers,
        injected_bug,
        check_all_entries: true,
        ..Plan::default()
    };
    let keys = plan.entries;
    let mut world = World::new(plan, seed);
    world.start_followers(FOLLOWERS_START, 5000);
    schedule_changes(&mut world, keys);
    let faults = generate_faults(&mut world);
    let fault_count = faults.len();
    for (at, fault) in faults {
        world.at(at, fault);
    }
    world.run_until(HEALED_AT);
    world.at(HEALED_AT, Fault::Heal);
    world.at(HEALED_AT, Fault::Network(0.01, 0.01, 0.0));
    for i in 0..CONTROLS + followers {
        world.at(HEALED_AT, Fault::Thaw(i));
        world.at(HEALED_AT, Fault::Start(i));
    }
    world.run_until(CHECKED_AT);
    world.final_check();
    let all = 0..CONTROLS + followers;
    Outcome {
        seed,
        violations: world.checker.violations.clone(),
        descriptions: world.checker.descriptions.clone(),
        faults: fault_count,
        changes: world.checker.changes.len(),
        checks: world.checker.checks,
        counted: world.counters(all),
    }
}

/// Schedules changed, removed, restored and new rows; ten rows change most often.
fn schedule_changes(world: &mut World, keys: usize) {
    let mut at = FAULT_SPAN.0;
    let mut new = keys;
    while at < HEALED_AT {
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

fn random_subset(random: &mut ChaCha8Rng, all: usize) -> Vec<usize> {
    let share = random.random_range(0.1..0.7);
    (0..all).filter(|_| random.random_bool(share)).collect()
}

fn generate_faults(world: &mut World) -> Vec<(Millis, Fault)> {
    let all = CONTROLS + world.plan.followers;
    let splits: Vec<_> = (0..REGIONS as u32).map(|r| world.split_region(r)).collect();
    let seed = world.random().next_u64();
    let random = &mut <ChaCha8Rng as rand::SeedableRng>::seed_from_u64(seed);
    let mut faults = Vec::new();
    // The times until which each control instance is impaired and each process is down or frozen.
    let mut impaired_until = [0; CONTROLS];
    let mut busy_until = vec![0; all];
    let mut at = FAULT_SPAN.0;
    while at < FAULT_SPAN.1 {
        at += random.random_range(500..4000);
        let span = random.random_range(500..20_000);
        let end = (at + span).min(FAULT_SPAN.1 + 4000);
        match random.random_range(0..12) {
            what @ 0..6 => {
                let control = what < 4;
                let i = match control {
                    true => random.random_range(0..CONTROLS),
                    false => random.random_range(CONTROLS..all),
                };
                let freeze = random.random_bool(0.5);
                if busy_until[i] > at {
                    continue;
                }
                if control {
                    let others = impaired_until.iter().filter(|until| **until > at).count();
                    if others >= MAX_IMPAIRED {
                        continue;
                    }
                    impaired_until[i] = end + if freeze { 0 } else { RECOVERY_TIME };
                }
                busy_until[i] = end + 1;
                let (first, then) = match freeze {
                    true => (Fault::Freeze(i), Fault::Thaw(i)),
                    false => (Fault::Kill(i), Fault::Start(i)),
                };
                faults.extend([(at, first), (end, then)]);
            }
            6 => {
                // All followers of a region restart at once.
                let region = &splits[random.random_range(0..REGIONS)].0;
                let region_followers = region.iter().copied().filter(|i| *i >= CONTROLS);
                for i in region_followers
                    .filter(|i| busy_until[*i] <= at)
                    .collect::<Vec<_>>()
                {
                    busy_until[i] = at + 101;
                    faults.extend([(at, Fault::Kill(i)), (at + 100, Fault::Start(i))]);
                }
            }
            7 | 8 => {
                let (a, b) = match random.random_range(0..3) {
                    0 => splits[random.random_range(0..REGIONS)].clone(),
                    1 => (random_subset(random, all), random_subset(random, all)),
                    _ => {
                        let a: BTreeSet<usize> = random_subset(random, all).into_iter().collect();
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

/// Runs a range of seeds on `jobs` threads; returns the results in order of the seeds. Panics if a run panics.
pub fn run_seeds(seeds: std::ops::Range<u64>, followers: usize, jobs: usize) -> Vec<Outcome> {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let work = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= seeds.end {
                return outcomes;
            }
            outcomes.push(run_seed(seed, followers, InjectedBug::None));
        }
    };
    let mut all: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined
            .flat_map(|outcomes| outcomes.expect("a run panicked"))
            .collect()
    });
    all.sort_by_key(|outcome| outcome.seed);
    all
}
