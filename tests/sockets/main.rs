//! Stories over loopback sockets: one balancer process among scripted peers.

mod endings;
mod fleet;
mod peers;
mod replace;
mod service;
mod watch;
use peers::*;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn a_client_is_served_and_its_first_line_goes_on_unchanged_but_for_d() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let mut client = balancer.open(0xa1, 2000);
    let (mut server, line) = backend.accept();
    let (head, tail) = line.split_once("d=").expect("a wait");
    let (wait, tail) = tail.split_once(',').expect("more fields");
    assert_eq!(
        (head, tail),
        ("OPEN 00000000000000a1 7f3a c=live,", "g=5c0f,x=1\r\n")
    );
    assert!(
        (1..2000).contains(&wait.parse::<u64>().expect("a number")),
        "{wait}"
    );
    server.send("UP r7\r\nLOAD 12.5\r\n");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("UP r7\r\n".into(), "LOAD 12.5\r\n".into())
    );
    client.send("M 1\r\n");
    assert_eq!(server.read_line(), "M 1\r\n");
    // Its end comes in kind, after its last word.
    server.send("BYE\r\n");
    server.stream().shutdown(Shutdown::Both).expect("open");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("BYE\r\n".into(), String::new())
    );
}

#[test]
fn a_backend_that_is_busy_or_broken_is_followed_by_the_next_one_only() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let balancer = Balancer::start(
        &discovery,
        &[one.endpoint("SERVING"), two.endpoint("SERVING")],
    );
    let mut client = balancer.open(0xb1, 2000);
    // Whichever ranks first for this key refuses, the other breaks: nothing is left but a refusal.
    let first = std::thread::scope(|scope| {
        let asked = [&one, &two].map(|backend| {
            scope.spawn(move || {
                let (mut server, line) = backend.accept();
                assert!(line.starts_with("OPEN 00000000000000b1 "), "{line}");
                server.send("BUSY\r\n");
                // The balancer has let go of this attempt before it sends the next.
                (server.read_line(), Instant::now())
            })
        });
        asked.map(|one| one.join().expect("asked"))
    });
    assert_eq!([first[0].0.as_str(), first[1].0.as_str()], ["", ""]);
    assert!(client.read_line().starts_with("BUSY"));
    assert_eq!(client.read_line(), "");
}

#[test]
fn an_answer_that_comes_too_late_never_reaches_the_client() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let asked = Instant::now();
    let mut client = balancer.open(0xc1, 600);
    let (server, _) = backend.accept();
    assert!(client.read_line().starts_with("BUSY"));
    assert!(
        asked.elapsed() < Duration::from_millis(1500),
        "{:?}",
        asked.elapsed()
    );
    let _ = std::io::Write::write_all(&mut server.stream(), b"UP late\r\n");
    assert_eq!(read_to_end(client), "");
}

#[test]
fn nothing_new_goes_to_a_backend_once_the_director_knows_that_it_drains() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0xd1, &backend);
    // A call that fails ends the watch; the next one picks up at the version that is known.
    discovery.respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    discovery.respond_with_list(2, false, &[backend.endpoint("DRAINING")]);
    discovery.wait_for_requests(3);
    let calls = discovery.requests.lock().expect("whole").clone();
    let since: Vec<bool> = calls.iter().map(|call| call.contains("since=2&")).collect();
    assert_eq!(since, [false, false, true], "{calls:?}");
    let mut late = balancer.open(0xd2, 700);
    assert!(late.read_line().starts_with("BUSY"));
    assert!(backend.receives_no_connection(Duration::from_millis(100)));
    // What stands there goes on.
    client.send("M 1\r\n");
    assert_eq!(server.read_line(), "M 1\r\n");
}

