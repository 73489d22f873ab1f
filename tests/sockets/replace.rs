//! Hot restart: two processes of one balancer that inherit the same listening socket.

use crate::deployment::Deployment;
use crate::peers::*;
use crate::scripted_successor::{ScriptedSuccessor, connection_number};
use spanspur_hot_restart::frame::{Frame, VERSION};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

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
