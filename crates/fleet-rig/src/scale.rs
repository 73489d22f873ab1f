//! What the flat cluster costs at stepped sizes: every instance knows every other, as [`spanspur_cluster::Node`] has
//! it today. Hollow instances share a process: the real control code down to its sealed datagrams, and no clients, no
//! relay, no duties. Each run is a process of its own, so that its memory is its own.

use crate::charts;
use crate::meter::{Meter, resident, thread_cpu_ns};
use crate::series::{MeasuredSeries, Series};
use crate::sockets;
use crate::world::{Plan, World, name};
use clap::Args as Arguments;
use serde::{Deserialize, Serialize};
use spanspur_leases::InstanceId;
use spanspur_leases::gossip_store::{GossipEntry, GossipMessage, GossipStore, MAX_VALUE_BYTES};
use spanspur_membership::{Key, Keys, Sessions};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

/// Bytes of an entry of the board, of those that stand on it from the start and of the news.
pub const VALUE: usize = 64;
/// A key of the news; those of the standing entries lie below.
pub const NEWS_KEY: u64 = 1 << 32;
/// The letter's balancers.
const MOST: usize = 2100;
/// Runs up to this size are repeated.
const REPEATED: usize = 300;
/// The letter's limits for control at a balancer: bytes a second, processor time (us a second), memory (bytes); and a
/// change everywhere (ms).
const LIMITS: [(&str, f64); 4] = [
    ("flat-bytes", 4_000.0),
    ("flat-cpu", 17_000.0),
    ("flat-memory", 32_000_000.0),
    ("flat-news", 12_000.0),
];

/// What is measured, and how.
#[derive(Arguments, Clone, Debug)]
pub struct Args {
    /// Where the data, the table and the charts go; sizes measured before and not now are kept.
    #[arg(default_value = "docs/measured")]
    pub folder: PathBuf,
    /// Instances.
    #[arg(long, value_delimiter = ',', default_values_t = [25, 50, 100, 200, 300, 400, 600])]
    pub sizes: Vec<usize>,
    /// Runs at sizes up to 300, with a seed each; above, one.
    #[arg(long, default_value_t = 3)]
    pub runs: u64,
    /// Runs at the same time.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// The pace of the membership: each looks at another one so often, in ms (an operator's default is 300).
    #[arg(long, default_value_t = 300)]
    pub probe: u64,
    /// Entries that stand on every board from the start, 64 bytes each.
    #[arg(long, default_value_t = 256)]
    pub board: usize,
    /// All have to see all within this many seconds, or it is given up.
    #[arg(long, default_value_t = 300)]
    pub wait: u64,
    /// After that so many seconds pass until the cluster counts as at rest.
    #[arg(long, default_value_t = 30)]
    pub settle: u64,
    /// It is measured at rest for so many seconds.
    #[arg(long, default_value_t = 20)]
    pub rest: u64,
    /// Pieces of news, one after the other.
    #[arg(long, default_value_t = 3)]
    pub news: u64,
    /// Each is waited for so many seconds at most.
    #[arg(long, default_value_t = 60)]
    pub news_wait: u64,
    /// Share of datagrams lost, in virtual time.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Over loopback sockets in real time, instead of in virtual time.
    #[arg(long)]
    pub sockets: bool,
    /// One run at the first of the sizes, and its result on the standard output.
    #[arg(long, hide = true)]
    pub one: Option<u64>,
}

