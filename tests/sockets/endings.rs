//! Races between the end of a connection, an attempt or the process and events that arrive at the same time. Scripted
//! peers force each race. `docs/design/endings.md` lists them.

use crate::peers::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Replaces a setting: a request of the class must not run twice, so no retry follows an attempt that may have run.
const SINGLE_SHOT: (&str, &str) = (r#""semantics":"free""#, r#""semantics":"single_shot""#);
/// Replaces a setting: the clients may wait longer than a process may take to shut down.
const LONG_HARD_LIMIT: (&str, &str) = (r#""hardLimit":2.0"#, r#""hardLimit":9.0"#);

/// Returns the first word of a client's response; empty if the connection ends without one.
fn response_word(client: &mut Peer) -> String {
    let response = client.read_line();
    let word = response.split([' ', '\r']).next();
    word.unwrap_or("").to_owned()
}

#[test]
fn an_idle_client_gets_busy_at_its_timeout_and_a_later_request_is_not_forwarded() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let mut idle = balancer.connect();
    assert_eq!(
        (response_word(&mut idle), idle.read_line()),
        ("BUSY".into(), String::new())
    );
    // The client's first line arrives after the balancer has shut down its side.
    idle.send("OPEN 00000000000000a1 7f3a c=live,d=2000\r\n");
    assert!(backend.receives_no_connection(Duration::from_millis(300)));
    // The balancer has read all bytes: unread ones would have reset the connection.
    assert!(idle.stream().write(b"x").is_ok());
}

#[test]
fn a_front_proxy_that_has_probed_gets_no_busy_when_its_connection_times_out() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let mut front = balancer.connect();
    front.send("PING\r\n");
    assert_eq!(
        (front.read_line(), front.read_line()),
        ("PONG\r\n".into(), String::new())
    );
}

