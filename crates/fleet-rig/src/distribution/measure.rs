//! The sized runs: how long a change takes, what a balancer and a control instance spend, a region cut off for an hour,
//! and the start of everybody. Results are kept as data, part by part, and the page is made from them.

use super::chaos;
use super::checker::Wrong;
use super::sockets::{self, Play, Sockets};
use super::world::{self, CONTROLS, Fault, Meter, Plan, REGIONS, VALUE, World, key};
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

/// The balancers and the servers that the operators name.
const BALANCERS: usize = 2100;
const SERVERS: usize = 630;
/// Followers of the stepped runs, and entries.
const FOLLOWERS: [usize; 6] = [100, 300, 600, 1000, 1500, 2100];
const ENTRIES: [usize; 5] = [630, 1000, 2500, 5000, 10_000];
/// Followers of the runs over sockets, their changes, and for how long the rest is measured.
const OVER_SOCKETS: [usize; 4] = [100, 300, 1000, 2100];
const SOCKET_CHANGES: usize = 10;
const SOCKET_REST: Duration = Duration::from_secs(5);
/// Followers that start one after another where the time until they are full is taken.
const FILLING: usize = 60;
/// Runs behind each point.
const RUNS: u64 = 3;
/// The control instances have found each other, and hold all.
const CONTROL: Millis = 30_000;
/// The letter's changes in a day, and those of a burst.
const A_DAY: f64 = 5700.0;
const BURST: usize = 100;
/// An entry travels as its key, its version and its value.
const ENTRY: usize = 16 + VALUE;

/// The counter of sources that counts datagrams of entries or hashes.
const PIECES: &str = "pieces";

/// The rate that a source states, and what its schedule lets through in a second at most: see `Pace`.
fn budget() -> (u64, u64) {
    let limits = Limits::default();
    let rate = u64::from(limits.datagrams_per_second);
    let most = rate * (1000 + 2 * RESERVATION_TOLERANCE) / 1000 + u64::from(limits.burst);
    (rate, most)
}

/// p50, p99 and the last, in ms, of so many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Half of them came within this.
    pub p50: u64,
    /// 99 of 100 did.
    pub p99: u64,
    /// All did.
    pub last: u64,
    /// How many.
    pub count: u64,
}

/// Changes in force at all followers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delay {
    /// What it was like.
    pub what: String,
    /// Balancers.
    pub followers: usize,
    /// Changes.
    pub changes: usize,
    /// For each change and follower.
    pub each: Spread,
    /// For each change, until the last follower had it.
    pub everywhere: Spread,
    /// Of a change and a follower, not in force half a minute after the last change.
    pub missing: usize,
    /// Seconds of ours, and of virtual time.
    pub wall: f64,
    /// See `wall`.
    pub played: f64,
}

/// What an instance spends in a second, and keeps.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Spent {
    /// Bytes sent and received.
    pub bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// Microseconds of a processor.
    pub cpu: f64,
    /// Bytes kept.
    pub memory: f64,
}

/// Costs at rest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Balancers, entries and the seed.
    pub followers: usize,
    /// See `followers`.
    pub entries: usize,
    /// See `followers`.
    pub seed: u64,
    /// A balancer's mean, and the one that spends most.
    pub follow: Spent,
    /// See `follow`.
    pub follow_most: Spent,
    /// The busiest control instance, with its node, and the mean of the nine.
    pub control: Spent,
    /// See `control`.
    pub control_mean: Spent,
    /// Of the mean, what the node spends: membership, claims and board.
    pub node: Spent,
    /// Followers that were full when the measuring began.
    pub full: usize,
    /// Seconds of ours.
    pub wall: f64,
}

/// Followers that start one after another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Filling {
    /// Entries and the seed.
    pub entries: usize,
    /// See `entries`.
    pub seed: u64,
    /// From the start of a follower until it is full.
    pub until_full: Spread,
    /// Bytes that a follower keeps.
    pub memory: f64,
    /// Seconds of ours.
    pub wall: f64,
}

