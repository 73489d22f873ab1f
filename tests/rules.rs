//! Slow start, overload, outlier ejection, backoff and load estimates, in virtual time.

mod common;
use common::*;
use spanspur::api::*;
use std::collections::BTreeMap;

fn fleet(count: u64) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn with_message_objective() -> BalancerConfig {
    let class = RequestClass {
        message_latency_objective: Some(0.06),
        ..RequestClass::default()
    };
    BalancerConfig {
        classes: vec![class],
        balancer_count: 20,
        max_retry_after: Some(1.0),
        ..config()
    }
}

/// A node with `each` connections established to each server.
fn with_connections(config: BalancerConfig, seed: u64, servers: u64, each: u64) -> TestBalancer {
    let mut node = TestBalancer::with_seed(config, seed);
    node.update_endpoints(0.0, UpdateKind::Cached, &fleet(servers));
    for i in 0..servers * each {
        let id = RequestId(1_000_000 + i);
        node.handle(
            0.0,
            Event::AlreadyEstablished {
                request: Request::new(id, 0, 2.0),
                server: endpoint(i % servers).id,
            },
        );
    }
    node
}

fn migrations(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Migrate(_)))
        .count()
}

/// Attempts that `nodes` nodes, all with keys of one server that started at 100.0, start there up to `until`.
fn attempts_at_cold_server(nodes: u64, each: u64, cold_capacity_share: f64, until: Time) -> usize {
    let cold = Endpoint {
        started_at: 100.0,
        ..endpoint(0)
    };
    let mut count = 0;
    for seed in 0..nodes {
        let mut node = with_connections(
            BalancerConfig {
                balancer_count: nodes as u32,
                balancer_index: seed as u32,
                cold_capacity_share,
                ..with_message_objective()
            },
            seed,
            10,
            each,
        );
        // Ten connections of the mean load fill a unit of weight: 80 a server.
        let large = |m: Endpoint| Endpoint { weight: 8.0, ..m };
        let list: Vec<Endpoint> = fleet(10).into_iter().map(large).collect();
        node.update_endpoints(99.0, UpdateKind::Full, &list);
        node.update_endpoints(100.0, UpdateKind::Delta, &[large(cold)]);
        let mut now = 100.0;
        while now < until {
            let key = (0..)
                .map(|i| Key(mix(seed, now, i)))
                .find(|key| prefers(*key, 10, cold.id));
            count += usize::from(node.place(now, key.expect("a key")) == Some(cold.id));
            now += 0.5;
        }
    }
    count
}

fn mix(seed: u64, now: Time, i: u64) -> u64 {
    Key::of(&format!("{seed} {now} {i}")).0
}

/// Whether this is the key's first server of a fleet.
fn prefers(key: Key, servers: u64, id: ServerId) -> bool {
    let score = |id: ServerId| spanspur::score(key, id, 1.0);
    fleet(servers)
        .iter()
        .all(|m| m.id == id || score(m.id) < score(id))
}

/// A key that ranks the first server of a fleet first.
fn key_of_first(servers: u64) -> Key {
    let mut keys = (0..).map(Key);
    keys.find(|key| prefers(*key, servers, endpoint(0).id))
        .expect("a key")
}

#[test]
fn the_slow_start_budget_of_a_cold_server_holds_for_the_sum_of_any_number_of_balancers() {
    // Each node has connections to each server: 40 nodes with 2, or 8 with 10, are one fleet with 80 a server.
    // The capacity is the rate that fills a server in the slow-start window: 80 in 10 s, a share of it while cold.
    for (nodes, each) in [(40, 2), (8, 10)] {
        let sent = attempts_at_cold_server(nodes, each, 0.3, 102.0) as f64;
        let can = 80.0 / 10.0 * 0.3 * 2.0;
        assert!(
            sent < 2.5 * can,
            "{sent} attempts by {nodes} nodes, capacity for {can}"
        );
        assert!(
            sent > 0.3 * can,
            "{sent} attempts by {nodes} nodes: the server must get its share"
        );
    }
}