#[test]
fn hostile_first_lines_cost_their_own_connection_only() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (endless, huge) = ("x".repeat(8000), "x".repeat(3_000_000));
    let odd = [
        "GET / HTTP/1.1\r\n",
        "OPEN 1 k c=live,d=5\r\n",
        "OPEN 00000000000000e1 k c=live,d=-5\r\n",
        "OPEN 00000000000000e1 k c=lives,d=9\r\n",
        "OPEN 00000000000000e1 k c=live,d=4294967,at=s-9\r\n",
        "OPEN 00000000000000e1 k c=live\n",
        "OPEN 00000000000000e1 k c=live,d=9,d=9\r\n",
        "OPEN 00000000000000e1 k c=li\u{e9}ve,d=9\r\n",
        "OPEN 00000000000000e1 k c=live,d=900\r\nOPEN 00000000000000e2 k c=live,d=900\r\n",
        "PING\r\nPING\r\n",
        &endless,
        &huge,
    ];
    for line in odd {
        let mut client = balancer.connect();
        client.send(line);
        assert_eq!(
            client.read_line(),
            "ERR\r\n",
            "{:?}",
            &line[..line.len().min(90)]
        );
    }
    // A request that is open goes on when another client uses its id.
    let mut waiting = balancer.open(0xe4, 2000);
    let (mut asked, _) = backend.accept();
    assert_eq!(balancer.open(0xe4, 2000).read_line(), "ERR\r\n");
    asked.send("UP r1\r\n");
    assert_eq!(waiting.read_line(), "UP r1\r\n");
    // Who speaks before the answer is not served as if the request had run.
    let mut hasty = balancer.open(0xe5, 2000);
    let (mut left, _) = backend.accept();
    hasty.send("M 1\r\n");
    assert_eq!(
        (hasty.read_line(), left.read_line()),
        ("ERR\r\n".into(), String::new())
    );
    // Half a line does not last, whenever its bytes come.
    let (came, mut half) = (Instant::now(), balancer.connect());
    for byte in "OPEN 0000".chars() {
        half.send(&byte.to_string());
        std::thread::sleep(Duration::from_millis(100));
    }
    half.read_line();
    assert!(came.elapsed() < Duration::from_millis(2900));
    let (mut client, mut server) = balancer.establish(0xe2, &backend);
    // A line without an end ends the connection that it stands on.
    client.send(&endless);
    assert!(matches!(server.read_line().as_str(), "" | "reset"));
    assert!(balancer.open(0xe3, 50).read_line().starts_with("BUSY"));
}

#[test]
fn a_silent_backend_is_left_in_time_and_one_that_answers_is_not() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0xf1, &backend);
    let (mut quiet, mut idle) = balancer.establish(0xf2, &backend);
    client.send("M 1\r\n");
    assert_eq!(server.read_line(), "M 1\r\n");
    let asked = Instant::now();
    assert_eq!(client.read_line(), "MOVE\r\n");
    assert!(
        asked.elapsed() < Duration::from_secs(6),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(client.read_line(), "");
    // The backend is let go at once, though this client has not left yet.
    assert_eq!(server.read_line(), "");
    // Nothing was asked here, so nothing is missing.
    idle.send("LOAD 3\r\n");
    assert_eq!(quiet.read_line(), "LOAD 3\r\n");
}

#[test]
fn ends_and_resets_are_passed_on_in_kind() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0x11, &backend);
    client.stream().shutdown(Shutdown::Write).expect("open");
    assert_eq!(server.read_line(), "");
    server.send("BYE\r\n");
    assert_eq!(client.read_line(), "BYE\r\n");
    let (mut client, server) = balancer.establish(0x12, &backend);
    // Closing with an unread line resets the connection.
    client.send("M 1\r\n");
    server.stream().peek(&mut [0]).expect("a line");
    drop(server);
    assert_eq!(client.read_line(), "reset");
}

#[test]
fn at_its_end_the_balancer_moves_its_clients_and_serves_who_still_comes() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    let (mut client, _server) = balancer.establish(0x21, &backend);
    balancer.signal("-TERM");
    let (mut late, _late_server) = balancer.establish(0x22, &backend);
    for client in [&mut client, &mut late] {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("MOVE\r\n".into(), String::new())
        );
    }
    drop((client, late));
    assert_eq!(balancer.wait_for_exit(), Some(0));
}