/// A region cut off.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cut {
    /// What it was like.
    pub what: String,
    /// Its balancers, the seconds of the cut, the changes in it, and all entries.
    pub followers: usize,
    /// See `followers`.
    pub seconds: u64,
    /// See `followers`.
    pub changes: usize,
    /// See `followers`.
    pub entries: usize,
    /// From the healing until a change is in force, by change and follower.
    pub each: Spread,
    /// Of these, not in force a minute after the healing.
    pub missing: usize,
    /// Bytes that the region's balancers received over those at rest, in the minute after the healing.
    pub bytes: f64,
    /// What all entries would have been, and the entries that changed.
    pub all: f64,
    /// See `all`.
    pub changed: f64,
    /// From the healing until the region's own control instances hold all, over the board's comparison; `None`: not
    /// within a minute.
    pub control: Option<u64>,
    /// What a balancer said of its age at the end of the cut, in ms: the least of the region.
    pub age: u64,
    /// Seconds of ours.
    pub wall: f64,
}

/// A start of many at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Balancers that start, of all, and entries.
    pub starting: usize,
    /// See `starting`.
    pub followers: usize,
    /// See `starting`.
    pub entries: usize,
    /// From the start until full.
    pub until_full: Spread,
    /// Not full after the longest wait.
    pub missing: usize,
    /// The most pieces, bytes and datagrams that any control instance sent in any second.
    pub pieces: u64,
    /// See `pieces`.
    pub bytes: u64,
    /// See `pieces`.
    pub datagrams: u64,
    /// Pieces a second that a source states, and the most that its schedule lets through in any second.
    pub budget: (u64, u64),
    /// What sources and followers counted meanwhile.
    pub counted: BTreeMap<String, u64>,
    /// Seconds of ours.
    pub wall: f64,
}

/// Many seeds of faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seeds {
    /// The first, and how many.
    pub first: u64,
    /// See `first`.
    pub seeds: u64,
    /// Balancers of each.
    pub followers: usize,
    /// Faults, changes and looks of all.
    pub faults: usize,
    /// See `faults`.
    pub changes: usize,
    /// See `faults`.
    pub looks: u64,
    /// Seeds that were not sound, each with the first thing wrong.
    pub unsound: BTreeMap<u64, String>,
    /// How often what was wrong.
    pub wrong: BTreeMap<String, u64>,
    /// Seconds of ours.
    pub wall: f64,
}

/// All that was measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Results {
    /// The machine.
    pub machine: String,
    delays: Vec<Delay>,
    costs: Vec<Cost>,
    fillings: Vec<Filling>,
    cuts: Vec<Cut>,
    starts: Vec<Start>,
    seeds: Option<Seeds>,
    sockets: Vec<Sockets>,
}

/// A part of the runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Changes in force.
    Delay,
    /// Costs at rest by followers.
    Cost,
    /// Memory and time until full by entries.
    Entries,
    /// A region cut off.
    Cut,
    /// The start of many.
    Start,
    /// Over sockets in real time.
    Sockets,
}

pub(super) fn spread(values: impl IntoIterator<Item = u64>) -> Spread {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits");
    for value in values {
        histogram.record(value).expect("in range");
    }
    Spread {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        last: histogram.max(),
        count: histogram.len(),
    }
}

/// A world whose followers have all started and are at rest.
fn rested(plan: Plan, seed: u64) -> World {
    let followers = plan.followers as u64;
    let mut world = World::new(plan, seed);
    world.run_until(CONTROL);
    // As fast as 100 a second, so that nobody has to wait for a budget.
    let span = followers * 10;
    world.start_followers(CONTROL, span);
    let mut end = CONTROL + span + 10_000;
    world.run_until(end);
    while end < CONTROL + span + 600_000 && !all_full(&world) {
        end += 1000;
        world.run_until(end);
    }
    world
}

fn all_full(world: &World) -> bool {
    let mut all = world.followers();
    all.all(|i| world.full_at[i].is_some())
}

/// Which control instances die in a run of [`delay`].
#[derive(Clone, Copy, Debug)]
pub enum Dead {
    /// None.
    Nobody,
    /// These, half a minute before the first change.
    Before([usize; 2]),
    /// The writer and another one, in the middle of the burst.
    Writer,
}

