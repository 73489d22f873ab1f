//! Measures what a flat cluster, in which every instance knows every other, costs at several sizes. The instances of a
//! run share one process. They run the real control code ([`spanspur_cluster::Node`]) down to its sealed datagrams, but
//! have no clients, relay or leases. Each run has its own process, so that its memory can be measured.

use crate::charts;
use crate::meter::{Meter, resident_bytes, thread_cpu_ns};
use crate::series::{MeasuredSeries, Series};
use crate::sockets;
use crate::world::{Plan, World, name};
use clap::Args as ClapArgs;
use serde::{Deserialize, Serialize};
use spanspur_leases::InstanceId;
use spanspur_leases::gossip_store::{GossipEntry, GossipMessage, GossipStore, MAX_VALUE_BYTES};
use spanspur_membership::{Key, Keys, Sessions};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

/// The size of a gossip entry's value in bytes, for initial entries and changes.
pub const VALUE_BYTES: usize = 64;
/// The key of the first change; the keys of initial entries lie below.
pub const CHANGE_KEY: u64 = 1 << 32;
/// The number of balancers that the requirements name.
const REQUIRED_INSTANCES: usize = 2100;
/// Runs up to this size are repeated.
const MAX_REPEATED_SIZE: usize = 300;
/// The required limits for the control part of one balancer: sent bytes per second, processor time (us per second) and
/// memory (bytes); and for the time until a change has reached all instances (ms).
const LIMITS: [(&str, f64); 4] = [
    ("flat-bytes", 4_000.0),
    ("flat-cpu", 17_000.0),
    ("flat-memory", 32_000_000.0),
    ("flat-news", 12_000.0),
];

/// What to measure, and how.
#[derive(ClapArgs, Clone, Debug)]
pub struct Args {
    /// The folder for the data, the table and the charts. Earlier results of other sizes are kept.
    #[arg(default_value = "docs/measured")]
    pub folder: PathBuf,
    /// The cluster sizes to measure, in instances.
    #[arg(long, value_delimiter = ',', default_values_t = [25, 50, 100, 200, 300, 400, 600])]
    pub sizes: Vec<usize>,
    /// The number of runs at each size up to 300, each with its own seed. Larger sizes have one run.
    #[arg(long, default_value_t = 3)]
    pub runs: u64,
    /// The number of concurrent runs.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// The probe interval of the membership in ms (the default of the operator's configuration is 300).
    #[arg(long, default_value_t = 300)]
    pub probe: u64,
    /// The number of gossip entries that every instance has from the start, 64 bytes each.
    #[arg(long, default_value_t = 256)]
    pub board: usize,
    /// The longest wait in seconds until every instance sees all others.
    #[arg(long, default_value_t = 300)]
    pub wait: u64,
    /// The time in seconds after that wait until the cluster counts as at rest.
    #[arg(long, default_value_t = 30)]
    pub settle: u64,
    /// The duration of the measurement at rest, in seconds.
    #[arg(long, default_value_t = 20)]
    pub rest: u64,
    /// The number of changes to publish, one after the other.
    #[arg(long, default_value_t = 3)]
    pub news: u64,
    /// The longest wait for a change to reach all instances, in seconds.
    #[arg(long, default_value_t = 60)]
    pub news_wait: u64,
    /// The share of datagrams that are lost, in virtual time.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Uses loopback sockets in real time instead of virtual time.
    #[arg(long)]
    pub sockets: bool,
    /// Runs the first size once with this seed, and writes the result to the standard output.
    #[arg(long, hide = true)]
    pub one: Option<u64>,
}

