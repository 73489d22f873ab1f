//! Slow start, overload, outlier ejection, backoff and load estimates, in virtual time.

mod common;
use common::*;
use spanspur::api::*;
use std::collections::BTreeMap;

/// Token of the timer that retries the queue.
const QUEUE_TIMER: u64 = 2;

fn endpoints(count: u64) -> Vec<Endpoint> {
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

/// A balancer with `per_server` established connections to each of `servers` servers.
fn with_connections(
    config: BalancerConfig,
    seed: u64,
    servers: u64,
    per_server: u64,
) -> TestBalancer {
    let mut balancer = TestBalancer::with_seed(config, seed);
    balancer.update_endpoints(0.0, UpdateKind::Cached, &endpoints(servers));
    for i in 0..servers * per_server {
        let id = RequestId(1_000_000 + i);
        balancer.handle(
            0.0,
            Event::AlreadyEstablished {
                request: Request::new(id, 0, 2.0),
                server: endpoint(i % servers).id,
            },
        );
    }
    balancer
}

fn migration_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Migrate(_)))
        .count()
}

/// Number of attempts that `balancers` balancers start up to `until` at a server that started at 100.0. All keys rank
/// that server first.
fn attempts_at_cold_server(
    balancers: u64,
    per_server: u64,
    cold_capacity_share: f64,
    until: Time,
) -> usize {
    let cold = Endpoint {
        started_at: 100.0,
        ..endpoint(0)
    };
    let mut count = 0;
    for seed in 0..balancers {
        let mut balancer = with_connections(
            BalancerConfig {
                balancer_count: balancers as u32,
                balancer_index: seed as u32,
                cold_capacity_share,
                ..with_message_objective()
            },
            seed,
            10,
            per_server,
        );
        // Ten connections of the mean load fill a unit of weight, so a server takes 80.
        let large = |entry: Endpoint| Endpoint {
            weight: 8.0,
            ..entry
        };
        let entries: Vec<Endpoint> = endpoints(10).into_iter().map(large).collect();
        balancer.update_endpoints(99.0, UpdateKind::Full, &entries);
        balancer.update_endpoints(100.0, UpdateKind::Delta, &[large(cold)]);
        let mut now = 100.0;
        while now < until {
            let key = (0..)
                .map(|i| Key(key_hash(seed, now, i)))
                .find(|key| ranks_first(*key, 10, cold.id));
            count += usize::from(balancer.place(now, key.expect("a key")) == Some(cold.id));
            now += 0.5;
        }
    }
    count
}

fn key_hash(seed: u64, now: Time, i: u64) -> u64 {
    Key::of(&format!("{seed} {now} {i}")).0
}

/// Whether the key ranks this server first among `servers` servers.
fn ranks_first(key: Key, servers: u64, id: ServerId) -> bool {
    let score = |id: ServerId| spanspur::score(key, id, 1.0);
    endpoints(servers)
        .iter()
        .all(|entry| entry.id == id || score(entry.id) < score(id))
}

/// A key that ranks server 0 first among `servers` servers.
fn key_of_first_server(servers: u64) -> Key {
    let mut keys = (0..).map(Key);
    keys.find(|key| ranks_first(*key, servers, endpoint(0).id))
        .expect("a key")
}

