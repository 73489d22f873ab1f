//! The life cycle of a request, and updates of the endpoint list.

mod common;
use common::*;
use spanspur::api::*;

fn with(idempotency: Idempotency) -> BalancerConfig {
    BalancerConfig {
        classes: vec![RequestClass {
            idempotency,
            ..RequestClass::default()
        }],
        ..config()
    }
}

fn fleet(count: u64) -> Vec<Endpoint> {
    (0..count)
        .map(|i| Endpoint {
            zone: i as u32 % 3,
            cell: i as u32 % 4,
            ..endpoint(i)
        })
        .collect()
}

fn started(config: BalancerConfig, servers: u64) -> TestBalancer {
    let mut node = TestBalancer::new(config);
    node.update_endpoints(0.0, UpdateKind::Full, &fleet(servers));
    node
}

fn request(node: &mut TestBalancer, now: Time) -> (RequestId, ServerId) {
    let id = node.next_id();
    let to = node
        .request(now, Request::new(id, 0, now + 2.0))
        .expect("a server");
    (id, to)
}

fn rejected(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { .. }])
}

fn failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail(_)])
}

#[test]
fn rejections_and_failed_connects_are_retried_on_other_servers_for_any_idempotency() {
    for effect in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: 5.0,
        },
    ] {
        let mut node = started(with(effect), 10);
        let (id, first) = request(&mut node, 1.0);
        let second = attempted_server(&node.end_attempt(1.1, id, 0, first, Outcome::Rejected))
            .expect("a next one");
        // Rejections raise the backoff: the third attempt is queued.
        let mut actions = node.end_attempt(1.2, id, 1, second, Outcome::ConnectFailed);
        if attempted_server(&actions).is_none() {
            actions = node.handle(1.5, Event::Timer(2));
        }
        let third = attempted_server(&actions).expect("a next one");
        assert!(first != second && second != third && first != third);
    }
}