#[test]
fn at_exit_idle_clients_get_busy_and_pending_ones_a_response_by_class_semantics() {
    let backend = Backend::new("s-1");
    // With a single attempt, its timeout is the whole wait of the client.
    let one_attempt = (r#""maxAttempts":3"#, r#""maxAttempts":1"#);
    for (replacements, expected) in [
        (vec![LONG_HARD_LIMIT, one_attempt], "BUSY"),
        (vec![LONG_HARD_LIMIT, one_attempt, SINGLE_SHOT], "ERR"),
    ] {
        let entry = [backend.endpoint("SERVING")];
        let balancer =
            Balancer::start_with_settings(unresponsive_discovery(), &entry, &replacements);
        // The backend has received the request and does not respond: the request may still run.
        let mut pending = balancer.open(0xb1, 8000);
        let (_server, _) = backend.accept();
        balancer.signal("-TERM");
        // This client connects late and stays idle: its timeout has not expired when the process has to exit.
        std::thread::sleep(Duration::from_millis(1500));
        let mut idle = balancer.connect();
        assert_eq!(response_word(&mut pending), expected);
        assert_eq!(response_word(&mut idle), "BUSY");
        assert_eq!(
            (pending.read_line(), idle.read_line()),
            (String::new(), String::new())
        );
        // The clients have not closed their sides, so the process waits: if it exited and a client then sent more, the
        // reset could discard the response.
        wait_until(|| {
            balancer
                .log()
                .contains("waiting for answered clients to close")
        });
        drop((pending, idle));
        assert_eq!(balancer.wait_for_exit(), Some(0));
    }
}

#[test]
fn a_client_that_connects_just_before_the_exit_is_served() {
    let (discovery, backend) = (Discovery::new(), echo_backend("s-1"));
    for n in 0..8 {
        let balancer = Balancer::start_with_settings(
            discovery.address,
            &[backend.endpoint("SERVING")],
            &[LENIENT_MESSAGE_AIM],
        );
        balancer.signal("-TERM");
        // While the process is stopped, the time of its next check for remaining clients passes: after it continues,
        // the check and the client's connection are pending at the same time.
        std::thread::sleep(Duration::from_millis(400));
        let mut late = balancer.while_stopped(|| {
            std::thread::sleep(Duration::from_millis(100));
            balancer.open(0xc0 + n, 600)
        });
        assert_eq!(late.read_line(), "UP r1\r\n", "round {n}");
        assert_eq!(late.read_line(), "MOVE\r\n", "round {n}");
        drop(late);
        assert_eq!(balancer.wait_for_exit(), Some(0));
    }
}

/// Whether the kernel has received the end of the connection from `remote` at the socket of `local`: /proc/net/tcp
/// shows the socket in the state CLOSE_WAIT, or no longer shows it if the connection was reset.
fn has_received_end(local: SocketAddr, remote: SocketAddr) -> bool {
    const CLOSE_WAIT: &str = "08";
    let encode = |address: SocketAddr| match address {
        SocketAddr::V4(address) => format!(
            "{:08X}:{:04X}",
            u32::from_ne_bytes(address.ip().octets()),
            address.port()
        ),
        SocketAddr::V6(address) => panic!("{address}: the tests run on IPv4"),
    };
    let (local, remote) = (encode(local), encode(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
    let mut states = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        (columns.get(1..3)? == [&local, &remote]).then(|| columns[3].to_owned())
    });
    states.next().is_none_or(|state| state == CLOSE_WAIT)
}

#[test]
fn no_retry_starts_for_a_client_that_disconnects_as_the_attempt_fails() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let entries = [one.endpoint("SERVING"), two.endpoint("SERVING")];
    let balancer = Balancer::start_with_settings(
        discovery.address,
        &entries,
        &[LONG_CONNECT_TIMEOUT, LENIENT_MESSAGE_AIM],
    );
    for n in 0..20 {
        let client = balancer.open(0xd00 + n, 2000);
        let (mut server, _) = accept_any(&[&one, &two]);
        balancer.while_stopped(|| {
            server.send("BUSY\r\n");
            let address = client.stream().local_addr().expect("connected");
            drop(client);
            // On a busy machine the process could otherwise continue before the end of the connection arrives.
            wait_until(|| has_received_end(balancer.address(), address));
        });
        // The attempt's connection is closed or reset, and no other attempt is made.
        assert!(["", "reset"].contains(&server.read_line().as_str()));
        for backend in [&one, &two] {
            assert!(
                backend.receives_no_line(Duration::from_millis(60)),
                "round {n}"
            );
        }
    }
}

/// A backend that accepts connections late: its accept queue is full until the test drains it.
struct SlowBackend {
    listener: TcpListener,
    queue: Vec<TcpStream>,
    address: SocketAddr,
}