#[test]
fn the_slow_start_budget_of_a_cold_server_holds_for_the_sum_of_any_number_of_balancers() {
    // Each balancer has connections to each server: 40 balancers with 2, or 8 with 10, have 80 per server in total.
    // The full capacity is the rate that fills a server in the slow-start window: 80 attempts in 10 s. A cold server
    // has a share of it.
    for (balancers, per_server) in [(40, 2), (8, 10)] {
        let attempts = attempts_at_cold_server(balancers, per_server, 0.3, 102.0) as f64;
        let capacity = 80.0 / 10.0 * 0.3 * 2.0;
        assert!(
            attempts < 2.5 * capacity,
            "{attempts} attempts by {balancers} balancers, capacity for {capacity}"
        );
        assert!(
            attempts > 0.3 * capacity,
            "{attempts} attempts by {balancers} balancers: the server must get its share"
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
            let mut balancer = with_connections(config, i, 10, 5);
            balancer.update_endpoints(
                100.0,
                UpdateKind::Delta,
                &[Endpoint {
                    started_at: 100.0,
                    ..endpoint(0)
                }],
            );
            hits += usize::from(
                balancer.place(100.0 + age, Key(key_hash(i, age, 0))) == Some(endpoint(0).id),
            );
        }
        hits as f64 / 3000.0
    };
    let (cold, half, warm) = (share(0.01), share(5.0), share(10.0));
    // One of ten servers has weight 0.3, 0.65, then 1. A new balancer's token bucket starts with a pseudo-random
    // fraction of a token. Half way through the window, 0.16 of the balancers have a whole token, with which the server
    // takes precedence over the ranking.
    assert!(cold < 0.045, "{cold}");
    assert!(half > 0.05 && half < 0.18, "{half}");
    assert!(warm > 0.085 && warm < 0.115, "{warm}");
}

#[test]
fn a_server_that_restarts_under_the_same_id_warms_up_again() {
    let mut balancer = with_connections(with_message_objective(), 1, 2, 1);
    balancer.update_endpoints(
        50.0,
        UpdateKind::Delta,
        &[Endpoint {
            started_at: 50.0,
            ..endpoint(0)
        }],
    );
    let key = key_of_first_server(2);
    let at_start = (0..20)
        .filter(|_| balancer.place(50.0, key) == Some(endpoint(0).id))
        .count();
    assert!(at_start <= 1, "{at_start} attempts at once");
    assert_eq!(
        balancer.place(65.0, key),
        Some(endpoint(0).id),
        "after the slow-start window"
    );
    balancer.update_endpoints(
        70.0,
        UpdateKind::Delta,
        &[Endpoint {
            started_at: 70.0,
            ..endpoint(0)
        }],
    );
    let after_restart = (0..20)
        .filter(|_| balancer.place(70.0, key) == Some(endpoint(0).id))
        .count();
    assert!(
        after_restart <= 1,
        "{after_restart} attempts at once after the restart"
    );
}

#[test]
fn a_fleet_that_warms_up_as_a_whole_admits_some_requests_and_rejects_the_rest_in_time() {
    let entries: Vec<Endpoint> = (0..5)
        .map(|i| Endpoint {
            started_at: 10.0,
            ..endpoint(i)
        })
        .collect();
    let mut balancer = TestBalancer::new(with_message_objective());
    balancer.update_endpoints(10.0, UpdateKind::Full, &entries);
    let (mut placed, mut rejected) = (0, 0);
    let mut deadlines = BTreeMap::new();
    for step in 0..400 {
        let now = 10.0 + f64::from(step) * 0.05;
        let id = balancer.next_id();
        deadlines.insert(id, now + 2.0);
        let mut actions = balancer.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        actions.extend(balancer.handle(now, Event::Timer(QUEUE_TIMER)));
        for action in actions {
            match action {
                Action::StartAttempt { id, server, .. } => {
                    placed += 1;
                    balancer.handle(now, Event::Established { id, server });
                    deadlines.remove(&id);
                }
                Action::Reject { id, .. } => {
                    rejected += 1;
                    assert!(deadlines.remove(&id).is_some_and(|deadline| now < deadline));
                }
                _ => {}
            }
        }
    }
    assert!(
        placed > 100 && rejected > 0,
        "{placed} placed, {rejected} rejected"
    );
}

#[test]
fn a_busy_server_is_skipped_until_a_latency_report_clears_it_and_other_keys_keep_their_servers() {
    let mut balancer = with_connections(with_message_objective(), 1, 10, 2);
    let before: Vec<_> = (0..300)
        .map(|i| balancer.place(1.0, Key(key_hash(9, 0.0, i))))
        .collect();
    balancer.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.024,
        },
    );
    for (i, previous) in before.iter().enumerate() {
        let to = balancer.place(2.1, Key(key_hash(9, 0.0, i as u64)));
        if *previous == Some(endpoint(0).id) {
            assert!(to.is_some() && to != *previous);
        } else {
            assert_eq!(to, *previous);
        }
    }
    balancer.handle(
        3.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.004,
        },
    );
    for (i, previous) in before.iter().enumerate() {
        assert_eq!(
            balancer.place(3.1, Key(key_hash(9, 0.0, i as u64))),
            *previous
        );
    }
}

