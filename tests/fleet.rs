//! Many balancers without shared state, in virtual time. Checks the sum of their attempts at each server.

mod common;
use common::*;
use spanspur::api::*;
use std::collections::BTreeMap;

const BALANCERS: u32 = 100;
const SLOW_START_WINDOW: Time = 24.0;
/// The load of each connection, in microseconds of work per second. A server of weight 7 is full with 100 connections.
const CONNECTION_LOAD: f64 = 70_000.0;
const WEIGHT: f64 = 7.0;

fn weighted_endpoint(number: u64) -> Endpoint {
    Endpoint {
        weight: WEIGHT,
        ..endpoint(number)
    }
}

/// Many balancers. The connections of each are spread evenly over the warm servers.
struct Fleet {
    balancers: Vec<TestBalancer>,
    random: Random,
}

impl Fleet {
    fn new(established: u64) -> Self {
        Self::with_size(BALANCERS, 6, established)
    }

    fn with_size(balancers: u32, servers: u64, established: u64) -> Self {
        let config = BalancerConfig {
            balancer_count: balancers,
            classes: vec![RequestClass {
                message_latency_objective: Some(0.25),
                ..RequestClass::default()
            }],
            max_attempts: 5,
            cold_capacity_share: 0.13,
            slow_start_window: SLOW_START_WINDOW,
            overload_multiple: 3.0,
            overload_window: 2.0,
            ..BalancerConfig::default()
        };
        let warm: Vec<Endpoint> = (0..servers).map(weighted_endpoint).collect();
        let new_balancer = |seed: u64| {
            let balancer_index = seed as u32;
            let config = BalancerConfig {
                balancer_index,
                ..config.clone()
            };
            let mut balancer = TestBalancer::with_seed(config, seed + 1);
            balancer.update_endpoints(0.0, UpdateKind::Cached, &warm);
            for i in 0..established {
                let id = RequestId(1_000_000 + i);
                let to = warm[((seed + i) % servers) as usize].id;
                balancer.handle(
                    0.0,
                    Event::AlreadyEstablished {
                        request: Request::new(id, 0, 2.0),
                        server: to,
                    },
                );
                balancer.handle(
                    0.1,
                    Event::LoadReport {
                        id,
                        load: CONNECTION_LOAD,
                    },
                );
            }
            balancer
        };
        Self {
            balancers: (0..u64::from(balancers)).map(new_balancer).collect(),
            random: Random(1),
        }
    }

    /// A client of the group requests a connection from the balancer. If an attempt starts, its connection is
    /// established at once. Returns the server of the attempt.
    fn connect(&mut self, now: Time, balancer: usize, group: u64) -> Option<ServerId> {
        let id = self.balancers[balancer].next_id();
        let request = Request {
            group: Some(Key::of(&group.to_string())),
            ..Request::new(id, 0, now + 2.0)
        };
        let to = self.balancers[balancer].request(now, request)?;
        self.balancers[balancer].handle(now, Event::Established { id, server: to });
        self.balancers[balancer].handle(
            now,
            Event::LoadReport {
                id,
                load: CONNECTION_LOAD,
            },
        );
        Some(to)
    }

    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint]) {
        for balancer in &mut self.balancers {
            balancer.update_endpoints(now, UpdateKind::Delta, entries);
        }
    }
}

/// Number of attempts that a server of weight [`WEIGHT`] withstands in two seconds, starting `age` seconds after
/// its start. The numbers are those of the configuration in [`Fleet::with_size`].
fn withstood_attempts(age: Time) -> f64 {
    let capacity_share = 0.13 + 0.87 * (age / SLOW_START_WINDOW).min(1.0);
    3.0 * capacity_share * (WEIGHT * 1e6 / CONNECTION_LOAD) / SLOW_START_WINDOW * 2.0
}

#[test]
fn new_servers_are_used_and_not_overloaded_though_each_of_many_balancers_sees_few_requests() {
    let mut fleet = Fleet::new(5);
    let cold: Vec<Endpoint> = (10..20)
        .map(|i| Endpoint {
            started_at: 100.0,
            ..weighted_endpoint(i)
        })
        .collect();
    fleet.update_endpoints(101.0, &cold);
    // 30 clients per second, over all balancers.
    let mut attempts: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    for i in 0..600 {
        let now = 101.0 + f64::from(i) / 30.0;
        let (balancer, group) = (fleet.random.below(100) as usize, fleet.random.below(10));
        let to = fleet
            .connect(now, balancer, group)
            .expect("a server with capacity");
        attempts.entry(to).or_default().push(now);
    }
    let at_cold = assert_not_overloaded(&attempts, &cold, 111.0, 0.0);
    // Ten servers that warm up beside six warm ones must get at least a fifth of the requests.
    assert!(at_cold > 60, "{at_cold} of 300 requests in ten seconds");
}