/// The results of one run. Rates are for one second and one instance, as the mean of all instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Point {
    /// The number of instances.
    pub instances: usize,
    /// The seed of the run.
    pub seed: u64,
    /// Seconds from the start of all instances until every instance saw all others; `None` if the wait ended before.
    pub join_s: Option<f64>,
    /// The share of ordered pairs in which the first instance saw the second, at the end of the wait and at the end of
    /// the measurement at rest.
    pub seen: (f64, f64),
    /// Bytes that one instance sent until the end of the wait.
    pub join_bytes: f64,
    /// Processor time of one instance until the end of the wait, in us.
    pub join_cpu_us: f64,
    /// Datagrams of all instances that were dropped for lack of a session, until the end of the wait.
    pub put_off: u64,
    /// How often a live instance was considered down, over all instances, until the end of the wait.
    pub downs: u64,
    /// Sent bytes at rest.
    pub bytes: f64,
    /// Sent datagrams at rest.
    pub datagrams: f64,
    /// Processor time of the node at rest, in us.
    pub cpu_us: f64,
    /// Processor time of the rig for one instance at rest, in us.
    pub rig_us: f64,
    /// Datagrams of all instances that were dropped for lack of a session, at rest.
    pub rest_put_off: u64,
    /// How often a live instance was considered down, over all instances, at rest.
    pub rest_downs: u64,
    /// Resident bytes of the process per instance, without what the process held before the start.
    pub memory: f64,
    /// For each change, the milliseconds until all other instances had it; `None` if the wait ended before.
    pub news_ms: Vec<Option<u64>>,
    /// For each change, the share of the other instances that had it when the wait for it ended.
    pub news_share: Vec<f64>,
    /// The sums of the nodes' counters over the whole run.
    pub counters: BTreeMap<String, u64>,
}

/// The gossip entries that every instance has from the start.
pub fn initial_entries(count: usize) -> Vec<GossipEntry> {
    let entry = |key| GossipEntry {
        key,
        version: 1,
        value: vec![7; VALUE_BYTES],
    };
    (0..count as u64).map(entry).collect()
}

/// The sums of the nodes' counters.
fn counters(world: &World) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for node in (0..world.plan.instances).filter_map(|i| world.node(i)) {
        for (name, n) in node.counters() {
            *sums.entry(name.to_owned()).or_default() += n;
        }
    }
    sums
}

/// Runs one cluster in virtual time.
pub fn run_once(args: &Args, instances: usize, seed: u64) -> Point {
    let before = resident_bytes();
    let plan = Plan {
        instances,
        voters: instances.min(9),
        leases: 0,
        // There are no leases; the membership's probe interval is a tenth of this.
        interval: args.probe * 10,
        loss: args.loss,
        duplication: 0.0,
        ..Plan::default()
    };
    let mut world = World::new(plan, seed);
    world.meter = Some(Meter::new(instances));
    // This sends nothing, because no instance knows another yet.
    (0..instances).for_each(|i| world.publish(i, initial_entries(args.board)));
    let mut point = Point {
        instances,
        seed,
        ..Point::default()
    };
    let instances_f64 = instances as f64;
    let sent = |world: &World| {
        let sent = world.sent.iter();
        sent.fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
    };
    let put_off = |world: &World| counters(world).get("no-session").copied().unwrap_or(0);
    let mut at = 0;
    while at < args.wait * 1000 && meter(&world).converged_at.is_none() {
        at += 100;
        world.run_until(at);
    }
    point.join_s = meter(&world).converged_at.map(|ms| ms as f64 / 1000.0);
    point.seen.0 = meter(&world).visible_share();
    point.join_bytes = sent(&world).1 as f64 / instances_f64;
    point.join_cpu_us = meter(&world).cpu_us() / instances_f64;
    (point.put_off, point.downs) = (put_off(&world), meter(&world).downs);

    let settled = at + args.settle * 1000;
    world.run_until(settled);
    let (sent_before, cpu, put_off_before) =
        (sent(&world), meter(&world).cpu_us(), put_off(&world));
    let (downs, thread_ns) = (meter(&world).downs, thread_cpu_ns());
    world.run_until(settled + args.rest * 1000);
    let total_us = (thread_cpu_ns() - thread_ns) as f64 / 1000.0;
    let sent_after = sent(&world);
    let instance_seconds = instances_f64 * args.rest as f64;
    point.datagrams = (sent_after.0 - sent_before.0) as f64 / instance_seconds;
    point.bytes = (sent_after.1 - sent_before.1) as f64 / instance_seconds;
    point.cpu_us = (meter(&world).cpu_us() - cpu) / instance_seconds;
    point.rig_us = total_us / instance_seconds - point.cpu_us;
    point.rest_put_off = put_off(&world) - put_off_before;
    point.rest_downs = meter(&world).downs - downs;
    point.seen.1 = meter(&world).visible_share();
    point.memory = resident_bytes().saturating_sub(before) as f64 / instances_f64;

    for n in 0..args.news {
        let (start, key) = (world.now, CHANGE_KEY + n);
        let publisher = instances / 2 + n as usize;
        let entry = GossipEntry {
            key,
            version: 1,
            value: vec![9; VALUE_BYTES],
        };
        world.publish(publisher % instances, vec![entry]);
        let others = instances - 1;
        while meter(&world).receipts(key).0 < others && world.now < start + args.news_wait * 1000 {
            world.run_until(world.now + 50);
        }
        let (received, last) = meter(&world).receipts(key);
        point
            .news_ms
            .push((received == others).then(|| last - start));
        point.news_share.push(received as f64 / others as f64);
    }
    point.counters = counters(&world);
    point
}

