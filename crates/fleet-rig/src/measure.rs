//! Measures what leases cost and how fast they are taken over, and writes data, a table and charts.

use crate::charts;
use crate::ranking;
use crate::world::{Fault, Plan, World};
use hdrhistogram::Histogram;
use serde::Serialize;
use spanspur_leases::{InstanceId, LeaseId};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// The cost at one number of instances and leases. All rates are for one instance and one second.
#[derive(Debug, Serialize)]
pub struct Cost {
    instances: usize,
    duties: usize,
    every_ms: u64,
    /// Sent datagrams.
    datagrams: f64,
    /// Sent bytes.
    bytes: f64,
    /// Datagrams of the same cluster without leases, which are those of the membership and the digests.
    idle_datagrams: f64,
    /// Processor time of a whole node, with sealing and decoding, in microseconds. The simulation's own part is
    /// included.
    cpu_us: f64,
    /// Leases that prefer the busiest instance, divided by the mean of all instances.
    uneven: f64,
}

/// Takeover times after a kill, in milliseconds, over the leases whose last task the killed instance carried out.
#[derive(Debug, Serialize)]
pub struct Takeover {
    every_ms: u64,
    kills: u64,
    duties: u64,
    /// p50, p99 and maximum of the time from the kill to the next execution.
    from_kill: [u64; 3],
    /// p50, p99 and maximum of how much later the next execution came than one interval after the last.
    late: [u64; 3],
}

/// All results.
#[derive(Debug, Serialize)]
pub struct Results {
    costs: Vec<Cost>,
    takeovers: Vec<Takeover>,
    /// Instances, the share of 10,000 leases that one joining instance moves, and the smallest possible share.
    moved: Vec<(usize, f64, f64)>,
}

fn lossless_plan(instances: usize, leases: usize, interval: u64) -> Plan {
    Plan {
        instances,
        // The largest odd number up to 9 and up to the number of instances.
        voters: instances.min(9) - (instances.min(9) + 1) % 2,
        leases,
        interval,
        loss: 0.0,
        duplication: 0.0,
        ..Plan::default()
    }
}

/// The processor time of the calling thread so far, in microseconds; NaN if it cannot be read. Other threads do
/// not count.
fn cpu_us() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns = text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok());
    ns.unwrap_or(f64::NAN) / 1000.0
}

fn cost(instances: usize, leases: usize, interval: u64) -> Cost {
    let rates = |leases: usize| {
        let mut world = World::new(lossless_plan(instances, leases, interval), 1);
        let from = 4 * interval;
        world.run_until(from);
        let before = world.sent.clone();
        let (start, span) = (cpu_us(), 2 * interval);
        world.run_until(from + span);
        // One thread runs all instances, so that its time is theirs. The simulation's own part is included.
        let cpu = cpu_us() - start;
        let instance_seconds = instances as f64 * span as f64 / 1000.0;
        let rate = |field: fn(&(u64, u64)) -> u64| {
            let sum = |sent: &[(u64, u64)]| sent.iter().map(field).sum::<u64>();
            (sum(&world.sent) - sum(&before)) as f64 / instance_seconds
        };
        (rate(|s| s.0), rate(|s| s.1), cpu / instance_seconds)
    };
    let (datagrams, bytes, cpu_us) = rates(leases);
    let ranking = ranking();
    let ids: Vec<InstanceId> = (0..instances)
        .map(|i| InstanceId::of(&crate::world::name(i)))
        .collect();
    let mut preferred: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for n in 0..leases {
        let first = ranking.preferred_instance(LeaseId::of(&format!("duty-{n}")), &ids);
        *preferred.entry(first.unwrap_or(ids[0])).or_default() += 1;
    }
    let busiest = preferred.values().max().copied().unwrap_or(0);
    Cost {
        instances,
        duties: leases,
        every_ms: interval,
        datagrams,
        bytes,
        idle_datagrams: rates(0).0,
        cpu_us,
        uneven: busiest as f64 * instances as f64 / leases as f64,
    }
}

fn takeover(interval: u64) -> Takeover {
    let histogram = || Histogram::<u64>::new(3).expect("valid precision");
    let (mut from_kill, mut late, mut kills) = (histogram(), histogram(), 0);
    for seed in 0..20 {
        let mut world = World::new(
            Plan {
                interval,
                ..Plan::default()
            },
            seed,
        );
        let start = 4 * interval + 2000;
        let mut killed = Vec::new();
        for n in 0..5 {
            let at = start + n * 12 * interval + seed * interval / 20;
            killed.push((n as usize, at));
            world.inject(at, Fault::Kill(n as usize));
            world.inject(at + 5 * interval, Fault::Start(n as usize));
            kills += 1;
        }
        let end = start + 62 * interval;
        world.run_until(end);
        let report = world
            .checker
            .check(&world.lease_ids(), interval, start, end);
        assert!(report.passed(), "seed {seed}: {report:?}");
        for (instance, at) in killed {
            for (delay, lateness) in world.checker.takeover_times(instance, at, interval) {
                from_kill.record(delay).expect("in range");
                late.record(lateness).expect("in range");
            }
        }
    }
    let quantiles =
        |h: &Histogram<u64>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
    Takeover {
        every_ms: interval,
        kills,
        duties: late.len(),
        from_kill: quantiles(&from_kill),
        late: quantiles(&late),
    }
}