#[test]
fn a_busy_report_expires() {
    let mut balancer = with_connections(with_message_objective(), 1, 2, 0);
    let key = key_of_first_server(2);
    balancer.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.024,
        },
    );
    assert_eq!(balancer.place(5.0, key), Some(endpoint(1).id));
    assert_eq!(balancer.place(12.0, key), Some(endpoint(0).id));
}

#[test]
fn of_busy_servers_the_least_busy_is_used_and_of_overloaded_ones_none() {
    let mut balancer = with_connections(with_message_objective(), 1, 3, 2);
    for (i, message_latency) in [0.027, 0.022, 0.029].into_iter().enumerate() {
        balancer.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(i as u64).id,
                message_latency,
            },
        );
    }
    for i in 0..50 {
        assert_eq!(
            balancer.place(2.1, Key(key_hash(5, 0.0, i))),
            Some(endpoint(1).id)
        );
    }
    (0..3).for_each(|i| {
        drop(balancer.handle(
            3.0,
            Event::LatencyReport {
                server: endpoint(i).id,
                message_latency: 0.5,
            },
        ))
    });
    assert_eq!(
        balancer.place(3.1, Key(1)),
        None,
        "another attempt would overload any of them further"
    );
}

#[test]
fn ejection_lengthens_with_each_failure_in_a_row_and_resets_when_a_connection_is_established() {
    let mut balancer = with_connections(with_message_objective(), 1, 2, 0);
    let first_server_key = key_of_first_server(2);
    let key = Some(first_server_key);
    let mut now = 1.0;
    let mut ejections = Vec::new();
    for _ in 0..4 {
        let id = balancer.next_id();
        assert_eq!(
            balancer.request(
                now,
                Request {
                    key,
                    ..Request::new(id, 0, now + 2.0)
                }
            ),
            Some(endpoint(0).id)
        );
        balancer.end_attempt(now, id, 0, endpoint(0).id, Outcome::ConnectFailed);
        balancer.handle(now, Event::ClientDisconnected(id));
        let from = now;
        while balancer.place(now, first_server_key) != Some(endpoint(0).id) {
            now += 0.1;
            assert!(now - from < 60.0, "the server is never used again");
        }
        ejections.push(now - from);
        now += 30.0;
    }
    assert!(ejections.windows(2).all(|w| w[1] > w[0]), "{ejections:?}");
    let id = balancer.next_id();
    balancer.request(
        now,
        Request {
            key,
            ..Request::new(id, 0, now + 2.0)
        },
    );
    balancer.handle(
        now,
        Event::Established {
            id,
            server: endpoint(0).id,
        },
    );
    let id = balancer.next_id();
    balancer.request(
        now,
        Request {
            key,
            ..Request::new(id, 0, now + 2.0)
        },
    );
    balancer.end_attempt(now, id, 0, endpoint(0).id, Outcome::ConnectFailed);
    assert_eq!(
        balancer.place(now + 0.1, first_server_key),
        Some(endpoint(1).id)
    );
    assert_eq!(
        balancer.place(now + 30.0, first_server_key),
        Some(endpoint(0).id)
    );
}

