//! Many balancers without shared state, in virtual time, against servers that count the attempts of all of them.

mod common;
use common::*;
use spanspur::api::*;
use std::collections::BTreeMap;

const NODES: u32 = 100;
const SLOW_START_WINDOW: Time = 24.0;
/// The load of each connection: a server of weight 7 is full with 100.
const LOAD: f64 = 70_000.0;
const WEIGHT: f64 = 7.0;

fn weighted(number: u64) -> Endpoint {
    Endpoint {
        weight: WEIGHT,
        ..endpoint(number)
    }
}

/// A fleet of nodes, each with connections to each of the old servers in turn.
struct Fleet {
    nodes: Vec<TestBalancer>,
    random: Random,
}

impl Fleet {
    fn new(established: u64) -> Self {
        Self::of(NODES, 6, established)
    }

    fn of(nodes: u32, servers: u64, established: u64) -> Self {
        let config = BalancerConfig {
            balancer_count: nodes,
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
        let old: Vec<Endpoint> = (0..servers).map(weighted).collect();
        let node = |seed: u64| {
            let balancer_index = seed as u32;
            let config = BalancerConfig {
                balancer_index,
                ..config.clone()
            };
            let mut node = TestBalancer::with_seed(config, seed + 1);
            node.update_endpoints(0.0, UpdateKind::Cached, &old);
            for i in 0..established {
                let id = RequestId(1_000_000 + i);
                let to = old[((seed + i) % servers) as usize].id;
                node.handle(
                    0.0,
                    Event::AlreadyEstablished {
                        request: Request::new(id, 0, 2.0),
                        server: to,
                    },
                );
                node.handle(0.1, Event::LoadReport { id, load: LOAD });
            }
            node
        };
        Self {
            nodes: (0..u64::from(nodes)).map(node).collect(),
            random: Random(1),
        }
    }

    /// A client of some group requests a connection of this node, which is established at once.
    fn connect(&mut self, now: Time, node: usize, group: u64) -> Option<ServerId> {
        let id = self.nodes[node].next_id();
        let request = Request {
            group: Some(Key::of(&group.to_string())),
            ..Request::new(id, 0, now + 2.0)
        };
        let to = self.nodes[node].request(now, request)?;
        self.nodes[node].handle(now, Event::Established { id, server: to });
        self.nodes[node].handle(now, Event::LoadReport { id, load: LOAD });
        Some(to)
    }

    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint]) {
        for node in &mut self.nodes {
            node.update_endpoints(now, UpdateKind::Delta, entries);
        }
    }
}

/// The attempts that a server of that weight withstands in the two seconds from `age` on.
fn withstood(age: Time) -> f64 {
    let capacity_share = 0.13 + 0.87 * (age / SLOW_START_WINDOW).min(1.0);
    3.0 * capacity_share * (WEIGHT * 1e6 / LOAD) / SLOW_START_WINDOW * 2.0
}

#[test]
fn new_servers_are_used_and_not_overloaded_though_each_of_many_balancers_sees_few_requests() {
    let mut fleet = Fleet::new(5);
    let cold: Vec<Endpoint> = (10..20)
        .map(|i| Endpoint {
            started_at: 100.0,
            ..weighted(i)
        })
        .collect();
    fleet.update_endpoints(101.0, &cold);
    // 30 clients a second, of all nodes together.
    let mut sent: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    for i in 0..600 {
        let now = 101.0 + f64::from(i) / 30.0;
        let (node, group) = (fleet.random.below(100) as usize, fleet.random.below(10));
        let to = fleet
            .connect(now, node, group)
            .expect("a server with capacity");
        sent.entry(to).or_default().push(now);
    }
    let new = assert_not_overloaded(&sent, &cold, 111.0, 0.0);
    // Ten that warm up beside six old ones: they get a fifth of the requests at least.
    assert!(new > 60, "{new} of 300 in ten seconds");
}

/// Checks that each cold server withstands the attempts of all nodes in any two seconds, but for so many standard
/// deviations (Poisson): the more servers there are, the more windows there are for chance. Returns how many came
/// before `until`.
fn assert_not_overloaded(
    sent: &BTreeMap<ServerId, Vec<Time>>,
    cold: &[Endpoint],
    until: Time,
    chance: f64,
) -> usize {
    let mut new = 0;
    for server in cold {
        let times = sent.get(&server.id).map_or(&[][..], |times| times);
        new += times.iter().filter(|at| **at < until).count();
        for (i, at) in times.iter().enumerate() {
            let window = times[i..].iter().take_while(|t| **t < at + 2.0).count();
            let most = withstood(at - server.started_at);
            let most = most + chance * most.sqrt();
            assert!(
                window as f64 <= most.max(2.0),
                "{window} from {at}, {most} withstood"
            );
        }
    }
    new
}