impl SlowBackend {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any_port.into()).expect("a port");
        // The shortest possible queue holds one connection.
        socket.listen(0).expect("listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("bound");
        let queue = vec![TcpStream::connect(address).expect("queued")];
        Self {
            listener,
            queue,
            address,
        }
    }

    fn entry(&self, phase: &str) -> String {
        Backend::new("s-1").endpoint_at(phase, self.address)
    }

    /// Whether a connection to this backend is pending (in the state SYN_SENT).
    fn has_connecting_peer(&self) -> bool {
        const SYN_SENT: &str = "02";
        let port = format!(":{:04X}", self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        table.lines().any(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            columns.len() > 3 && columns[2].ends_with(&port) && columns[3] == SYN_SENT
        })
    }

    /// Drains the queue, so that a pending connection is established by its next retransmission, within a second.
    /// Returns the bytes received on it.
    fn drain_queue_and_read(&mut self) -> String {
        drop(self.listener.accept().expect("the queued connection"));
        self.queue.clear();
        self.listener.set_nonblocking(true).expect("settable");
        let mut received = String::new();
        let end = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < end {
            if let Ok((mut late, _)) = self.listener.accept() {
                late.set_nonblocking(false).expect("settable");
                let timeout = Some(Duration::from_millis(500));
                late.set_read_timeout(timeout).expect("settable");
                let _ = late.read_to_string(&mut received);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        received
    }
}

/// Replaces a setting: the connect timeout is longer than any other timeout of these tests.
const LONG_CONNECT_TIMEOUT: (&str, &str) = (r#""connectTimeout":0.25"#, r#""connectTimeout":4.0"#);

#[test]
fn a_connecting_attempt_is_abandoned_when_its_client_disconnects() {
    let mut slow = SlowBackend::new();
    // With a single attempt, its timeout is the whole wait of the client, 2 s.
    let one_attempt = (r#""maxAttempts":3"#, r#""maxAttempts":1"#);
    let balancer = Balancer::start_with_settings(
        unresponsive_discovery(),
        &[slow.entry("SERVING")],
        &[LONG_CONNECT_TIMEOUT, one_attempt],
    );
    let client = balancer.open(0xe1, 2000);
    wait_until(|| slow.has_connecting_peer());
    let disconnected_at = Instant::now();
    drop(client);
    wait_until(|| !slow.has_connecting_peer());
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        disconnected_at.elapsed()
    );
    assert_eq!(slow.drain_queue_and_read(), "");
}

#[test]
fn no_request_is_sent_to_a_server_listed_as_draining_while_the_attempt_connects() {
    let (mut slow, discovery) = (SlowBackend::new(), Backend::new("d-1"));
    // With a single attempt, its timeout is the whole wait of the client.
    let one_attempt = (r#""maxAttempts":3"#, r#""maxAttempts":1"#);
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[slow.entry("SERVING")],
        &[LONG_CONNECT_TIMEOUT, one_attempt],
    );
    let (mut watch, _) = discovery.accept_request();
    let mut client = balancer.open(0xe2, 2000);
    wait_until(|| slow.has_connecting_peer());
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[slow.entry("DRAINING")],
    )));
    discovery.read_request(&mut watch);
    assert!(slow.has_connecting_peer());
    assert_eq!(slow.drain_queue_and_read(), "");
    assert_eq!(response_word(&mut client), "BUSY");
}

#[test]
fn no_request_is_sent_to_a_server_detached_while_the_attempt_connects() {
    let mut slow = SlowBackend::new();
    let one_attempt = (r#""maxAttempts":3"#, r#""maxAttempts":1"#);
    let balancer = Balancer::start_with_settings(
        unresponsive_discovery(),
        &[slow.entry("SERVING")],
        &[LONG_CONNECT_TIMEOUT, one_attempt],
    );
    let mut client = balancer.open(0xe3, 2000);
    wait_until(|| slow.has_connecting_peer());
    assert_eq!(
        balancer.admin_request("/_stream-servers/detach", "s-1").0,
        200
    );
    assert!(slow.has_connecting_peer());
    assert_eq!(slow.drain_queue_and_read(), "");
    assert_eq!(response_word(&mut client), "BUSY");
}

#[test]
fn a_queued_client_that_disconnects_is_never_forwarded() {
    let backend = Backend::new("s-1");
    let discovery = Backend::new("d-1");
    let balancer = Balancer::spawn_with_settings(
        discovery.address(),
        &[backend.endpoint("DRAINING")],
        &[LENIENT_MESSAGE_AIM],
    );
    let (mut watch, _) = discovery.accept_request();
    let client = balancer.open(0xf1, 2000);
    // The client is queued, as no server accepts requests. It disconnects at the same moment as a server becomes ready.
    balancer.wait_for_requests(1);
    balancer.while_stopped(|| {
        drop(client);
        watch.send(&http_response(&endpoint_list(
            2,
            false,
            &[backend.endpoint("SERVING")],
        )));
    });
    assert!(backend.receives_no_line(Duration::from_millis(500)));
    // The server was ready: the next client is forwarded.
    let _next = balancer.open(0xf2, 2000);
    assert!(backend.accept().1.starts_with("OPEN 00000000000000f2 "));
}

#[test]
fn a_move_line_comes_between_complete_lines_and_never_after_an_announced_end() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0x11, &backend);
    let (mut ending_client, mut ending_server) = balancer.establish(0x12, &backend);
    server.send("R 1\r\nHAL");
    assert_eq!(client.read_line(), "R 1\r\n");
    ending_server.send("BYE\r\n");
    assert_eq!(ending_client.read_line(), "BYE\r\n");
    // An incomplete line of the client is not forwarded either.
    client.send("M 1\r\nM ");
    assert_eq!(server.read_line(), "M 1\r\n");
    balancer.signal("-TERM");
    // A reload after the shutdown has begun has no effect.
    balancer.signal("-HUP");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("MOVE\r\n".into(), String::new())
    );
    assert_eq!(server.read_line(), "");
    // The backend has announced the end and has not closed yet: the balancer adds no line of its own.
    assert_eq!(read_to_end(ending_client), "");
    drop(ending_server);
    drop(client);
    assert_eq!(balancer.wait_for_exit(), Some(0));
}