/// The instances before a join, the share of leases that the join moves, and the smallest possible share.
fn moved(instances: usize) -> (usize, f64, f64) {
    let ranking = ranking();
    let ids: Vec<InstanceId> = (0..=instances)
        .map(|i| InstanceId::of(&crate::world::name(i)))
        .collect();
    let differ = (0..10_000).filter(|n| {
        let lease = LeaseId::of(&format!("duty-{n}"));
        ranking.preferred_instance(lease, &ids[..instances])
            != ranking.preferred_instance(lease, &ids)
    });
    (
        instances,
        differ.count() as f64 / 10_000.0,
        1.0 / (instances + 1) as f64,
    )
}

/// Measures costs, takeovers and joins, prints the costs and takeovers, and writes `duties.json`, `duties.md` and the
/// charts into a folder. Fails if a file cannot be written. Panics if the checker finds a violation.
pub fn run(folder: &Path) -> Result<(), String> {
    let mut costs = Vec::new();
    for instances in [3, 5, 10, 50] {
        for leases in [10, 1000, 10_000] {
            let cost = cost(instances, leases, 10_000);
            println!("{cost:?}");
            costs.push(cost);
        }
    }
    let takeovers: Vec<Takeover> = [2000, 4000, 8000, 16_000].map(takeover).into();
    println!("{takeovers:?}");
    let results = Results {
        costs,
        takeovers,
        moved: [3, 5, 10, 50].map(moved).into(),
    };
    let write = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).map_err(|e| format!("{name}: {e}"))
    };
    write(
        "duties.json",
        &(serde_json::to_string_pretty(&results).unwrap_or_default() + "\n"),
    )?;
    write("duties.md", &table(&results).unwrap_or_default())?;
    let cost_lines = |value: fn(&Cost) -> f64| -> Vec<charts::Line> {
        [10, 1000, 10_000]
            .map(|leases| {
                let costs = results.costs.iter().filter(|c| c.duties == leases);
                let points = costs.map(|c| (c.instances as f64, value(c))).collect();
                (format!("{leases} duties of 10 s"), points)
            })
            .into()
    };
    let axes = ("instances", "datagrams a second, one instance");
    charts::line_chart(
        &folder.join("duties-datagrams.svg"),
        "Datagrams sent by one instance",
        axes,
        true,
        &cost_lines(|c| c.datagrams),
    )?;
    let axes = ("instances", "bytes a second, one instance");
    charts::line_chart(
        &folder.join("duties-bytes.svg"),
        "Bytes sent by one instance",
        axes,
        true,
        &cost_lines(|c| c.bytes),
    )?;
    let takeover_points = |value: fn(&Takeover) -> u64| -> Vec<(f64, f64)> {
        let takeovers = results.takeovers.iter();
        takeovers
            .map(|t| (t.every_ms as f64 / 1000.0, value(t) as f64 / 1000.0))
            .collect()
    };
    let lines = [
        ("p50".to_owned(), takeover_points(|t| t.from_kill[0])),
        ("p99".to_owned(), takeover_points(|t| t.from_kill[1])),
        ("max".to_owned(), takeover_points(|t| t.from_kill[2])),
        ("one period".to_owned(), takeover_points(|t| t.every_ms)),
    ];
    let axes = ("period, s", "after the kill, s");
    charts::line_chart(
        &folder.join("duties-takeover.svg"),
        "From a kill to the next act of its duties",
        axes,
        false,
        &lines,
    )
}

fn table(results: &Results) -> Result<String, std::fmt::Error> {
    let mut text = String::from(
        "# Shared duties, measured\n\nMade by `cargo run --release -p spanspur-fleet-rig -- measure docs/measured`: \
         real nodes down to their sealed datagrams, in virtual time, one thread playing all instances of a run; \
         datagrams are not lost, and take 1 to 20 ms. Five voters a duty.\n\n\
         ## What one instance sends and spends a second\n\nDuties of 10 s. `idle` is the same cluster with no duty: \
         membership and comparison of boards alone. CPU is the whole node's with sealing and decoding, and the \
         virtual world's own on top.\n\n\
         | instances | duties | datagrams | of these idle | bytes | CPU, us | busiest over mean |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for c in &results.costs {
        writeln!(
            text,
            "| {} | {} | {:.1} | {:.1} | {:.0} | {:.0} | {:.2} |",
            c.instances, c.duties, c.datagrams, c.idle_datagrams, c.bytes, c.cpu_us, c.uneven
        )?;
    }
    text += "\n![Datagrams](duties-datagrams.svg)\n\n![Bytes](duties-bytes.svg)\n\n\
             ## Take-over\n\nFive instances, 40 duties, 20 seeds with five kills each; 1% of datagrams are lost, 1% come \
             twice. For each duty that the killed instance had done last: from the kill to the next act, and how much later than one \
             period after the last act that was; p50 / p99 / most, in ms. A duty is late by a whole period if its turn was won \
             and not carried out.\n\n| period, ms | kills | duties | from the kill | late by |\n| --- | --- | --- | --- | --- |\n";
    for t in &results.takeovers {
        writeln!(
            text,
            "| {} | {} | {} | {} / {} / {} | {} / {} / {} |",
            t.every_ms,
            t.kills,
            t.duties,
            t.from_kill[0],
            t.from_kill[1],
            t.from_kill[2],
            t.late[0],
            t.late[1],
            t.late[2]
        )?;
    }
    text += "\n![Take-over](duties-takeover.svg)\n\n## One join\n\n| instances before | duties moved | least possible |\n| --- | --- | --- |\n";
    for (instances, moved, least) in &results.moved {
        writeln!(
            text,
            "| {instances} | {:.1}% | {:.1}% |",
            moved * 100.0,
            least * 100.0
        )?;
    }
    Ok(text)
}