#[test]
fn busy_servers_lose_the_heaviest_connections_gradually_and_saturated_ones_in_any_case() {
    let mut balancer = with_connections(with_message_objective(), 1, 5, 100);
    balancer.handle(
        1.0,
        Event::LoadReport {
            id: RequestId(1_000_000 + 35),
            load: 900_000.0,
        },
    );
    let migrations: usize = (0..10)
        .map(|i| {
            migration_count(&balancer.handle(
                2.0 + f64::from(i),
                Event::LatencyReport {
                    server: endpoint(1).id,
                    message_latency: 0.021,
                },
            ))
        })
        .sum();
    assert!(
        migrations <= 10,
        "{migrations} migrations off a server that is barely busy"
    );
    let actions = balancer.handle(
        20.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.2,
        },
    );
    assert!(
        (8..=14).contains(&migration_count(&actions)),
        "about 12 of 100 connections per report: {}",
        migration_count(&actions)
    );
    assert!(
        actions.contains(&Action::Migrate(RequestId(1_000_000 + 35))),
        "the heaviest connection migrates first"
    );
    let mut balancer = with_connections(with_message_objective(), 1, 2, 100);
    balancer.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(1).id,
            message_latency: 0.5,
        },
    );
    assert!(
        migration_count(&balancer.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.5
            }
        )) > 0,
        "a saturated server: connections migrate though no server has capacity"
    );
    let mut balancer = with_connections(with_message_objective(), 1, 2, 100);
    balancer.handle(
        2.0,
        Event::LatencyReport {
            server: endpoint(1).id,
            message_latency: 0.05,
        },
    );
    assert_eq!(
        migration_count(&balancer.handle(
            2.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.05
            }
        )),
        0,
        "a busy server: no connection migrates as no server has capacity"
    );
}

#[test]
fn a_server_recovers_from_overload_by_its_token_bucket() {
    let mut balancer = with_connections(with_message_objective(), 1, 2, 20);
    let key = key_of_first_server(2);
    for i in 0..50 {
        balancer.place(f64::from(i) * 0.1, key);
    }
    balancer.handle(
        6.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.5,
        },
    );
    balancer.handle(
        7.0,
        Event::LatencyReport {
            server: endpoint(0).id,
            message_latency: 0.001,
        },
    );
    let burst = (0..100)
        .filter(|_| balancer.place(7.1, key) == Some(endpoint(0).id))
        .count();
    assert!(
        burst < 40,
        "{burst} of 100 at once at a server that has just recovered"
    );
    assert_eq!(balancer.place(20.0, key), Some(endpoint(0).id));
}

#[test]
fn with_spare_capacity_in_the_fleet_a_server_recovers_at_its_full_rate_for_reconnects_too() {
    // Number of reconnecting clients' requests that server 0 gets in 5 s while server 1 is overloaded.
    let reconnects = |per_server| {
        let mut balancer = with_connections(
            BalancerConfig {
                balancer_count: 1,
                ..with_message_objective()
            },
            1,
            2,
            per_server,
        );
        let key = Some(key_of_first_server(2));
        balancer.handle(
            6.0,
            Event::LatencyReport {
                server: endpoint(1).id,
                message_latency: 0.5,
            },
        );
        balancer.handle(
            6.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.5,
            },
        );
        balancer.handle(
            7.0,
            Event::LatencyReport {
                server: endpoint(0).id,
                message_latency: 0.001,
            },
        );
        let placed = (0..100).filter(|i| {
            let now = 7.0 + f64::from(*i) * 0.05;
            let id = balancer.next_id();
            let request = Request {
                key,
                is_reconnect: true,
                ..Request::new(id, 0, now + 0.04)
            };
            let to = balancer.request(now, request);
            balancer.handle(now, Event::ClientDisconnected(id));
            to == Some(endpoint(0).id)
        });
        placed.count()
    };
    // Ten connections fill the server, and its budget fills it in ten seconds: one attempt per second.
    let spare = reconnects(1);
    assert!((4..=7).contains(&spare), "{spare} with spare capacity");
    let full = reconnects(6);
    assert!(full <= 2, "{full} without spare capacity");
}