#[test]
fn an_evicted_client_with_unread_bytes_still_receives_its_response() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let mut first_clients: Vec<Peer> = (0..200).map(|_| balancer.connect()).collect();
    // When the balancer continues, it has both the incomplete lines of the first clients and the connections of the new
    // clients, for which the first ones are evicted.
    let new_clients: Vec<Peer> = balancer.while_stopped(|| {
        first_clients
            .iter_mut()
            .for_each(|client| client.send("OPEN 0000"));
        (0..100).map(|_| balancer.connect()).collect()
    });
    for client in &mut first_clients[..60] {
        assert_eq!(
            (response_word(client), client.read_line()),
            ("BUSY".into(), String::new())
        );
    }
    drop(new_clients);
}

#[test]
fn a_client_rejected_for_lack_of_descriptors_gets_busy_whatever_it_has_sent() {
    let (discovery, backend) = (Discovery::new(), echo_backend("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address,
        &[backend.endpoint("SERVING")],
        &[LENIENT_MESSAGE_AIM],
    );
    let mut established = Vec::new();
    // Each client takes two of the 256 descriptors of the process; some are reserved for other uses.
    let last = loop {
        let mut client = balancer.open(0x800 + established.len() as u64, 1000);
        match client.read_line().as_str() {
            "UP r1\r\n" => established.push(client),
            other => break other.to_owned(),
        }
    };
    assert_eq!(last, "BUSY\r\n");
    assert!(
        (100..128).contains(&established.len()),
        "{}",
        established.len()
    );
    // The clients' lines have arrived by the time the clients are accepted, and there are more clients than may linger.
    let rejected: Vec<Peer> =
        balancer.while_stopped(|| (0..24).map(|n| balancer.open(0x900 + n, 1000)).collect());
    for mut client in rejected {
        assert_eq!(
            (response_word(&mut client), client.read_line()),
            ("BUSY".into(), String::new())
        );
    }
}

#[test]
fn truncated_endless_doubled_or_garbled_responses_never_reach_a_client() {
    let endless = "U".repeat(9000);
    let invalid = [
        "UP",
        "UP r1",
        "BUSY\r\nUP r1\r\n",
        "ERR\r\nUP r1\r\n",
        "\u{7}\r\nUP r1\r\n",
        &endless,
        "",
    ];
    for text in invalid {
        let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
        let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
        let client = balancer.open(0x301, 700);
        let (server, _) = backend.accept();
        server.stream().write_all(text.as_bytes()).expect("sent");
        // The endless response fails at the length limit, the others at the end of the connection.
        if text.len() < 9000 {
            server.stream().shutdown(Shutdown::Both).expect("open");
        }
        let received = read_to_end(client);
        let expected = ["BUSY\r\n", "ERR\r\n"];
        assert!(
            expected.contains(&received.as_str()),
            "{text:.20}: {received}"
        );
    }
}

#[test]
fn floods_end_their_own_connection_and_do_not_delay_other_clients() {
    let (discovery, backend) = (Discovery::new(), echo_backend("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address,
        &[backend.endpoint("SERVING")],
        &[LENIENT_MESSAGE_AIM],
    );
    let flood = vec![b'x'; 1 << 20];
    let address = balancer.address();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut client = TcpStream::connect(address).expect("accepted");
                client
                    .set_read_timeout(Some(Duration::from_secs(6)))
                    .expect("settable");
                // 60 MB, or until the balancer closes the connection.
                let started = Instant::now();
                for _ in 0..60 {
                    if client.write_all(&flood).is_err() {
                        break;
                    }
                }
                let mut received = Vec::new();
                let _ = client.read_to_end(&mut received);
                assert!(
                    received.is_empty() || received == b"ERR\r\n",
                    "{received:?}"
                );
                assert!(
                    started.elapsed() < Duration::from_secs(6),
                    "{:?}",
                    started.elapsed()
                );
            });
        }
        for n in 0..20 {
            let started = Instant::now();
            let mut client = balancer.open(0x500 + n, 1000);
            assert_eq!(client.read_line(), "UP r1\r\n");
            assert!(
                started.elapsed() < Duration::from_millis(500),
                "{:?}",
                started.elapsed()
            );
        }
    });
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_for_attempts_and_for_admin_calls() {
    let (discovery, backend) = (Backend::new("d-1"), echo_backend("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[LENIENT_MESSAGE_AIM],
    );
    // Discovery is down: the calls to it fail while the idle clients connect.
    drop(discovery.accept_request());
    let idle: Vec<Peer> = (0..400).map(|_| balancer.connect()).collect();
    drop(discovery.accept_request());
    let (mut watch, call) = discovery.accept_request();
    assert!(call.contains("since=1&"), "{call}");
    assert_eq!(balancer.admin_request("/_ready", "").0, 200);
    let established: Vec<Peer> = (0..40)
        .map(|n| {
            let mut client = balancer.open(0x600 + n, 1000);
            assert_eq!(client.read_line(), "UP r1\r\n");
            client
        })
        .collect();
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[backend.endpoint("DRAINING")],
    )));
    discovery.read_request(&mut watch);
    drop((idle, established));
}

