//! A source keeps its rate limits whoever polls, and no follower starves.

mod common;
use common::*;
use spanspur_distribution::messages::{self, MAX_WINDOW, PollRequest, Query, ResponseBody};
use spanspur_distribution::rate_limiter::{RESERVATION_TOLERANCE, RateLimiter};
use spanspur_distribution::{Limits, Output};
use spanspur_membership::authentication::DatagramKind;
use spanspur_membership::{Sessions, handshake};

/// Sixty followers start at once at a source with a low rate limit. All are synchronized in about the time that the
/// rate allows, none much later than the others, and every second stays within the rate.
#[test]
fn many_followers_are_served_in_order_within_the_rate_and_none_starves() {
    let mut sim = Simulation::new(31, &[LOCAL_ZONE]);
    sim.limits = Limits {
        datagrams_per_second: 200,
        burst: 20,
        ..Limits::default()
    };
    sim.restart_source(0, 150);
    sim.publish_all(&entries(0..1000, 10));
    for _ in 0..60 {
        sim.add_follower(LOCAL_ZONE);
    }
    let start = sim.now;
    let mut synchronized_after = vec![None; 60];
    while synchronized_after.contains(&None) && sim.now < start + 60_000 {
        sim.run(50);
        for (i, after) in synchronized_after.iter_mut().enumerate() {
            if after.is_none() && sim.followers[i].is_synchronized() {
                *after = Some(sim.now - start);
            }
        }
    }
    let mut durations: Vec<u64> = synchronized_after
        .iter()
        .map(|after| after.expect("starved"))
        .collect();
    durations.sort_unstable();
    let datagrams = sim.sources[0].counters()["pieces"];
    println!(
        "{datagrams} datagrams, synchronized after {} to {} ms",
        durations[0], durations[59]
    );
    println!("{:?}", sim.sources[0].counters());
    let ideal = datagrams * 1000 / 200;
    assert!(
        durations[59] < ideal * 13 / 10 + 1000,
        "{} ms, ideally {ideal} ms",
        durations[59]
    );
    assert!(
        durations[59] < durations[0] * 2,
        "some followers wait much longer than others"
    );
    let times: Vec<u64> = sim.large_datagrams.iter().map(|(at, _)| *at).collect();
    for (i, at) in times.iter().enumerate() {
        let within = times[i..]
            .iter()
            .take_while(|time| **time < at + 1000)
            .count() as u64;
        let limit = 200 * (1000 + 2 * RESERVATION_TOLERANCE) / 1000 + 20;
        assert!(
            within <= limit,
            "{within} datagrams in a second, limit {limit}"
        );
    }
    // Over the whole time, the rate itself is kept, apart from the burst.
    let span = times[times.len() - 1] - times[0];
    assert!(times.len() as u64 <= 200 * (span + 2 * RESERVATION_TOLERANCE) / 1000 + 20);
    assert_eq!(sim.version_regressions(), 0);
}

/// A synchronized follower polls a change while 40 others synchronize. It waits for at most one slot behind theirs.
#[test]
fn a_change_reaches_a_follower_while_many_others_resynchronize() {
    let mut sim = Simulation::new(32, &[LOCAL_ZONE]);
    sim.limits.datagrams_per_second = 400;
    sim.limits.burst = 40;
    sim.restart_source(0, 150);
    sim.publish_all(&entries(0..2000, 10));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(5000);
    assert!(sim.same_content(follower, 0));
    for _ in 0..40 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(2000);
    assert!(
        sim.sources[0].status(sim.now).backlog > 0,
        "the rate limit is not reached"
    );
    sim.publish_all(&[entry(1, 11)]);
    let start = sim.now;
    while sim.observations[follower].versions[&1] < 11 && sim.now < start + 20_000 {
        sim.run(20);
    }
    let took = sim.now - start;
    println!("{took} ms while 40 others synchronize");
    // The interval of a poll, and the window of each of the 41 followers.
    assert!(took < 1000 + 41 * 8 * 1000 / 400 + 500, "{took}");
}