#[test]
fn a_server_that_warms_up_gets_a_growing_share_and_its_full_share_after_the_slow_start_window() {
    let share = |age: f64| {
        let mut hits = 0;
        for i in 0..3000 {
            let number = i as u32;
            let config = BalancerConfig {
                balancer_index: number,
                ..with_message_objective()
            };
            let mut fresh = with_connections(config, i, 10, 5);
            fresh.update_endpoints(
                100.0,
                UpdateKind::Delta,
                &[Endpoint {
                    started_at: 100.0,
                    ..endpoint(0)
                }],
            );
            hits +=
                usize::from(fresh.place(100.0 + age, Key(mix(i, age, 0))) == Some(endpoint(0).id));
        }
        hits as f64 / 3000.0
    };
    let (cold, half, warm) = (share(0.01), share(5.0), share(10.0));
    // Of ten servers one has weight 0.3, 0.65, 1. A new node's token bucket starts with a random part of a token; a
    // token that is available, at 0.16 of the nodes half way, goes before the ranking.
    assert!(cold < 0.045, "{cold}");
    assert!(half > 0.05 && half < 0.18, "{half}");
    assert!(warm > 0.085 && warm < 0.115, "{warm}");
}

#[test]
fn a_server_that_restarts_under_the_same_id_warms_up_again() {
    let mut node = with_connections(with_message_objective(), 1, 2, 1);
    node.update_endpoints(
        50.0,
        UpdateKind::Delta,
        &[Endpoint {
            started_at: 50.0,
            ..endpoint(0)
        }],
    );
    let key = key_of_first(2);
    let first = (0..20)
        .filter(|_| node.place(50.0, key) == Some(endpoint(0).id))
        .count();
    assert!(first <= 1, "{first} at once");
    assert_eq!(node.place(65.0, key), Some(endpoint(0).id), "warm");
    node.update_endpoints(
        70.0,
        UpdateKind::Delta,
        &[Endpoint {
            started_at: 70.0,
            ..endpoint(0)
        }],
    );
    let again = (0..20)
        .filter(|_| node.place(70.0, key) == Some(endpoint(0).id))
        .count();
    assert!(again <= 1, "{again} at once after the restart");
}

#[test]
fn a_fleet_that_warms_up_as_a_whole_admits_some_requests_and_rejects_the_rest_in_time() {
    let list: Vec<Endpoint> = (0..5)
        .map(|i| Endpoint {
            started_at: 10.0,
            ..endpoint(i)
        })
        .collect();
    let mut node = TestBalancer::new(with_message_objective());
    node.update_endpoints(10.0, UpdateKind::Full, &list);
    let (mut placed, mut answered) = (0, 0);
    let mut end = BTreeMap::new();
    for step in 0..400 {
        let now = 10.0 + f64::from(step) * 0.05;
        let id = node.next_id();
        end.insert(id, now + 2.0);
        let mut actions = node.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        actions.extend(node.handle(now, Event::Timer(2)));
        for action in actions {
            match action {
                Action::StartAttempt { id, server, .. } => {
                    placed += 1;
                    node.handle(now, Event::Established { id, server });
                    end.remove(&id);
                }
                Action::Reject { id, .. } => {
                    answered += 1;
                    assert!(end.remove(&id).is_some_and(|due| now < due));
                }
                _ => {}
            }
        }
    }
    assert!(
        placed > 100 && answered > 0,
        "{placed} placed, {answered} rejected"
    );
}

#[test]
fn a_busy_server_is_skipped_until_a_latency_report_clears_it_and_other_keys_keep_their_servers() {
    let mut node = with_connections(with_message_objective(), 1, 10, 2);
    let before: Vec<_> = (0..300)
        .map(|i| node.place(1.0, Key(mix(9, 0.0, i))))
        .collect();
    node.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.024,
        },
    );
    for (i, was) in before.iter().enumerate() {
        let to = node.place(2.1, Key(mix(9, 0.0, i as u64)));
        if *was == Some(endpoint(0).id) {
            assert!(to.is_some() && to != *was);
        } else {
            assert_eq!(to, *was);
        }
    }
    node.handle(
        3.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.004,
        },
    );
    for (i, was) in before.iter().enumerate() {
        assert_eq!(node.place(3.1, Key(mix(9, 0.0, i as u64))), *was);
    }
}

#[test]
fn a_busy_report_expires() {
    let mut node = with_connections(with_message_objective(), 1, 2, 0);
    let key = key_of_first(2);
    node.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.024,
        },
    );
    assert_eq!(node.place(5.0, key), Some(endpoint(1).id));
    assert_eq!(node.place(12.0, key), Some(endpoint(0).id));
}

#[test]
fn of_busy_servers_the_least_busy_is_used_and_of_overloaded_ones_none() {
    let mut node = with_connections(with_message_objective(), 1, 3, 2);
    for (i, delay) in [0.027, 0.022, 0.029].into_iter().enumerate() {
        node.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(i as u64).id,
                message_latency: delay,
            },
        );
    }
    for i in 0..50 {
        assert_eq!(node.place(2.1, Key(mix(5, 0.0, i))), Some(endpoint(1).id));
    }
    (0..3).for_each(|i| {
        drop(node.handle(
            3.0,
            Event::LatencyReport {
                server: endpoint(i).id,
                message_latency: 0.5,
            },
        ))
    });
    assert_eq!(
        node.place(3.1, Key(1)),
        None,
        "an attempt at any of them would overload it further"
    );
}