#[test]
fn a_rollout_of_54_of_90_servers_in_7_s_behind_300_balancers_overloads_none() {
    let mut fleet = Fleet::of(300, 36, 5);
    let cold: Vec<Endpoint> = (40..94)
        .map(|i| Endpoint {
            started_at: 100.0 + 7.0 * (i - 40) as f64 / 54.0,
            ..weighted(i)
        })
        .collect();
    let mut told = 0;
    // Clients of all nodes together, of 70 groups of uneven size: 1,000 requests a second.
    let mut sent: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    for i in 0..15_000 {
        let now = 100.0 + f64::from(i) / 1000.0;
        let known = cold
            .iter()
            .take_while(|s| s.started_at + 1.0 <= now)
            .count();
        if known > told {
            fleet.update_endpoints(now, &cold[told..known]);
            told = known;
        }
        let node = fleet.random.below(300) as usize;
        let group = fleet.random.below(70) * fleet.random.below(70) / 70;
        if let Some(to) = fleet.connect(now, node, group) {
            sent.entry(to).or_default().push(now);
        }
    }
    let new = assert_not_overloaded(&sent, &cold, 115.0, 1.0);
    // 0.85 of three times what fills them in the slow-start window, at their capacity by then.
    let due: Time = cold
        .iter()
        .map(|s| {
            let age = 114.0 - s.started_at;
            0.85 * withstood(age / 2.0) / 2.0 * age
        })
        .sum();
    assert!(
        new as f64 > due / 2.0,
        "{new} at new servers, {due} within their budgets"
    );
}

/// The most attempts that a cold server may get in two seconds from `age` on by the operators' terms: what it
/// withstands, and a little for chance, whatever the number of processes.
fn allowed(age: Time) -> f64 {
    let withstood = withstood(age);
    withstood + 2.0 * withstood.sqrt() + 2.0
}

/// Twenty or thirty nodes with a constant rate of requests, and none for `lull` before a burst.
#[test]
fn slow_start_holds_for_the_sum_of_20_or_30_balancers_through_lulls_bursts_and_restarts() {
    for (nodes, lull, restarts) in [
        (20, 0.0, false),
        (30, 0.0, false),
        (20, 1.9, false),
        (30, 1.9, false),
        (30, 4.0, false),
        (20, 0.0, true),
        (30, 1.9, true),
    ] {
        for seed in 1..6 {
            let mut fleet = Fleet::of(nodes, 8, 6);
            fleet.random = Random(seed);
            let cold: Vec<Endpoint> = (20..26)
                .map(|i| Endpoint {
                    started_at: 100.0 + 0.3 * (i - 20) as f64,
                    ..weighted(i)
                })
                .collect();
            fleet.update_endpoints(102.0, &cold);
            let mut sent: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
            let mut restarted = 0;
            for tick in 0..2_000 {
                let now = 102.0 + f64::from(tick) / 100.0;
                // All processes restart, one after the other, within two seconds.
                if restarts && tick > 300 && restarted < nodes as usize && tick % 6 == 0 {
                    let fresh = Fleet::of(nodes, 8, 6).nodes.swap_remove(restarted);
                    fleet.nodes[restarted] = fresh;
                    fleet.nodes[restarted].update_endpoints(now, UpdateKind::Delta, &cold);
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
                    let node = fleet.random.below(u64::from(nodes)) as usize;
                    let group = fleet.random.below(200);
                    if let Some(to) = fleet.connect(now, node, group) {
                        sent.entry(to).or_default().push(now);
                    }
                }
            }
            for server in &cold {
                let times = sent.get(&server.id).map_or(&[][..], |times| times);
                assert!(times.len() > 20, "{} used of {server:?}", times.len());
                for (i, at) in times.iter().enumerate() {
                    let window = times[i..].iter().take_while(|t| **t < at + 2.0).count();
                    let most = allowed(at - server.started_at);
                    assert!(
                        window as f64 <= most,
                        "{nodes} nodes, lull {lull}, restarts {restarts}, seed {seed}: {window} from {at}, {most} allowed"
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
        ..weighted(10)
    };
    fleet.update_endpoints(100.5, &[cold]);
    // No request for 12 s; then one at each node at once.
    let mut there = 0;
    for node in 0..NODES as usize {
        there += usize::from(fleet.connect(112.0, node, node as u64) == Some(cold.id));
    }
    let most = withstood(12.0);
    assert!((there as f64) < most, "{there} at once, {most} withstood");
    assert!(there > 0, "the budget is used");
}

#[test]
fn a_balancer_with_one_connection_does_not_assume_that_all_others_have_one_too() {
    // 100 connections over six servers for 100 each: a request goes where its group ranks first.
    let mut fleet = Fleet::new(1);
    let list: Vec<Endpoint> = (0..6).map(weighted).collect();
    for node in 0..NODES as usize {
        for group in 0..3 {
            let key = Key::of(&group.to_string());
            let score = |m: &&Endpoint| spanspur::score(key, m.id, WEIGHT);
            let first = list.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
            let to = fleet.nodes[node].place(1.0, key);
            assert_eq!(to, first.map(|m| m.id), "node {node}, group {group}");
        }
    }
}

#[test]
fn a_group_stays_on_one_server_where_a_balancers_part_of_a_server_is_less_than_a_connection() {
    // 300 nodes and 90 servers: a node's part of a server is a quarter of a connection. Each server with a connection
    // of a group has the cost of the group, so a second client of a group has to go where the first one is.
    let mut fleet = Fleet::of(300, 90, 0);
    for node in 0..300 {
        let servers: Vec<_> = (0..4)
            .map(|_| {
                fleet
                    .connect(1.0, node, node as u64)
                    .expect("a server with capacity")
            })
            .collect();
        assert!(servers.iter().all(|to| *to == servers[0]), "{servers:?}");
    }
}
