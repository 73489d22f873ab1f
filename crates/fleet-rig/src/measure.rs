//! What the shared duties cost and how fast they are taken over: data, a table and charts.

use crate::charts;
use crate::ranking;
use crate::world::{Fault, Plan, World};
use hdrhistogram::Histogram;
use serde::Serialize;
use spanspur_leases::{InstanceId, LeaseId};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// One cell of the grid of costs. All rates are for one instance and one second.
#[derive(Debug, Serialize)]
pub struct Cost {
    instances: usize,
    duties: usize,
    every_ms: u64,
    datagrams: f64,
    bytes: f64,
    /// Of the membership alone: the same cluster with no duty.
    idle_datagrams: f64,
    /// Processor time of a whole node, with sealing and decoding, in microseconds.
    cpu_us: f64,
    /// Duties of the busiest instance over the mean.
    uneven: f64,
}

/// Take-overs after a kill, for each duty that the killed instance had done last, in milliseconds.
#[derive(Debug, Serialize)]
pub struct Takeover {
    every_ms: u64,
    kills: u64,
    duties: u64,
    /// p50, p99 and most, from the kill to the next act.
    from_kill: [u64; 3],
    /// The same for how much later than one period after the last act that was.
    late: [u64; 3],
}

/// All of it.
#[derive(Debug, Serialize)]
pub struct Results {
    costs: Vec<Cost>,
    takeovers: Vec<Takeover>,
    /// By instances: duties of 10,000 that one join moves, and the share that would be least.
    moved: Vec<(usize, f64, f64)>,
}

fn quiet(instances: usize, duties: usize, every: u64) -> Plan {
    Plan {
        instances,
        voters: instances.min(9) - (instances.min(9) + 1) % 2,
        duties,
        every,
        loss: 0.0,
        twice: 0.0,
        ..Plan::default()
    }
}

/// What this thread has spent on a processor, in microseconds, whatever else runs beside it.
fn cpu_us() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns = text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok());
    ns.unwrap_or(f64::NAN) / 1000.0
}

fn cost(instances: usize, duties: usize, every: u64) -> Cost {
    let rates = |duties: usize| {
        let mut world = World::new(quiet(instances, duties, every), 1);
        let from = 4 * every;
        world.run_until(from);
        let before = world.sent.clone();
        let (start, span) = (cpu_us(), 2 * every);
        world.run_until(from + span);
        // One thread plays all instances, so its time is theirs; the world's own part is counted with it.
        let cpu = cpu_us() - start;
        let per = instances as f64 * span as f64 / 1000.0;
        let all = |of: fn(&(u64, u64)) -> u64| {
            let sum = |sent: &[(u64, u64)]| sent.iter().map(of).sum::<u64>();
            (sum(&world.sent) - sum(&before)) as f64 / per
        };
        (all(|s| s.0), all(|s| s.1), cpu / per)
    };
    let (datagrams, bytes, cpu_us) = rates(duties);
    let ranking = ranking();
    let ids: Vec<InstanceId> = (0..instances)
        .map(|i| InstanceId::of(&crate::world::name(i)))
        .collect();
    let mut share: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for n in 0..duties {
        let first = ranking.preferred_instance(LeaseId::of(&format!("duty-{n}")), &ids);
        *share.entry(first.unwrap_or(ids[0])).or_default() += 1;
    }
    let busiest = share.values().max().copied().unwrap_or(0);
    Cost {
        instances,
        duties,
        every_ms: every,
        datagrams,
        bytes,
        idle_datagrams: rates(0).0,
        cpu_us,
        uneven: busiest as f64 * instances as f64 / duties as f64,
    }
}

fn takeover(every: u64) -> Takeover {
    let histogram = || Histogram::<u64>::new(3).expect("three digits");
    let (mut from_kill, mut late, mut kills) = (histogram(), histogram(), 0);
    for seed in 0..20 {
        let mut world = World::new(
            Plan {
                every,
                ..Plan::default()
            },
            seed,
        );
        let start = 4 * every + 2000;
        let mut killed = Vec::new();
        for n in 0..5 {
            let at = start + n * 12 * every + seed * every / 20;
            killed.push((n as usize, at));
            world.at(at, Fault::Kill(n as usize));
            world.at(at + 5 * every, Fault::Start(n as usize));
            kills += 1;
        }
        let end = start + 62 * every;
        world.run_until(end);
        let verdict = world.judge.verdict(&world.duty_ids(), every, start, end);
        assert!(verdict.sound(), "seed {seed}: {verdict:?}");
        for (who, at) in killed {
            for (since, beyond) in world.judge.after(who, at, every) {
                from_kill.record(since).expect("in range");
                late.record(beyond).expect("in range");
            }
        }
    }
    let three = |h: &Histogram<u64>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
    Takeover {
        every_ms: every,
        kills,
        duties: late.len(),
        from_kill: three(&from_kill),
        late: three(&late),
    }
}

fn moved(instances: usize) -> (usize, f64, f64) {
    let ranking = ranking();
    let ids: Vec<InstanceId> = (0..=instances)
        .map(|i| InstanceId::of(&crate::world::name(i)))
        .collect();
    let differ = (0..10_000).filter(|n| {
        let duty = LeaseId::of(&format!("duty-{n}"));
        ranking.preferred_instance(duty, &ids[..instances])
            != ranking.preferred_instance(duty, &ids)
    });
    (
        instances,
        differ.count() as f64 / 10_000.0,
        1.0 / (instances + 1) as f64,
    )
}

/// Measures everything, tells its progress, and writes `duties.json`, `duties.md` and the charts into a folder.
pub fn run(folder: &Path) -> Result<(), String> {
    let mut costs = Vec::new();
    for instances in [3, 5, 10, 50] {
        for duties in [10, 1000, 10_000] {
            let cost = cost(instances, duties, 10_000);
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
    let by = |value: fn(&Cost) -> f64| -> Vec<charts::Line> {
        [10, 1000, 10_000]
            .map(|duties| {
                let of = results.costs.iter().filter(|c| c.duties == duties);
                let points = of.map(|c| (c.instances as f64, value(c))).collect();
                (format!("{duties} duties of 10 s"), points)
            })
            .into()
    };
    let axes = ("instances", "datagrams a second, one instance");
    charts::line_chart(
        &folder.join("duties-datagrams.svg"),
        "Datagrams sent by one instance",
        axes,
        true,
        &by(|c| c.datagrams),
    )?;
    let axes = ("instances", "bytes a second, one instance");
    charts::line_chart(
        &folder.join("duties-bytes.svg"),
        "Bytes sent by one instance",
        axes,
        true,
        &by(|c| c.bytes),
    )?;
    let of = |value: fn(&Takeover) -> u64| -> Vec<(f64, f64)> {
        let all = results.takeovers.iter();
        all.map(|t| (t.every_ms as f64 / 1000.0, value(t) as f64 / 1000.0))
            .collect()
    };
    let late = [
        ("p50".to_owned(), of(|t| t.from_kill[0])),
        ("p99".to_owned(), of(|t| t.from_kill[1])),
        ("max".to_owned(), of(|t| t.from_kill[2])),
        ("one period".to_owned(), of(|t| t.every_ms)),
    ];
    let axes = ("period, s", "after the kill, s");
    charts::line_chart(
        &folder.join("duties-takeover.svg"),
        "From a kill to the next act of its duties",
        axes,
        false,
        &late,
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
