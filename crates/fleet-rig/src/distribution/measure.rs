//! Measurements at fleet size: propagation delay of changes, costs of a balancer and of a control instance, a region
//! cut off for an hour, and simultaneous starts. Each part replaces its own results in a JSON file, from which the page
//! is generated.

use super::chaos;
use super::checker::Violation;
use super::sockets::{self, SocketRunConfig, Sockets};
use super::world::{self, CONTROLS, Fault, Meter, Plan, REGIONS, VALUE_BYTES, World, key};
use crate::charts;
use crate::series::{MeasuredSeries, Series};
use hdrhistogram::Histogram;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spanspur_distribution::Limits;
use spanspur_distribution::rate_limiter::RESERVATION_TOLERANCE;
use spanspur_leases::Millis;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Number of balancers and servers as stated by the operators.
const BALANCERS: usize = 2100;
const SERVERS: usize = 630;
/// Numbers of followers and of entries in the runs at stepped sizes.
const FOLLOWERS: [usize; 6] = [100, 300, 600, 1000, 1500, 2100];
const ENTRIES: [usize; 5] = [630, 1000, 2500, 5000, 10_000];
/// Runs over sockets: numbers of followers, number of changes, and duration of the measurement at rest.
const SOCKET_FOLLOWERS: [usize; 4] = [100, 300, 1000, 2100];
const SOCKET_CHANGES: usize = 10;
const SOCKET_IDLE_TIME: Duration = Duration::from_secs(5);
/// Number of followers that start one after another to measure the time until they are synchronized.
const STARTING_FOLLOWERS: usize = 60;
/// Runs (seeds) for each measured point.
const RUNS: u64 = 3;
/// Time by which the control instances have formed a cluster and hold all entries, in ms.
const CONTROLS_READY: Millis = 30_000;
/// Required rate of changes per day, and the size of a burst.
const CHANGES_PER_DAY: f64 = 5700.0;
const BURST: usize = 100;
/// Size of an entry on the wire: key, version and value.
const ENTRY_BYTES: usize = 16 + VALUE_BYTES;

/// Name of the source counter for datagrams with entries or hashes.
const PIECES_COUNTER: &str = "pieces";

/// The configured rate of a source, and the most datagrams its `RateLimiter` allows in any one second, except that the
/// datagrams of one further reservation are left out.
fn budget() -> (u64, u64) {
    let limits = Limits::default();
    let rate = u64::from(limits.datagrams_per_second);
    let most = rate * (1000 + 2 * RESERVATION_TOLERANCE) / 1000 + u64::from(limits.burst);
    (rate, most)
}

/// Summary of durations in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub last: u64,
    /// Number of durations.
    pub count: u64,
}

/// Result of [`measure_delay`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delay {
    /// Description of the run.
    pub what: String,
    /// Number of balancers.
    pub followers: usize,
    /// Number of changes.
    pub changes: usize,
    /// Delay of each change at each follower.
    pub each: Spread,
    /// Delay of each change until the last follower held it.
    pub everywhere: Spread,
    /// Pairs of a change and a follower at which it was not in effect when the run ended, half a minute or more after
    /// the last change.
    pub missing: usize,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
    /// Virtual time of the run, in seconds.
    pub played: f64,
}

/// Resource usage of an instance. Rates are per second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Spent {
    /// Bytes sent and received.
    pub bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// CPU time in microseconds.
    pub cpu: f64,
    /// Allocated bytes, at the end of the measurement.
    pub memory: f64,
}

/// Result of [`measure_cost`]: resource usage at rest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Number of balancers.
    pub followers: usize,
    /// Number of entries.
    pub entries: usize,
    /// The seed.
    pub seed: u64,
    /// Mean of the balancers.
    pub follow: Spent,
    /// Maximum over the balancers, separately for each resource.
    pub follow_most: Spent,
    /// Maximum over the control instances, including their nodes, separately for each resource.
    pub control: Spent,
    /// Mean of the control instances, including their nodes.
    pub control_mean: Spent,
    /// Share of the cluster node in `control_mean`: membership, leases and gossip.
    pub node: Spent,
    /// Number of followers that were synchronized when the measurement began.
    pub full: usize,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// Result of [`measure_filling`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Filling {
    /// Number of entries.
    pub entries: usize,
    /// The seed.
    pub seed: u64,
    /// Time from the start of a follower until it is synchronized.
    pub until_full: Spread,
    /// Mean of the bytes allocated by a follower.
    pub memory: f64,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// Result of [`measure_cut`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cut {
    /// Description of the run.
    pub what: String,
    /// Number of balancers in the region.
    pub followers: usize,
    /// Duration of the cut, in seconds.
    pub seconds: u64,
    /// Number of changes during the cut.
    pub changes: usize,
    /// Number of entries.
    pub entries: usize,
    /// Time from the end of the cut until a change is in effect, for each change and follower of the region.
    pub each: Spread,
    /// Pairs of a change and a follower of the region at which it was not in effect a minute after the end of the cut.
    pub missing: usize,
    /// Bytes received by the region's balancers in the minute after the cut, less those of a minute at rest.
    pub bytes: f64,
    /// Size of all entries in bytes, times the region's balancers.
    pub all: f64,
    /// Size of the changed entries in bytes, times the region's balancers.
    pub changed: f64,
    /// Time from the end of the cut until the region's own control instances hold all entries, in ms; `None` if longer
    /// than a minute. They receive the entries by the comparison of gossip stores.
    pub control: Option<u64>,
    /// Lowest data age that a balancer of the region reported at the end of the cut, in ms.
    pub age: u64,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// Result of [`measure_simultaneous_start`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Number of balancers that start.
    pub starting: usize,
    /// Number of all balancers.
    pub followers: usize,
    /// Number of entries.
    pub entries: usize,
    /// Time from the start until a balancer is synchronized.
    pub until_full: Spread,
    /// Number of balancers not synchronized when the run ended.
    pub missing: usize,
    /// The most datagrams with entries or hashes that a control instance sent in any second.
    pub pieces: u64,
    /// The most bytes that a control instance sent in any second.
    pub bytes: u64,
    /// The most datagrams that a control instance sent in any second.
    pub datagrams: u64,
    /// Limits for `pieces`: the configured rate of a source, and the most its rate limiter allows in any second
    /// (without the one reservation by which the limiter may exceed it).
    pub budget: (u64, u64),
    /// Increase of the counters of sources and followers during the start.
    pub counted: BTreeMap<String, u64>,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// Result of [`measure_seeds`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seeds {
    /// The first seed.
    pub first: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Number of balancers in each run.
    pub followers: usize,
    /// Total number of scheduled fault events. The event that ends a fault is counted too.
    pub faults: usize,
    /// Total number of changes.
    pub changes: usize,
    /// Total number of checked entries.
    pub looks: u64,
    /// Seeds with violations, each with the description of the first one.
    pub unsound: BTreeMap<u64, String>,
    /// Number of violations of each kind.
    pub wrong: BTreeMap<String, u64>,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// All stored results.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Results {
    /// Number of cores and processor model of the machine of the last run.
    pub machine: String,
    delays: Vec<Delay>,
    costs: Vec<Cost>,
    fillings: Vec<Filling>,
    cuts: Vec<Cut>,
    starts: Vec<Start>,
    seeds: Option<Seeds>,
    sockets: Vec<Sockets>,
}