/// Checks that each cold server withstands the attempts of all balancers in any two seconds, within a tolerance of
/// `deviations` standard deviations (Poisson): with more servers there are more windows, and so more random outliers.
/// Returns the number of attempts at the cold servers before `until`.
fn assert_not_overloaded(
    attempts: &BTreeMap<ServerId, Vec<Time>>,
    cold: &[Endpoint],
    until: Time,
    deviations: f64,
) -> usize {
    let mut total = 0;
    for server in cold {
        let times = attempts.get(&server.id).map_or(&[][..], |times| times);
        total += times.iter().filter(|at| **at < until).count();
        for (i, at) in times.iter().enumerate() {
            let in_window = times[i..].iter().take_while(|t| **t < at + 2.0).count();
            let withstood = withstood_attempts(at - server.started_at);
            let max_attempts = withstood + deviations * withstood.sqrt();
            assert!(
                in_window as f64 <= max_attempts.max(2.0),
                "{in_window} attempts in the two seconds from {at}, at most {max_attempts} allowed"
            );
        }
    }
    total
}

#[test]
fn a_rollout_of_54_of_90_servers_in_7_s_behind_300_balancers_overloads_none() {
    let mut fleet = Fleet::with_size(300, 36, 5);
    let cold: Vec<Endpoint> = (40..94)
        .map(|i| Endpoint {
            started_at: 100.0 + 7.0 * (i - 40) as f64 / 54.0,
            ..weighted_endpoint(i)
        })
        .collect();
    let mut listed = 0;
    // 1,000 requests per second over all balancers, by clients of 70 groups of uneven size.
    let mut attempts: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    for i in 0..15_000 {
        let now = 100.0 + f64::from(i) / 1000.0;
        let discovered = cold
            .iter()
            .take_while(|s| s.started_at + 1.0 <= now)
            .count();
        if discovered > listed {
            fleet.update_endpoints(now, &cold[listed..discovered]);
            listed = discovered;
        }
        let balancer = fleet.random.below(300) as usize;
        let group = fleet.random.below(70) * fleet.random.below(70) / 70;
        if let Some(to) = fleet.connect(now, balancer, group) {
            attempts.entry(to).or_default().push(now);
        }
    }
    let at_cold = assert_not_overloaded(&attempts, &cold, 115.0, 1.0);
    // The budgets are 0.85 of three times the rate that fills the servers in the slow-start window, at their current
    // capacity.
    let budget: f64 = cold
        .iter()
        .map(|s| {
            let age = 114.0 - s.started_at;
            0.85 * withstood_attempts(age / 2.0) / 2.0 * age
        })
        .sum();
    assert!(
        at_cold as f64 > budget / 2.0,
        "{at_cold} attempts at cold servers, with a budget of {budget}"
    );
}

/// Maximum number of attempts that a cold server may get in two seconds, starting `age` seconds after its start,
/// whatever the number of balancers: what the server withstands, plus a margin for chance. The operators state this
/// bound.
fn max_allowed_attempts(age: Time) -> f64 {
    let withstood = withstood_attempts(age);
    withstood + 2.0 * withstood.sqrt() + 2.0
}

