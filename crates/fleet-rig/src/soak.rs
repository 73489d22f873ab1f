//! Long runs: real processes under seeded sequences of faults, and large clusters in virtual time.

use crate::checker::CheckReport;
use crate::real::{
    Cluster, StubDiscovery, all_probed, find_violations, probe_duties, serving_entries,
    start_servers, wait_until,
};
use crate::world::{Fault, Plan, World};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The interval at which the real processes probe each server, and thereby that of the leases. It is the shortest that
/// the membership's default probe timing allows.
const INTERVAL: Duration = Duration::from_millis(2000);

/// Runs five real processes of the program under the faults of one seed, for `span`. Returns the violations that the
/// servers' own records show, and the number of probes. Panics if a step takes too long.
pub fn run_real(program: &str, seed: u64, span: Duration) -> (Vec<String>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let servers = start_servers(40);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(program, 5, discovery, &probe_duties(INTERVAL));
    wait_until("every server is probed", || all_probed(&servers));
    let from = Instant::now();
    while from.elapsed() < span {
        let target = random.random_range(0..5);
        let other = (target + random.random_range(1..5)) % 5;
        std::thread::sleep(Duration::from_millis(random.random_range(0..2000)));
        match random.random_range(0..5) {
            0 => {
                cluster.kill(target);
                std::thread::sleep(INTERVAL * 4);
                cluster.start(target);
            }
            1 => {
                cluster.kill(target);
                std::thread::sleep(Duration::from_millis(50));
                cluster.kill(other);
                std::thread::sleep(INTERVAL * 4);
                cluster.start(target);
                cluster.start(other);
            }
            2 => {
                cluster.signal(target, "-STOP");
                std::thread::sleep(INTERVAL * 3 + INTERVAL / 4);
                cluster.signal(target, "-CONT");
            }
            // A network partition: the two instances and the others reject each other's datagrams, because their keys
            // differ.
            3 => {
                let keys = cluster.keys.clone();
                cluster.keys = r#"["a key that the others lack"]"#.into();
                for i in [target, other] {
                    cluster.write_operator_config(i);
                    cluster.signal(i, "-HUP");
                }
                std::thread::sleep(INTERVAL * 4);
                cluster.keys = keys;
                for i in [target, other] {
                    cluster.write_operator_config(i);
                    cluster.signal(i, "-HUP");
                }
            }
            _ => {
                cluster.signal(target, "-TERM");
                cluster.wait_for_exit(target);
                std::thread::sleep(INTERVAL);
                cluster.start(target);
            }
        }
        // Votes that a restarted instance may have lost expire before the next fault.
        std::thread::sleep(INTERVAL * 4);
    }
    let violations = find_violations(&servers, INTERVAL, from, Instant::now());
    let probes = servers
        .iter()
        .map(|s| s.probes.lock().expect("lock not poisoned").len());
    (violations, probes.sum())
}

/// Runs many seeds against real processes, `jobs` at a time, and prints the result of each. Returns whether none showed
/// a violation.
pub fn run_many_real(program: &str, seeds: Range<u64>, span: Duration, jobs: usize) -> bool {
    let next = AtomicU64::new(seeds.start);
    let failed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let (violations, probes) = run_real(program, seed, span);
                    println!("seed {seed}: {probes} acts, {} faults", violations.len());
                    for violation in &violations {
                        println!("  {violation}");
                    }
                    if !violations.is_empty() {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!("seeds {seeds:?}: {failed} of them with faults");
    failed == 0
}

/// Runs a large cluster in virtual time until `end`, in milliseconds, with faults one after the other and time to
/// recover from each. `traced_lease` is the id of a lease to trace.
pub fn run_large(seed: u64, plan: Plan, end: u64, traced_lease: Option<u64>) -> CheckReport {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (interval, skew, size) = (plan.interval, plan.max_skew, plan.instances);
    let ids: Vec<u64> = (0..plan.leases)
        .map(|n| spanspur_leases::LeaseId::of(&format!("duty-{n}")).0)
        .collect();
    let mut world = World::new(plan, seed);
    world.traced_lease = traced_lease;
    let start = 4 * interval + skew;
    let mut at = start;
    while at + 8 * interval < end {
        let mut targets: Vec<usize> = Vec::new();
        while targets.len() < 2 {
            let target = random.random_range(0..size);
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        let recovery = at + 3 * interval + random.random_range(0..interval);
        let others: Vec<usize> = (0..size).filter(|i| !targets.contains(i)).collect();
        match random.random_range(0..5) {
            0 => {
                for (n, i) in targets.iter().enumerate() {
                    world.inject(at + 50 * n as u64, Fault::Kill(*i));
                    world.inject(recovery, Fault::Start(*i));
                }
            }
            1 => {
                world.inject(at, Fault::Freeze(targets[0]));
                world.inject(recovery, Fault::Thaw(targets[0]));
            }
            2 => {
                world.inject(at, Fault::Cut(targets.clone(), others.clone()));
                world.inject(at, Fault::Cut(others, targets));
                world.inject(recovery, Fault::Heal);
            }
            3 => {
                world.inject(at, Fault::Cut(others, targets));
                world.inject(recovery, Fault::Heal);
            }
            _ => {
                world.inject(at, Fault::Leave(targets[0]));
                world.inject(recovery, Fault::Start(targets[0]));
            }
        }
        for i in 0..size {
            world.inject(at + 20 * i as u64, Fault::Forge(i));
        }
        at = recovery + 4 * interval + skew;
    }
    world.run_until(end);
    world.checker.check(&ids, interval, start, end)
}