#[test]
fn idempotent_requests_are_retried_after_any_outcome_up_to_the_attempt_limit() {
    let mut node = started(with(Idempotency::Idempotent), 10);
    let (id, mut to) = request(&mut node, 1.0);
    for (attempt, outcome) in [Outcome::Timeout, Outcome::Reset, Outcome::Error]
        .into_iter()
        .enumerate()
    {
        // Errors and timeouts raise the backoff: the request is queued.
        let now = 1.0 + 0.2 * (attempt + 1) as f64;
        let mut actions = node.end_attempt(now, id, attempt as u32, to, outcome);
        if attempted_server(&actions).is_none() {
            assert!(
                matches!(actions[..], [Action::SetTimer { .. }]),
                "{actions:?}"
            );
            actions = node.handle(now + 0.15, Event::Timer(2));
        }
        match attempted_server(&actions) {
            Some(next) => to = next,
            None => return assert!(attempt > 0, "no second attempt: {actions:?}"),
        }
    }
    assert!(
        rejected(&node.end_attempt(1.8, id, 3, to, Outcome::Rejected)),
        "the fourth attempt was the last"
    );
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_fails() {
    for outcome in [
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Error,
        Outcome::Cancelled,
    ] {
        let mut node = started(with(Idempotency::NonIdempotent), 10);
        let (id, to) = request(&mut node, 1.0);
        let mut actions = node.end_attempt(1.9, id, 0, to, outcome);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        assert!(failed(&actions), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_within_its_deduplication_scope_and_window() {
    let zone_of = |id| fleet(12).into_iter().find(|m| m.id == id).map(|m| m.zone);
    let cell_of = |id| fleet(12).into_iter().find(|m| m.id == id).map(|m| m.cell);
    for (scope, is_rejected) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Cell, false),
    ] {
        let mut node = started(with(Idempotency::Keyed { scope, window: 0.5 }), 12);
        let (id, first) = request(&mut node, 1.0);
        let second = attempted_server(&node.end_attempt(1.1, id, 0, first, Outcome::Reset))
            .expect("a retry within the window");
        match scope {
            DeduplicationScope::All => {}
            DeduplicationScope::Zone => assert_eq!(zone_of(first), zone_of(second)),
            DeduplicationScope::Cell => assert_eq!(cell_of(first), cell_of(second)),
        }
        // After the window, counted from the first attempt, no attempt may follow.
        let actions = node.end_attempt(1.6, id, 1, second, Outcome::Rejected);
        assert_eq!(attempted_server(&actions), None);
        let actions = node
            .handle(1.99, Event::Timer(2))
            .into_iter()
            .chain(actions);
        let last: Vec<Action> = actions
            .filter(|a| !matches!(a, Action::SetTimer { .. }))
            .collect();
        assert_eq!(rejected(&last), is_rejected, "{scope:?}: {last:?}");
        assert_eq!(failed(&last), !is_rejected, "{scope:?}: {last:?}");
    }
}

#[test]
fn a_keyed_retry_is_started_only_if_it_arrives_within_the_window_at_the_longest_connect_time() {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: 0.5,
    };
    // The connect timeout is 0.25 s: started at 1.24 it arrives by 1.49, started at 1.26 maybe after 1.5.
    for (ended, is_retried) in [(1.24, true), (1.26, false)] {
        let mut node = started(with(keyed), 12);
        let (id, first) = request(&mut node, 1.0);
        let second = attempted_server(&node.end_attempt(ended, id, 0, first, Outcome::Reset));
        assert_eq!(second.is_some(), is_retried, "{ended}");
    }
}

#[test]
fn at_the_shutdown_deadline_each_request_is_answered_once_by_whether_it_may_have_executed() {
    let keyed = |scope| Idempotency::Keyed { scope, window: 5.0 };
    for (effect, harmless) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NonIdempotent, false),
        (keyed(DeduplicationScope::All), true),
        (keyed(DeduplicationScope::Zone), false),
    ] {
        let mut node = started(with(effect), 3);
        // In flight: it may still execute.
        let (in_flight, server) = request(&mut node, 1.0);
        let actions = node.handle(1.1, Event::ShutdownDeadline(in_flight));
        assert_eq!(
            (rejected(&actions), failed(&actions)),
            (harmless, !harmless)
        );
        assert!(
            node.end_attempt(1.2, in_flight, 0, server, Outcome::Cancelled)
                .is_empty()
        );
        assert!(
            node.handle(1.2, Event::ShutdownDeadline(in_flight))
                .is_empty(),
            "only once"
        );
        // Never executed: it may be rejected whatever its idempotency.
        node.update_endpoints(1.3, UpdateKind::Full, &[]);
        let queued = node.next_id();
        assert_eq!(node.request(1.3, Request::new(queued, 0, 3.3)), None);
        assert!(
            rejected(&node.handle(1.4, Event::ShutdownDeadline(queued))),
            "{effect:?}"
        );
        assert!(node.handle(1.5, Event::Timer(2)).is_empty());
    }
}

#[test]
fn attempt_timeouts_leave_time_for_another_attempt_and_end_by_the_deadline() {
    let mut node = started(config(), 10);
    let id = node.next_id();
    let actions = node.handle(1.0, Event::Request(Request::new(id, 0, 3.0)));
    assert!(
        matches!(actions[..], [Action::StartAttempt { timeout_at, .. }] if timeout_at > 1.0 && timeout_at < 3.0),
        "{actions:?}"
    );
    let late = node.next_id();
    let actions = node.handle(1.0, Event::Request(Request::new(late, 0, 1.2)));
    assert!(
        matches!(actions[..], [Action::StartAttempt { timeout_at, .. }] if timeout_at == 1.2),
        "{actions:?}"
    );
    let over = node.next_id();
    assert!(rejected(
        &node.handle(1.0, Event::Request(Request::new(over, 0, 1.0)))
    ));
}

