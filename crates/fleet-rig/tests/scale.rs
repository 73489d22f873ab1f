//! The measurement of the flat cluster, at small sizes: its results are plausible, and measuring does not change them.

use clap::Parser;
use spanspur_fleet_rig::meter::Meter;
use spanspur_fleet_rig::scale::{self, Args, CHANGE_KEY, Point};
use spanspur_fleet_rig::series::MeasuredSeries;
use spanspur_fleet_rig::world::{address, name};
use spanspur_fleet_rig::{Fault, Plan, World};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: Args,
}

fn args(more: &[&str]) -> Args {
    Cli::parse_from([&["scale"], more].concat()).args
}

fn assert_plausible(point: &Point) {
    println!("seed {}: {point:?}", point.seed);
    assert!(point.join_s.is_some_and(|s| s > 0.0 && s < 60.0));
    assert_eq!(
        point.seen,
        (1.0, 1.0),
        "every instance sees all others, and still does at rest"
    );
    // A probe and its answer every 300 ms and a digest every second make 1 / 0.3 * 2 + 1 datagrams per second; up to
    // three times as many are allowed.
    assert!(point.datagrams > 7.0 && point.datagrams < 23.0);
    // Sealing adds at least 50 bytes to a datagram, and a datagram holds at most 1400.
    assert!(point.bytes > point.datagrams * 50.0 && point.bytes < point.datagrams * 1400.0);
    assert!(point.cpu_us > 1.0 && point.cpu_us < 100_000.0);
    assert!(point.put_off > 0, "no instance has a session at the start");
    assert!(
        point
            .news_ms
            .iter()
            .all(|ms| ms.is_some_and(|ms| ms < 12_000))
    );
    assert_eq!(point.news_share, [1.0, 1.0, 1.0]);
    assert_eq!(point.counters.get("full"), None);
}

#[test]
fn a_small_cluster_gives_plausible_and_reproducible_results() {
    let run = |seed| scale::run_once(&args(&[]), 12, seed);
    let (first, again, other) = (run(1), run(1), run(2));
    assert_plausible(&first);
    assert_plausible(&other);
    // All results but processor time and memory depend on the seed alone.
    let reproducible = |p: &Point| (p.join_s, p.put_off, p.bytes, p.datagrams, p.news_ms.clone());
    assert_eq!(reproducible(&first), reproducible(&again));
    assert_ne!(reproducible(&first), reproducible(&other));
}

/// The command runs each cluster in its own process, without which memory cannot be measured.
#[test]
fn the_command_writes_runs_series_page_and_charts() {
    let folder = std::env::temp_dir().join(format!("spanspur-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder created");
    let scale = |sizes: &str, more: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_spanspur-fleet-rig"));
        command.arg("scale").arg(&folder);
        command.args(["--runs", "2", "--sizes", sizes]).args(more);
        let output = command.output().expect("the command runs");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    };
    scale("8,60", &["--jobs", "2"]);
    scale("20", &[]);
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("file readable");
    let runs: BTreeMap<usize, Vec<Point>> =
        serde_json::from_str(&read("scale-flat.json")).expect("read");
    let measured = MeasuredSeries::read(&folder.join("scale.json"))
        .expect("read")
        .0;
    let (page, chart) = (read("scale.md"), read("scale-limits.svg"));
    std::fs::remove_dir_all(&folder).expect("folder removed");
    runs.values().flatten().for_each(assert_plausible);
    let sizes: Vec<(usize, usize)> = runs.iter().map(|(n, runs)| (*n, runs.len())).collect();
    assert_eq!(
        sizes,
        [(8, 2), (20, 2), (60, 2)],
        "the runs of both commands are kept"
    );
    let names = "bytes datagrams cpu memory join join-cpu join-bytes put-off news".split(' ');
    for name in names.map(|name| format!("flat-{name}")) {
        let series = &measured[&name];
        assert_eq!(series.points.len(), 3, "{name}");
        assert_eq!(series.runs, 2);
        assert!(series.points.iter().all(|p| p.1 > 0.0), "{series:?}");
    }
    // Each instance keeps name, address and session of all others, and the initial entries.
    let memory = &measured["flat-memory"].points;
    assert!(
        memory
            .iter()
            .all(|(n, bytes)| *bytes > n * 100.0 && *bytes < 32e6)
    );
    assert!(memory[2].1 > memory[1].1, "{memory:?}");
    assert!(page.contains("\n| 60 | 2 | ") && chart.contains("flat-memory"));
}

#[test]
fn sessions_and_changes_reach_as_many_instances_as_the_formats_allow() {
    // An instance keeps sessions with 4,096 senders. A datagram of 1,350 bytes holds the entry and names an eighth of
    // the other instances, at up to 10 bytes each.
    assert_eq!(scale::sessions_held(4096), 4096);
    assert_eq!(scale::sessions_held(4200), 4096);
    let unreached = |n: usize| n - 1 - scale::change_reach(n, 64);
    assert_eq!(unreached(900), 0);
    assert!(
        scale::change_reach(900, 512) < 899,
        "a larger entry leaves less room for instances"
    );
    assert!(unreached(1200) > 0 && unreached(2100) > unreached(1200));
}

#[test]
fn a_cluster_that_never_converges_reports_no_times() {
    // All datagrams are lost.
    let point = scale::run_once(&args(&["--loss", "1", "--wait", "5"]), 4, 1);
    assert_eq!((point.join_s, point.seen), (None, (0.0, 0.0)));
    assert_eq!(point.news_ms, [None, None, None]);
    assert_eq!(point.news_share, [0.0, 0.0, 0.0]);
}

#[test]
fn the_address_index_finds_the_same_instance_as_a_search() {
    let plan = Plan {
        instances: 600,
        leases: 0,
        ..Plan::default()
    };
    let world = World::new(plan, 1);
    let search = |to: SocketAddr| (0..600).find(|i| address(*i) == to);
    for i in 0..700 {
        assert_eq!(world.instance_at(address(i)), search(address(i)), "{i}");
    }
    let other_port = SocketAddr::new(address(3).ip(), 7001);
    assert_eq!(world.instance_at(other_port), None);
}

#[test]
fn the_meter_notices_a_killed_instance_and_changes_nothing() {
    let run = |metered: bool| {
        let plan = Plan {
            leases: 8,
            ..Plan::default()
        };
        let mut world = World::new(plan, 5);
        world.meter = metered.then(|| Meter::new(5));
        world.inject(20_000, Fault::Kill(3));
        world.run_until(15_000);
        let before = world
            .meter
            .as_ref()
            .map(|m| (m.visible_share(), m.converged()));
        world.run_until(40_000);
        let after = world.meter.as_ref().map(Meter::visible_share);
        world.inject(40_000, Fault::Start(3));
        world.run_until(60_000);
        let rejoined = world.meter.as_ref().map(Meter::visible_share);
        (world.sent.clone(), before, after, rejoined)
    };
    let (with, without) = (run(true), run(false));
    assert_eq!(with.0, without.0, "datagrams and bytes by instance");
    assert_eq!(with.1, Some((1.0, true)));
    // Of the 20 pairs, four are lost: those in which another instance saw the killed one. The killed one's own four are
    // kept as they were at its death.
    assert_eq!(with.2, Some(0.8));
    assert_eq!(with.3, Some(1.0));
    assert_eq!(name(3), "n3");
    const { assert!(CHANGE_KEY > 65_536, "above the keys of the initial entries") }
}