#[test]
fn a_retry_that_could_arrive_after_the_deduplication_window_is_not_sent() {
    let (one, two) = (Backend::new("s-1"), Backend::new("s-2"));
    let entries = [one.endpoint("SERVING"), two.endpoint("SERVING")];
    let guarded = (
        r#""semantics":"free""#,
        r#""semantics":"guarded","group":"all","repeatWindow":0.6"#,
    );
    let balancer = Balancer::start_with_settings(unresponsive_discovery(), &entries, &[guarded]);
    for (pause, is_retried) in [(0, true), (450, false)] {
        let mut client = balancer.open(0x700 + pause, 1800);
        let (mut server, _) = accept_any(&[&one, &two]);
        // Connecting to the next server may take 0.25 s: a retry that starts after 0.45 s could arrive after 0.7 s,
        // past the deduplication window of 0.6 s.
        std::thread::sleep(Duration::from_millis(pause));
        server.send("?\r\n");
        if is_retried {
            let (mut server, _) = accept_any(&[&one, &two]);
            server.send("UP r1\r\n");
            assert_eq!(client.read_line(), "UP r1\r\n");
            // Both are clear again.
            std::thread::sleep(Duration::from_millis(700));
        } else {
            assert_eq!(response_word(&mut client), "BUSY");
            assert!(one.receives_no_line(Duration::from_millis(50)));
            assert!(two.receives_no_line(Duration::from_millis(50)));
        }
    }
}