#[test]
fn with_no_endpoints_a_request_is_queued_and_rejected_before_its_deadline() {
    let mut node = TestBalancer::new(config());
    let id = node.next_id();
    let actions = node.handle(1.0, Event::Request(Request::new(id, 0, 3.0)));
    assert!(
        matches!(actions[..], [Action::SetTimer { .. }]),
        "queued: {actions:?}"
    );
    let mut now = 1.0;
    loop {
        now += 0.1;
        let actions = node.handle(now, Event::Timer(2));
        if actions.iter().any(|a| matches!(a, Action::Reject { .. })) {
            break assert!(now < 3.0);
        }
        assert!(now < 3.0, "no answer in time");
    }
    // A queued request is started once there are endpoints.
    let id = node.next_id();
    node.handle(4.0, Event::Request(Request::new(id, 0, 6.0)));
    node.update_endpoints(4.05, UpdateKind::Full, &fleet(3));
    assert!(attempted_server(&node.handle(4.2, Event::Timer(2))).is_some());
}

#[test]
fn events_after_the_end_of_a_request_are_ignored() {
    let mut node = started(config(), 10);
    let (id, to) = request(&mut node, 1.0);
    let ended = AttemptEnded {
        id,
        attempt: 0,
        server: to,
        outcome: Outcome::Success,
        is_final: true,
    };
    assert!(node.handle(1.1, Event::AttemptEnded(ended)).is_empty());
    assert!(
        node.end_attempt(1.2, id, 0, to, Outcome::Reset).is_empty(),
        "a late outcome"
    );
    assert!(
        node.handle(1.3, Event::Established { id, server: to })
            .is_empty()
    );
    assert!(node.handle(1.3, Event::ClientDisconnected(id)).is_empty());
    assert!(
        node.handle(1.3, Event::LoadReport { id, load: 5.0 })
            .is_empty()
    );
    assert!(
        node.handle(1.4, Event::Timer(77)).is_empty(),
        "a timer never set"
    );
}

#[test]
fn the_attempt_in_flight_of_a_disconnected_client_is_cancelled_where_allowed() {
    for can_cancel_attempts in [true, false] {
        let mut node = started(
            BalancerConfig {
                can_cancel_attempts,
                ..config()
            },
            10,
        );
        let (id, _) = request(&mut node, 1.0);
        let actions = node.handle(1.1, Event::ClientDisconnected(id));
        assert_eq!(
            actions == [Action::CancelAttempt { id, attempt: 0 }],
            can_cancel_attempts,
            "{actions:?}"
        );
        let (id, to) = request(&mut node, 1.0);
        node.handle(1.1, Event::Established { id, server: to });
        assert!(
            node.handle(1.2, Event::ClientDisconnected(id)).is_empty(),
            "an established connection is not cancelled"
        );
    }
}

#[test]
fn adopted_connections_end_without_an_action() {
    let mut node = started(config(), 3);
    let (id, to) = (node.next_id(), fleet(3)[1].id);
    assert!(
        node.handle(
            0.0,
            Event::AlreadyEstablished {
                request: Request::new(id, 0, 2.0),
                server: to
            }
        )
        .is_empty()
    );
    let ended = AttemptEnded {
        id,
        attempt: 0,
        server: to,
        outcome: Outcome::Reset,
        is_final: true,
    };
    assert!(node.handle(5.0, Event::AttemptEnded(ended)).is_empty());
    let (other, unlisted) = (node.next_id(), ServerId::of("nobody:1"));
    assert!(
        node.handle(
            6.0,
            Event::AlreadyEstablished {
                request: Request::new(other, 0, 8.0),
                server: unlisted
            }
        )
        .is_empty()
    );
}

#[test]
fn draining_and_removed_servers_get_no_attempts() {
    let mut list = fleet(4);
    let mut node = started(config(), 4);
    list[0].state = EndpointState::Draining;
    list[1].state = EndpointState::Removed;
    node.update_endpoints(1.0, UpdateKind::Delta, &list[..2]);
    for i in 0..300 {
        let to = node
            .place(1.0, Key::of(&format!("key {i}")))
            .expect("a server");
        assert!(to == list[2].id || to == list[3].id);
    }
    // Absent from a full or cached list means removed.
    for kind in [UpdateKind::Full, UpdateKind::Cached] {
        node.update_endpoints(2.0, kind, &list[2..3]);
        assert_eq!(node.place(2.0, Key::of("any")), Some(list[2].id));
        node.update_endpoints(2.0, kind, &fleet(4));
    }
    // A failed poll leaves the list as it is.
    node.handle(3.0, Event::DiscoveryFailed);
    assert!(node.place(3.0, Key::of("any")).is_some());
}