/// A group of runs that is measured and stored together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Propagation delay of changes.
    Delay,
    /// Costs at rest, by number of followers.
    Cost,
    /// Memory and time until synchronized, by number of entries.
    Entries,
    /// A region that is cut off.
    Cut,
    /// Simultaneous starts.
    Start,
    /// Runs over sockets in real time.
    Sockets,
}

pub(super) fn summarize(values: impl IntoIterator<Item = u64>) -> Spread {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are supported");
    for value in values {
        histogram
            .record(value)
            .expect("a histogram without an upper bound takes every value");
    }
    Spread {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        last: histogram.max(),
        count: histogram.len(),
    }
}

/// Creates a simulation whose followers have all started and are synchronized, or had ten minutes for it.
fn world_at_rest(plan: Plan, seed: u64) -> World {
    let followers = plan.followers as u64;
    let mut world = World::new(plan, seed);
    world.run_until(CONTROLS_READY);
    // 100 starts per second, slow enough that no rate limit delays them.
    let span = followers * 10;
    world.start_followers(CONTROLS_READY, span);
    let mut end = CONTROLS_READY + span + 10_000;
    world.run_until(end);
    while end < CONTROLS_READY + span + 600_000 && !all_synchronized(&world) {
        end += 1000;
        world.run_until(end);
    }
    world
}

fn all_synchronized(world: &World) -> bool {
    let mut all = world.followers();
    all.all(|i| world.synchronized_at[i].is_some())
}

/// Which control instances crash in a run of [`measure_delay`].
#[derive(Clone, Copy, Debug)]
pub enum Failures {
    /// No control instance.
    None,
    /// These two, half a minute before the first change.
    BeforeChanges([usize; 2]),
    /// The writer and one other, in the middle of the burst.
    WriterInBurst,
}

/// Measures the time until changes are in effect, at the required rate over `minutes` with a burst in the middle.
/// `loss` is the share of lost datagrams.
pub fn measure_delay(
    what: &str,
    followers: usize,
    loss: f64,
    failures: Failures,
    minutes: u64,
    seed: u64,
) -> Delay {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries: SERVERS,
        ..Plan::default()
    };
    let mut world = world_at_rest(plan, seed);
    world.at(world.now, Fault::Network(loss, 0.01, 0.0));
    let mut from = world.now + 1000;
    if let Failures::BeforeChanges(failures) = failures {
        failures
            .iter()
            .for_each(|i| world.at(from, Fault::Kill(*i)));
        from += 30_000;
    }
    let span = minutes * 60_000;
    let count = (CHANGES_PER_DAY / 86_400_000.0 * span as f64).round() as usize;
    // Changes are spread over the span, with a burst in the minute after its middle.
    let mut times: Vec<Millis> = (0..count)
        .map(|_| from + world.random().random_range(0..span))
        .collect();
    let middle = from + span / 2;
    times.extend((0..BURST).map(|_| middle + world.random().random_range(0..60_000)));
    for (n, at) in times.iter().enumerate() {
        let fault = match n % 8 {
            // Of eight changes one removes a row, one adds a row, and the others change a row.
            0 => Fault::Remove(key(SERVERS - 1 - n)),
            1 => Fault::Set(key(SERVERS + n)),
            _ => Fault::Set(key(n * 3 % (SERVERS / 2))),
        };
        world.at(*at, fault);
    }
    if let Failures::WriterInBurst = failures {
        world.run_until(middle + 30_000);
        let writer = world.writer().unwrap_or(0);
        world.at(world.now, Fault::Kill(writer));
        world.at(world.now, Fault::Kill((writer + 1) % CONTROLS));
    }
    world.run_until(from + span + 60_000 + 30_000);
    let (mut each, mut everywhere, mut missing) = (Vec::new(), Vec::new(), 0);
    for change in &world.checker.changes {
        let durations = change.effective_at.iter().map(|(_, at)| at - change.at);
        everywhere.push(durations.clone().max().unwrap_or(0));
        each.extend(durations);
        missing += followers - change.effective_at.len();
    }
    Delay {
        what: what.to_owned(),
        followers,
        changes: times.len(),
        each: summarize(each),
        everywhere: summarize(everywhere),
        missing,
        wall: start.elapsed().as_secs_f64(),
        played: world.now as f64 / 1000.0,
    }
}