#[test]
fn a_rate_limiter_keeps_its_rate_and_its_order() {
    let mut limiter = RateLimiter::new(0, 100, 10);
    assert_eq!(limiter.acquire(0, 50), 10, "the burst");
    assert_eq!(limiter.acquire(0, 1), 0);
    let slots: Vec<u64> = (0..5).map(|_| limiter.reserve(0, 8)).collect();
    assert_eq!(slots, [0, 80, 160, 240, 320]);
    assert_eq!(limiter.backlog(0), 400);
    assert_eq!(limiter.acquire(399, 8), 0, "reservations come first");
    assert_eq!(limiter.acquire(450, 8), 5);
    // After a long pause, the burst is available again, but no more.
    assert_eq!(limiter.acquire(1_000_000, 50), 10);
}

/// A peer polls under many names and never uses the responses. The limits bound what it is sent: datagrams with rows at
/// their rate, otherwise one small Retry-After response per request.
#[test]
fn a_follower_that_never_reads_costs_a_bounded_amount() {
    let mut sim = Simulation::new(33, &[LOCAL_ZONE]);
    sim.limits.datagrams_per_second = 100;
    sim.limits.burst = 16;
    sim.limits.requests_per_second = 50;
    sim.limits.handshakes_per_second = 20;
    sim.limits.max_followers = 30;
    sim.restart_source(0, 150);
    sim.publish_all(&entries(0..2000, 10));
    let mut bytes = 0;
    let mut retry_after = 0;
    for second in 0..20 {
        for n in 0..100 {
            let name = format!("silent-{n}");
            let mut sessions = Sessions::new(handshake::id_of(&name), 7 + second, keys());
            let identity = identity(&name, follower_address(n), 7 + second);
            let body = postcard::to_stdvec(&identity).expect("encoded");
            let greeting = sessions.seal_greeting(&body).expect("fits");
            let answer = sessions.seal_answer(150, &body).expect("fits");
            sim.sources[0].receive(sim.now, follower_address(n), &greeting);
            sim.sources[0].receive(sim.now, follower_address(n), &answer);
            for output in sim.sources[0].take_outputs() {
                if let Output::Datagram(_, datagram) = output {
                    let _ = sessions.open(&datagram);
                    bytes += datagram.len();
                }
            }
            let request = PollRequest {
                nonce: 1,
                is_primary: true,
                incarnation: 0,
                sequence: 0,
                root_hash: 0,
                window: MAX_WINDOW,
                query: Query::Entries { from: 0 },
            };
            let to = handshake::id_of("control-0");
            let Some(sealed) = sessions.seal(
                to,
                DatagramKind::Data,
                &messages::encode_request(&request, &[]),
            ) else {
                continue;
            };
            sim.sources[0].receive(sim.now, follower_address(n), &sealed);
            for output in sim.sources[0].take_outputs() {
                if let Output::Datagram(_, datagram) = output {
                    bytes += datagram.len();
                    if let Ok(opened) = sessions.open(&datagram)
                        && let Ok((response, _)) = messages::decode_response(opened.body)
                    {
                        retry_after +=
                            usize::from(matches!(response.body, ResponseBody::RetryAfter { .. }));
                    }
                }
            }
        }
        sim.now += 1000;
        sim.sources[0].wake(sim.now);
    }
    let counters = sim.sources[0].counters();
    println!("{bytes} bytes in 20 s, {retry_after} Retry-After responses, {counters:?}");
    assert!(retry_after > 0);
    assert!(sim.sources[0].status(sim.now).followers <= 30);
    assert!(counters["followers-full"] > 0);
    assert!(counters["greetings-unanswered"] > 0);
    // Datagrams with rows are limited by their rate, requests and handshakes by theirs.
    let limit = (100 * 20 + 16) * 1400 + 20 * (50 + 20) * 200;
    assert!(bytes < limit, "{bytes} of {limit}");
    assert!(counters["pieces"] <= 100 * 20 + 16);
}

#[test]
fn requests_above_their_rate_are_dropped_and_counted() {
    let mut sim = Simulation::new(34, &[LOCAL_ZONE]);
    sim.limits.requests_per_second = 5;
    sim.restart_source(0, 150);
    sim.publish_all(&entries(0..10, 10));
    for _ in 0..20 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(20_000);
    let counters = sim.sources[0].counters();
    assert!(counters["asks"] <= 5 * 21);
    assert!(counters["asks-dropped"] > 0);
}
