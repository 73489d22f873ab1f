//! Failures of polls of discovery: changes must be known in time whatever happened to the polls before.

use crate::peers::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Setting for lists that are pushed by an agent, which takes the place of discovery.
const PUSHED: (&str, &str) = ("on_request", "pushed");
/// Setting for a poll interval of 10 s, which is used in production.
const RARELY_POLLED: (&str, &str) = (r#""askWithin":1.0"#, r#""askWithin":10.0"#);

/// Time within which a change must be known after it is available at a reachable discovery.
const PROPAGATION_TIME: Duration = Duration::from_secs(6);

/// Waits for the next poll, then asserts that the previous response, in which the last server is draining, has been
/// applied: a request is rejected.
#[track_caller]
fn assert_drain_known(balancer: &Balancer, discovery: &Backend, watch: &mut Peer, id: u64) {
    discovery.read_request(watch);
    assert!(balancer.open(id, 150).read_line().starts_with("BUSY"));
}

#[test]
fn a_pushed_list_is_polled_at_startup_and_right_after_a_disconnect() {
    let (agent, old, new) = (
        Backend::new("d-1"),
        Backend::new("s-1"),
        Backend::new("s-2"),
    );
    let balancer =
        Balancer::spawn_with_settings(agent.address(), &[old.endpoint("SERVING")], &[PUSHED]);
    let (mut watch, request) = agent.accept_request();
    assert!(request.contains("since=1&timeout_ms=0 "), "{request}");
    // The agent is expected to respond at once, so the process does not become ready with the cached list before that.
    let mut front = balancer.connect();
    front.send("PING\r\n");
    let changes = [old.endpoint("DRAINING"), new.endpoint("SERVING")];
    watch.send(&http_response(&endpoint_list(2, false, &changes)));
    assert_eq!(front.read_line(), "PONG\r\n");
    balancer.establish(0x11, &new);
    // The agent restarts. It must be polled again at once, long before the grace period of a draining server ends.
    let request = agent.read_request(&mut watch);
    assert!(request.contains("since=2&timeout_ms=2000 "), "{request}");
    let broken = Instant::now();
    watch.stream().shutdown(Shutdown::Both).expect("open");
    let (mut watch, _) = agent.accept_request();
    assert!(
        broken.elapsed() < Duration::from_millis(200),
        "{:?}",
        broken.elapsed()
    );
    watch.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let (mut watch, request) = agent.next_request(watch);
    assert!(request.contains("since=2&"), "{request}");
    watch.send(&http_response(&endpoint_list(
        3,
        false,
        &[new.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &agent, &mut watch, 0x12);
}

#[test]
fn a_silent_agent_does_not_prevent_readiness() {
    let (agent, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let start = Instant::now();
    let _balancer =
        Balancer::start_with_settings(agent.address(), &[backend.endpoint("SERVING")], &[PUSHED]);
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn a_change_is_known_in_time_after_many_failed_polls() {
    let (discovery, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[RARELY_POLLED],
    );
    // Polls are rejected, closed and truncated in turn. The backoff grows with each failure.
    let failures = [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",
    ];
    let mut ended = Instant::now();
    for failure in failures.into_iter().cycle().take(6) {
        let (mut watch, _) = discovery.accept_request();
        assert!(
            ended.elapsed() < PROPAGATION_TIME / 2,
            "{:?}",
            ended.elapsed()
        );
        ended = Instant::now();
        watch.send(failure);
        watch.stream().shutdown(Shutdown::Both).expect("open");
    }
    // From now on discovery is reachable and has a change.
    let (reachable, (mut watch, request)) = (ended, discovery.accept_request());
    assert!(request.contains("since=1&"), "{request}");
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &discovery, &mut watch, 0x21);
    assert!(
        reachable.elapsed() < PROPAGATION_TIME,
        "{:?}",
        reachable.elapsed()
    );
}

#[test]
fn a_change_is_known_in_time_after_a_silent_poll_and_failed_retries() {
    let (discovery, backend) = (Backend::new("d-1"), Backend::new("s-1"));
    let balancer = Balancer::start_with_settings(
        discovery.address(),
        &[backend.endpoint("SERVING")],
        &[RARELY_POLLED],
    );
    // The first poll stays open without a response, the second is rejected, and the third is closed.
    let (_silent, _) = discovery.accept_request();
    let silent = Instant::now();
    let (mut rejected, _) = discovery.accept_request();
    // More than two fifths of the time must be left for this poll and those after it.
    assert!(
        silent.elapsed() < PROPAGATION_TIME * 3 / 5,
        "{:?}",
        silent.elapsed()
    );
    rejected.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    drop(rejected);
    drop(discovery.accept_request());
    let (mut watch, _) = discovery.accept_request();
    watch.send(&http_response(&endpoint_list(
        2,
        false,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &discovery, &mut watch, 0x31);
    assert!(
        silent.elapsed() < PROPAGATION_TIME,
        "{:?}",
        silent.elapsed()
    );
}

#[test]
fn after_a_reload_a_slow_first_response_is_awaited() {
    let (old, new) = (Backend::new("d-1"), Backend::new("d-2"));
    let backend = Backend::new("s-1");
    let balancer = Balancer::start_with_settings(
        old.address(),
        &[backend.endpoint("SERVING")],
        &[RARELY_POLLED],
    );
    let _abandoned = old.accept_request();
    // The new discovery receives polls from all balancers at once and handles one at a time: it responds after 2 s.
    balancer.reload(&new.address().to_string());
    let (mut watch, request) = new.accept_request();
    let polled = Instant::now();
    assert!(request.starts_with("GET /api/targets HTTP"), "{request}");
    assert!(
        new.receives_no_connection(Duration::from_secs(2)),
        "the poll is abandoned after {:?}",
        polled.elapsed()
    );
    watch.send(&http_response(&endpoint_list(
        7,
        true,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &new, &mut watch, 0x61);
    assert!(
        polled.elapsed() < PROPAGATION_TIME,
        "{:?}",
        polled.elapsed()
    );
}

#[test]
fn after_a_reload_each_failed_poll_is_followed_by_a_backoff() {
    let (old, new) = (Backend::new("d-1"), Backend::new("d-2"));
    let backend = Backend::new("s-1");
    let balancer = Balancer::start_with_settings(
        old.address(),
        &[backend.endpoint("SERVING")],
        &[RARELY_POLLED],
    );
    let _abandoned = old.accept_request();
    balancer.reload(&new.address().to_string());
    let (mut watch, _) = new.accept_request();
    for n in 0..3 {
        // Longer than the previous backoff, which must not shorten the next one.
        assert!(
            new.receives_no_connection(Duration::from_secs(2)),
            "poll {n}"
        );
        let ended = Instant::now();
        watch.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        (watch, _) = new.accept_request();
        // At least half of 1/32 of the poll interval in the settings.
        let backoff = ended.elapsed();
        assert!(
            backoff >= Duration::from_millis(150),
            "poll {n}: {backoff:?}"
        );
        assert!(backoff < PROPAGATION_TIME / 2, "poll {n}: {backoff:?}");
    }
    watch.send(&http_response(&endpoint_list(
        2,
        true,
        &[backend.endpoint("DRAINING")],
    )));
    assert_drain_known(&balancer, &new, &mut watch, 0x71);
}

#[test]
fn invalid_responses_keep_the_last_valid_list_and_are_retried() {
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
    let invalid = [
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
    let mut pending = None;
    for (n, text) in invalid.iter().enumerate() {
        let (watch, request) = pending.take().unwrap_or_else(|| discovery.accept_request());
        assert!(request.contains("GET /api/targets"), "{request}");
        // The balancer may close the connection before the last byte is written.
        let _ = watch.stream().write_all(text.as_bytes());
        // The chunked response has no end and stays open; all others are ended.
        if n != 9 {
            let _ = watch.stream().shutdown(Shutdown::Write);
        }
        let ended = Instant::now();
        pending = Some(discovery.accept_request());
        assert!(
            ended.elapsed() < PROPAGATION_TIME,
            "{n}: {:?}",
            ended.elapsed()
        );
        let mut client = balancer.open(0x40 + n as u64, 1000);
        assert_eq!(client.read_line(), "UP r1\r\n", "after response {n}");
        drop(watch);
    }
}

#[test]
fn a_duplicated_response_is_not_taken_for_the_next_one() {
    let (discovery, one, two) = (
        Backend::new("d-1"),
        Backend::new("s-1"),
        Backend::new("s-2"),
    );
    let balancer =
        Balancer::start_with_settings(discovery.address(), &[one.endpoint("SERVING")], &[]);
    let (mut watch, _) = discovery.accept_request();
    let response = http_response(&endpoint_list(2, false, &[two.endpoint("DRAINING")]));
    watch.send(&response.repeat(2));
    // The next poll follows at once on a new connection, and its response is applied.
    let sent = Instant::now();
    let (mut next, request) = discovery.accept_request();
    assert!(
        sent.elapsed() < Duration::from_secs(1),
        "{:?}",
        sent.elapsed()
    );
    assert!(request.contains("since=2&"), "{request}");
    next.send(&http_response(&endpoint_list(
        3,
        false,
        &[one.endpoint("DRAINING"), two.endpoint("SERVING")],
    )));
    discovery.read_request(&mut next);
    balancer.establish(0x51, &two);
}