#[test]
fn mid_flow_requests_may_go_to_draining_servers() {
    let list = fleet(6);
    let mut node = started(config(), 6);
    for i in 0..200 {
        let key = Some(Key::of(&format!("key {i}")));
        let id = node.next_id();
        let home = node
            .request(
                1.0,
                Request {
                    key,
                    ..Request::new(id, 0, 3.0)
                },
            )
            .expect("a server");
        let draining = list.iter().map(|m| Endpoint {
            state: EndpointState::Draining,
            ..*m
        });
        let one: Vec<Endpoint> = draining.filter(|m| m.id == home).collect();
        node.update_endpoints(1.0, UpdateKind::Delta, &one);
        let id = node.next_id();
        assert_eq!(
            node.request(
                1.0,
                Request {
                    key,
                    mid_flow: true,
                    ..Request::new(id, 0, 3.0)
                }
            ),
            Some(home)
        );
        let id = node.next_id();
        assert_ne!(
            node.request(
                1.0,
                Request {
                    key,
                    ..Request::new(id, 0, 3.0)
                }
            ),
            Some(home)
        );
        node.update_endpoints(1.0, UpdateKind::Full, &list);
    }
}

#[test]
fn polled_discovery_is_polled_at_the_start_and_with_bounded_backoff_after_failures() {
    let polled = BalancerConfig {
        discovery_mode: DiscoveryMode::Polled,
        discovery_backoff_base: 10.0,
        ..config()
    };
    let mut backoffs = Vec::new();
    for seed in 0..20 {
        let mut node = TestBalancer::with_seed(polled.clone(), seed);
        assert_eq!(
            node.update_endpoints(0.0, UpdateKind::Cached, &fleet(3)),
            [Action::PollDiscovery]
        );
        assert!(
            node.update_endpoints(0.1, UpdateKind::Full, &fleet(3))
                .is_empty(),
            "polled only once"
        );
        for failures in 0..12 {
            let actions = node.handle(1.0, Event::DiscoveryFailed);
            let [Action::SetTimer { after, token }] = actions[..] else {
                panic!("{actions:?}")
            };
            // With a poll that may take 3 s, a change is known 6 s after discovery recovers.
            assert!(
                after > 0.0 && after <= 3.0,
                "backoff {after} after {failures} failures"
            );
            backoffs.push((failures, after));
            assert_eq!(
                node.handle(1.0 + after, Event::Timer(token)),
                [Action::PollDiscovery]
            );
        }
    }
    let mean = |n| {
        backoffs
            .iter()
            .filter(|p| p.0 == n)
            .map(|p| p.1)
            .sum::<f64>()
            / 20.0
    };
    assert!(mean(3) > 2.0 * mean(0), "the backoff grows");
    let first: Vec<f64> = backoffs.iter().filter(|p| p.0 == 0).map(|p| p.1).collect();
    assert!(
        first.windows(2).any(|w| (w[0] - w[1]).abs() > 0.05),
        "balancers do not poll together: {first:?}"
    );
    assert!(
        TestBalancer::new(config())
            .update_endpoints(0.0, UpdateKind::Cached, &fleet(3))
            .is_empty(),
        "pushed lists need no poll"
    );
}

#[test]
fn requests_of_an_unknown_class_are_rejected_and_repeated_ids_are_ignored() {
    let mut node = started(config(), 3);
    let id = node.next_id();
    let mut actions = node.handle(1.0, Event::Request(Request::new(id, 9, 1.1)));
    actions.extend(node.handle(1.09, Event::Timer(2)));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reject { .. })),
        "{actions:?}"
    );
    let (id, _) = request(&mut node, 2.0);
    assert!(
        node.handle(2.0, Event::Request(Request::new(id, 0, 4.0)))
            .is_empty()
    );
}
