//! Stories of day-to-day service: the staff's calls, servers taken out, a balancer that is emptied.

use crate::peers::*;
use std::io::Write;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

const DETACH: &str = "/_stream-servers/detach";
const ATTACH: &str = "/_stream-servers/attach";

#[test]
fn a_server_taken_out_gets_nothing_whatever_the_list_says_until_one_call_back() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0xd1, &backend);
    assert_eq!(balancer.admin_request(DETACH, "s-9").0, 404);
    assert_eq!(balancer.admin_request(ATTACH, "s-9").0, 404);
    assert_eq!(balancer.admin_request(DETACH, "s-1\n").0, 200);
    assert_eq!(balancer.admin_request(DETACH, "s-1").0, 200);
    let refused = |id| {
        assert!(balancer.open(id, 400).read_line().starts_with("BUSY"));
        assert!(backend.receives_no_connection(Duration::from_millis(50)));
    };
    refused(0xd2);
    // The list goes on naming it, drops it, and names it again.
    discovery.respond_with_list(2, true, &[backend.endpoint("SERVING")]);
    discovery.wait_for_requests(2);
    refused(0xd3);
    discovery.respond_with_list(3, true, &[]);
    discovery.respond_with_list(4, true, &[backend.endpoint("SERVING")]);
    discovery.wait_for_requests(4);
    refused(0xd4);
    // Put back while no list names it, and taken out once more.
    discovery.respond_with_list(5, true, &[]);
    discovery.wait_for_requests(5);
    assert_eq!(balancer.admin_request(ATTACH, "s-1").0, 200);
    assert_eq!(balancer.admin_request(DETACH, "s-1").0, 200);
    discovery.respond_with_list(6, true, &[backend.endpoint("SERVING")]);
    discovery.wait_for_requests(6);
    refused(0xd6);
    // What stands there may go on until the server ends it.
    client.send("M 1\r\n");
    assert_eq!(server.read_line(), "M 1\r\n");
    assert_eq!(balancer.admin_request(ATTACH, "s-1").0, 200);
    assert_eq!(balancer.admin_request(ATTACH, "s-1").0, 200);
    balancer.establish(0xd5, &backend);
}

#[test]
fn a_retry_does_not_go_to_a_server_taken_out_while_the_attempt_before_was_out() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let fleet = [one.endpoint("SERVING"), two.endpoint("SERVING")];
    let balancer = Balancer::start(&discovery, &fleet);
    let mut client = balancer.open(0xc1, 1500);
    let (mut server, _) = accept_any(&[&one, &two]);
    let at = server.stream().local_addr().expect("bound");
    let (asked, other) = if one.address() == at {
        (&one, &two)
    } else {
        (&two, &one)
    };
    assert_eq!(balancer.admin_request(DETACH, other.id).0, 200);
    server.send("BUSY\r\n");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(other.receives_no_connection(Duration::from_millis(50)));
    // The file is there before the yes: one killed in between has it out as well, and a second call is a yes.
    assert_eq!(balancer.admin_request(DETACH, asked.id).0, 200);
    let kept = std::fs::read(balancer.folder().path.join("spanspur-n0.outs")).expect("the file");
    let kept = spanspur_admin::maintenance::MaintenanceSet::parse(&kept).expect("whole");
    assert_eq!(kept.names().count(), 2);
}

#[test]
fn what_is_out_outlives_a_kill_and_a_torn_file_is_set_aside() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let known = [one.endpoint("SERVING"), two.endpoint("SERVING")];
    let [address, operator] = free_ports();
    let folder = std::sync::Arc::new(Folder::new(address));
    let start = || {
        let balancer = Balancer::spawn(
            folder.clone(),
            address,
            operator,
            None,
            discovery.address,
            &known,
        );
        wait_until(|| std::net::TcpStream::connect(operator).is_ok());
        assert_eq!(balancer.admin_request("/_ready", "").0, 200);
        balancer
    };
    let balancer = start();
    assert_eq!(balancer.admin_request(DETACH, "s-1").0, 200);
    balancer.kill();
    let balancer = start();
    // All stay open: a backend that ends several of its connections is left alone for a while.
    let mut open = Vec::new();
    for id in 0xe0..0xe8 {
        let (client, mut server) = (balancer.open(id, 2000), two.accept().0);
        server.send("UP r1\r\n");
        open.push((client, server));
    }
    assert!(one.receives_no_connection(Duration::from_millis(50)));
    balancer.kill();
    let file = folder.path.join("spanspur-n0.outs");
    let whole = std::fs::read(&file).expect("the file");
    std::fs::write(&file, &whole[..whole.len() / 2]).expect("written");
    let balancer = start();
    assert!(
        balancer
            .log()
            .contains("invalid maintenance file set aside"),
        "{}",
        balancer.log()
    );
    assert!(folder.path.join("spanspur-n0.outs.bad").exists());
    // It starts, and what it held is lost: the staff is told by the log.
    assert_eq!(balancer.admin_request(DETACH, "s-2").0, 200);
    let (_client, mut server) = (balancer.open(0xe9, 2000), one.accept().0);
    server.send("UP r1\r\n");
}