#[test]
fn a_reload_goes_to_the_new_discovery_and_keeps_what_stands() {
    let (old, new) = (Discovery::new(), Discovery::new());
    let (one, two) = (Backend::new("s-1"), Backend::new("s-2"));
    let balancer = Balancer::start(&old, &[one.endpoint("SERVING")]);
    let (mut client, mut server) = balancer.establish(0x31, &one);
    // A wrong file changes nothing.
    balancer.reload("nowhere");
    let mut waiting = balancer.open(0x32, 2000);
    let (mut asked, _) = one.accept();
    old.wait_for_requests(1);
    // The running watch is left though its discovery never answers; what the new list lacks is gone.
    new.respond_with_list(1, true, &[two.endpoint("SERVING")]);
    balancer.reload(&new.address.to_string());
    new.wait_for_requests(2);
    let calls = new.requests.lock().expect("whole").clone();
    assert!(calls[0].starts_with("GET /api/targets HTTP"), "{calls:?}");
    balancer.establish(0x33, &two);
    asked.send("UP r2\r\n");
    assert_eq!(waiting.read_line(), "UP r2\r\n");
    client.send("M 1\r\n");
    assert_eq!(server.read_line(), "M 1\r\n");
    balancer.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE\r\n");
    drop((client, waiting));
    assert_eq!(balancer.wait_for_exit(), Some(0));
}

#[test]
fn a_crowd_that_says_nothing_gives_way() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    // More than the 256 descriptors that the balancer may hold.
    let mut crowd: Vec<Peer> = (0..300).map(|_| balancer.connect()).collect();
    balancer.establish(0x41, &backend);
    assert_eq!(crowd[0].read_line(), "BUSY\r\n");
}

#[test]
fn garbage_speaks_against_its_backend_and_errors_of_two_against_the_request() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let three = Backend::new("s-3");
    let fleet = [&one, &two, &three].map(|backend| backend.endpoint("SERVING"));
    let balancer = Balancer::start(&discovery, &fleet);
    let asked = |answer: &str| {
        let (mut server, _) = accept_any(&[&one, &two, &three]);
        server.send(answer);
        server
    };
    let mut client = balancer.open(0x51, 2000);
    asked("\u{1}?\r\n");
    let _server = asked("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1\r\n");
    // The third is not tried.
    let mut client = balancer.open(0x52, 2000);
    asked("ERR\r\n");
    asked("ERR\r\n");
    assert_eq!(client.read_line(), "ERR\r\n");
}

#[test]
fn a_discovery_that_falls_silent_is_asked_again_soon() {
    let (discovery, backend) = (Discovery::new(), Backend::new("s-1"));
    let _balancer = Balancer::start(&discovery, &[backend.endpoint("SERVING")]);
    discovery.wait_for_requests(1);
    // What it misses counts as told 6 s after it fell silent: a second is left for a call that is turned away.
    std::thread::sleep(Duration::from_secs(5));
    // This answers the first call, which is given up by now; a call of its own has come after it.
    discovery.respond_with_list(2, false, &[]);
    discovery.wait_for_requests(2);
    let calls = discovery.requests.lock().expect("whole").clone();
    assert!(calls[1].contains("since=1&"), "{calls:?}");
}

#[test]
fn a_backend_that_reports_long_messages_is_not_taken_for_one_with_a_light_load() {
    let (discovery, one, two) = (Discovery::new(), Backend::new("s-1"), Backend::new("s-2"));
    let balancer = Balancer::start(
        &discovery,
        &[one.endpoint("SERVING"), two.endpoint("SERVING")],
    );
    let mut client = balancer.open(0xf1, 2000);
    let (mut server, _) = accept_any(&[&one, &two]);
    let first = server.stream().local_addr().expect("bound");
    // Its load comes first; then its server's message time, in the same words.
    server.send("UP r1\r\nLOAD 60000.5\r\nLOAD 250.25\r\n");
    assert_eq!(client.read_line(), "UP r1\r\n");
    assert_eq!(client.read_line(), "LOAD 60000.5\r\n");
    assert_eq!(client.read_line(), "LOAD 250.25\r\n");
    // The same group would go to the same server.
    let _other = balancer.open(0xf2, 2000);
    let (server, _) = accept_any(&[&one, &two]);
    assert_ne!(server.stream().local_addr().expect("bound"), first);
}
