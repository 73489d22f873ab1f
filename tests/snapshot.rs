//! The snapshot of the decision state that a hot restart hands to the successor: its format, and the decisions that
//! follow from it.
//!
//! `tests/fixtures/balancer_snapshot.bin` is a balancer after a long seeded run, in postcard format.
//! `tests/fixtures/balancer_snapshot.txt` has hashes of the actions before and after the snapshot was restored. Both
//! were written by the tree at 71566bd. Rewriting them (`WRITE_FIXTURES=1`) hides a change of the snapshot format.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use common::{Random, TestBalancer, config, endpoint};
use spanspur::Balancer;
use spanspur::api::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use xxhash_rust::xxh3::xxh3_64;

const SEED: u64 = 0x5eed_0239;
const SERVERS: u64 = 14;
const TURNS_BEFORE: u64 = 6000;
const TURNS_AFTER: u64 = 3000;
/// Number of turns per line of the fixture.
const BLOCK: u64 = 500;
/// Interval at which the set of failing servers changes, in seconds.
const OUTAGE_INTERVAL: Time = 5.0;

fn balancer_config() -> BalancerConfig {
    let keyed = |scope| Idempotency::Keyed { scope, window: 0.6 };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    let classes = idempotencies.map(|idempotency| RequestClass {
        latency_objective: 0.3,
        idempotency,
        message_latency_objective: Some(0.06),
    });
    BalancerConfig {
        balancer_count: 2,
        balancer_index: 1,
        classes: classes.to_vec(),
        discovery_mode: DiscoveryMode::Polled,
        can_cancel_attempts: true,
        max_retry_after: Some(2.5),
        ..config()
    }
}

/// The phase of a request.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Pending,
    /// The server of the attempt in flight, and when the attempt times out.
    InFlight(ServerId, Time),
    Established(ServerId),
}

/// A request as its client and server see it.
#[derive(Clone, Copy)]
struct ObservedRequest {
    request: Request,
    attempts: u32,
    phase: Phase,
}

/// Clients, servers and discovery around one balancer, driven by a seed.
struct Simulation {
    balancer: TestBalancer,
    random: Random,
    now: Time,
    requests: BTreeMap<RequestId, ObservedRequest>,
    timers: Vec<(Time, u64)>,
    /// Start times of the servers that have restarted, by number.
    started_at: BTreeMap<u64, Time>,
    last_id: u64,
    /// The actions since the last line of the fixture, one per line.
    action_log: String,
    /// Number of actions of each kind.
    counts: BTreeMap<&'static str, u64>,
}