/// Twenty or thirty balancers get a constant rate of requests, interrupted by no requests for `lull` seconds and then
/// a burst.
#[test]
fn slow_start_holds_for_the_sum_of_20_or_30_balancers_through_lulls_bursts_and_restarts() {
    for (balancers, lull, restarts) in [
        (20, 0.0, false),
        (30, 0.0, false),
        (20, 1.9, false),
        (30, 1.9, false),
        (30, 4.0, false),
        (20, 0.0, true),
        (30, 1.9, true),
    ] {
        for seed in 1..6 {
            let mut fleet = Fleet::with_size(balancers, 8, 6);
            fleet.random = Random(seed);
            let cold: Vec<Endpoint> = (20..26)
                .map(|i| Endpoint {
                    started_at: 100.0 + 0.3 * (i - 20) as f64,
                    ..weighted_endpoint(i)
                })
                .collect();
            fleet.update_endpoints(102.0, &cold);
            let mut attempts: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
            let mut restarted = 0;
            for tick in 0..2_000 {
                let now = 102.0 + f64::from(tick) / 100.0;
                // All balancers restart one after the other within two seconds.
                if restarts && tick > 300 && restarted < balancers as usize && tick % 6 == 0 {
                    let fresh = Fleet::with_size(balancers, 8, 6)
                        .balancers
                        .swap_remove(restarted);
                    fleet.balancers[restarted] = fresh;
                    fleet.balancers[restarted].update_endpoints(now, UpdateKind::Delta, &cold);
                    restarted += 1;
                }
                // Four seconds of requests, then the lull, then a burst of a tenth of a second.
                let at = f64::from(tick % 600) / 100.0;
                let count = match at {
                    at if at < 4.0 => 4,
                    at if at < 4.0 + lull => 0,
                    at if at < 4.1 + lull => 60,
                    _ => 4,
                };
                for _ in 0..count {
                    let balancer = fleet.random.below(u64::from(balancers)) as usize;
                    let group = fleet.random.below(200);
                    if let Some(to) = fleet.connect(now, balancer, group) {
                        attempts.entry(to).or_default().push(now);
                    }
                }
            }
            for server in &cold {
                let times = attempts.get(&server.id).map_or(&[][..], |times| times);
                assert!(times.len() > 20, "{} attempts at {server:?}", times.len());
                for (i, at) in times.iter().enumerate() {
                    let in_window = times[i..].iter().take_while(|t| **t < at + 2.0).count();
                    let max_attempts = max_allowed_attempts(at - server.started_at);
                    assert!(
                        in_window as f64 <= max_attempts,
                        "{balancers} balancers, lull {lull}, restarts {restarts}, seed {seed}: {in_window} attempts from {at}, {max_attempts} allowed"
                    );
                }
            }
        }
    }
}

#[test]
fn unused_slow_start_budgets_of_many_balancers_are_not_spent_in_one_burst() {
    let mut fleet = Fleet::new(5);
    let cold = Endpoint {
        started_at: 100.0,
        ..weighted_endpoint(10)
    };
    fleet.update_endpoints(100.5, &[cold]);
    // No requests for 12 s, then one at each balancer at once.
    let mut at_cold = 0;
    for balancer in 0..BALANCERS as usize {
        at_cold += usize::from(fleet.connect(112.0, balancer, balancer as u64) == Some(cold.id));
    }
    let withstood = withstood_attempts(12.0);
    assert!(
        (at_cold as f64) < withstood,
        "{at_cold} attempts at once, {withstood} withstood"
    );
    assert!(at_cold > 0, "the budget is used");
}

#[test]
fn a_balancer_with_one_connection_does_not_assume_that_all_others_have_one_too() {
    // 100 connections in total, while each of six servers takes 100: a request goes to the server that its group ranks
    // first.
    let mut fleet = Fleet::new(1);
    let endpoints: Vec<Endpoint> = (0..6).map(weighted_endpoint).collect();
    for balancer in 0..BALANCERS as usize {
        for group in 0..3 {
            let key = Key::of(&group.to_string());
            let score = |entry: &&Endpoint| spanspur::score(key, entry.id, WEIGHT);
            let first = endpoints
                .iter()
                .max_by(|a, b| score(a).total_cmp(&score(b)));
            let to = fleet.balancers[balancer].place(1.0, key);
            assert_eq!(
                to,
                first.map(|entry| entry.id),
                "balancer {balancer}, group {group}"
            );
        }
    }
}

#[test]
fn a_group_stays_on_one_server_where_a_balancers_share_of_a_server_is_less_than_a_connection() {
    // With 300 balancers and 90 servers, a balancer's share of a server is a quarter of a connection. Each server with
    // a connection of a group bears the cost of the group, so further clients must go to the server of the first one.
    let mut fleet = Fleet::with_size(300, 90, 0);
    for balancer in 0..300 {
        let servers: Vec<_> = (0..4)
            .map(|_| {
                fleet
                    .connect(1.0, balancer, balancer as u64)
                    .expect("a server with capacity")
            })
            .collect();
        assert!(servers.iter().all(|to| *to == servers[0]), "{servers:?}");
    }
}
