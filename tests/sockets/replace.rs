//! Hot restart: two processes of one balancer that inherit the same listening socket.

use crate::deployment::Deployment;
use crate::peers::*;
use crate::scripted_successor::{ScriptedSuccessor, connection_number};
use spanspur_hot_restart::frame::{Frame, VERSION};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn established_connections_and_partial_lines_survive_two_hot_restarts() {
    let backend = Backend::new("s-1");
    let deployment = Deployment::new(&[&backend]);
    let old = deployment.start();
    let (mut client, mut server) = old.establish(0x11, &backend);
    // Transferred are: partial lines in both directions, a partial request line, and a persistent connection of the
    // front proxy.
    client.send("M 1\r\nM");
    assert_eq!(server.read_line(), "M 1\r\n");
    server.send("R");
    let mut partial = old.connect();
    partial.send("OPEN 00000000000000");
    let mut front = old.connect();
    front.send("PING\r\n");
    assert_eq!(front.read_line(), "PONG\r\n");
    let new = deployment.replace(old);
    server.send(" 1\r\n");
    assert_eq!(client.read_line(), "R 1\r\n");
    client.send(" 2\r\n");
    assert_eq!(server.read_line(), "M 2\r\n");
    partial.send("12 7f3a c=live,d=2000,g=5c0f\r\n");
    let (mut other, line) = backend.accept();
    assert!(line.starts_with("OPEN 0000000000000012 "), "{line}");
    other.send("UP r2\r\n");
    assert_eq!(partial.read_line(), "UP r2\r\n");
    front.send("PING\r\n");
    assert_eq!(front.read_line(), "PONG\r\n");
    let third = deployment.replace(new);
    client.send("M 3\r\n");
    assert_eq!(server.read_line(), "M 3\r\n");
    // A process that is terminated without a successor migrates its clients.
    third.signal("-TERM");
    for mut one in [client, partial] {
        assert_eq!(
            (one.read_line(), one.read_line()),
            ("MOVE\r\n".into(), String::new())
        );
    }
    drop(front);
    assert_eq!(third.wait_for_exit(), Some(0));
}

#[test]
fn hot_restarts_under_load_lose_no_client() {
    let (one, two) = (echo_backend("s-1"), echo_backend("s-2"));
    let deployment = Deployment::new(&[&one, &two]);
    let mut process = deployment.start();
    let address = deployment.address;
    let clients: Vec<_> = (0..4)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut established = Vec::new();
                for n in 0..24 {
                    let mut client = Peer::new(TcpStream::connect(address).expect("accepted"));
                    let id = 0x1000 * (thread + 1) + n;
                    client.send(&format!("OPEN {id:016x} {id:x} c=live,d=2000,g={id:x}\r\n"));
                    assert_eq!(client.read_line(), "UP r1\r\n", "client {id:x}");
                    established.push(client);
                    std::thread::sleep(Duration::from_millis(30));
                    // Established connections keep working.
                    let index = n as usize / 2;
                    assert_echo(&mut established[index], "M\r\n");
                }
                established
            })
        })
        .collect();
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(150));
        process = deployment.replace(process);
    }
    for thread in clients {
        for mut client in thread.join().expect("no client is lost") {
            assert_echo(&mut client, "M 9\r\n");
        }
    }
    assert!(
        !deployment.folder.log().contains("counter="),
        "{}",
        deployment.folder.log()
    );
}

#[test]
fn maintenance_and_draining_survive_a_hot_restart() {
    let (one, two) = (Backend::new("s-1"), echo_backend("s-2"));
    let deployment = Deployment::new(&[&one, &two]);
    let old = deployment.start();
    assert_eq!(old.admin_request("/_stream-servers/detach", "s-1").0, 200);
    assert_eq!(old.admin_request("/_lameduck/on", "").0, 200);
    // The new process reports ready on the admin address, so it replaces the old one, but rejects the front proxy's
    // PING.
    let new = deployment.replace(old);
    let ping = |process: &Balancer| {
        let mut front = process.connect();
        front.send("PING\r\n");
        front.read_line()
    };
    assert_ne!(ping(&new), "PONG\r\n");
    assert_eq!(new.admin_request("/_lameduck/off", "").0, 200);
    assert_eq!(ping(&new), "PONG\r\n");
    for id in 0x21..0x29 {
        assert_eq!(new.open(id, 2000).read_line(), "UP r1\r\n");
    }
    assert!(one.receives_no_connection(Duration::from_millis(50)));
    assert_eq!(new.admin_request("/_stream-servers/attach", "s-1").0, 200);
}