/// How long changes take.
pub fn delay(
    what: &str,
    followers: usize,
    loss: f64,
    dead: Dead,
    minutes: u64,
    seed: u64,
) -> Delay {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries: SERVERS,
        ..Plan::default()
    };
    let mut world = rested(plan, seed);
    world.at(world.now, Fault::Network(loss, 0.01, 0.0));
    let mut from = world.now + 1000;
    if let Dead::Before(dead) = dead {
        dead.iter().for_each(|i| world.at(from, Fault::Kill(*i)));
        from += 30_000;
    }
    let span = minutes * 60_000;
    let count = (A_DAY / 86_400_000.0 * span as f64).round() as usize;
    // Spread over the span, and a burst in its middle minute.
    let mut times: Vec<Millis> = (0..count)
        .map(|_| from + world.random().random_range(0..span))
        .collect();
    let middle = from + span / 2;
    times.extend((0..BURST).map(|_| middle + world.random().random_range(0..60_000)));
    for (n, at) in times.iter().enumerate() {
        let fault = match n % 8 {
            // A row in eight goes, one is new, the others change.
            0 => Fault::Remove(key(SERVERS - 1 - n)),
            1 => Fault::Set(key(SERVERS + n)),
            _ => Fault::Set(key(n * 3 % (SERVERS / 2))),
        };
        world.at(*at, fault);
    }
    if let Dead::Writer = dead {
        world.run_until(middle + 30_000);
        let writer = world.writer().unwrap_or(0);
        world.at(world.now, Fault::Kill(writer));
        world.at(world.now, Fault::Kill((writer + 1) % CONTROLS));
    }
    world.run_until(from + span + 60_000 + 30_000);
    let (mut each, mut everywhere, mut missing) = (Vec::new(), Vec::new(), 0);
    for change in &world.checker.changes {
        let took = change.in_force.iter().map(|(_, at)| at - change.at);
        everywhere.push(took.clone().max().unwrap_or(0));
        each.extend(took);
        missing += followers - change.in_force.len();
    }
    Delay {
        what: what.to_owned(),
        followers,
        changes: times.len(),
        each: spread(each),
        everywhere: spread(everywhere),
        missing,
        wall: start.elapsed().as_secs_f64(),
        played: world.now as f64 / 1000.0,
    }
}

fn spent(meters: &[Meter], seconds: f64) -> Spent {
    let sum = |of: fn(&Meter) -> f64| meters.iter().map(of).sum::<f64>();
    Spent {
        bytes: sum(|m| (m.sent.1 + m.received.1) as f64) / seconds,
        datagrams: sum(|m| (m.sent.0 + m.received.0) as f64) / seconds,
        cpu: sum(|m| m.cpu as f64) / 1000.0 / seconds,
        memory: sum(|m| m.memory as f64),
    }
}