fn meter(world: &World) -> &Meter {
    world.meter.as_ref().expect("the meter is set at the start")
}

/// The results of all runs, by size.
type Points = BTreeMap<usize, Vec<Point>>;

/// Runs all sizes, each run in its own process, and writes the series into `scale.json`, the results of all runs, a
/// page and charts. Earlier results of other sizes are kept. With `args.one`, it runs one cluster in this process and
/// prints its result instead. Fails if a run fails, after all others have ended, or if a file cannot be read or
/// written.
pub fn run(args: &Args) -> Result<(), String> {
    let first_size = args.sizes.first().copied().unwrap_or(0);
    if let Some(seed) = args.one {
        let point = match args.sockets {
            true => sockets::run_once(args, first_size, seed)?,
            false => run_once(args, first_size, seed),
        };
        println!("{}", serde_json::to_string(&point).unwrap_or_default());
        return Ok(());
    }
    let runs = |size: &usize| {
        if *size <= MAX_REPEATED_SIZE {
            args.runs
        } else {
            1
        }
    };
    let jobs = args
        .sizes
        .iter()
        .flat_map(|size| (1..=runs(size)).map(|seed| (*size, seed)));
    let pending = Mutex::new(jobs.rev().collect::<Vec<_>>());
    let (folder, stem) = (
        &args.folder,
        if args.sockets {
            "scale-sockets"
        } else {
            "scale-flat"
        },
    );
    let all_points = Mutex::new(read_points(folder, stem)?);
    let (replaced, errors) = (Mutex::new(BTreeSet::new()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let next = pending.lock().expect("lock not poisoned").pop();
                    let Some((size, seed)) = next else { break };
                    let result = run_child(args, size, seed).and_then(|point| {
                        println!("{point:?}");
                        let mut all_points = all_points.lock().expect("lock not poisoned");
                        if replaced.lock().expect("lock not poisoned").insert(size) {
                            all_points.remove(&size);
                        }
                        all_points.entry(size).or_default().push(point);
                        // Written after each run, so that the failure of a larger size loses nothing.
                        write_points(folder, stem, &all_points)
                    });
                    if let Err(error) = result {
                        errors.lock().expect("lock not poisoned").push(error);
                    }
                }
            });
        }
    });
    if !args.sockets {
        let series = build_series(&all_points.into_inner().expect("lock not poisoned"), args);
        write_charts(folder, &series)?;
        MeasuredSeries::update(&folder.join("scale.json"), series)?;
    }
    let page = render_page(
        &read_points(folder, "scale-flat")?,
        &read_points(folder, "scale-sockets")?,
        args,
    );
    let page = page.map_err(|e| e.to_string())?;
    std::fs::write(folder.join("scale.md"), page).map_err(|e| format!("scale.md: {e}"))?;
    let errors = errors.into_inner().expect("lock not poisoned");
    match errors.is_empty() {
        true => Ok(()),
        false => Err(errors.join("\n")),
    }
}

/// Reads the results of earlier runs; none if the file does not exist.
fn read_points(folder: &Path, stem: &str) -> Result<Points, String> {
    match std::fs::read(folder.join(format!("{stem}.json"))) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| format!("{stem}.json: {e}")),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Points::new()),
        Err(e) => Err(format!("{stem}.json: {e}")),
    }
}

fn write_points(folder: &Path, stem: &str, points: &Points) -> Result<(), String> {
    let text = serde_json::to_string_pretty(points).unwrap_or_default() + "\n";
    std::fs::write(folder.join(format!("{stem}.json")), text)
        .map_err(|e| format!("{stem}.json: {e}"))
}

