//! A snapshot of the decisions, as one process hands it to the next, and what a balancer that reads it does then.
//!
//! `tests/fixtures/balancer_snapshot.bin` is the postcard form of a balancer after a long seeded run, and
//! `tests/fixtures/balancer_snapshot.txt` has hashes of the actions before and after it was read back. Both were
//! written by the tree at 71566bd; rewriting them (`WRITE_FIXTURES=1`) hides a change of the wire.

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
/// Turns that share a line of the fixture.
const BLOCK: u64 = 500;
/// The failing part of the fleet changes this often.
const OUTAGE: Time = 5.0;

fn settings() -> BalancerConfig {
    let keyed = |scope| Idempotency::Keyed { scope, window: 0.6 };
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    let classes = effects.map(|effect| RequestClass {
        latency_objective: 0.3,
        idempotency: effect,
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

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Held,
    Out(ServerId, Time),
    Standing(ServerId),
}

#[derive(Clone, Copy)]
struct Asked {
    request: Request,
    attempts: u32,
    phase: Phase,
}

struct World {
    node: TestBalancer,
    random: Random,
    now: Time,
    asked: BTreeMap<RequestId, Asked>,
    timers: Vec<(Time, u64)>,
    started: BTreeMap<u64, Time>,
    last_id: u64,
    /// The actions so far, each as a line.
    lines: String,
    counts: BTreeMap<&'static str, u64>,
}

/// An action as text that does not depend on the names in the code.
fn line(action: &Action) -> (&'static str, String) {
    match action {
        Action::StartAttempt {
            id,
            server,
            timeout_at: until,
        } => ("send", format!("{id} {server} {:016x}", until.to_bits())),
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

impl World {
    fn new() -> Self {
        let mut world = Self {
            node: TestBalancer::with_seed(settings(), SEED),
            random: Random(SEED),
            now: 100.0,
            asked: BTreeMap::new(),
            timers: Vec::new(),
            started: BTreeMap::new(),
            last_id: 0,
            lines: String::new(),
            counts: BTreeMap::new(),
        };
        world.list(UpdateKind::Cached);
        world
    }

    fn give(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            let (kind, text) = line(&action);
            *self.counts.entry(kind).or_default() += 1;
            let _ = writeln!(self.lines, "{kind} {text}");
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at: until,
            } => {
                let asked = self.asked.get_mut(&id).expect("a live request");
                asked.attempts += 1;
                asked.phase = Phase::Out(server, until);
            }
            Action::Reject { id, .. } | Action::Fail(id) => drop(self.asked.remove(&id)),
            Action::Migrate(id) => {
                let asked = self.asked[&id];
                if let Phase::Standing(server) = asked.phase {
                    self.end(id, server, Outcome::Cancelled, true);
                    self.ask(true);
                }
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
            Action::PollDiscovery => self.list(UpdateKind::Delta),
            Action::CancelAttempt { .. } => {}
        }
    }

    fn failing(&self, id: ServerId) -> bool {
        let outage = (self.now / OUTAGE) as u64;
        outage % 4 == 3 || (id.0 % 5 + outage).is_multiple_of(5)
    }

    fn list(&mut self, kind: UpdateKind) {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            if self.random.below(12) == 0 {
                continue;
            }
            if self.random.below(40) == 0 {
                self.started.insert(number, self.now);
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
                started_at: self.started.get(&number).copied().unwrap_or(0.0),
                cell: number as u32 % 4,
                ..endpoint(number)
            });
        }
        self.give(Event::EndpointsUpdated {
            kind,
            endpoints: entries.into(),
        });
    }

    fn ask(&mut self, returned: bool) {
        self.last_id += 1;
        let id = RequestId(self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let due = self.now + 0.3 + self.random.below(2000) as f64 / 1000.0;
        let request = Request {
            key: Some(Key(self.random.below(300))),
            group: Some(self.random.below(40))
                .filter(|group| group % 2 == 0)
                .map(Key),
            load_hint: Some(10_000.0 + self.random.below(200_000) as f64)
                .filter(|hint| hint % 2.0 == 0.0),
            mid_flow: self.random.below(12) == 0,
            is_reconnect: returned,
            ..Request::new(id, self.random.below(6) as usize, due)
        };
        let asked = Asked {
            request,
            attempts: 0,
            phase: Phase::Held,
        };
        self.asked.insert(id, asked);
        self.give(Event::Request(request));
    }

    fn end(&mut self, id: RequestId, server: ServerId, outcome: Outcome, settled: bool) {
        let Some(asked) = self.asked.get_mut(&id) else {
            return;
        };
        let attempt = asked.attempts - 1;
        asked.phase = Phase::Held;
        if settled {
            self.asked.remove(&id);
        }
        self.give(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            is_final: settled,
        }));
    }

    fn progress(&mut self, id: RequestId) {
        let Some(asked) = self.asked.get(&id).copied() else {
            return;
        };
        let roll = self.random.below(200);
        match asked.phase {
            Phase::Held => {}
            Phase::Out(server, until) if self.now >= until => {
                self.end(id, server, Outcome::Timeout, false);
            }
            Phase::Out(server, _) if self.failing(server) && roll < 70 => {
                let outcomes = [
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Timeout,
                    Outcome::Reset,
                    Outcome::Error,
                ];
                let outcome = outcomes[self.random.below(5) as usize];
                self.end(id, server, outcome, false);
            }
            Phase::Out(server, _) if !self.failing(server) && roll < 90 => {
                self.asked.get_mut(&id).expect("a live request").phase = Phase::Standing(server);
                self.give(Event::Established { id, server });
            }
            Phase::Standing(server) => self.stands(id, server, roll),
            Phase::Out(..) if roll > 195 => self.gone(id),
            Phase::Out(..) => {}
        }
    }

    fn stands(&mut self, id: RequestId, server: ServerId, roll: u64) {
        match roll {
            0..=1 => self.end(id, server, Outcome::Success, true),
            2 => self.end(id, server, Outcome::Reset, false),
            3 => self.gone(id),
            4..=11 => {
                let load = 10_000.0 + self.random.below(300_000) as f64;
                self.give(Event::LoadReport { id, load });
            }
            12..=13 => {
                let most = if self.failing(server) { 90 } else { 24 };
                let delay = self.random.below(most) as f64 / 1000.0;
                self.give(Event::LatencyReport {
                    server,
                    message_latency: delay,
                });
            }
            _ => {}
        }
    }

    fn gone(&mut self, id: RequestId) {
        self.asked.remove(&id);
        self.give(Event::ClientDisconnected(id));
    }

    fn turn(&mut self) {
        self.now += (5 + self.random.below(35)) as f64 / 1000.0;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.timers.drain(..).partition(|timer| timer.0 <= now);
        self.timers = later;
        for (_, token) in due {
            self.give(Event::Timer(token));
        }
        let live: Vec<RequestId> = self.asked.keys().copied().collect();
        for id in &live {
            self.progress(*id);
        }
        if live.len() < 120 && self.random.below(2) == 0 {
            self.ask(false);
        }
        match self.random.below(200) {
            0..=2 => self.list(UpdateKind::Delta),
            3 => self.list(UpdateKind::Full),
            4 => self.give(Event::DiscoveryFailed),
            5..=6 => {
                let id = endpoint(self.random.below(SERVERS)).id;
                let until = (self.random.below(2) == 0).then_some(now + 1.5);
                self.give(Event::HealthChecked {
                    server: id,
                    ejected_until: until,
                });
            }
            7 => {
                if let Some(id) = live.first() {
                    self.give(Event::ShutdownDeadline(*id));
                }
            }
            8 => self.give(Event::PeerMessage(vec![1, 2, 3])),
            _ => {}
        }
    }

    /// Runs so many turns; a line for each block of them goes into the fixture.
    fn run(&mut self, name: &str, turns: u64, text: &mut String) {
        for turn in 1..=turns {
            self.turn();
            if turn % BLOCK == 0 {
                let hash = xxh3_64(self.lines.as_bytes());
                let _ = writeln!(text, "{name}, turns to {turn}: {hash:016x}");
                self.lines.clear();
            }
        }
        for (kind, count) in std::mem::take(&mut self.counts) {
            let _ = writeln!(text, "{name}, {kind}: {count}");
        }
    }

    /// Another process goes on: it has the snapshot, the settings and the list, and is given what stands.
    fn replace(&mut self, balancer: Balancer) {
        self.node.inner = balancer;
        self.timers.clear();
        self.asked
            .retain(|_, asked| matches!(asked.phase, Phase::Standing(_)));
        self.give(Event::ConfigChanged(settings()));
        self.list(UpdateKind::Full);
        for (id, asked) in self.asked.clone() {
            if let Phase::Standing(server) = asked.phase {
                self.asked.get_mut(&id).expect("listed above").attempts = 1;
                self.give(Event::AlreadyEstablished {
                    request: asked.request,
                    server,
                });
            }
        }
    }
}

