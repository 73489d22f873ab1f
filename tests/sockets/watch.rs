//! Ends of the watch on discovery: what it has is known in time whatever became of the call before.

use crate::peers::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Where lists are pushed, by an agent that stands where discovery does.
const PUSHED: (&str, &str) = ("on_request", "pushed");
/// Discovery is asked this seldom at the operators' own site.
const SELDOM: (&str, &str) = (r#""askWithin":1.0"#, r#""askWithin":10.0"#);

/// A change counts as told by then, once discovery has it and can be reached.
const TOLD: Duration = Duration::from_secs(6);

/// The answer with the drain of the last server has been read, and a client finds nobody to be sent to.
#[track_caller]
fn assert_drain_known(balancer: &Balancer, discovery: &Backend, watch: &mut Peer, id: u64) {
    discovery.read_request(watch);
    assert!(balancer.open(id, 150).read_line().starts_with("BUSY"));
}

#[test]
fn a_pushed_list_is_watched_from_the_first_moment_and_again_at_once() {
    let (agent, old, new) = (
        Backend::new("d-1"),
        Backend::new("s-1"),
        Backend::new("s-2"),
    );
    let balancer =
        Balancer::spawn_with_settings(agent.address(), &[old.endpoint("SERVING")], &[PUSHED]);
    let (mut watch, call) = agent.accept_request();
    assert!(call.contains("since=1&timeout_ms=0 "), "{call}");
    // What the agent has counts as told already: nobody is let in on the old list.
    let mut front = balancer.connect();
    front.send("PING\r\n");
    let changes = [old.endpoint("DRAINING"), new.endpoint("SERVING")];
    watch.send(&http_response(&endpoint_list(2, false, &changes)));
    assert_eq!(front.read_line(), "PONG\r\n");
    balancer.establish(0x11, &new);
    // The agent restarts: it is asked again long before a drain's grace is over.
    let call = agent.read_request(&mut watch);
    assert!(call.contains("since=2&timeout_ms=2000 "), "{call}");
    let broken = Instant::now();
    watch.stream().shutdown(Shutdown::Both).expect("open");
    let (mut watch, _) = agent.accept_request();
    assert!(
        broken.elapsed() < Duration::from_millis(200),
        "{:?}",
        broken.elapsed()
    );
    watch.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let (mut watch, call) = agent.next_request(watch);
    assert!(call.contains("since=2&"), "{call}");
    watch.send(&http_response(&endpoint_list(
        3,
        false,
        &[new.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &agent, &mut watch, 0x12);
}

#[test]
fn an_agent_that_says_nothing_does_not_keep_a_process_from_being_ready() {
    let (agent, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let began = Instant::now();
    let _balancer =
        Balancer::start_with_settings(agent.address(), &[backend.endpoint("SERVING")], &[PUSHED]);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn after_many_refused_calls_a_change_is_known_in_time() {
    let (discovery, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[SELDOM],
    );
    // Refused, reset and cut off in turn: the pauses between calls grow with each.
    let ends = [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",
    ];
    let mut ended = Instant::now();
    for end in ends.into_iter().cycle().take(6) {
        let (mut watch, _) = discovery.accept_request();
        assert!(ended.elapsed() < TOLD / 2, "{:?}", ended.elapsed());
        ended = Instant::now();
        watch.send(end);
        watch.stream().shutdown(Shutdown::Both).expect("open");
    }
    // From here on it can be reached, and has news.
    let (reachable, (mut watch, call)) = (ended, discovery.accept_request());
    assert!(call.contains("since=1&"), "{call}");
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &discovery, &mut watch, 0x21);
    assert!(reachable.elapsed() < TOLD, "{:?}", reachable.elapsed());
}

#[test]
fn a_watch_that_falls_silent_and_a_call_that_breaks_after_it_cost_no_change() {
    let (discovery, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[SELDOM],
    );
    // It stays open and says nothing more; the next call is turned away, and the one after it breaks.
    let (_silent, _) = discovery.accept_request();
    let silent = Instant::now();
    let (mut refused, _) = discovery.accept_request();
    // More than two fifths of the time are left for what becomes of this call.
    assert!(silent.elapsed() < TOLD * 3 / 5, "{:?}", silent.elapsed());
    refused.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    drop(refused);
    drop(discovery.accept_request());
    let (mut watch, _) = discovery.accept_request();
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &discovery, &mut watch, 0x31);
    assert!(silent.elapsed() < TOLD, "{:?}", silent.elapsed());
}

#[test]
fn after_a_reload_the_line_at_the_new_discovery_is_waited_out() {
    let (old, new) = (Backend::new("d-1"), Backend::new("d-2"));
    let backend = Backend::new("s-1");
    let balancer =
        Balancer::start_with_settings(old.address(), &[backend.endpoint("SERVING")], &[SELDOM]);
    let _left = old.accept_request();
    // All balancers are sent there, and it handles one call at a time: this one's turn comes after 2 s.
    balancer.reload(&new.address().to_string());
    let (mut watch, call) = new.accept_request();
    let asked = Instant::now();
    assert!(call.starts_with("GET /api/targets HTTP"), "{call}");
    assert!(
        new.receives_no_connection(Duration::from_secs(2)),
        "its place is given up after {:?}",
        asked.elapsed()
    );
    watch.send(&http_response(&endpoint_list(
        7,
        true,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &new, &mut watch, 0x61);
    assert!(asked.elapsed() < TOLD, "{:?}", asked.elapsed());
}

#[test]
fn after_a_reload_each_failed_call_is_followed_by_its_pause() {
    let (old, new) = (Backend::new("d-1"), Backend::new("d-2"));
    let backend = Backend::new("s-1");
    let balancer =
        Balancer::start_with_settings(old.address(), &[backend.endpoint("SERVING")], &[SELDOM]);
    let _left = old.accept_request();
    balancer.reload(&new.address().to_string());
    let (mut called, _) = new.accept_request();
    for n in 0..3 {
        // Longer than the pause before, whose end must not count for the one to come.
        assert!(
            new.receives_no_connection(Duration::from_secs(2)),
            "call {n}"
        );
        let ended = Instant::now();
        called.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        (called, _) = new.accept_request();
        // Half of a thirty-second of the time that the settings give for asking, at least.
        let pause = ended.elapsed();
        assert!(pause >= Duration::from_millis(150), "call {n}: {pause:?}");
        assert!(pause < TOLD / 2, "call {n}: {pause:?}");
    }
    called.send(&http_response(&endpoint_list(
        2,
        true,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &new, &mut called, 0x71);
}

#[test]
fn odd_answers_leave_the_last_good_list_and_are_asked_again() {
    let (discovery, backend) = (Backend::new("d-1"), echo_backend("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[LENIENT_MESSAGE_AIM],
    );
    let endless = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "1\r\nx\r\n".repeat(50)
    );
    let odd = [
        "garbage\r\n\r\n".to_owned(),
        http_response("{"),
        http_response(r#"{"revision":9,"complete":true}"#),
        http_response(r#"{"revision":-1,"complete":true,"members":[]}"#),
        http_response(r#"{"revision":9,"complete":true,"members":[{"id":7}]}"#),
        http_response(r#"{"revision":9,"complete":true,"members":[]}"#),
        http_response(&endpoint_list(0, false, &[backend.endpoint("DELETED")])),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(70_000)),
        endless,
        http_response(&" ".repeat(3_000_000)),
    ];
    let mut called = None;
    for (n, text) in odd.iter().enumerate() {
        let (watch, call) = called.take().unwrap_or_else(|| discovery.accept_request());
        assert!(call.contains("GET /api/targets"), "{call}");
        // The balancer may have had enough before the last byte.
        let _ = watch.stream().write_all(text.as_bytes());
        if n != 9 {
            let _ = watch.stream().shutdown(Shutdown::Write);
        }
        let asked = Instant::now();
        called = Some(discovery.accept_request());
        assert!(asked.elapsed() < TOLD, "{n}: {:?}", asked.elapsed());
        let mut client = balancer.open(0x40 + n as u64, 1000);
        assert_eq!(client.read_line(), "UP r1\r\n", "after answer {n}");
        drop(watch);
    }
}

#[test]
fn an_answer_that_comes_twice_is_not_taken_for_the_next_call() {
    let (discovery, one, two) = (
        Backend::new("d-1"),
        Backend::new("s-1"),
        Backend::new("s-2"),
    );
    let balancer =
        Balancer::start_with_settings(discovery.address(), &[one.endpoint("SERVING")], &[]);
    let (mut watch, _) = discovery.accept_request();
    let twice = http_response(&endpoint_list(2, false, &[two.endpoint("DRAINING")]));
    watch.send(&twice.repeat(2));
    // The next call comes at once, on a connection of its own, and its answer counts.
    let said = Instant::now();
    let (mut next, call) = discovery.accept_request();
    assert!(
        said.elapsed() < Duration::from_secs(1),
        "{:?}",
        said.elapsed()
    );
    assert!(call.contains("since=2&"), "{call}");
    next.send(&http_response(&endpoint_list(
        3,
        false,
        &[one.endpoint("DRAINING"), two.endpoint("SERVING")],
    )));
    discovery.read_request(&mut next);
    balancer.establish(0x51, &two);
}
