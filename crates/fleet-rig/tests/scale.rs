//! The measure of the flat cluster, at small sizes: its figures can be, and the rig is not in them.

use clap::Parser;
use spanspur_fleet_rig::meter::Meter;
use spanspur_fleet_rig::scale::{self, Args, NEWS_KEY, Point};
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

fn sane(point: &Point) {
    println!("seed {}: {point:?}", point.seed);
    assert!(point.join_s.is_some_and(|s| s > 0.0 && s < 60.0));
    assert_eq!(point.seen, (1.0, 1.0), "all see all, and go on to");
    // Every 300 ms a probe and its answer, every second a comparison: 1 / 0.3 * 2 + 1, and no more than three times it.
    assert!(point.datagrams > 7.0 && point.datagrams < 23.0);
    // 50 bytes of sealing each at least, and never more than a datagram holds.
    assert!(point.bytes > point.datagrams * 50.0 && point.bytes < point.datagrams * 1400.0);
    assert!(point.cpu_us > 1.0 && point.cpu_us < 100_000.0);
    assert!(point.put_off > 0, "nobody has a session at the start");
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
fn a_small_cluster_measures_sane_and_the_same_again() {
    let play = |seed| scale::play(&args(&[]), 12, seed);
    let (first, again, other) = (play(1), play(1), play(2));
    sane(&first);
    sane(&other);
    // All but the processor and the memory is of the seed alone.
    let told = |p: &Point| (p.join_s, p.put_off, p.bytes, p.datagrams, p.news_ms.clone());
    assert_eq!(told(&first), told(&again));
    assert_ne!(told(&first), told(&other));
}

/// Memory has a figure in a process of its own alone: so does the command play.
#[test]
fn the_command_keeps_its_runs_series_page_and_charts() {
    let folder = std::env::temp_dir().join(format!("spanspur-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    let scale = |sizes: &str, more: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_spanspur-fleet-rig"));
        command.arg("scale").arg(&folder);
        command.args(["--runs", "2", "--sizes", sizes]).args(more);
        let done = command.output().expect("runs");
        assert!(
            done.status.success(),
            "{}",
            String::from_utf8_lossy(&done.stderr)
        );
    };
    scale("8,60", &["--jobs", "2"]);
    scale("20", &[]);
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("written");
    let runs: BTreeMap<usize, Vec<Point>> =
        serde_json::from_str(&read("scale-flat.json")).expect("read");
    let measured = MeasuredSeries::read(&folder.join("scale.json"))
        .expect("read")
        .0;
    let (page, chart) = (read("scale.md"), read("scale-limits.svg"));
    std::fs::remove_dir_all(&folder).expect("removed");
    runs.values().flatten().for_each(sane);
    let sizes: Vec<(usize, usize)> = runs.iter().map(|(n, runs)| (*n, runs.len())).collect();
    assert_eq!(sizes, [(8, 2), (20, 2), (60, 2)], "of both commands");
    let names = "bytes datagrams cpu memory join join-cpu join-bytes put-off news".split(' ');
    for name in names.map(|name| format!("flat-{name}")) {
        let series = &measured[&name];
        assert_eq!(series.points.len(), 3, "{name}");
        assert_eq!(series.runs, 2);
        assert!(series.points.iter().all(|p| p.1 > 0.0), "{series:?}");
    }
    // Each knows all others by name, address and session, and holds the standing entries.
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
fn the_formats_end_where_their_bounds_say() {
    // By the code: 4,096 senders; and an eighth of the others named, with up to 10 bytes each, in 1,350 with the entry.
    assert_eq!(scale::sessions_held(4096), 4096);
    assert_eq!(scale::sessions_held(4200), 4096);
    let left_out = |n: usize| n - 1 - scale::news_reaches(n, 64);
    assert_eq!(left_out(900), 0);
    assert!(
        scale::news_reaches(900, 512) < 899,
        "a larger entry leaves less room"
    );
    assert!(left_out(1200) > 0 && left_out(2100) > left_out(1200));
}

#[test]
fn what_cannot_come_about_has_no_figure() {
    // Nothing arrives.
    let point = scale::play(&args(&["--loss", "1", "--wait", "5"]), 4, 1);
    assert_eq!((point.join_s, point.seen), (None, (0.0, 0.0)));
    assert_eq!(point.news_ms, [None, None, None]);
    assert_eq!(point.news_share, [0.0, 0.0, 0.0]);
}

#[test]
fn the_index_finds_whom_a_search_finds() {
    let plan = Plan {
        instances: 600,
        duties: 0,
        ..Plan::default()
    };
    let world = World::new(plan, 1);
    let search = |to: SocketAddr| (0..600).find(|i| address(*i) == to);
    for i in 0..700 {
        assert_eq!(world.target(address(i)), search(address(i)), "{i}");
    }
    let other_port = SocketAddr::new(address(3).ip(), 7001);
    assert_eq!(world.target(other_port), None);
}

#[test]
fn the_meter_sees_who_goes_and_changes_nothing() {
    let play = |metered: bool| {
        let plan = Plan {
            duties: 8,
            ..Plan::default()
        };
        let mut world = World::new(plan, 5);
        world.meter = metered.then(|| Meter::new(5));
        world.at(20_000, Fault::Kill(3));
        world.run_until(15_000);
        let before = world.meter.as_ref().map(|m| (m.seen(), m.all_see_all()));
        world.run_until(40_000);
        let after = world.meter.as_ref().map(Meter::seen);
        world.at(40_000, Fault::Start(3));
        world.run_until(60_000);
        let back = world.meter.as_ref().map(Meter::seen);
        (world.sent.clone(), before, after, back)
    };
    let (with, without) = (play(true), play(false));
    assert_eq!(with.0, without.0, "datagrams and bytes by instance");
    assert_eq!(with.1, Some((1.0, true)));
    // Of 20 pairs the four others have lost theirs to the one that was killed; its own stood when it was.
    assert_eq!(with.2, Some(0.8));
    assert_eq!(with.3, Some(1.0));
    assert_eq!(name(3), "n3");
    const { assert!(NEWS_KEY > 65_536, "above the standing entries") }
}