/// Runs one cluster in a child process.
fn run_child(args: &Args, size: usize, seed: u64) -> Result<Point, String> {
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

/// The median; of an even number of values, the lower of the two in the middle.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// The median of the runs at a size; `None` if one of them has no value.
fn median_of(points: &[Point], value: impl Fn(&Point) -> Option<f64>) -> Option<f64> {
    let values: Option<Vec<f64>> = points.iter().map(value).collect();
    median(values?.into_iter())
}

/// The time of a run's slowest change, in ms; `None` if a change did not reach all instances.
fn slowest_change(point: &Point) -> Option<f64> {
    let times: Option<Vec<u64>> = point.news_ms.iter().copied().collect();
    times?.into_iter().max().map(|ms| ms as f64)
}

/// Reads one value of a run; `None` if the run did not get that far.
type Value = fn(&Point) -> Option<f64>;

/// The series: name, what was measured, unit, and the value of one run.
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
        slowest_change,
    ),
];

fn build_series(all: &Points, args: &Args) -> BTreeMap<String, Series> {
    let conditions = format!(
        "virtual time, one flat cluster; hollow instances: no clients, no relay, no duties; probes every {} ms, {} \
         entries on each board, datagrams take 1 to 20 ms, {} of them lost; runs at sizes up to {MAX_REPEATED_SIZE}, one above \
         it; sizes at which it never came about are left out",
        args.probe, args.board, args.loss
    );
    let series = SERIES.iter().map(|(name, what, unit, value)| {
        let points = all
            .iter()
            .filter_map(|(size, points)| Some((*size as f64, median_of(points, value)?)));
        let series = Series {
            what: format!("{what}; {conditions}"),
            command: "cargo run --release -p spanspur-fleet-rig -- scale".into(),
            size: "instances".into(),
            unit: (*unit).into(),
            runs: all.values().map(|p| p.len() as u32).max().unwrap_or(0),
            points: points.collect(),
        };
        ((*name).to_owned(), series)
    });
    series.collect()
}