#[test]
fn ejection_lengthens_with_each_failure_in_a_row_and_resets_when_a_connection_is_established() {
    let mut node = with_connections(with_message_objective(), 1, 2, 0);
    let first_server_key = key_of_first(2);
    let key = Some(first_server_key);
    let mut now = 1.0;
    let mut ejections = Vec::new();
    for _ in 0..4 {
        let id = node.next_id();
        assert_eq!(
            node.request(
                now,
                Request {
                    key,
                    ..Request::new(id, 0, now + 2.0)
                }
            ),
            Some(endpoint(0).id)
        );
        node.end_attempt(now, id, 0, endpoint(0).id, Outcome::ConnectFailed);
        node.handle(now, Event::ClientDisconnected(id));
        let from = now;
        while node.place(now, first_server_key) != Some(endpoint(0).id) {
            now += 0.1;
            assert!(now - from < 60.0, "never used again");
        }
        ejections.push(now - from);
        now += 30.0;
    }
    assert!(ejections.windows(2).all(|w| w[1] > w[0]), "{ejections:?}");
    let id = node.next_id();
    node.request(
        now,
        Request {
            key,
            ..Request::new(id, 0, now + 2.0)
        },
    );
    node.handle(
        now,
        Event::Established {
            id,
            server: endpoint(0).id,
        },
    );
    let id = node.next_id();
    node.request(
        now,
        Request {
            key,
            ..Request::new(id, 0, now + 2.0)
        },
    );
    node.end_attempt(now, id, 0, endpoint(0).id, Outcome::ConnectFailed);
    assert_eq!(
        node.place(now + 0.1, first_server_key),
        Some(endpoint(1).id)
    );
    assert_eq!(
        node.place(now + 30.0, first_server_key),
        Some(endpoint(0).id)
    );
}

#[test]
fn busy_servers_lose_the_heaviest_connections_gradually_and_saturated_ones_in_any_case() {
    let mut node = with_connections(with_message_objective(), 1, 5, 100);
    node.handle(
        1.0,
        Event::LoadReport {
            id: RequestId(1_000_000 + 35),
            load: 900_000.0,
        },
    );
    let slight: usize = (0..10)
        .map(|i| {
            migrations(&node.handle(
                2.0 + f64::from(i),
                Event::LatencyReport {
                    server: endpoint(1).id,
                    message_latency: 0.021,
                },
            ))
        })
        .sum();
    assert!(
        slight <= 10,
        "{slight} migrations off a server that is just busy"
    );
    let actions = node.handle(
        20.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.2,
        },
    );
    assert!(
        (8..=14).contains(&migrations(&actions)),
        "about 12 of 100 a second: {}",
        migrations(&actions)
    );
    assert!(
        actions.contains(&Action::Migrate(RequestId(1_000_000 + 35))),
        "the heaviest goes first"
    );
    let mut node = with_connections(with_message_objective(), 1, 2, 100);
    node.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(1).id,
            message_latency: 0.5,
        },
    );
    assert!(
        migrations(&node.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.5
            }
        )) > 0,
        "migrate though no server has capacity"
    );
    let mut node = with_connections(with_message_objective(), 1, 2, 100);
    node.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(1).id,
            message_latency: 0.05,
        },
    );
    assert_eq!(
        migrations(&node.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.05
            }
        )),
        0,
        "busy, but no server has capacity"
    );
}

#[test]
fn a_server_recovers_from_overload_by_its_token_bucket() {
    let mut node = with_connections(with_message_objective(), 1, 2, 20);
    let key = key_of_first(2);
    for i in 0..50 {
        node.place(f64::from(i) * 0.1, key);
    }
    node.handle(
        6.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.5,
        },
    );
    node.handle(
        7.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.001,
        },
    );
    let burst = (0..100)
        .filter(|_| node.place(7.1, key) == Some(endpoint(0).id))
        .count();
    assert!(
        burst < 40,
        "{burst} of 100 at once at a server that has just recovered"
    );
    assert_eq!(node.place(20.0, key), Some(endpoint(0).id));
}