#[test]
fn backoff_grows_with_failures_and_ends_with_established_connections() {
    let mut balancer = with_connections(with_message_objective(), 1, 5, 2);
    let mut attempts = 0;
    for i in 0..200 {
        let now = 1.0 + f64::from(i) * 0.01;
        let id = balancer.next_id();
        let mut actions = balancer.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        while let Some(Action::StartAttempt { id, server, .. }) = actions
            .iter()
            .find(|a| attempted_server(&[(*a).clone()]).is_some())
        {
            attempts += 1;
            actions = balancer.end_attempt(now, *id, 0, *server, Outcome::Error);
        }
    }
    assert!(attempts < 40, "{attempts} attempts in 2 s while all fail");
    let id = balancer.next_id();
    let to = balancer
        .request(30.0, Request::new(id, 0, 32.0))
        .expect("an attempt after the gap");
    (0..3).for_each(|_| drop(balancer.handle(30.0, Event::Established { id, server: to })));
    for i in 0..4 {
        let id = balancer.next_id();
        if let Some(to) = balancer.request(40.0 + 5.0 * f64::from(i), Request::new(id, 0, 60.0)) {
            balancer.handle(
                40.0 + 5.0 * f64::from(i),
                Event::Established { id, server: to },
            );
        }
    }
    let placed = (0..20)
        .filter(|i| balancer.place(70.0, Key(*i)).is_some())
        .count();
    assert_eq!(placed, 20, "the backoff has ended");
}

#[test]
fn requests_without_hints_or_groups_are_placed_where_only_one_server_is_listed() {
    let mut balancer = TestBalancer::new(config());
    balancer.update_endpoints(0.0, UpdateKind::Full, &endpoints(1));
    for i in 0..100 {
        assert_eq!(
            balancer.place(f64::from(i), Key(i as u64)),
            Some(endpoint(0).id)
        );
    }
}

#[test]
fn the_backoff_of_a_single_busy_balancer_does_not_starve_its_fleet() {
    // One balancer with 40 requests of new clients per second; a server resets 20 connections at once.
    let mut balancer = with_connections(
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
                balancer.handle(now, Event::AttemptEnded(ended));
            }
        }
        let id = balancer.next_id();
        let mut actions = balancer.handle(now, Event::Request(Request::new(id, 0, now + 2.0)));
        actions.extend(balancer.handle(now, Event::Timer(QUEUE_TIMER)));
        for action in actions {
            if let Action::StartAttempt { id, server, .. } = action {
                placed += usize::from((400..480).contains(&i));
                balancer.handle(now, Event::Established { id, server });
            }
        }
    }
    assert!(
        placed > 40,
        "{placed} of 80 clients in the two seconds after the resets"
    );
}

#[test]
fn a_server_that_load_reports_show_as_full_gets_no_new_connections_and_keeps_its_own() {
    let single_balancer = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    let mut balancer = with_connections(single_balancer, 1, 5, 10);
    let first_server_key = key_of_first_server(5);
    // One heavy connection and nine light ones: together they exceed the capacity of a server of weight 1.
    let heavy = RequestId(1_000_000);
    for i in 1..50 {
        balancer.handle(
            1.0,
            Event::LoadReport {
                id: RequestId(1_000_000 + i),
                load: 50_000.0,
            },
        );
    }
    assert_eq!(balancer.place(1.5, first_server_key), Some(endpoint(0).id));
    let actions = balancer.handle(
        2.0,
        Event::LoadReport {
            id: heavy,
            load: 1_500_000.0,
        },
    );
    assert_eq!(migration_count(&actions), 0, "{actions:?}");
    assert_ne!(balancer.place(3.0, first_server_key), Some(endpoint(0).id));
    balancer.handle(
        14.0,
        Event::LoadReport {
            id: heavy,
            load: 1_000.0,
        },
    );
    assert_eq!(balancer.place(15.0, first_server_key), Some(endpoint(0).id));
}

#[test]
fn without_latency_reports_a_slow_set_up_marks_a_server_as_busy() {
    let mut single_balancer = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    single_balancer.classes[0].message_latency_objective = Some(0.25);
    let mut balancer = with_connections(single_balancer, 1, 5, 0);
    let first_server_key = key_of_first_server(5);
    let set_up = |balancer: &mut TestBalancer, at: Time, setup_time: Time| {
        let id = balancer.next_id();
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        let to = balancer.request(at, request).expect("a server");
        balancer.handle(at + setup_time, Event::Established { id, server: to });
        to
    };
    // Set-up times vary, above all in a burst: an excess below the busy threshold does not show a busy server.
    for (i, setup_time) in [0.015, 0.01, 0.02, 0.08].repeat(3).into_iter().enumerate() {
        assert_eq!(set_up(&mut balancer, i as f64, setup_time), endpoint(0).id);
    }
    assert_eq!(set_up(&mut balancer, 12.0, 0.18), endpoint(0).id);
    assert_ne!(set_up(&mut balancer, 13.0, 0.015), endpoint(0).id);
}

