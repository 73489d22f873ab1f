//! Long runs: real processes under seeded scripts of faults, and large clusters in virtual time.

use crate::judge::Verdict;
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

/// The period of the duties of real processes, as short as the usual pace of the membership allows.
const EVERY: Duration = Duration::from_millis(2000);

/// Plays one seed against real processes: what the servers' own record holds against it, and how many acts it has.
pub fn real(program: &str, seed: u64, span: Duration) -> (Vec<String>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let servers = start_servers(40);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(program, 5, discovery, &probe_duties(EVERY));
    wait_until("every server is probed", || all_probed(&servers));
    let from = Instant::now();
    while from.elapsed() < span {
        let who = random.random_range(0..5);
        let other = (who + random.random_range(1..5)) % 5;
        std::thread::sleep(Duration::from_millis(random.random_range(0..2000)));
        match random.random_range(0..5) {
            0 => {
                cluster.kill(who);
                std::thread::sleep(EVERY * 4);
                cluster.start(who);
            }
            1 => {
                cluster.kill(who);
                std::thread::sleep(Duration::from_millis(50));
                cluster.kill(other);
                std::thread::sleep(EVERY * 4);
                cluster.start(who);
                cluster.start(other);
            }
            2 => {
                cluster.signal(who, "-STOP");
                std::thread::sleep(EVERY * 3 + EVERY / 4);
                cluster.signal(who, "-CONT");
            }
            // Cut off: what the others send does not verify there, and the other way round.
            3 => {
                let keys = cluster.keys.clone();
                cluster.keys = r#"["a key that the others lack"]"#.into();
                for i in [who, other] {
                    cluster.write_operator_config(i);
                    cluster.signal(i, "-HUP");
                }
                std::thread::sleep(EVERY * 4);
                cluster.keys = keys;
                for i in [who, other] {
                    cluster.write_operator_config(i);
                    cluster.signal(i, "-HUP");
                }
            }
            _ => {
                cluster.signal(who, "-TERM");
                cluster.wait_for_exit(who);
                std::thread::sleep(EVERY);
                cluster.start(who);
            }
        }
        // Votes that a restarted one may have forgotten run out before the next blow.
        std::thread::sleep(EVERY * 4);
    }
    let found = find_violations(&servers, EVERY, from, Instant::now());
    let acts = servers
        .iter()
        .map(|s| s.probes.lock().expect("whole").len());
    (found, acts.sum())
}

/// Plays many seeds, several at a time; each is told as it ends. Returns whether all were sound.
pub fn real_many(program: &str, seeds: Range<u64>, span: Duration, jobs: usize) -> bool {
    let next = AtomicU64::new(seeds.start);
    let broken = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let (found, acts) = real(program, seed, span);
                    println!("seed {seed}: {acts} acts, {} faults", found.len());
                    for fault in &found {
                        println!("  {fault}");
                    }
                    if !found.is_empty() {
                        broken.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let broken = broken.into_inner();
    println!("seeds {seeds:?}: {broken} of them with faults");
    broken == 0
}

/// A large cluster in virtual time under blows from which it can recover, one after the other.
pub fn large(seed: u64, plan: Plan, end: u64, watch: Option<u64>) -> Verdict {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (every, skew, size) = (plan.every, plan.skew, plan.instances);
    let ids: Vec<u64> = (0..plan.duties)
        .map(|n| spanspur_leases::LeaseId::of(&format!("duty-{n}")).0)
        .collect();
    let mut world = World::new(plan, seed);
    world.watch = watch;
    let start = 4 * every + skew;
    let mut at = start;
    while at + 8 * every < end {
        let mut who: Vec<usize> = Vec::new();
        while who.len() < 2 {
            let one = random.random_range(0..size);
            if !who.contains(&one) {
                who.push(one);
            }
        }
        let back = at + 3 * every + random.random_range(0..every);
        let rest: Vec<usize> = (0..size).filter(|i| !who.contains(i)).collect();
        match random.random_range(0..5) {
            0 => {
                for (n, i) in who.iter().enumerate() {
                    world.at(at + 50 * n as u64, Fault::Kill(*i));
                    world.at(back, Fault::Start(*i));
                }
            }
            1 => {
                world.at(at, Fault::Freeze(who[0]));
                world.at(back, Fault::Thaw(who[0]));
            }
            2 => {
                world.at(at, Fault::Cut(who.clone(), rest.clone()));
                world.at(at, Fault::Cut(rest, who));
                world.at(back, Fault::Heal);
            }
            3 => {
                world.at(at, Fault::Cut(rest, who));
                world.at(back, Fault::Heal);
            }
            _ => {
                world.at(at, Fault::Leave(who[0]));
                world.at(back, Fault::Start(who[0]));
            }
        }
        for i in 0..size {
            world.at(at + 20 * i as u64, Fault::Forge(i));
        }
        at = back + 4 * every + skew;
    }
    world.run_until(end);
    world.judge.verdict(&ids, every, start, end)
}