#[test]
fn with_spare_capacity_in_the_fleet_a_server_recovers_at_its_full_rate_for_reconnects_too() {
    // How many of the reconnecting clients' requests it gets in 5 s while the other server is overloaded.
    let reconnects = |each| {
        let mut node = with_connections(
            BalancerConfig {
                balancer_count: 1,
                ..with_message_objective()
            },
            1,
            2,
            each,
        );
        let key = Some(key_of_first(2));
        node.handle(
            6.0,
            Event::LatencyReport {
                server: endpoint(1).id,
                message_latency: 0.5,
            },
        );
        node.handle(
            6.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.5,
            },
        );
        node.handle(
            7.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.001,
            },
        );
        let sent = (0..100).filter(|i| {
            let now = 7.0 + f64::from(*i) * 0.05;
            let id = node.next_id();
            let request = Request {
                key,
                is_reconnect: true,
                ..Request::new(id, 0, now + 0.04)
            };
            let to = node.request(now, request);
            node.handle(now, Event::ClientDisconnected(id));
            to == Some(endpoint(0).id)
        });
        sent.count()
    };
    // A server that ten connections fill, in ten seconds: one a second.
    let light = reconnects(1);
    assert!((4..=7).contains(&light), "{light} with spare capacity");
    let full = reconnects(6);
    assert!(full <= 2, "{full} without spare capacity");
}

#[test]
fn backoff_grows_with_failures_and_ends_with_established_connections() {
    let mut node = with_connections(with_message_objective(), 1, 5, 2);
    let mut sends = 0;
    for i in 0..200 {
        let now = 1.0 + f64::from(i) * 0.01;
        let id = node.next_id();
        let mut actions = node.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        while let Some(Action::StartAttempt { id, server, .. }) = actions
            .iter()
            .find(|a| attempted_server(&[(*a).clone()]).is_some())
        {
            sends += 1;
            actions = node.end_attempt(now, *id, 0, *server, Outcome::Error);
        }
    }
    assert!(sends < 40, "{sends} attempts in 2 s while all fail");
    let id = node.next_id();
    let to = node
        .request(30.0, Request::new(id, 0, 32.0))
        .expect("an attempt after the gap");
    (0..3).for_each(|_| drop(node.handle(30.0, Event::Established { id, server: to })));
    for i in 0..4 {
        let id = node.next_id();
        if let Some(to) = node.request(40.0 + 5.0 * f64::from(i), Request::new(id, 0, 60.0)) {
            node.handle(
                40.0 + 5.0 * f64::from(i),
                Event::Established { id, server: to },
            );
        }
    }
    let all = (0..20)
        .filter(|i| node.place(70.0, Key(*i)).is_some())
        .count();
    assert_eq!(all, 20, "no gap is left");
}

#[test]
fn requests_without_hints_or_groups_are_placed_on_a_single_server() {
    let mut node = TestBalancer::new(config());
    node.update_endpoints(0.0, UpdateKind::Full, &fleet(1));
    for i in 0..100 {
        assert_eq!(
            node.place(f64::from(i), Key(i as u64)),
            Some(endpoint(0).id)
        );
    }
}

#[test]
fn the_backoff_of_a_single_busy_balancer_does_not_starve_its_fleet() {
    // One node with 40 first attempts a second; a server resets 20 connections at once.
    let mut node = with_connections(
        BalancerConfig {
            balancer_count: 1,
            ..with_message_objective()
        },
        1,
        5,
        20,
    );
    let mut placed = 0;
    for i in 0..800 {
        let now = 10.0 + f64::from(i) * 0.025;
        if i == 400 {
            for j in 0..20 {
                let (id, server) = (RequestId(1_000_000 + 5 * j), endpoint(0).id);
                let ended = AttemptEnded {
                    id,
                    attempt: 0,
                    server,
                    outcome: Outcome::Reset,
                    is_final: true,
                };
                node.handle(now, Event::AttemptEnded(ended));
            }
        }
        let id = node.next_id();
        let mut actions = node.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        actions.extend(node.handle(now, Event::Timer(2)));
        for action in actions {
            if let Action::StartAttempt { id, server, .. } = action {
                placed += usize::from((400..480).contains(&i));
                node.handle(now, Event::Established { id, server });
            }
        }
    }
    assert!(
        placed > 40,
        "{placed} of 80 clients in the two seconds after it"
    );
}