/// The kind and the parameters of an action, as text that does not depend on the names in the code.
fn describe_action(action: &Action) -> (&'static str, String) {
    match action {
        Action::StartAttempt {
            id,
            server,
            timeout_at,
        } => (
            "send",
            format!("{id} {server} {:016x}", timeout_at.to_bits()),
        ),
        Action::Reject { id, retry_after } => {
            ("refuse", format!("{id} {:016x}", retry_after.to_bits()))
        }
        Action::Fail(id) => ("fail", id.to_string()),
        Action::CancelAttempt { id, attempt } => ("cancel", format!("{id} {attempt}")),
        Action::Migrate(id) => ("move", id.to_string()),
        Action::PollDiscovery => ("watch", String::new()),
        Action::SetTimer { after, token } => ("timer", format!("{:016x} {token}", after.to_bits())),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            balancer: TestBalancer::with_seed(balancer_config(), SEED),
            random: Random(SEED),
            now: 100.0,
            requests: BTreeMap::new(),
            timers: Vec::new(),
            started_at: BTreeMap::new(),
            last_id: 0,
            action_log: String::new(),
            counts: BTreeMap::new(),
        };
        simulation.update_endpoints(UpdateKind::Cached);
        simulation
    }

    fn handle(&mut self, event: Event) {
        for action in self.balancer.handle(self.now, event) {
            let (kind, text) = describe_action(&action);
            *self.counts.entry(kind).or_default() += 1;
            let _ = writeln!(self.action_log, "{kind} {text}");
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at,
            } => {
                let observed = self.requests.get_mut(&id).expect("a live request");
                observed.attempts += 1;
                observed.phase = Phase::InFlight(server, timeout_at);
            }
            Action::Reject { id, .. } | Action::Fail(id) => drop(self.requests.remove(&id)),
            Action::Migrate(id) => {
                let observed = self.requests[&id];
                if let Phase::Established(server) = observed.phase {
                    self.end_attempt(id, server, Outcome::Cancelled, true);
                    self.send_request(true);
                }
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
            Action::PollDiscovery => self.update_endpoints(UpdateKind::Delta),
            Action::CancelAttempt { .. } => {}
        }
    }

    fn is_failing(&self, id: ServerId) -> bool {
        let outage = (self.now / OUTAGE_INTERVAL) as u64;
        outage % 4 == 3 || (id.0 % 5 + outage).is_multiple_of(5)
    }

    fn update_endpoints(&mut self, kind: UpdateKind) {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            if self.random.below(12) == 0 {
                continue;
            }
            if self.random.below(40) == 0 {
                self.started_at.insert(number, self.now);
            }
            let state = match self.random.below(20) {
                0 => EndpointState::Removed,
                1 => EndpointState::Draining,
                _ => EndpointState::Ready,
            };
            entries.push(Endpoint {
                zone: number as u32 % 3,
                state,
                weight: [2.0, 0.5, 1.0][number as usize % 3],
                started_at: self.started_at.get(&number).copied().unwrap_or(0.0),
                cell: number as u32 % 4,
                ..endpoint(number)
            });
        }
        self.handle(Event::EndpointsUpdated {
            kind,
            endpoints: entries.into(),
        });
    }

    fn send_request(&mut self, is_reconnect: bool) {
        self.last_id += 1;
        let id = RequestId(self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let deadline = self.now + 0.3 + self.random.below(2000) as f64 / 1000.0;
        let request = Request {
            key: Some(Key(self.random.below(300))),
            group: Some(self.random.below(40))
                .filter(|group| group % 2 == 0)
                .map(Key),
            load_hint: Some(10_000.0 + self.random.below(200_000) as f64)
                .filter(|hint| hint % 2.0 == 0.0),
            mid_flow: self.random.below(12) == 0,
            is_reconnect,
            ..Request::new(id, self.random.below(6) as usize, deadline)
        };
        let observed = ObservedRequest {
            request,
            attempts: 0,
            phase: Phase::Pending,
        };
        self.requests.insert(id, observed);
        self.handle(Event::Request(request));
    }

    fn end_attempt(&mut self, id: RequestId, server: ServerId, outcome: Outcome, is_final: bool) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = observed.attempts - 1;
        observed.phase = Phase::Pending;
        if is_final {
            self.requests.remove(&id);
        }
        self.handle(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            is_final,
        }));
    }

    fn advance_request(&mut self, id: RequestId) {
        let Some(observed) = self.requests.get(&id).copied() else {
            return;
        };
        let roll = self.random.below(200);
        match observed.phase {
            Phase::Pending => {}
            Phase::InFlight(server, timeout_at) if self.now >= timeout_at => {
                self.end_attempt(id, server, Outcome::Timeout, false);
            }
            Phase::InFlight(server, _) if self.is_failing(server) && roll < 70 => {
                let outcomes = [
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Timeout,
                    Outcome::Reset,
                    Outcome::Error,
                ];
                let outcome = outcomes[self.random.below(5) as usize];
                self.end_attempt(id, server, outcome, false);
            }
            Phase::InFlight(server, _) if !self.is_failing(server) && roll < 90 => {
                self.requests.get_mut(&id).expect("a live request").phase =
                    Phase::Established(server);
                self.handle(Event::Established { id, server });
            }
            Phase::Established(server) => self.advance_established(id, server, roll),
            Phase::InFlight(..) if roll > 195 => self.disconnect(id),
            Phase::InFlight(..) => {}
        }
    }

    fn advance_established(&mut self, id: RequestId, server: ServerId, roll: u64) {
        match roll {
            0..=1 => self.end_attempt(id, server, Outcome::Success, true),
            2 => self.end_attempt(id, server, Outcome::Reset, false),
            3 => self.disconnect(id),
            4..=11 => {
                let load = 10_000.0 + self.random.below(300_000) as f64;
                self.handle(Event::LoadReport { id, load });
            }
            12..=13 => {
                let max_millis = if self.is_failing(server) { 90 } else { 24 };
                let message_latency = self.random.below(max_millis) as f64 / 1000.0;
                self.handle(Event::LatencyReport {
                    server,
                    message_latency,
                });
            }
            _ => {}
        }
    }

    fn disconnect(&mut self, id: RequestId) {
        self.requests.remove(&id);
        self.handle(Event::ClientDisconnected(id));
    }

    fn turn(&mut self) {
        self.now += (5 + self.random.below(35)) as f64 / 1000.0;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.timers.drain(..).partition(|timer| timer.0 <= now);
        self.timers = later;
        for (_, token) in due {
            self.handle(Event::Timer(token));
        }
        let live: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in &live {
            self.advance_request(*id);
        }
        if live.len() < 120 && self.random.below(2) == 0 {
            self.send_request(false);
        }
        match self.random.below(200) {
            0..=2 => self.update_endpoints(UpdateKind::Delta),
            3 => self.update_endpoints(UpdateKind::Full),
            4 => self.handle(Event::DiscoveryFailed),
            5..=6 => {
                let id = endpoint(self.random.below(SERVERS)).id;
                let ejected_until = (self.random.below(2) == 0).then_some(now + 1.5);
                self.handle(Event::HealthChecked {
                    server: id,
                    ejected_until,
                });
            }
            7 => {
                if let Some(id) = live.first() {
                    self.handle(Event::ShutdownDeadline(*id));
                }
            }
            8 => self.handle(Event::PeerMessage(vec![1, 2, 3])),
            _ => {}
        }
    }

    /// Runs a number of turns, and appends a line for each block of them to the text of the fixture.
    fn run(&mut self, name: &str, turns: u64, text: &mut String) {
        for turn in 1..=turns {
            self.turn();
            if turn % BLOCK == 0 {
                let hash = xxh3_64(self.action_log.as_bytes());
                let _ = writeln!(text, "{name}, turns to {turn}: {hash:016x}");
                self.action_log.clear();
            }
        }
        for (kind, count) in std::mem::take(&mut self.counts) {
            let _ = writeln!(text, "{name}, {kind}: {count}");
        }
    }

    /// Replaces the balancer by one restored from a snapshot, as in a hot restart: it gets the configuration, the
    /// endpoint list and the established connections.
    fn restart_with(&mut self, balancer: Balancer) {
        self.balancer.inner = balancer;
        self.timers.clear();
        self.requests
            .retain(|_, observed| matches!(observed.phase, Phase::Established(_)));
        self.handle(Event::ConfigChanged(balancer_config()));
        self.update_endpoints(UpdateKind::Full);
        for (id, observed) in self.requests.clone() {
            if let Phase::Established(server) = observed.phase {
                self.requests.get_mut(&id).expect("listed above").attempts = 1;
                self.handle(Event::AlreadyEstablished {
                    request: observed.request,
                    server,
                });
            }
        }
    }
}