fn write(balancer: &Balancer) -> Vec<u8> {
    postcard::to_stdvec(balancer).expect("a balancer can be written")
}

fn read(bytes: &[u8]) -> Balancer {
    postcard::from_bytes(bytes).expect("a balancer can be read")
}

#[test]
fn a_snapshot_has_the_bytes_of_the_fixture_and_the_next_process_goes_on_from_it_as_recorded() {
    println!("seed {SEED:#x}");
    let mut world = World::new();
    let mut text = String::new();
    world.run("before", TURNS_BEFORE, &mut text);
    let snapshot = write(&world.node.inner);
    assert!(
        snapshot.len() > 500,
        "{} bytes: too few to say anything",
        snapshot.len()
    );
    fixture::assert_bytes("balancer_snapshot.bin", &snapshot);

    let kept = fixture::load_or_write("balancer_snapshot.bin", &snapshot);
    assert!(
        write(&read(&kept)) == kept,
        "read and written again it has other bytes"
    );

    world.replace(read(&kept));
    world.run("after", TURNS_AFTER, &mut text);
    let last = write(&world.node.inner);
    let _ = writeln!(
        text,
        "last snapshot: {} bytes, {:016x}",
        last.len(),
        xxh3_64(&last)
    );
    fixture::assert_text("balancer_snapshot.txt", &text);
    for part in ["before", "after"] {
        for kind in ["send", "refuse", "fail", "cancel", "move", "watch", "timer"] {
            let kept = format!("\n{part}, {kind}: ");
            assert!(text.contains(&kept), "{part}: no {kind}");
        }
    }
}

#[test]
fn a_snapshot_that_is_cut_short_is_refused() {
    let kept = std::fs::read(fixture::path("balancer_snapshot.bin")).expect("the fixture");
    for end in 0..kept.len() {
        assert!(
            postcard::from_bytes::<Balancer>(&kept[..end]).is_err(),
            "{end} bytes"
        );
    }
}