fn fold(all: &[Spent], with: fn(f64, f64) -> f64, by: f64) -> Spent {
    let of = |value: fn(&Spent) -> f64| all.iter().map(value).fold(0.0, with) / by;
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

fn most(all: &[Spent]) -> Spent {
    fold(all, f64::max, 1.0)
}

/// What is spent at rest.
pub fn cost(followers: usize, entries: usize, seconds: u64, seed: u64) -> Cost {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        meter: true,
        ..Plan::default()
    };
    let mut world = rested(plan, seed);
    let full = world.followers().filter(|i| world.full_at[*i].is_some());
    let full = full.count();
    // What came with the start is over.
    world.run_until(world.now + 10_000);
    world.reset_meters();
    world.run_until(world.now + seconds * 1000);
    let of = |i: usize| spent(&world.meters[i], seconds as f64);
    let follow: Vec<Spent> = world.followers().map(of).collect();
    let control: Vec<Spent> = (0..CONTROLS).map(of).collect();
    let node = (0..CONTROLS).map(|i| spent(&world.meters[i][1..], seconds as f64));
    Cost {
        followers,
        entries,
        seed,
        follow: mean(&follow),
        follow_most: most(&follow),
        control: most(&control),
        control_mean: mean(&control),
        node: mean(&node.collect::<Vec<_>>()),
        full,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Followers that start one after another, a second apart.
pub fn filling(entries: usize, followers: usize, seed: u64) -> Filling {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        meter: true,
        ..Plan::default()
    };
    let mut world = World::new(plan, seed);
    world.run_until(2 * CONTROL);
    for (n, i) in world.followers().enumerate() {
        world.at(2 * CONTROL + 1000 * n as u64, Fault::Start(i));
    }
    let mut end = 2 * CONTROL + 1000 * followers as u64;
    world.run_until(end);
    while end < 1_200_000 && !all_full(&world) {
        end += 1000;
        world.run_until(end);
    }
    let took = world.followers().map(|i| match world.full_at[i] {
        Some(at) => at - world.started_at[i],
        None => world.now,
    });
    let until_full = spread(took.collect::<Vec<_>>());
    let memory = world.followers().map(|i| world.meters[i][0].memory as f64);
    Filling {
        entries,
        seed,
        until_full,
        memory: memory.sum::<f64>() / followers as f64,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// A region cut off for so long while so many changes are made elsewhere.
pub fn cut(
    what: &str,
    followers: usize,
    entries: usize,
    seconds: u64,
    changes: usize,
    retell: bool,
    seed: u64,
) -> Cut {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        retell,
        ..Plan::default()
    };
    let mut world = rested(plan, seed);
    let writer = world.writer().unwrap_or(0);
    // Not the writer's region: it keeps to itself who writes.
    let region = (world::place(writer).region + 1) % REGIONS as u32;
    let (inside, outside) = world.split(region);
    let inside_followers: Vec<usize> = inside.iter().copied().filter(|i| *i >= CONTROLS).collect();
    let received = |world: &World| -> u64 {
        let of = inside_followers
            .iter()
            .map(|i| world.meters[*i][0].received.1);
        of.sum()
    };
    // Bytes at rest in a minute.
    let before = received(&world);
    world.run_until(world.now + 60_000);
    let rest = received(&world) - before;
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
        follower.data_age(world.mono(*i))
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
    let bytes = (received(&world) - before) as f64 - rest as f64;
    let is_inside: Vec<bool> = {
        let mut set = vec![false; followers];
        inside_followers
            .iter()
            .for_each(|i| set[*i - CONTROLS] = true);
        set
    };
    let (mut each, mut missing) = (Vec::new(), 0);
    for change in &world.checker.changes {
        let there = change
            .in_force
            .iter()
            .filter(|(f, _)| is_inside[*f as usize]);
        let took: Vec<u64> = there.map(|(_, at)| at.saturating_sub(heal)).collect();
        missing += inside_followers.len() - took.len();
        each.extend(took);
    }
    let many = inside_followers.len() as f64;
    Cut {
        what: what.to_owned(),
        followers: inside_followers.len(),
        seconds,
        changes,
        entries,
        each: spread(each),
        missing,
        bytes,
        all: (entries * ENTRY) as f64 * many,
        changed: (changes.min(entries) * ENTRY) as f64 * many,
        control,
        age,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Followers of one region, or all, start at once.
pub fn start_at_once(followers: usize, entries: usize, region: Option<u32>, seed: u64) -> Start {
    let start = Instant::now();
    let plan = Plan {
        followers,
        entries,
        ..Plan::default()
    };
    let mut world = match region {
        Some(_) => rested(plan, seed),
        None => {
            let mut world = World::new(plan, seed);
            world.run_until(2 * CONTROL);
            world
        }
    };
    let starting: Vec<usize> = world
        .followers()
        .filter(|i| region.is_none_or(|region| world::place(*i).region == region))
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
        counters.get(PIECES).copied().unwrap_or(0)
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
        if starting.iter().all(|i| world.full_at[*i].is_some()) {
            break;
        }
    }
    let full = starting.iter().filter_map(|i| world.full_at[*i]);
    let took: Vec<u64> = full.map(|at| at - from).collect();
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
        missing: starting.len() - took.len(),
        until_full: spread(took),
        pieces,
        bytes: most(|m| m.most.0),
        datagrams: most(|m| m.most.1),
        budget: budget(),
        counted,
        wall: start.elapsed().as_secs_f64(),
    }
}

/// Plays many seeds, and puts down what came of them.
pub fn seeds(first: u64, seeds: u64, followers: usize, jobs: usize) -> Seeds {
    let start = Instant::now();
    let outcomes = chaos::many(first..first + seeds, followers, jobs);
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
        Wrong::Back,
        Wrong::Returned,
        Wrong::Invented,
        Wrong::Twofold,
        Wrong::Lost,
    ] {
        all.wrong.insert(format!("{what:?}"), 0);
    }
    for outcome in outcomes {
        all.faults += outcome.faults;
        all.changes += outcome.changes;
        all.looks += outcome.looks;
        for (what, n) in &outcome.wrong {
            *all.wrong.entry(format!("{what:?}")).or_default() += n;
        }
        if !outcome.sound() {
            let first = outcome.told.first().cloned().unwrap_or_default();
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

const FILE: &str = "distribution.json";

fn change(folder: &Path, with: impl FnOnce(&mut Results)) -> Result<(), String> {
    let file = folder.join(FILE);
    let mut results = Results::read(&file)?;
    results.machine = machine();
    with(&mut results);
    let text = serde_json::to_string_pretty(&results).map_err(|e| e.to_string())? + "\n";
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    page(folder, &results)
}

/// Plays seeds of faults and puts down what came of them; whether all were sound.
pub fn run_seeds(
    folder: &Path,
    first: u64,
    count: u64,
    followers: usize,
    jobs: usize,
) -> Result<bool, String> {
    let all = seeds(first, count, followers, jobs);
    println!("{all:#?}");
    let sound = all.unsound.is_empty();
    change(folder, |results| results.seeds = Some(all))?;
    Ok(sound)
}

/// Plays one part and puts its results down: data, page, series and charts.
pub fn run(folder: &Path, part: Part) -> Result<(), String> {
    match part {
        Part::Delay => {
            let minutes = 10;
            let plays = [
                ("1% loss", 0.01, Dead::Nobody),
                ("5% loss", 0.05, Dead::Nobody),
                ("5% loss, two of the nine dead", 0.05, Dead::Before([0, 1])),
                (
                    "5% loss, two dead that are both of a region's",
                    0.05,
                    Dead::Before([2, 8]),
                ),
                (
                    "5% loss, the writer and another die in the burst",
                    0.05,
                    Dead::Writer,
                ),
            ];
            let mut delays = Vec::new();
            std::thread::scope(|scope| {
                let plays = plays.map(|(what, loss, dead)| {
                    scope.spawn(move || delay(what, BALANCERS, loss, dead, minutes, 1))
                });
                delays.extend(plays.into_iter().map(|p| p.join().expect("a play ends")));
            });
            delays.iter().for_each(|d| println!("{d:?}"));
            change(folder, |results| results.delays = delays)
        }
        Part::Cost => {
            let mut costs = Vec::new();
            for followers in FOLLOWERS {
                for seed in 1..=RUNS {
                    let cost = cost(followers, SERVERS, 60, seed);
                    println!("{cost:?}");
                    costs.push(cost);
                }
            }
            put_series(folder, &costs, &[])?;
            change(folder, |results| results.costs = costs)
        }
        Part::Entries => {
            let mut fillings = Vec::new();
            for entries in ENTRIES {
                for seed in 1..=RUNS {
                    let filling = filling(entries, FILLING, seed);
                    println!("{filling:?}");
                    fillings.push(filling);
                }
            }
            put_series(folder, &[], &fillings)?;
            change(folder, |results| results.fillings = fillings)
        }
        Part::Cut => {
            let mut cuts = Vec::new();
            std::thread::scope(|scope| {
                let plays = [
                    ("a region for an hour", 3600, SERVERS, false),
                    ("a region for an hour, 5,000 entries", 3600, 5000, false),
                ]
                .map(|(what, seconds, entries, retell)| {
                    scope.spawn(move || cut(what, BALANCERS, entries, seconds, 240, retell, 1))
                });
                cuts.extend(plays.into_iter().map(|p| p.join().expect("a play ends")));
            });
            cuts.iter().for_each(|c| println!("{c:?}"));
            change(folder, |results| results.cuts = cuts)
        }
        Part::Start => {
            let mut starts = Vec::new();
            std::thread::scope(|scope| {
                let plays = [
                    (SERVERS, Some(1)),
                    (SERVERS, None),
                    (5000, Some(1)),
                    (5000, None),
                ]
                .map(|(entries, region)| {
                    scope.spawn(move || start_at_once(BALANCERS, entries, region, 1))
                });
                starts.extend(plays.into_iter().map(|p| p.join().expect("a play ends")));
            });
            starts.iter().for_each(|s| println!("{s:?}"));
            change(folder, |results| results.starts = starts)
        }
        Part::Sockets => {
            let mut runs = Vec::new();
            for followers in OVER_SOCKETS {
                let run = sockets::play(Play {
                    followers,
                    entries: SERVERS,
                    changes: SOCKET_CHANGES,
                    rest: SOCKET_REST,
                })?;
                println!("{run:?}");
                runs.push(run);
            }
            change(folder, |results| results.sockets = runs)
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

const WHAT: &str = "virtual time, real nodes, sources and followers down to their sealed datagrams; 9 control \
    instances, 6 regions, 13 zones, one way 1 ms in a zone, 2 ms in a region, 40 to 120 ms between regions and up to a \
    fifth more; 1% lost, 1% doubled; no sockets, no clients, no relay";

/// The medians of the runs as series.
fn put_series(folder: &Path, costs: &[Cost], fillings: &[Filling]) -> Result<(), String> {
    let mut all = BTreeMap::new();
    let command = "cargo run --release -p spanspur-fleet-rig -- distribution";
    type Take = (&'static str, &'static str, &'static str, fn(&Cost) -> f64);
    let takes: [Take; 8] = [
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
    for (name, unit, what, of) in takes {
        let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for cost in costs {
            by.entry(cost.followers).or_default().push(of(cost));
        }
        let points = by.into_iter().map(|(n, values)| (n as f64, median(values)));
        let series = Series {
            what: format!("{what}, at rest, 630 entries; {WHAT}"),
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
    type Fill = (
        &'static str,
        &'static str,
        &'static str,
        fn(&Filling) -> f64,
    );
    let takes: [Fill; 2] = [
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
    for (name, unit, what, of) in takes {
        let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for filling in fillings {
            by.entry(filling.entries).or_default().push(of(filling));
        }
        let points = by.into_iter().map(|(n, values)| (n as f64, median(values)));
        let series = Series {
            what: format!("{what}, of 44 B a value; {WHAT}"),
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

/// Charts of a balancer's and a control instance's cost, beside the flat cluster's where it is known.
pub fn draw(folder: &Path) -> Result<(), String> {
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
            // The flat cluster's series count what is sent alone; all that is sent is received by another one.
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

/// Writes the page and the charts anew from what is there.
pub fn write_page(folder: &Path) -> Result<(), String> {
    change(folder, |_| ())
}

/// Writes the page of what was measured.
fn page(folder: &Path, results: &Results) -> Result<(), String> {
    draw(folder)?;
    let measured = MeasuredSeries::read(&folder.join("scale.json"))?;
    let text = table(results, &measured).map_err(|e| e.to_string())?;
    let file = folder.join("distribution.md");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))
}

fn of_ms(spread: &Spread) -> String {
    format!("{} / {} / {}", spread.p50, spread.p99, spread.last)
}

/// Whether a bound is held, and by how much it is not.
fn held(value: f64, bound: f64) -> String {
    match value <= bound {
        true => "held".to_owned(),
        false => format!("**missed by {:.0}%**", (value / bound - 1.0) * 100.0),
    }
}

fn table(results: &Results, measured: &MeasuredSeries) -> Result<String, std::fmt::Error> {
    let mut text = format!(
        "# Distribution, measured\n\nMade by `cargo run --release -p spanspur-fleet-rig -- distribution PART` with PART \
         `delay`, `cost`, `entries`, `cut`, `start`, `seeds` or `sockets`; each replaces its own part of `{FILE}`, from which this \
         page is made. The last run was on {}.\n\n\
         How: {WHAT}. A row of the list has {VALUE} bytes. One thread plays all instances of a run, so a \
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
            of_ms(&d.each),
            of_ms(&d.everywhere),
            d.missing,
            held(d.each.p99 as f64, 3000.0),
            held(d.each.last as f64, 12_000.0),
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
                held(value, bound)
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
        "\n## By entries\n\n{FILLING} balancers that start one a second, the least and most of three seeds.\n\n\
         | entries | memory of a balancer, kB | until full: p50 / p99 / last, ms | s of ours |\n| --- | --- | --- | --- |"
    )?;
    for f in &results.fillings {
        writeln!(
            text,
            "| {} | {:.1} | {} | {:.1} |",
            f.entries,
            f.memory / 1000.0,
            of_ms(&f.until_full),
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
            of_ms(&c.each),
            c.missing,
            held(c.each.last as f64, 12_000.0),
            c.bytes / 1e6,
            c.bytes / c.changed,
            c.bytes / c.all * 100.0,
            held(c.bytes, c.all),
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
            of_ms(&s.until_full),
            s.missing,
            s.pieces,
            s.budget.0,
            s.budget.1,
            held(s.pieces as f64, s.budget.1 as f64),
            s.bytes as f64 / 1000.0,
            s.datagrams,
            s.wall
        )?;
    }
    over_sockets(&mut text, results)?;
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

/// The runs over sockets beside those in virtual time.
fn over_sockets(text: &mut String, results: &Results) -> std::fmt::Result {
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
    let part =
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
            of_ms(&s.each),
            of_ms(&s.everywhere),
            s.missing,
            s.lost.0,
            s.lost.1,
            s.unsent,
            s.follow.bytes,
            s.follow.datagrams,
            s.follow.cpu,
            part(s.follow.kernel),
            s.control.bytes / 1000.0,
            s.control.datagrams,
            s.control.cpu,
            part(s.control.kernel),
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
            delay.map_or_else(none, |d| of_ms(&d.each)),
            delay.map_or_else(none, |d| of_ms(&d.everywhere)),
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