#[test]
fn a_failing_successor_leaves_the_predecessor_serving() {
    let backend = echo_backend("s-1");
    let deployment = Deployment::new(&[&backend]);
    let process = deployment.start();
    let mut client = process.open(0x31, 2000);
    assert_eq!(client.read_line(), "UP r1\r\n");
    let assert_serving = |id| assert_eq!(process.open(id, 2000).read_line(), "UP r1\r\n");
    // Invalid data, another protocol version, and a successor that disconnects before it is ready.
    deployment
        .connect_as_successor(&[])
        .write_all(b"GET / HTTP/1.1\r\n")
        .expect("sent");
    drop(deployment.connect_as_successor(&[Frame::Hello {
        version: VERSION + 1,
    }]));
    drop(deployment.connect_as_successor(&[Frame::Hello { version: VERSION }]));
    assert_serving(0x32);
    // A successor that reports ready but accepts nothing: no process accepts clients until it has disconnected.
    let mut successor =
        deployment.connect_as_successor(&[Frame::Hello { version: VERSION }, Frame::Ready]);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    drop(successor);
    assert_serving(0x33);
    // A successor that disconnects during the transfer of the established connections: they are migrated instead.
    successor = deployment.connect_as_successor(&[Frame::Hello { version: VERSION }, Frame::Ready]);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    process.signal("-TERM");
    wait_until(|| deployment.folder.log().contains("command=TransferTo("));
    let mut received = [0; 64];
    successor.read_exact(&mut received).expect("frames arrive");
    drop(successor);
    assert_migrated_after_echo(&mut client);
    drop(client);
    assert_eq!(process.wait_for_exit(), Some(0));
}

/// Guards against connections that are cut off without MOVE because the successor does not take them over.
#[test]
fn a_connection_that_the_successor_refuses_is_migrated_before_the_exit() {
    let backend = echo_backend("s-1");
    let deployment = Deployment::new(&[&backend]);
    let process = deployment.start();
    let mut client = process.open(0x51, 2000);
    assert_eq!(client.read_line(), "UP r1\r\n");
    let mut successor = ScriptedSuccessor::connect(&deployment.hot_restart_socket());
    successor.send(&Frame::Hello { version: VERSION });
    successor.send(&Frame::Ready);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    process.signal("-TERM");
    let refused = std::thread::spawn(move || successor.refuse_connections());
    assert_migrated_after_echo(&mut client);
    drop(client);
    assert_eq!(process.wait_for_exit(), Some(0));
    assert!(refused.join().expect("no panic") > 0);
}

/// Guards against connections whose lines wait for a successor that hangs, and that are cut off with it.
#[test]
fn a_hanging_successor_holds_only_the_connections_in_transit_and_the_others_are_migrated() {
    const CONNECTIONS: u64 = 40;
    const MAX_IN_TRANSIT: usize = 4;
    let backend = echo_backend("s-1");
    let deployment = Deployment::new(&[&backend]);
    let process = deployment.start();
    let open = |id| {
        let mut client = process.open(id, 2000);
        assert_eq!(client.read_line(), "UP r1\r\n");
        client
    };
    let clients: Vec<Peer> = (0x600..0x600 + CONNECTIONS).map(open).collect();
    let mut successor = ScriptedSuccessor::connect(&deployment.hot_restart_socket());
    successor.send(&Frame::Hello { version: VERSION });
    successor.send(&Frame::Ready);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    process.signal("-TERM");
    successor.receive(connection_number);
    std::thread::sleep(Duration::from_millis(200));
    let is_served = |client: &mut Peer| {
        client.send("M 1\r\n");
        client.read_line_within(Duration::from_millis(200)) == "M 1\r\n"
    };
    let (mut served, mut in_transit) = (Vec::new(), Vec::new());
    for mut client in clients {
        match is_served(&mut client) {
            true => served.push(client),
            false => in_transit.push(client),
        }
    }
    assert!(
        in_transit.len() <= MAX_IN_TRANSIT,
        "{} in transit",
        in_transit.len()
    );
    for client in &mut served {
        assert_eq!(client.read_line(), "MOVE\r\n");
    }
    drop(served);
    assert_eq!(process.wait_for_exit(), Some(0));
}

/// Asserts that the client is migrated. Until then the old process serves it, so a line may still be echoed.
fn assert_migrated_after_echo(client: &mut Peer) {
    client.send("M 1\r\n");
    let mut line = client.read_line();
    if line == "M 1\r\n" {
        line = client.read_line();
    }
    assert_eq!(line, "MOVE\r\n");
}

#[test]
fn a_killed_process_does_not_affect_the_next_one() {
    let backend = echo_backend("s-1");
    let deployment = Deployment::new(&[&backend]);
    let old = deployment.start();
    assert_eq!(old.admin_request("/_stream-servers/detach", "s-1").0, 200);
    old.kill();
    // The path of the hot restart socket is left behind, but no process listens on it.
    let new = deployment.start();
    assert!(new.open(0x41, 300).read_line().starts_with("BUSY"));
    assert_eq!(new.admin_request("/_stream-servers/attach", "s-1").0, 200);
    assert_eq!(new.open(0x42, 2000).read_line(), "UP r1\r\n");
}

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