/// What one run has shown. Rates are for one instance and one second, the mean of all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Point {
    /// Instances in the cluster.
    pub instances: usize,
    /// The seed of the world.
    pub seed: u64,
    /// Seconds from the start of everybody until all saw all; `None` where they did not within the wait.
    pub join_s: Option<f64>,
    /// The share of ordered pairs of which the one saw the other, at the end of the wait and of the rest.
    pub seen: (f64, f64),
    /// Until then: bytes sent and processor time of one instance, in us, in all.
    pub join_bytes: f64,
    /// See `join_bytes`.
    pub join_cpu_us: f64,
    /// Until then, of all instances: datagrams put off for want of a session, others held for gone wrongly.
    pub put_off: u64,
    /// See `put_off`.
    pub downs: u64,
    /// At rest: bytes, datagrams, processor time (us) of the node, and of the rig besides.
    pub bytes: f64,
    /// See `bytes`.
    pub datagrams: f64,
    /// See `bytes`.
    pub cpu_us: f64,
    /// See `bytes`.
    pub rig_us: f64,
    /// At rest, of all instances: datagrams put off, others held for gone wrongly.
    pub rest_put_off: u64,
    /// See `rest_put_off`.
    pub rest_downs: u64,
    /// Resident bytes of the process for each instance, its own before the start taken off.
    pub memory: f64,
    /// Milliseconds until all others had a change; `None` where they did not within the wait.
    pub news_ms: Vec<Option<u64>>,
    /// The share of the others that had it then.
    pub news_share: Vec<f64>,
    /// What all instances dropped or refused, in the whole run.
    pub counters: BTreeMap<String, u64>,
}

/// Entries that stand on every board.
pub fn standing(count: usize) -> Vec<GossipEntry> {
    let entry = |key| GossipEntry {
        key,
        version: 1,
        value: vec![7; VALUE],
    };
    (0..count as u64).map(entry).collect()
}

fn counters(world: &World) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for node in (0..world.plan.instances).filter_map(|i| world.node(i)) {
        for (name, n) in node.counters() {
            *all.entry(name.to_owned()).or_default() += n;
        }
    }
    all
}

/// One run in virtual time.
pub fn play(args: &Args, instances: usize, seed: u64) -> Point {
    let before = resident();
    let plan = Plan {
        instances,
        voters: instances.min(9),
        duties: 0,
        // No duty has it; the membership's pace is a tenth of it.
        every: args.probe * 10,
        loss: args.loss,
        twice: 0.0,
        ..Plan::default()
    };
    let mut world = World::new(plan, seed);
    world.meter = Some(Meter::new(instances));
    // Nobody knows anybody yet: this sends nothing.
    (0..instances).for_each(|i| world.publish(i, standing(args.board)));
    let mut point = Point {
        instances,
        seed,
        ..Point::default()
    };
    let per = instances as f64;
    let sent = |world: &World| {
        let all = world.sent.iter();
        all.fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
    };
    let put_off = |world: &World| counters(world).get("no-session").copied().unwrap_or(0);
    let mut at = 0;
    while at < args.wait * 1000 && meter(&world).all_at.is_none() {
        at += 100;
        world.run_until(at);
    }
    point.join_s = meter(&world).all_at.map(|ms| ms as f64 / 1000.0);
    point.seen.0 = meter(&world).seen();
    point.join_bytes = sent(&world).1 as f64 / per;
    point.join_cpu_us = meter(&world).cpu_us() / per;
    (point.put_off, point.downs) = (put_off(&world), meter(&world).downs);

    let settled = at + args.settle * 1000;
    world.run_until(settled);
    let (sent_before, cpu, off) = (sent(&world), meter(&world).cpu_us(), put_off(&world));
    let (downs, thread) = (meter(&world).downs, thread_cpu_ns());
    world.run_until(settled + args.rest * 1000);
    let all_us = (thread_cpu_ns() - thread) as f64 / 1000.0;
    let sent_after = sent(&world);
    let rate = per * args.rest as f64;
    point.datagrams = (sent_after.0 - sent_before.0) as f64 / rate;
    point.bytes = (sent_after.1 - sent_before.1) as f64 / rate;
    point.cpu_us = (meter(&world).cpu_us() - cpu) / rate;
    point.rig_us = all_us / rate - point.cpu_us;
    point.rest_put_off = put_off(&world) - off;
    point.rest_downs = meter(&world).downs - downs;
    point.seen.1 = meter(&world).seen();
    point.memory = resident().saturating_sub(before) as f64 / per;

    for n in 0..args.news {
        let (start, key) = (world.now, NEWS_KEY + n);
        let publisher = instances / 2 + n as usize;
        let entry = GossipEntry {
            key,
            version: 1,
            value: vec![9; VALUE],
        };
        world.publish(publisher % instances, vec![entry]);
        let others = instances - 1;
        while meter(&world).told(key).0 < others && world.now < start + args.news_wait * 1000 {
            world.run_until(world.now + 50);
        }
        let (told, last) = meter(&world).told(key);
        point.news_ms.push((told == others).then(|| last - start));
        point.news_share.push(told as f64 / others as f64);
    }
    point.counters = counters(&world);
    point
}

