//! A measurement of hot restarts, written to `docs/measured/`.

use crate::deployment::Deployment;
use crate::peers::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Measures hot restarts with growing numbers of established connections, and shutdowns without a successor.
/// `cargo test --release --test sockets measure_replacement -- --ignored` writes `docs/measured/service.*`.
#[test]
#[ignore = "a measurement of a minute, not a check"]
fn measure_replacement() {
    let mut rows = Vec::new();
    for count in [50, 200, 800, 2000] {
        for with_successor in [true, false] {
            rows.push(measure(count, with_successor));
        }
    }
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/measured");
    let mut text = String::from(
        "# Replacement, measured\n\n\
        Made by `cargo test --release --test sockets measure_replacement -- --ignored`, one run, the program and its peers on\n\
        one machine. 50 of the standing clients send a line every 2 ms from SIGTERM until the old process has exited; the pause\n\
        is the longest time from a line to its answer. Without a successor there is no pause to tell: every client is moved.\n\
        Memory is resident, of both processes together, when the new one has just said yes, and of the old one alone before.\n\n\
        | standing | successor | start to yes, ms | SIGTERM to exit, ms | longest pause, ms | moved or lost | MiB before | MiB both |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut lines = [
        ("exit".to_owned(), vec![]),
        ("longest pause".to_owned(), vec![]),
    ];
    for row in &rows {
        let pause = row
            .longest_pause_ms
            .map_or("-".into(), |ms| format!("{ms:.1}"));
        let ready = row.ready_ms.map_or("-".into(), |ms| format!("{ms:.0}"));
        let with_successor = if row.ready_ms.is_some() { "yes" } else { "no" };
        text += &format!(
            "| {} | {with_successor} | {ready} | {:.0} | {pause} | {} | {:.1} | {:.1} |\n",
            row.count, row.exit_ms, row.migrated, row.mib_before, row.mib_both
        );
        if let Some(pause) = row.longest_pause_ms {
            lines[0].1.push((row.count as f64, row.exit_ms));
            lines[1].1.push((row.count as f64, pause));
        }
    }
    text += "\n![Exit and pause](service-replacement.svg)\n";
    std::fs::write(folder.join("service.md"), text).expect("written");
    let chart = folder.join("service-replacement.svg");
    let axes = ("standing connections", "ms");
    spanspur_fleet_rig::charts::line_chart(&chart, "A process is replaced", axes, false, &lines)
        .expect("drawn");
}

struct Row {
    count: usize,
    ready_ms: Option<f64>,
    exit_ms: f64,
    longest_pause_ms: Option<f64>,
    migrated: usize,
    mib_before: f64,
    mib_both: f64,
}

fn measure(count: usize, with_successor: bool) -> Row {
    let backends = ["s-1", "s-2"].map(echo_backend);
    let mut deployment = Deployment::new(&[&backends[0], &backends[1]]);
    let folder = Arc::get_mut(&mut deployment.folder).expect("alone");
    (folder.sockets, folder.log_level) = (16_000, "info");
    let old = deployment.start();
    // Clients connect one after the other: the backends' accept queues are short, and requests that wait too long are
    // rejected.
    let open = |id| {
        let mut client = old.open(id, 2000);
        assert_eq!(client.read_line(), "UP r1\r\n");
        client
    };
    let mut clients: Vec<Peer> = (0..count as u64).map(open).collect();
    let mib = |pid: u32| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1024.0
    };
    let ms = |from: Instant| from.elapsed().as_secs_f64() * 1000.0;
    let mib_before = mib(old.pid());
    let start = Instant::now();
    let new = with_successor.then(|| deployment.start());
    let ready_ms = with_successor.then(|| ms(start));
    let mib_both = mib(old.pid()) + new.as_ref().map_or(0.0, |new| mib(new.pid()));
    let terminated = Instant::now();
    old.signal("-TERM");
    let exit = std::thread::spawn(move || {
        assert_eq!(old.wait_for_exit(), Some(0));
        ms(terminated)
    });
    let (mut longest_pause, mut migrated) = (0.0, 0);
    if with_successor {
        while !exit.is_finished() {
            for client in &mut clients[..50] {
                let sent = Instant::now();
                assert_echo(client, "M\r\n");
                longest_pause = f64::max(longest_pause, ms(sent));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        clients
            .iter_mut()
            .for_each(|client| assert_echo(client, "M 2\r\n"));
    } else {
        for client in &mut clients {
            migrated += usize::from(client.read_line() == "MOVE\r\n");
        }
        clients.clear();
    }
    let exit_ms = exit.join().expect("it exits");
    let longest_pause_ms = with_successor.then_some(longest_pause);
    Row {
        count,
        ready_ms,
        exit_ms,
        longest_pause_ms,
        migrated,
        mib_before,
        mib_both,
    }
}