fn usage(meters: &[Meter], seconds: f64) -> Spent {
    let sum = |of: fn(&Meter) -> f64| meters.iter().map(of).sum::<f64>();
    Spent {
        bytes: sum(|m| (m.sent.1 + m.received.1) as f64) / seconds,
        datagrams: sum(|m| (m.sent.0 + m.received.0) as f64) / seconds,
        cpu: sum(|m| m.cpu_ns as f64) / 1000.0 / seconds,
        memory: sum(|m| m.memory as f64),
    }
}

/// Folds each resource over all instances, and divides the result.
fn fold(all: &[Spent], with: fn(f64, f64) -> f64, divisor: f64) -> Spent {
    let of = |value: fn(&Spent) -> f64| all.iter().map(value).fold(0.0, with) / divisor;
    Spent {
        bytes: of(|s| s.bytes),
        datagrams: of(|s| s.datagrams),
        cpu: of(|s| s.cpu),
        memory: of(|s| s.memory),
    }
}

fn mean(all: &[Spent]) -> Spent {
    fold(all, |a, b| a + b, all.len() as f64)
}

fn maximum(all: &[Spent]) -> Spent {
    fold(all, f64::max, 1.0)
}

/// Measures resource usage at rest, over `seconds` of virtual time.
pub fn measure_cost(followers: usize, entries: usize, seconds: u64, seed: u64) -> Cost {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        metering: true,
        ..Plan::default()
    };
    let mut world = world_at_rest(plan, seed);
    let synchronized = world
        .followers()
        .filter(|i| world.synchronized_at[*i].is_some());
    let synchronized = synchronized.count();
    // Lets traffic from the start fade out.
    world.run_until(world.now + 10_000);
    world.reset_meters();
    world.run_until(world.now + seconds * 1000);
    let of = |i: usize| usage(&world.meters[i], seconds as f64);
    let follow: Vec<Spent> = world.followers().map(of).collect();
    let control: Vec<Spent> = (0..CONTROLS).map(of).collect();
    let node = (0..CONTROLS).map(|i| usage(&world.meters[i][1..], seconds as f64));
    Cost {
        followers,
        entries,
        seed,
        follow: mean(&follow),
        follow_most: maximum(&follow),
        control: maximum(&control),
        control_mean: mean(&control),
        node: mean(&node.collect::<Vec<_>>()),
        full: synchronized,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Measures the time until followers are synchronized and the memory they allocate, if they start a second apart.
pub fn measure_filling(entries: usize, followers: usize, seed: u64) -> Filling {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        metering: true,
        ..Plan::default()
    };
    let mut world = World::new(plan, seed);
    world.run_until(2 * CONTROLS_READY);
    for (n, i) in world.followers().enumerate() {
        world.at(2 * CONTROLS_READY + 1000 * n as u64, Fault::Start(i));
    }
    let mut end = 2 * CONTROLS_READY + 1000 * followers as u64;
    world.run_until(end);
    while end < 1_200_000 && !all_synchronized(&world) {
        end += 1000;
        world.run_until(end);
    }
    let durations = world.followers().map(|i| match world.synchronized_at[i] {
        Some(at) => at - world.started_at[i],
        // Not synchronized within the run, whose duration is counted instead.
        None => world.now,
    });
    let until_full = summarize(durations.collect::<Vec<_>>());
    let memory = world.followers().map(|i| world.meters[i][0].memory as f64);
    Filling {
        entries,
        seed,
        until_full,
        memory: memory.sum::<f64>() / followers as f64,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Measures a region that is cut off for `seconds` of virtual time while changes are made elsewhere.
pub fn measure_cut(
    what: &str,
    followers: usize,
    entries: usize,
    seconds: u64,
    changes: usize,
    republish_all: bool,
    seed: u64,
) -> Cut {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        republish_all,
        ..Plan::default()
    };
    let mut world = world_at_rest(plan, seed);
    let writer = world.writer().unwrap_or(0);
    // Not the writer's region, because the writer would be cut off with it.
    let region = (world::location(writer).region + 1) % REGIONS as u32;
    let (inside, outside) = world.split_region(region);
    let inside_followers: Vec<usize> = inside.iter().copied().filter(|i| *i >= CONTROLS).collect();
    let received = |world: &World| -> u64 {
        let of = inside_followers
            .iter()
            .map(|i| world.meters[*i][0].received.1);
        of.sum()
    };
    // Bytes received at rest in one minute.
    let before = received(&world);
    world.run_until(world.now + 60_000);
    let idle_bytes = received(&world) - before;
    let (from, span) = (world.now, seconds * 1000);
    world.at(from, Fault::Cut(inside.clone(), outside.clone()));
    world.at(from, Fault::Cut(outside, inside.clone()));
    for n in 0..changes {
        let at = from + world.random().random_range(5000..span);
        world.at(at, Fault::Set(key(n % entries)));
    }
    let heal = from + span;
    world.run_until(heal);
    let ages = inside_followers.iter().filter_map(|i| {
        let follower = world.follower(*i)?;
        follower.data_age(world.monotonic(*i))
    });
    let age = ages.min().unwrap_or(0);
    let before = received(&world);
    world.at(heal, Fault::Heal);
    let mut control = None;
    for end in (heal + 250..=heal + 60_000).step_by(250) {
        world.run_until(end);
        let root = |i: &usize| world.source(*i).map(|source| source.store().root_hash());
        let mut controls = inside.iter().filter(|i| **i < CONTROLS);
        if control.is_none() && controls.all(|i| root(i) == root(&writer)) {
            control = Some(end - heal);
        }
    }
    let bytes = (received(&world) - before) as f64 - idle_bytes as f64;
    let is_inside: Vec<bool> = {
        let mut set = vec![false; followers];
        inside_followers
            .iter()
            .for_each(|i| set[*i - CONTROLS] = true);
        set
    };
    let (mut each, mut missing) = (Vec::new(), 0);
    for change in &world.checker.changes {
        let inside_changes = change
            .effective_at
            .iter()
            .filter(|(f, _)| is_inside[*f as usize]);
        let durations: Vec<u64> = inside_changes
            .map(|(_, at)| at.saturating_sub(heal))
            .collect();
        missing += inside_followers.len() - durations.len();
        each.extend(durations);
    }
    let follower_count = inside_followers.len() as f64;
    Cut {
        what: what.to_owned(),
        followers: inside_followers.len(),
        seconds,
        changes,
        entries,
        each: summarize(each),
        missing,
        bytes,
        all: (entries * ENTRY_BYTES) as f64 * follower_count,
        changed: (changes.min(entries) * ENTRY_BYTES) as f64 * follower_count,
        control,
        age,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Measures a start of all followers of a region, or of all regions, in the same millisecond.
pub fn measure_simultaneous_start(
    followers: usize,
    entries: usize,
    region: Option<u32>,
    seed: u64,
) -> Start {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        ..Plan::default()
    };
    let mut world = match region {
        Some(_) => world_at_rest(plan, seed),
        None => {
            let mut world = World::new(plan, seed);
            world.run_until(2 * CONTROLS_READY);
            world
        }
    };
    let starting: Vec<usize> = world
        .followers()
        .filter(|i| region.is_none_or(|region| world::location(*i).region == region))
        .collect();
    let from = world.now + 1000;
    for i in &starting {
        world.at(from, Fault::Kill(*i));
        world.at(from, Fault::Start(*i));
    }
    world.run_until(from - 1);
    world.reset_meters();
    let before = world.counters(0..CONTROLS + followers);
    let mut sent = [0; CONTROLS];
    let count = |world: &World, i: usize| -> u64 {
        let counters = world.counters(i..i + 1);
        counters.get(PIECES_COUNTER).copied().unwrap_or(0)
    };
    (0..CONTROLS).for_each(|i| sent[i] = count(&world, i));
    let (mut end, mut pieces) = (from, 0);
    while end < from + 1_200_000 {
        end += 1000;
        world.run_until(end);
        for (i, sent) in sent.iter_mut().enumerate() {
            let now = count(&world, i);
            pieces = pieces.max(now - *sent);
            *sent = now;
        }
        if starting.iter().all(|i| world.synchronized_at[*i].is_some()) {
            break;
        }
    }
    let synchronized = starting.iter().filter_map(|i| world.synchronized_at[*i]);
    let durations: Vec<u64> = synchronized.map(|at| at - from).collect();
    let mut counted = world.counters(0..CONTROLS + followers);
    for (what, n) in before {
        counted
            .entry(what)
            .and_modify(|now| *now = now.saturating_sub(n));
    }
    let most = |of: fn(&Meter) -> u64| {
        let all = world.meters[..CONTROLS].iter().map(|m| of(&m[0]));
        all.max().unwrap_or(0)
    };
    Start {
        starting: starting.len(),
        followers,
        entries,
        missing: starting.len() - durations.len(),
        until_full: summarize(durations),
        pieces,
        bytes: most(|m| m.peak_second.0),
        datagrams: most(|m| m.peak_second.1),
        budget: budget(),
        counted,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Runs seeds with random faults and adds up the results.
pub fn measure_seeds(first: u64, seeds: u64, followers: usize, jobs: usize) -> Seeds {
    let start = Instant::now();
    let outcomes = chaos::run_seeds(first..first + seeds, followers, jobs);
    let mut all = Seeds {
        first,
        seeds,
        followers,
        faults: 0,
        changes: 0,
        looks: 0,
        unsound: BTreeMap::new(),
        wrong: BTreeMap::new(),
        wall: 0.0,
    };
    for what in [
        Violation::Back,
        Violation::Returned,
        Violation::Invented,
        Violation::Twofold,
        Violation::Lost,
    ] {
        all.wrong.insert(format!("{what:?}"), 0);
    }
    for outcome in outcomes {
        all.faults += outcome.faults;
        all.changes += outcome.changes;
        all.looks += outcome.checks;
        for (what, n) in &outcome.violations {
            *all.wrong.entry(format!("{what:?}")).or_default() += n;
        }
        if !outcome.sound() {
            let first = outcome.descriptions.first().cloned().unwrap_or_default();
            all.unsound.insert(outcome.seed, first);
        }
    }
    all.wall = start.elapsed().as_secs_f64();
    all
}

impl Results {
    fn read(file: &Path) -> Result<Self, String> {
        match std::fs::read(file) {
            Ok(text) => {
                serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))
            }
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Self::default()),
            Err(e) => Err(format!("{}: {e}", file.display())),
        }
    }
}

fn machine() -> String {
    let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = text.lines().find_map(|l| l.strip_prefix("model name"));
    let model = model
        .unwrap_or(": unknown")
        .trim_start_matches([' ', '\t', ':']);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("{cores} cores, {model}")
}

const RESULTS_FILE: &str = "distribution.json";

fn update_results(folder: &Path, with: impl FnOnce(&mut Results)) -> Result<(), String> {
    let file = folder.join(RESULTS_FILE);
    let mut results = Results::read(&file)?;
    results.machine = machine();
    with(&mut results);
    let text = serde_json::to_string_pretty(&results).map_err(|e| e.to_string())? + "\n";
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    update_page(folder, &results)
}

/// Runs seeds with random faults and stores the result. Returns whether no run had a violation.
pub fn run_seeds(
    folder: &Path,
    first: u64,
    count: u64,
    followers: usize,
    jobs: usize,
) -> Result<bool, String> {
    let all = measure_seeds(first, count, followers, jobs);
    println!("{all:#?}");
    let sound = all.unsound.is_empty();
    update_results(folder, |results| results.seeds = Some(all))?;
    Ok(sound)
}

/// Runs one part and stores its results: data, page, series and charts. Fails if a file cannot be read or written, or
/// if a run over sockets fails.
pub fn run(folder: &Path, part: Part) -> Result<(), String> {
    match part {
        Part::Delay => {
            let minutes = 10;
            let runs = [
                ("1% loss", 0.01, Failures::None),
                ("5% loss", 0.05, Failures::None),
                (
                    "5% loss, two of the nine dead",
                    0.05,
                    Failures::BeforeChanges([0, 1]),
                ),
                (
                    "5% loss, two dead that are both of a region's",
                    0.05,
                    Failures::BeforeChanges([2, 8]),
                ),
                (
                    "5% loss, the writer and another die in the burst",
                    0.05,
                    Failures::WriterInBurst,
                ),
            ];
            let mut delays = Vec::new();
            std::thread::scope(|scope| {
                let runs = runs.map(|(what, loss, failures)| {
                    scope.spawn(move || measure_delay(what, BALANCERS, loss, failures, minutes, 1))
                });
                delays.extend(
                    runs.into_iter()
                        .map(|run| run.join().expect("a run panicked")),
                );
            });
            delays.iter().for_each(|d| println!("{d:?}"));
            update_results(folder, |results| results.delays = delays)
        }
        Part::Cost => {
            let mut costs = Vec::new();
            for followers in FOLLOWERS {
                for seed in 1..=RUNS {
                    let cost = measure_cost(followers, SERVERS, 60, seed);
                    println!("{cost:?}");
                    costs.push(cost);
                }
            }
            update_series(folder, &costs, &[])?;
            update_results(folder, |results| results.costs = costs)
        }
        Part::Entries => {
            let mut fillings = Vec::new();
            for entries in ENTRIES {
                for seed in 1..=RUNS {
                    let filling = measure_filling(entries, STARTING_FOLLOWERS, seed);
                    println!("{filling:?}");
                    fillings.push(filling);
                }
            }
            update_series(folder, &[], &fillings)?;
            update_results(folder, |results| results.fillings = fillings)
        }
        Part::Cut => {
            let mut cuts = Vec::new();
            std::thread::scope(|scope| {
                let runs = [
                    ("a region for an hour", 3600, SERVERS, false),
                    ("a region for an hour, 5,000 entries", 3600, 5000, false),
                ]
                .map(|(what, seconds, entries, republish_all)| {
                    scope.spawn(move || {
                        measure_cut(what, BALANCERS, entries, seconds, 240, republish_all, 1)
                    })
                });
                cuts.extend(
                    runs.into_iter()
                        .map(|run| run.join().expect("a run panicked")),
                );
            });
            cuts.iter().for_each(|c| println!("{c:?}"));
            update_results(folder, |results| results.cuts = cuts)
        }
        Part::Start => {
            let mut starts = Vec::new();
            std::thread::scope(|scope| {
                let runs = [
                    (SERVERS, Some(1)),
                    (SERVERS, None),
                    (5000, Some(1)),
                    (5000, None),
                ]
                .map(|(entries, region)| {
                    scope.spawn(move || measure_simultaneous_start(BALANCERS, entries, region, 1))
                });
                starts.extend(
                    runs.into_iter()
                        .map(|run| run.join().expect("a run panicked")),
                );
            });
            starts.iter().for_each(|s| println!("{s:?}"));
            update_results(folder, |results| results.starts = starts)
        }
        Part::Sockets => {
            let mut runs = Vec::new();
            for followers in SOCKET_FOLLOWERS {
                let run = sockets::run(SocketRunConfig {
                    followers,
                    entries: SERVERS,
                    changes: SOCKET_CHANGES,
                    idle_time: SOCKET_IDLE_TIME,
                })?;
                println!("{run:?}");
                runs.push(run);
            }
            update_results(folder, |results| results.sockets = runs)
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

const SETUP: &str = "virtual time, real nodes, sources and followers down to their sealed datagrams; 9 control \
    instances, 6 regions, 13 zones, one way 1 ms in a zone, 2 ms in a region, 40 to 120 ms between regions and up to a \
    fifth more; 1% lost, 1% doubled; no sockets, no clients, no relay";

/// Stores the median of the runs at each size as series.
fn update_series(folder: &Path, costs: &[Cost], fillings: &[Filling]) -> Result<(), String> {
    let mut all = BTreeMap::new();
    let command = "cargo run --release -p spanspur-fleet-rig -- distribution";
    type CostSeries = (&'static str, &'static str, &'static str, fn(&Cost) -> f64);
    let definitions: [CostSeries; 8] = [
        (
            "follow-bytes",
            "B/s",
            "bytes sent and received by a balancer",
            |c| c.follow.bytes,
        ),
        (
            "follow-datagrams",
            "1/s",
            "datagrams sent and received by a balancer",
            |c| c.follow.datagrams,
        ),
        (
            "follow-cpu",
            "us/s",
            "processor time of a balancer's calls",
            |c| c.follow.cpu,
        ),
        (
            "follow-memory",
            "B",
            "allocated bytes that a balancer keeps",
            |c| c.follow.memory,
        ),
        (
            "control-bytes",
            "B/s",
            "bytes sent and received by the busiest control instance, its node with it",
            |c| c.control.bytes,
        ),
        (
            "control-datagrams",
            "1/s",
            "datagrams sent and received by the busiest control instance, its node with it",
            |c| c.control.datagrams,
        ),
        (
            "control-cpu",
            "us/s",
            "processor time of the busiest control instance's calls, its node with it",
            |c| c.control.cpu,
        ),
        (
            "control-memory",
            "B",
            "allocated bytes that the largest control instance keeps, its node with it",
            |c| c.control.memory,
        ),
    ];
    for (name, unit, what, of) in definitions {
        let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for cost in costs {
            by.entry(cost.followers).or_default().push(of(cost));
        }
        let points = by.into_iter().map(|(n, values)| (n as f64, median(values)));
        let series = Series {
            what: format!("{what}, at rest, 630 entries; {SETUP}"),
            command: format!("{command} cost"),
            size: "balancers".to_owned(),
            unit: unit.to_owned(),
            runs: RUNS as u32,
            points: points.collect(),
        };
        if !series.points.is_empty() {
            all.insert(name.to_owned(), series);
        }
    }
    type FillingSeries = (
        &'static str,
        &'static str,
        &'static str,
        fn(&Filling) -> f64,
    );
    let definitions: [FillingSeries; 2] = [
        (
            "follow-memory-entries",
            "B",
            "allocated bytes that a balancer keeps",
            |f| f.memory,
        ),
        (
            "follow-full-entries",
            "ms",
            "from a balancer's start until it is full, p50 of 60 that start a second apart",
            |f| f.until_full.p50 as f64,
        ),
    ];
    for (name, unit, what, of) in definitions {
        let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for filling in fillings {
            by.entry(filling.entries).or_default().push(of(filling));
        }
        let points = by.into_iter().map(|(n, values)| (n as f64, median(values)));
        let series = Series {
            what: format!("{what}, of 44 B a value; {SETUP}"),
            command: format!("{command} entries"),
            size: "entries".to_owned(),
            unit: unit.to_owned(),
            runs: RUNS as u32,
            points: points.collect(),
        };
        if !series.points.is_empty() {
            all.insert(name.to_owned(), series);
        }
    }
    MeasuredSeries::update(&folder.join("scale.json"), all)
}

/// Draws the cost charts of a balancer and a control instance, with the flat cluster for comparison if it was measured.
pub fn draw_charts(folder: &Path) -> Result<(), String> {
    let measured = MeasuredSeries::read(&folder.join("scale.json"))?;
    for (kind, what) in [
        ("bytes", "bytes a second, sent and received"),
        ("datagrams", "datagrams a second, sent and received"),
        ("cpu", "microseconds of a processor a second"),
        ("memory", "bytes kept"),
    ] {
        let lines: Vec<charts::Line> = [
            ("follow", "a balancer"),
            ("control", "the busiest control instance"),
            ("flat", "an instance of the flat cluster"),
        ]
        .into_iter()
        .filter_map(|(of, label)| {
            let series = measured.0.get(&format!("{of}-{kind}"))?;
            // The flat cluster's series count sent traffic only; the same amount is received.
            let both = if of == "flat" && matches!(kind, "bytes" | "datagrams") {
                2.0
            } else {
                1.0
            };
            let points = series.points.iter().map(|(n, value)| (*n, value * both));
            Some((label.to_owned(), points.collect()))
        })
        .collect();
        if lines.is_empty() {
            continue;
        }
        charts::line_chart(
            &folder.join(format!("distribution-{kind}.svg")),
            &format!("At rest: {what}"),
            ("balancers", what),
            true,
            &lines,
        )?;
    }
    Ok(())
}

/// Regenerates the page and the charts from the stored results.
pub fn write_page(folder: &Path) -> Result<(), String> {
    update_results(folder, |_| ())
}

/// Writes the page and the charts.
fn update_page(folder: &Path, results: &Results) -> Result<(), String> {
    draw_charts(folder)?;
    let measured = MeasuredSeries::read(&folder.join("scale.json"))?;
    let text = format_page(results, &measured).map_err(|e| e.to_string())?;
    let file = folder.join("distribution.md");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))
}

fn format_spread(spread: &Spread) -> String {
    format!("{} / {} / {}", spread.p50, spread.p99, spread.last)
}

/// Says whether a bound is met, or by how much it is exceeded.
fn format_bound(value: f64, bound: f64) -> String {
    match value <= bound {
        true => "held".to_owned(),
        false => format!("**missed by {:.0}%**", (value / bound - 1.0) * 100.0),
    }
}

fn format_page(results: &Results, measured: &MeasuredSeries) -> Result<String, std::fmt::Error> {
    let mut text = format!(
        "# Distribution, measured\n\nMade by `cargo run --release -p spanspur-fleet-rig -- distribution PART` with PART \
         `delay`, `cost`, `entries`, `cut`, `start`, `seeds` or `sockets`; each replaces its own part of `{RESULTS_FILE}`, from which this \
         page is made. The last run was on {}.\n\n\
         How: {SETUP}. A row of the list has {VALUE_BYTES} bytes. One thread plays all instances of a run, so a \
         datagram is taken at the moment it arrives, and what a loaded processor adds is not in the delays. The writer \
         holds the permit of the duty `list` (period 4 s) and writes only what differs from discovery's list.\n",
        results.machine
    );
    text += "\n## Changes in force\n\nAt the letter's rate of 5,700 a day for ten minutes, with a burst of 100 in the \
         middle minute; from the change at discovery until the entry is held, in ms. Wanted: p99 within 3,000, the \
         last within 12,000.\n\n\
         | | balancers | changes | each: p50 / p99 / last | everywhere: p50 / p99 / last | missing | p99 | last | s of ours for s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for d in &results.delays {
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {:.0} for {:.0} |",
            d.what,
            d.followers,
            d.changes,
            format_spread(&d.each),
            format_spread(&d.everywhere),
            d.missing,
            format_bound(d.each.p99 as f64, 3000.0),
            format_bound(d.each.last as f64, 12_000.0),
            d.wall,
            d.played
        )?;
    }
    text += "\n## Costs at rest\n\nA second's share of a minute without changes, 630 entries, bytes and datagrams sent \
         and received together, the least and most of three seeds. Processor time is the thread's own around the calls \
         of an instance (sealing and decoding with it), the cost of reading the clock taken off. Memory is what the \
         instance's calls took from the allocator and have not given back, without the allocator's own rounding. \
         Control: the busiest of the nine, membership, claims and board with it. Wanted: a balancer under 4,096 B/s, \
         17,000 us/s and 32 MB; a control instance under 1,000,000 us/s.\n\n\
         | balancers | balancer: B/s | datagrams/s | us/s | kB | control: kB/s | datagrams/s | us/s | kB | of it node: us/s | s of ours |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for followers in FOLLOWERS {
        let of: Vec<&Cost> = results
            .costs
            .iter()
            .filter(|c| c.followers == followers)
            .collect();
        if of.is_empty() {
            continue;
        }
        let range = |value: &dyn Fn(&Cost) -> f64| {
            let low = of.iter().map(|c| value(c)).fold(f64::MAX, f64::min);
            let high = of.iter().map(|c| value(c)).fold(0.0, f64::max);
            let digits = usize::from(high < 100.0);
            match format!("{low:.digits$}") == format!("{high:.digits$}") {
                true => format!("{low:.digits$}"),
                false => format!("{low:.digits$} to {high:.digits$}"),
            }
        };
        writeln!(
            text,
            "| {followers} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            range(&|c| c.follow.bytes),
            range(&|c| c.follow.datagrams),
            range(&|c| c.follow.cpu),
            range(&|c| c.follow.memory / 1000.0),
            range(&|c| c.control.bytes / 1000.0),
            range(&|c| c.control.datagrams),
            range(&|c| c.control.cpu),
            range(&|c| c.control.memory / 1000.0),
            range(&|c| c.node.cpu),
            range(&|c| c.wall),
        )?;
    }
    if let Some(worst) = results.costs.iter().max_by_key(|c| c.followers) {
        let all = results
            .costs
            .iter()
            .filter(|c| c.followers == worst.followers);
        let most = |of: fn(&Cost) -> f64| all.clone().map(of).fold(0.0, f64::max);
        let bounds: [(&str, f64, f64); 4] = [
            (
                "a balancer's bytes a second, the one that has most",
                most(|c| c.follow_most.bytes),
                4096.0,
            ),
            (
                "a balancer's us a second, the one that spends most",
                most(|c| c.follow_most.cpu),
                17_000.0,
            ),
            (
                "a balancer's memory, the one that keeps most",
                most(|c| c.follow_most.memory),
                32e6,
            ),
            (
                "a control instance's us a second, the busiest",
                most(|c| c.control.cpu),
                1e6,
            ),
        ];
        writeln!(
            text,
            "\nAt {} balancers:\n\n| | measured | wanted at most | |\n| --- | --- | --- | --- |",
            worst.followers
        )?;
        for (what, value, bound) in bounds {
            writeln!(
                text,
                "| {what} | {value:.0} | {bound:.0} | {} |",
                format_bound(value, bound)
            )?;
        }
    }
    let fits = ["follow", "control", "flat"]
        .into_iter()
        .flat_map(|of| ["bytes", "datagrams", "cpu", "memory"].map(|kind| format!("{of}-{kind}")));
    text += "\nSlopes for one more balancer (least squares over the medians; `flat-*` as they are in `scale.json`, where bytes \
         and datagrams are those sent alone, and memory is the process's; the charts show twice these bytes and datagrams):\n\n| series | unit | slope | spread | at 0 | off the line at most |\n| --- | --- | --- | --- | --- | --- |\n";
    for name in fits {
        let Some(series) = measured.0.get(&name) else {
            continue;
        };
        if let Some(fit) = series.fit() {
            writeln!(
                text,
                "| {name} | {} | {:.4} | {:.4} | {:.1} | {:.1}% |",
                series.unit,
                fit.slope,
                fit.slope_error,
                fit.intercept,
                fit.max_residual * 100.0
            )?;
        }
    }
    text += "\n![Bytes](distribution-bytes.svg)\n\n![Datagrams](distribution-datagrams.svg)\n\n\
         ![Processor time](distribution-cpu.svg)\n\n![Memory](distribution-memory.svg)\n";
    writeln!(
        text,
        "\n## By entries\n\n{STARTING_FOLLOWERS} balancers that start one a second, the least and most of three seeds.\n\n\
         | entries | memory of a balancer, kB | until full: p50 / p99 / last, ms | s of ours |\n| --- | --- | --- | --- |"
    )?;
    for f in &results.fillings {
        writeln!(
            text,
            "| {} | {:.1} | {} | {:.1} |",
            f.entries,
            f.memory / 1000.0,
            format_spread(&f.until_full),
            f.wall
        )?;
    }
    text += "\n## A region cut off\n\n240 changes are made elsewhere meanwhile; from the healing until a change is in \
         force at a balancer of the region, in ms. Wanted: the last within 12,000. Bytes: what the region's balancers \
         received in the minute after the healing over what they receive at rest, against what changed and against all \
         entries, each times the region's balancers.\n\n\
         | | balancers | entries | cut, s | each: p50 / p99 / last | missing | last | bytes | of what changed | of all entries | less than all anew | its control instances hold all, ms | least age at its end, s | s of ours |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for c in &results.cuts {
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:.2} MB | {:.2} times | {:.1}% | {} | {} | {:.0} | {:.0} |",
            c.what,
            c.followers,
            c.entries,
            c.seconds,
            format_spread(&c.each),
            c.missing,
            format_bound(c.each.last as f64, 12_000.0),
            c.bytes / 1e6,
            c.bytes / c.changed,
            c.bytes / c.all * 100.0,
            format_bound(c.bytes, c.all),
            c.control
                .map_or("not in 60,000".to_owned(), |ms| ms.to_string()),
            c.age as f64 / 1000.0,
            c.wall
        )?;
    }
    text += "\n## Starting at once\n\nAll in one millisecond, holding nothing. The highest rate is that of any control \
         instance in any second. Pieces are datagrams of entries or hashes; the budget is the rate that a source states, and \
         what its schedule lets through in any one second at most, with its burst and with places that are taken early or late.\n\n\
         | starting | of | entries | until full: p50 / p99 / last, ms | not full | pieces in a second | budget | | kB in a second | datagrams in a second | s of ours |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for s in &results.starts {
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} / {} | {} | {:.0} | {} | {:.0} |",
            s.starting,
            s.followers,
            s.entries,
            format_spread(&s.until_full),
            s.missing,
            s.pieces,
            s.budget.0,
            s.budget.1,
            format_bound(s.pieces as f64, s.budget.1 as f64),
            s.bytes as f64 / 1000.0,
            s.datagrams,
            s.wall
        )?;
    }
    format_socket_runs(&mut text, results)?;
    if let Some(seeds) = &results.seeds {
        writeln!(
            text,
            "\n## Faults from seeds\n\n{} seeds from {} on, {} balancers each: {} faults or pairs of them (kills, starts \
             with nothing, freezes, cuts, bursts of loss, doubling and lateness, forged datagrams), {} changes, {} looks at \
             an entry held; {:.0} s of ours.\n\n| what must not be | found |\n| --- | --- |",
            seeds.seeds,
            seeds.first,
            seeds.followers,
            seeds.faults,
            seeds.changes,
            seeds.looks,
            seeds.wall
        )?;
        for (what, n) in &seeds.wrong {
            writeln!(text, "| {what} | {n} |")?;
        }
        for (seed, first) in &seeds.unsound {
            writeln!(text, "\nSeed {seed}: {first}")?;
        }
    }
    Ok(text)
}