#[test]
fn a_server_whose_part_is_full_by_load_reports_gets_nothing_new_and_keeps_its_connections() {
    let one = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    let mut node = with_connections(one, 1, 5, 10);
    let first_server_key = key_of_first(5);
    // One heavy connection and nine light ones: together more than the server's weight of 1 can do.
    let heavy = RequestId(1_000_000);
    for i in 1..50 {
        node.handle(
            1.0,
            Event::LoadReport {
                id: RequestId(1_000_000 + i),
                load: 50_000.0,
            },
        );
    }
    assert_eq!(node.place(1.5, first_server_key), Some(endpoint(0).id));
    let actions = node.handle(
        2.0,
        Event::LoadReport {
            id: heavy,
            load: 1_500_000.0,
        },
    );
    assert_eq!(migrations(&actions), 0, "{actions:?}");
    assert_ne!(node.place(3.0, first_server_key), Some(endpoint(0).id));
    node.handle(
        14.0,
        Event::LoadReport {
            id: heavy,
            load: 1_000.0,
        },
    );
    assert_eq!(node.place(15.0, first_server_key), Some(endpoint(0).id));
}

#[test]
fn without_latency_reports_a_slow_set_up_marks_a_server_as_busy() {
    let mut one = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    one.classes[0].message_latency_objective = Some(0.25);
    let mut node = with_connections(one, 1, 5, 0);
    let first_server_key = key_of_first(5);
    let set_up = |node: &mut TestBalancer, at: Time, took: Time| {
        let id = node.next_id();
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        let to = node.request(at, request).expect("a server");
        node.handle(at + took, Event::Established { id, server: to });
        to
    };
    // Set-up times vary, above all in a burst; an excess below the busy threshold says nothing.
    for (i, took) in [0.015, 0.01, 0.02, 0.08].repeat(3).into_iter().enumerate() {
        assert_eq!(set_up(&mut node, i as f64, took), endpoint(0).id);
    }
    assert_eq!(set_up(&mut node, 12.0, 0.18), endpoint(0).id);
    assert_ne!(set_up(&mut node, 13.0, 0.015), endpoint(0).id);
}

#[test]
fn many_resets_at_once_are_one_failure_of_the_server() {
    let mut node = with_connections(with_message_objective(), 1, 5, 12);
    for i in 0..12 {
        let ended = AttemptEnded {
            id: RequestId(1_000_000 + 5 * i),
            attempt: 0,
            server: endpoint(0).id,
            outcome: Outcome::Reset,
            is_final: true,
        };
        node.handle(1.0, Event::AttemptEnded(ended));
    }
    // The others take the reconnecting clients, and that server is used again soon.
    for i in 0..5 {
        let at = 1.5 + i as f64 / 2.0;
        assert!(node.place(at, Key(i)).is_some(), "queued at {at}");
    }
    assert_eq!(node.place(12.0, key_of_first(5)), Some(endpoint(0).id));
}

#[test]
fn estimated_load_alone_rejects_no_request() {
    let mut node = with_connections(with_message_objective(), 1, 2, 10);
    for second in 2..6 {
        for i in 0..20 {
            node.handle(
                f64::from(second),
                Event::LoadReport {
                    id: RequestId(1_000_000 + i),
                    load: 1e6,
                },
            );
        }
    }
    assert!(node.place(6.0, key_of_first(2)).is_some());
}

#[test]
fn frequent_errors_eject_their_server_and_delay_no_other_request() {
    let mut node = with_connections(with_message_objective(), 1, 5, 1);
    let first_server_key = key_of_first(5);
    for at in [1.0, 1.1] {
        let id = node.next_id();
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        // One error may be the request's own fault.
        assert_eq!(node.request(at, request), Some(endpoint(0).id));
        node.end_attempt(at, id, 0, endpoint(0).id, Outcome::Error);
        node.handle(at, Event::ClientDisconnected(id));
    }
    let next = node
        .place(1.5, first_server_key)
        .expect("an attempt at once");
    assert_ne!(next, endpoint(0).id);
}

#[test]
fn a_burst_does_not_overfill_a_server_between_two_load_reports() {
    let one = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    let mut node = with_connections(one, 1, 5, 0);
    let first_server_key = key_of_first(5);
    let mut there = 0;
    for i in 0..40 {
        let (at, id) = (2.0 + f64::from(i) / 100.0, node.next_id());
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        let to = node.request(at, request).expect("a server");
        there += u32::from(to == endpoint(0).id);
        node.handle(at, Event::Established { id, server: to });
        node.handle(at, Event::LoadReport { id, load: 50_000.0 });
    }
    assert!((5..25).contains(&there), "{there} of 40 at one server");
}

#[test]
fn a_single_reset_ejects_no_server() {
    let mut node = with_connections(with_message_objective(), 1, 5, 12);
    let ended = AttemptEnded {
        id: RequestId(1_000_000),
        attempt: 0,
        server: endpoint(0).id,
        outcome: Outcome::Reset,
        is_final: true,
    };
    node.handle(1.0, Event::AttemptEnded(ended));
    assert_eq!(node.place(1.01, key_of_first(5)), Some(endpoint(0).id));
}