fn meter(world: &World) -> &Meter {
    world.meter.as_ref().expect("set at the start")
}

/// All runs, by size.
type Points = BTreeMap<usize, Vec<Point>>;

/// Plays all sizes in processes of their own, and writes `scale.json`'s series, the runs, a table and charts. Sizes
/// that were measured before and are not asked for now stay.
pub fn run(args: &Args) -> Result<(), String> {
    let first = args.sizes.first().copied().unwrap_or(0);
    if let Some(seed) = args.one {
        let point = match args.sockets {
            true => sockets::play(args, first, seed)?,
            false => play(args, first, seed),
        };
        println!("{}", serde_json::to_string(&point).unwrap_or_default());
        return Ok(());
    }
    let runs = |size: &usize| if *size <= REPEATED { args.runs } else { 1 };
    let jobs = args
        .sizes
        .iter()
        .flat_map(|size| (1..=runs(size)).map(|seed| (*size, seed)));
    let waiting = Mutex::new(jobs.rev().collect::<Vec<_>>());
    let (folder, stem) = (
        &args.folder,
        if args.sockets {
            "scale-sockets"
        } else {
            "scale-flat"
        },
    );
    let all = Mutex::new(read(folder, stem)?);
    let (fresh, failed) = (Mutex::new(BTreeSet::new()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let next = waiting.lock().expect("whole").pop();
                    let Some((size, seed)) = next else { break };
                    let done = child(args, size, seed).and_then(|point| {
                        println!("{point:?}");
                        let mut all = all.lock().expect("whole");
                        if fresh.lock().expect("whole").insert(size) {
                            all.remove(&size);
                        }
                        all.entry(size).or_default().push(point);
                        // What is measured is kept, whatever becomes of the sizes that take longer.
                        write(folder, stem, &all)
                    });
                    if let Err(what) = done {
                        failed.lock().expect("whole").push(what);
                    }
                }
            });
        }
    });
    if !args.sockets {
        let series = series(&all.into_inner().expect("whole"), args);
        charts(folder, &series)?;
        MeasuredSeries::update(&folder.join("scale.json"), series)?;
    }
    let page = write_page(
        &read(folder, "scale-flat")?,
        &read(folder, "scale-sockets")?,
        args,
    );
    let page = page.map_err(|e| e.to_string())?;
    std::fs::write(folder.join("scale.md"), page).map_err(|e| format!("scale.md: {e}"))?;
    let failed = failed.into_inner().expect("whole");
    match failed.is_empty() {
        true => Ok(()),
        false => Err(failed.join("\n")),
    }
}

/// The runs that a folder holds; none yet if there is no file.
fn read(folder: &Path, stem: &str) -> Result<Points, String> {
    match std::fs::read(folder.join(format!("{stem}.json"))) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| format!("{stem}.json: {e}")),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Points::new()),
        Err(e) => Err(format!("{stem}.json: {e}")),
    }
}

fn write(folder: &Path, stem: &str, all: &Points) -> Result<(), String> {
    let text = serde_json::to_string_pretty(all).unwrap_or_default() + "\n";
    std::fs::write(folder.join(format!("{stem}.json")), text)
        .map_err(|e| format!("{stem}.json: {e}"))
}