#[test]
fn many_resets_at_once_are_one_failure_of_the_server() {
    let mut balancer = with_connections(with_message_objective(), 1, 5, 12);
    for i in 0..12 {
        let ended = AttemptEnded {
            id: RequestId(1_000_000 + 5 * i),
            attempt: 0,
            server: endpoint(0).id,
            outcome: Outcome::Reset,
            is_final: true,
        };
        balancer.handle(1.0, Event::AttemptEnded(ended));
    }
    // The other servers take the reconnecting clients, and server 0 is soon used again.
    for i in 0..5 {
        let at = 1.5 + i as f64 / 2.0;
        assert!(balancer.place(at, Key(i)).is_some(), "no attempt at {at}");
    }
    assert_eq!(
        balancer.place(12.0, key_of_first_server(5)),
        Some(endpoint(0).id)
    );
}

#[test]
fn estimated_load_alone_rejects_no_request() {
    let mut balancer = with_connections(with_message_objective(), 1, 2, 10);
    for second in 2..6 {
        for i in 0..20 {
            balancer.handle(
                f64::from(second),
                Event::LoadReport {
                    id: RequestId(1_000_000 + i),
                    load: 1e6,
                },
            );
        }
    }
    assert!(balancer.place(6.0, key_of_first_server(2)).is_some());
}

#[test]
fn frequent_errors_eject_their_server_and_delay_no_other_request() {
    let mut balancer = with_connections(with_message_objective(), 1, 5, 1);
    let first_server_key = key_of_first_server(5);
    for at in [1.0, 1.1] {
        let id = balancer.next_id();
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        // The server is not ejected after one error, which may be the request's own fault.
        assert_eq!(balancer.request(at, request), Some(endpoint(0).id));
        balancer.end_attempt(at, id, 0, endpoint(0).id, Outcome::Error);
        balancer.handle(at, Event::ClientDisconnected(id));
    }
    let next = balancer
        .place(1.5, first_server_key)
        .expect("an attempt at once");
    assert_ne!(next, endpoint(0).id);
}

#[test]
fn a_burst_does_not_overfill_a_server_between_two_load_reports() {
    let single_balancer = BalancerConfig {
        balancer_count: 1,
        ..with_message_objective()
    };
    let mut balancer = with_connections(single_balancer, 1, 5, 0);
    let first_server_key = key_of_first_server(5);
    let mut placed_on_first = 0;
    for i in 0..40 {
        let (at, id) = (2.0 + f64::from(i) / 100.0, balancer.next_id());
        let request = Request {
            key: Some(first_server_key),
            ..Request::new(id, 0, at + 2.0)
        };
        let to = balancer.request(at, request).expect("a server");
        placed_on_first += u32::from(to == endpoint(0).id);
        balancer.handle(at, Event::Established { id, server: to });
        balancer.handle(at, Event::LoadReport { id, load: 50_000.0 });
    }
    assert!(
        (5..25).contains(&placed_on_first),
        "{placed_on_first} of 40 at one server"
    );
}

#[test]
fn a_single_reset_ejects_no_server() {
    let mut balancer = with_connections(with_message_objective(), 1, 5, 12);
    let ended = AttemptEnded {
        id: RequestId(1_000_000),
        attempt: 0,
        server: endpoint(0).id,
        outcome: Outcome::Reset,
        is_final: true,
    };
    balancer.handle(1.0, Event::AttemptEnded(ended));
    assert_eq!(
        balancer.place(1.01, key_of_first_server(5)),
        Some(endpoint(0).id)
    );
}