fn write_charts(folder: &Path, series: &BTreeMap<String, Series>) -> Result<(), String> {
    let shares = LIMITS.map(|(name, limit)| {
        let points = series[name].points.iter().map(|(x, y)| (*x, y / limit));
        (name.to_owned(), points.collect())
    });
    charts::line_chart(
        &folder.join("scale-limits.svg"),
        "The flat cluster, as a share of the letter's limits (1 is the limit)",
        ("instances", "share of the limit"),
        true,
        &shares,
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

/// Renders the page with the results of all runs.
fn render_page(
    virtual_time: &Points,
    sockets: &Points,
    args: &Args,
) -> Result<String, std::fmt::Error> {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut text = format!(
        "# The flat cluster at size, measured\n\n\
         Made by `cargo run --release -p spanspur-fleet-rig -- scale` (and `-- scale --sockets`) on a machine of \
         {cores} cores, others at work on it. Every instance knows every other, as `spanspur_cluster::Node` has it \
         today. Instances are hollow: the real control code down to its sealed datagrams, but no clients, no relay and \
         no duties; one process holds all instances of a run. Membership probes every {} ms, and {} entries of 64 bytes \
         stand on every board. The data: `scale.json` (series), `scale-flat.json` and `scale-sockets.json` (every run). \
         At sizes up to {MAX_REPEATED_SIZE} the median of the runs, with the least and the most in brackets; above, one run each.\n\n\
         ## In virtual time\n\n\
         Datagrams take 1 to 20 ms, {}% are lost. 'At rest' is 20 s, from 30 s after all see all (or {} s after the \
         start where they never do). Processor time is read from the thread's clock around each call of a node; the \
         clock's own cost is measured and taken off, and what the rig spends besides stands beside it. One thread \
         goes from node to node, so that its caches are colder than a balancer's own.\n\n{TABLE_HEAD}",
        args.probe,
        args.board,
        args.loss * 100.0,
        args.wait
    );
    for (size, points) in virtual_time {
        write_row(&mut text, *size, points)?;
    }
    text +=
        "\n![Share of the letter's limits](scale-limits.svg)\n\n![All see all](scale-join.svg)\n\n";
    write_counters(&mut text, virtual_time)?;
    let held = largest_fully_reached(REQUIRED_INSTANCES, |n| sessions_held(n - 1));
    write!(
        text,
        "\n## Ends by the formats alone\n\nOf the board's, the sealing's and the encoder's own code, without a cluster.\n\n\
         - An instance holds sessions with all others up to {held} instances; at {REQUIRED_INSTANCES} with {} of {}.\n",
        sessions_held(REQUIRED_INSTANCES - 1),
        REQUIRED_INSTANCES - 1
    )?;
    for value in [VALUE_BYTES, 200, MAX_VALUE_BYTES] {
        let reached = |n: usize| change_reach(n, value);
        writeln!(
            text,
            "- One entry of {value} bytes leaves its publisher for all others up to {} instances; at {REQUIRED_INSTANCES} for {} of \
             {}, and the rest wait for a comparison.",
            largest_fully_reached(REQUIRED_INSTANCES, reached),
            reached(REQUIRED_INSTANCES),
            REQUIRED_INSTANCES - 1
        )?;
    }
    if !sockets.is_empty() {
        write!(
            text,
            "\n## Over loopback sockets\n\nThe same instances in real time, each with the balancer's driver on a socket \
             of its own, all on one thread: its whole processor time is theirs, the kernel's part with it. Who sees whom is \
             looked at once a second; 'wrongly down' and the rig's part are not counted here.\n\n{TABLE_HEAD}"
        )?;
        for (size, points) in sockets {
            write_row(&mut text, *size, points)?;
        }
        text.push('\n');
        write_counters(&mut text, sockets)?;
    }
    Ok(text)
}

const TABLE_HEAD: &str = "| instances | runs | B/s | datagrams/s | CPU, us/s | rig's, us/s | memory, kB | all see all, s | put off \
                    until then | a change at all, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

fn write_row(text: &mut String, size: usize, points: &[Point]) -> std::fmt::Result {
    let cell = |value: Value, divisor: f64, digits: usize| {
        let values: Option<Vec<f64>> = points
            .iter()
            .map(|p| value(p).map(|v| v / divisor))
            .collect();
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
        cell(slowest_change, 1.0, 0),
    )
}

/// Writes false failure detections, dropped datagrams and the nodes' counters, of the first run at each size.
fn write_counters(text: &mut String, points: &Points) -> std::fmt::Result {
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

/// How many instances of a cluster one change reaches: those that the publisher sends it to, and those that they are
/// asked to forward it to. A datagram too large to be sealed counts neither.
pub fn change_reach(instances: usize, value_bytes: usize) -> usize {
    let id = |i: usize| InstanceId::of(&name(i));
    let mut others: Vec<InstanceId> = (1..instances).map(id).collect();
    others.sort();
    let entry = GossipEntry {
        key: CHANGE_KEY,
        version: 1,
        value: vec![9; value_bytes],
    };
    let sessions = sessions(0);
    let mut reached = 0;
    for (_, message) in GossipStore::default().publish(vec![entry], &others) {
        let GossipMessage::Entries { forward_to, .. } = &message else {
            continue;
        };
        let receivers = 1 + forward_to.len();
        // A node prefixes each gossip message with one byte that marks it as such.
        let body = [vec![2], postcard::to_stdvec(&message).unwrap_or_default()].concat();
        // Sealed as a handshake answer, which needs no session and has the size of any other datagram.
        reached += sessions.seal_answer(1, &body).map_or(0, |_| receivers);
    }
    reached
}

/// The number of sessions that an instance holds after this many others have answered its handshake.
pub fn sessions_held(others: usize) -> usize {
    let mut own = sessions(0);
    let held = (1..=others).filter(|i| {
        let answer = sessions(*i)
            .seal_answer(INCARNATION, b"")
            .unwrap_or_default();
        own.open(&answer).is_ok()
    });
    held.count()
}

const INCARNATION: u64 = 1;

/// The empty session table of an instance.
fn sessions(i: usize) -> Sessions {
    let keys = Keys(vec![Key::new(b"a secret of the rig")]);
    Sessions::new(InstanceId::of(&name(i)).0, INCARNATION, keys)
}

/// The largest cluster size up to `up_to` at which, as at all smaller sizes, all other instances are reached.
fn largest_fully_reached(up_to: usize, reached: impl Fn(usize) -> usize) -> usize {
    (2..=up_to)
        .take_while(|n| reached(*n) == n - 1)
        .last()
        .unwrap_or(1)
}