fn child(args: &Args, size: usize, seed: u64) -> Result<Point, String> {
    let failed = |e: &dyn std::fmt::Display| format!("{size} instances, seed {seed}: {e}");
    let program = std::env::current_exe().map_err(|e| failed(&e))?;
    let mut command = Command::new(program);
    command.arg("scale").args(["--one", &seed.to_string()]);
    command.args(["--sizes", &size.to_string()]);
    command.args(["--probe", &args.probe.to_string()]);
    command.args(["--board", &args.board.to_string()]);
    command.args(["--wait", &args.wait.to_string()]);
    command.args(["--settle", &args.settle.to_string()]);
    command.args(["--rest", &args.rest.to_string()]);
    command.args(["--news", &args.news.to_string()]);
    command.args(["--news-wait", &args.news_wait.to_string()]);
    command.args(["--loss", &args.loss.to_string()]);
    if args.sockets {
        command.arg("--sockets");
    }
    let output = command
        .stderr(Stdio::inherit())
        .output()
        .map_err(|e| failed(&e))?;
    if !output.status.success() {
        return Err(failed(&output.status));
    }
    serde_json::from_slice(&output.stdout).map_err(|e| failed(&e))
}

/// The middle one, the lower of two.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// The median of the runs at a size; `None` if one of them has no value.
fn of(points: &[Point], value: impl Fn(&Point) -> Option<f64>) -> Option<f64> {
    let values: Option<Vec<f64>> = points.iter().map(value).collect();
    median(values?.into_iter())
}

/// The slowest piece of news of a run.
fn news(point: &Point) -> Option<f64> {
    let all: Option<Vec<u64>> = point.news_ms.iter().copied().collect();
    all?.into_iter().max().map(|ms| ms as f64)
}

type Value = fn(&Point) -> Option<f64>;

/// The series, by name: what each says, its unit, and its value of a run.
const SERIES: [(&str, &str, &str, Value); 9] = [
    (
        "flat-bytes",
        "Bytes sent by one instance at rest",
        "B/s",
        |p| Some(p.bytes),
    ),
    (
        "flat-datagrams",
        "Datagrams sent by one instance at rest",
        "1/s",
        |p| Some(p.datagrams),
    ),
    (
        "flat-cpu",
        "Processor time of one instance's node at rest, sealing and decoding with it; the rig's own and that of \
         reading the clock taken off",
        "us/s",
        |p| Some(p.cpu_us),
    ),
    (
        "flat-memory",
        "Resident memory of the process for each instance at rest, what it had before the start taken off",
        "B",
        |p| Some(p.memory),
    ),
    (
        "flat-join",
        "From a start of everybody until all see all",
        "s",
        |p| p.join_s,
    ),
    (
        "flat-put-off",
        "Datagrams of all instances put off for want of a session, until all see all",
        "datagrams",
        |p| p.join_s.map(|_| p.put_off as f64),
    ),
    (
        "flat-join-cpu",
        "Processor time of one instance's node in all, from a start of everybody until all see all",
        "us",
        |p| p.join_s.map(|_| p.join_cpu_us),
    ),
    (
        "flat-join-bytes",
        "Bytes sent by one instance in all, from a start of everybody until all see all",
        "B",
        |p| p.join_s.map(|_| p.join_bytes),
    ),
    (
        "flat-news",
        "From a change at one instance until all have it, the slowest of three",
        "ms",
        news,
    ),
];

fn series(all: &Points, args: &Args) -> BTreeMap<String, Series> {
    let hollow = format!(
        "virtual time, one flat cluster; hollow instances: no clients, no relay, no duties; probes every {} ms, {} \
         entries on each board, datagrams take 1 to 20 ms, {} of them lost; runs at sizes up to {REPEATED}, one above \
         it; sizes at which it never came about are left out",
        args.probe, args.board, args.loss
    );
    let made = SERIES.iter().map(|(name, what, unit, value)| {
        let points = all
            .iter()
            .filter_map(|(size, points)| Some((*size as f64, of(points, value)?)));
        let series = Series {
            what: format!("{what}; {hollow}"),
            command: "cargo run --release -p spanspur-fleet-rig -- scale".into(),
            size: "instances".into(),
            unit: (*unit).into(),
            runs: all.values().map(|p| p.len() as u32).max().unwrap_or(0),
            points: points.collect(),
        };
        ((*name).to_owned(), series)
    });
    made.collect()
}