#[test]
fn calls_are_answered_in_a_crowd_and_among_callers_that_finish_nothing() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let crowd: Vec<Peer> = (0..300).map(|_| balancer.connect()).collect();
    let stalled: Vec<Peer> = (0..20)
        .map(|n| {
            let mut caller = balancer.connect_admin();
            caller.send(["", "POST /_lameduck/on HTTP/1.1\r\n"][n % 2]);
            caller
        })
        .collect();
    let start = Instant::now();
    assert_eq!(balancer.admin_request("/_ready", "").0, 200);
    assert_eq!(balancer.admin_request(DETACH, "s-1").0, 200);
    assert_eq!(balancer.admin_request(ATTACH, "s-1").0, 200);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    drop((crowd, stalled));
    let bad = [
        ("GET / HTTP/1.1\r\n\r\n", 404),
        ("GET /_lameduck/on HTTP/1.1\r\n\r\n", 405),
        ("POST /_stream-servers/detach HTTP/1.1\r\n\r\n", 411),
        ("nonsense\r\n\r\n", 400),
    ];
    for (text, status) in bad {
        assert_eq!(balancer.admin_request_raw(text).0, status, "{text}");
    }
    let mut front = balancer.connect();
    front.send("PING\r\n");
    assert_eq!(front.read_line(), "PONG\r\n");
}

#[test]
fn an_emptied_balancer_says_no_moves_all_in_time_and_serves_again() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, _server) = balancer.establish(0xf1, &backend);
    // The front has asked before, on the same connection.
    let mut front = balancer.connect();
    let ask = |front: &mut Peer| {
        front.send("PING\r\n");
        front.read_line()
    };
    assert_eq!(ask(&mut front), "PONG\r\n");
    let told = Instant::now();
    assert_eq!(balancer.admin_request("/_lameduck/on", "").0, 200);
    assert_eq!(balancer.admin_request("/_lameduck/on", "").0, 200);
    assert_ne!(ask(&mut front), "PONG\r\n");
    assert_eq!(balancer.admin_request("/_ready", "").0, 503);
    // Who comes all the same is served, and moved.
    let (mut late, _late_server) = balancer.establish(0xf2, &backend);
    for client in [&mut client, &mut late] {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("MOVE\r\n".into(), String::new())
        );
    }
    assert!(
        told.elapsed() < Duration::from_secs(4),
        "{:?}",
        told.elapsed()
    );
    assert_eq!(balancer.admin_request("/_lameduck/off", "").0, 200);
    assert_eq!(ask(&mut front), "PONG\r\n");
    assert_eq!(balancer.admin_request("/_ready", "").0, 200);
    // On, off and on again; then the process is told to stop as well.
    let (mut client, _server) = balancer.establish(0xf3, &backend);
    for call in ["/_lameduck/on", "/_lameduck/off", "/_lameduck/on"] {
        assert_eq!(balancer.admin_request(call, "").0, 200);
    }
    balancer.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE\r\n");
    drop((client, late, front));
    assert_eq!(balancer.wait_for_exit(), Some(0));
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_named() {
    let (discovery, [address, operator]) = (Discovery::new(), free_ports());
    let folder = std::sync::Arc::new(Folder::new(address));
    let held = TcpListener::bind(address).expect("free");
    let connected = std::net::TcpStream::connect(address).expect("accepted");
    let file = std::fs::File::open("/dev/null").expect("a file");
    let wrong = [
        (
            OwnedFd::from(connected),
            "descriptor 4 is a socket that does not listen",
        ),
        (
            OwnedFd::from(file),
            "descriptor 4 is not a socket: /dev/null",
        ),
    ];
    for (fd, what) in wrong {
        let held = TcpListener::from(fd);
        let start = (folder.clone(), address, operator);
        let process = Balancer::spawn(
            start.0,
            start.1,
            start.2,
            Some(&held),
            discovery.address,
            &[],
        );
        assert_eq!(process.wait_for_exit(), Some(1));
        let log = std::fs::read_to_string(folder.path.join("log")).expect("a log");
        assert!(
            log.contains(&format!("BALANCER_ACCEPT_FD: {what}")),
            "{log}"
        );
    }
    drop(held);
    // A number that nothing is open under, and one that is none.
    for (fd, what) in [
        ("9", "descriptor 9 is not open"),
        ("x", "not the number of a descriptor"),
    ] {
        let ended = std::process::Command::new(env!("CARGO_BIN_EXE_spanspur"))
            .env("BALANCER_CONFIG", folder.path.join("config.json"))
            .env("BALANCER_ACCEPT_FD", fd)
            .output()
            .expect("it starts");
        let log = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && log.contains(what), "{log}");
    }
}

#[test]
fn clients_come_to_the_socket_that_the_platform_holds() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let [address, operator] = free_ports();
    let held = TcpListener::bind(address).expect("free");
    let folder = std::sync::Arc::new(Folder::new(address));
    let entry = backend.endpoint("SERVING");
    let balancer = Balancer::spawn(
        folder,
        address,
        operator,
        Some(&held),
        discovery.address,
        &[entry],
    );
    wait_until(|| std::net::TcpStream::connect(operator).is_ok());
    assert_eq!(balancer.admin_request("/_ready", "").0, 200);
    let (mut client, _server) = balancer.establish(0x11, &backend);
    balancer.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE\r\n");
    drop(client);
    assert_eq!(balancer.wait_for_exit(), Some(0));
    // The socket is the platform's: it goes on listening.
    let mut waiting = std::net::TcpStream::connect(address).expect("listens");
    waiting.write_all(b"PING\r\n").expect("queued");
}