/// Appends the table of the runs over sockets, next to the runs in virtual time.
fn format_socket_runs(text: &mut String, results: &Results) -> std::fmt::Result {
    if results.sockets.is_empty() {
        return Ok(());
    }
    *text += "\n## Over loopback sockets\n\nReal time, one run each: the program's own drivers on sockets of 127.0.0.0/8 in \
         one process, 9 control instances on one thread and all followers on another; no delay or loss but the machine's. \
         One control instance's board is published on without a claim or a duty, and confirms the list every 250 ms. \
         Until full: from the start of everybody, the control instances with them and the list at one of them alone; in \
         virtual time these had run for 30 s and held all. In force: from publishing until a balancer (each) or the last \
         of them (everywhere) holds it; 10 changes a second apart; in virtual time from the change at discovery, with \
         delays between regions and 1% loss. Lost: sent and not received, until full and later. At rest: 5 s after the changes by the drivers' counters, both ways; processor time is the \
         thread's over its instances (of the control instances' the mean, their bytes and datagrams the busiest's), the \
         kernel's part and the runtime's in it, by ticks of 10 ms. Virtual: the median of the runs above, their \
         processor time within the instances' calls alone, that of the busiest control instance.\n\n\
         | balancers | run | until full, ms | each: p50 / p99 / last, ms | everywhere: p50 / p99 / last, ms | missing | lost: until full / later, unsent | balancer: B/s | datagrams/s | us/s | kernel | control: kB/s | datagrams/s | us/s | kernel | s of ours |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let percent =
        |kernel: Option<f64>| kernel.map_or("-".to_owned(), |k| format!("{:.0}%", k * 100.0));
    for s in &results.sockets {
        let full = s.until_full.map_or_else(
            || format!("**{} of {}**", s.full, s.followers),
            |ms| ms.to_string(),
        );
        writeln!(
            text,
            "| {} | sockets | {full} | {} | {} | {} | {} / {}, {} | {:.0} | {:.1} | {:.1} | {} | {:.1} | {:.0} | {:.0} | {} | {:.0} |",
            s.followers,
            format_spread(&s.each),
            format_spread(&s.everywhere),
            s.missing,
            s.lost.0,
            s.lost.1,
            s.unsent,
            s.follow.bytes,
            s.follow.datagrams,
            s.follow.cpu,
            percent(s.follow.kernel),
            s.control.bytes / 1000.0,
            s.control.datagrams,
            s.control.cpu,
            percent(s.control.kernel),
            s.wall
        )?;
        let costs = results.costs.iter();
        let costs: Vec<&Cost> = costs.filter(|c| c.followers == s.followers).collect();
        if costs.is_empty() {
            continue;
        }
        let of = |value: fn(&Cost) -> f64| median(costs.iter().map(|c| value(c)).collect());
        let mut delays = results.delays.iter();
        let delay = delays.find(|d| d.followers == s.followers);
        let mut starts = results.starts.iter();
        let start = starts.find(|st| st.starting == s.followers && st.entries == s.entries);
        let none = || "-".to_owned();
        writeln!(
            text,
            "| {} | virtual | {} | {} | {} | {} | - | {:.0} | {:.1} | {:.1} | - | {:.1} | {:.0} | {:.0} | - | - |",
            s.followers,
            start.map_or_else(none, |st| st.until_full.last.to_string()),
            delay.map_or_else(none, |d| format_spread(&d.each)),
            delay.map_or_else(none, |d| format_spread(&d.everywhere)),
            delay.map_or_else(none, |d| d.missing.to_string()),
            of(|c| c.follow.bytes),
            of(|c| c.follow.datagrams),
            of(|c| c.follow.cpu),
            of(|c| c.control.bytes / 1000.0),
            of(|c| c.control.datagrams),
            of(|c| c.control.cpu),
        )?;
    }
    Ok(())
}