fn charts(folder: &Path, series: &BTreeMap<String, Series>) -> Result<(), String> {
    let share = LIMITS.map(|(name, limit)| {
        let points = series[name].points.iter().map(|(x, y)| (*x, y / limit));
        (name.to_owned(), points.collect())
    });
    charts::line_chart(
        &folder.join("scale-limits.svg"),
        "The flat cluster, as a share of the letter's limits (1 is the limit)",
        ("instances", "share of the limit"),
        true,
        &share,
    )?;
    let join = ["flat-join"].map(|name| (name.to_owned(), series[name].points.clone()));
    charts::line_chart(
        &folder.join("scale-join.svg"),
        "From a start of everybody until all see all",
        ("instances", "s"),
        false,
        &join,
    )
}

/// A page from the runs.
fn write_page(flat: &Points, real: &Points, args: &Args) -> Result<String, std::fmt::Error> {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut text = format!(
        "# The flat cluster at size, measured\n\n\
         Made by `cargo run --release -p spanspur-fleet-rig -- scale` (and `-- scale --sockets`) on a machine of \
         {cores} cores, others at work on it. Every instance knows every other, as `spanspur_cluster::Node` has it \
         today. Instances are hollow: the real control code down to its sealed datagrams, but no clients, no relay and \
         no duties; one process holds all instances of a run. Membership probes every {} ms, and {} entries of 64 bytes \
         stand on every board. The data: `scale.json` (series), `scale-flat.json` and `scale-sockets.json` (every run). \
         At sizes up to {REPEATED} the median of the runs, with the least and the most in brackets; above, one run each.\n\n\
         ## In virtual time\n\n\
         Datagrams take 1 to 20 ms, {}% are lost. 'At rest' is 20 s, from 30 s after all see all (or {} s after the \
         start where they never do). Processor time is read from the thread's clock around each call of a node; the \
         clock's own cost is measured and taken off, and what the rig spends besides stands beside it. One thread \
         goes from node to node, so that its caches are colder than a balancer's own.\n\n{HEAD}",
        args.probe,
        args.board,
        args.loss * 100.0,
        args.wait
    );
    for (size, points) in flat {
        row(&mut text, *size, points)?;
    }
    text +=
        "\n![Share of the letter's limits](scale-limits.svg)\n\n![All see all](scale-join.svg)\n\n";
    troubles(&mut text, flat)?;
    let held = largest(MOST, |n| sessions_held(n - 1));
    write!(
        text,
        "\n## Ends by the formats alone\n\nOf the board's, the sealing's and the encoder's own code, without a cluster.\n\n\
         - An instance holds sessions with all others up to {held} instances; at {MOST} with {} of {}.\n",
        sessions_held(MOST - 1),
        MOST - 1
    )?;
    for value in [VALUE, 200, MAX_VALUE_BYTES] {
        let reached = |n: usize| news_reaches(n, value);
        writeln!(
            text,
            "- One entry of {value} bytes leaves its publisher for all others up to {} instances; at {MOST} for {} of \
             {}, and the rest wait for a comparison.",
            largest(MOST, reached),
            reached(MOST),
            MOST - 1
        )?;
    }
    if !real.is_empty() {
        write!(
            text,
            "\n## Over loopback sockets\n\nThe same instances in real time, each with the balancer's driver on a socket \
             of its own, all on one thread: its whole processor time is theirs, the kernel's part with it. Who sees whom is \
             looked at once a second; 'wrongly down' and the rig's part are not counted here.\n\n{HEAD}"
        )?;
        for (size, points) in real {
            row(&mut text, *size, points)?;
        }
        text.push('\n');
        troubles(&mut text, real)?;
    }
    Ok(text)
}

const HEAD: &str = "| instances | runs | B/s | datagrams/s | CPU, us/s | rig's, us/s | memory, kB | all see all, s | put off \
                    until then | a change at all, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