fn serialize(balancer: &Balancer) -> Vec<u8> {
    postcard::to_stdvec(balancer).expect("serialize a balancer")
}

fn deserialize(bytes: &[u8]) -> Balancer {
    postcard::from_bytes(bytes).expect("deserialize a balancer")
}

#[test]
fn a_snapshot_matches_the_fixture_and_a_successor_continues_from_it_as_recorded() {
    println!("seed {SEED:#x}");
    let mut simulation = Simulation::new();
    let mut text = String::new();
    simulation.run("before", TURNS_BEFORE, &mut text);
    let snapshot = serialize(&simulation.balancer.inner);
    assert!(
        snapshot.len() > 500,
        "{} bytes: too few for a meaningful test",
        snapshot.len()
    );
    fixture::assert_bytes("balancer_snapshot.bin", &snapshot);

    let stored = fixture::load_or_write("balancer_snapshot.bin", &snapshot);
    assert!(
        serialize(&deserialize(&stored)) == stored,
        "the bytes differ after deserializing and serializing"
    );

    simulation.restart_with(deserialize(&stored));
    simulation.run("after", TURNS_AFTER, &mut text);
    let last = serialize(&simulation.balancer.inner);
    let _ = writeln!(
        text,
        "last snapshot: {} bytes, {:016x}",
        last.len(),
        xxh3_64(&last)
    );
    fixture::assert_text("balancer_snapshot.txt", &text);
    for part in ["before", "after"] {
        for kind in ["send", "refuse", "fail", "cancel", "move", "watch", "timer"] {
            let line_start = format!("\n{part}, {kind}: ");
            assert!(text.contains(&line_start), "{part}: no {kind}");
        }
    }
}

#[test]
fn a_truncated_snapshot_is_rejected() {
    let stored = std::fs::read(fixture::path("balancer_snapshot.bin")).expect("read the fixture");
    for end in 0..stored.len() {
        assert!(
            postcard::from_bytes::<Balancer>(&stored[..end]).is_err(),
            "{end} bytes were accepted"
        );
    }
}