fn row(text: &mut String, size: usize, points: &[Point]) -> std::fmt::Result {
    let cell = |value: Value, unit: f64, digits: usize| {
        let values: Option<Vec<f64>> = points.iter().map(|p| value(p).map(|v| v / unit)).collect();
        let Some(values) = values else {
            return "never".to_owned();
        };
        let middle = median(values.iter().copied()).unwrap_or(f64::NAN);
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        match values.len() {
            1 => format!("{middle:.digits$}"),
            _ => format!("{middle:.digits$} ({least:.digits$} to {most:.digits$})"),
        }
    };
    writeln!(
        text,
        "| {size} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        points.len(),
        cell(|p| Some(p.bytes), 1.0, 0),
        cell(|p| Some(p.datagrams), 1.0, 1),
        cell(|p| Some(p.cpu_us), 1.0, 0),
        cell(|p| Some(p.rig_us), 1.0, 0),
        cell(|p| Some(p.memory), 1000.0, 0),
        cell(|p| p.join_s, 1.0, 1),
        cell(|p| Some(p.put_off as f64), 1.0, 0),
        cell(news, 1.0, 0),
    )
}

/// What goes wrong, by the nodes' own counters, of the first run at each size.
fn troubles(text: &mut String, points: &Points) -> std::fmt::Result {
    *text += "Sums over all instances of a size's first run. 'Seen': the share of ordered pairs of which the one sees the \
              other at the end of the wait and of the rest; 'wrongly down': times that a live instance was held for gone, \
              until all see all (or the wait is over) and at rest.\n\n\
              | instances | seen | wrongly down | put off at rest | start, kB sent by one | start, CPU of one, ms | \
              news: share that has it | counters of the whole run |\n\
              | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (size, points) in points {
        let Some(p) = points.iter().min_by_key(|p| p.seed) else {
            continue;
        };
        let counters = p.counters.iter().filter(|(_, n)| **n > 0);
        let counters: Vec<String> = counters.map(|(name, n)| format!("{name} {n}")).collect();
        let shares: Vec<String> = p.news_share.iter().map(|s| format!("{s:.3}")).collect();
        writeln!(
            text,
            "| {size} | {:.4}, {:.4} | {}, {} | {} | {:.0} | {:.0} | {} | {} |",
            p.seen.0,
            p.seen.1,
            p.downs,
            p.rest_downs,
            p.rest_put_off,
            p.join_bytes / 1000.0,
            p.join_cpu_us / 1000.0,
            shares.join(", "),
            counters.join(", ")
        )?;
    }
    Ok(())
}

/// Of a cluster of so many, how many instances one piece of news leaves its publisher for: directly, and as those that
/// the first ones are to pass it on to. A datagram that cannot be sealed takes its whole part with it.
pub fn news_reaches(instances: usize, value: usize) -> usize {
    let id = |i: usize| InstanceId::of(&name(i));
    let mut others: Vec<InstanceId> = (1..instances).map(id).collect();
    others.sort();
    let entry = GossipEntry {
        key: NEWS_KEY,
        version: 1,
        value: vec![9; value],
    };
    let sessions = sessions(0);
    let mut reached = 0;
    for (_, news) in GossipStore::default().publish(vec![entry], &others) {
        let GossipMessage::Entries { forward_to, .. } = &news else {
            continue;
        };
        let part = 1 + forward_to.len();
        // What a node puts in front says in one byte that it is the board's.
        let body = [vec![2], postcard::to_stdvec(&news).unwrap_or_default()].concat();
        // An answer is as large as any other datagram and needs no session.
        reached += sessions.seal_answer(1, &body).map_or(0, |_| part);
    }
    reached
}

/// Of so many others that answer a greeting, with how many an instance has a session then.
pub fn sessions_held(others: usize) -> usize {
    let mut mine = sessions(0);
    let held = (1..=others).filter(|i| {
        let answer = sessions(*i).seal_answer(BOOT, b"").unwrap_or_default();
        mine.open(&answer).is_ok()
    });
    held.count()
}

const BOOT: u64 = 1;

fn sessions(i: usize) -> Sessions {
    let keys = Keys(vec![Key::new(b"a secret of the rig")]);
    Sessions::new(InstanceId::of(&name(i)).0, BOOT, keys)
}

/// The largest cluster up to a size whose every instance is reached so.
fn largest(up_to: usize, reached: impl Fn(usize) -> usize) -> usize {
    (2..=up_to)
        .take_while(|n| reached(*n) == n - 1)
        .last()
        .unwrap_or(1)
}
