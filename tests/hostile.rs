//! Seeded hostile events in virtual time: outcomes in any order, endpoint lists that change, servers and balancers
//! that restart. A record of each request outside the balancer checks attempts, final answers and slow start.

mod common;
use common::*;
use spanspur::api::*;
use std::collections::BTreeMap;

const SERVERS: u64 = 12;
const SLOW_START_WINDOW: Time = 10.0;
const OVERLOAD_WINDOW: Time = 2.0;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const MAX_ATTEMPTS: u32 = 4;
const DEDUPLICATION_WINDOW: Time = 0.6;

/// What clients and servers know of a request.
struct ObservedRequest {
    request: Request,
    attempts: u32,
    in_flight: Option<(ServerId, Time)>,
    is_established: bool,
    may_have_executed: Option<(Time, ServerId)>,
    answered: bool,
}

struct World {
    node: TestBalancer,
    random: Random,
    now: Time,
    seen: BTreeMap<RequestId, ObservedRequest>,
    listed: BTreeMap<ServerId, Endpoint>,
    timers: Vec<(Time, u64)>,
    cold_attempts: BTreeMap<ServerId, Vec<Time>>,
    asked: Vec<Time>,
    ids: u64,
    sends: usize,
    finals: usize,
}

fn request_classes() -> Vec<RequestClass> {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: DEDUPLICATION_WINDOW,
    };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    idempotencies
        .map(|idempotency| RequestClass {
            idempotency,
            message_latency_objective: Some(0.06),
            ..RequestClass::default()
        })
        .to_vec()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = World {
            node: TestBalancer::with_seed(settings(), seed),
            random: Random(seed),
            now: 100.0,
            seen: BTreeMap::new(),
            listed: BTreeMap::new(),
            timers: Vec::new(),
            cold_attempts: BTreeMap::new(),
            asked: Vec::new(),
            ids: 0,
            sends: 0,
            finals: 0,
        };
        world.list(UpdateKind::Cached);
        world
    }

    fn member(&mut self, number: u64) -> Endpoint {
        let state = match self.random.below(8) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        let old = self
            .listed
            .get(&endpoint(number).id)
            .map_or(0.0, |m| m.started_at);
        let started_at = if self.random.below(6) == 0 {
            self.now
        } else {
            old
        };
        Endpoint {
            state,
            started_at,
            zone: number as u32 % 3,
            cell: number as u32 % 4,
            ..endpoint(number)
        }
    }

    fn list(&mut self, kind: UpdateKind) {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            if self.random.below(4) > 0 {
                entries.push(self.member(number));
            }
        }
        if kind != UpdateKind::Delta {
            self.listed
                .values_mut()
                .for_each(|m| m.state = EndpointState::Removed);
        }
        for entry in &entries {
            let old = self.listed.insert(entry.id, *entry);
            if old.is_none_or(|m| m.started_at != entry.started_at) {
                self.cold_attempts.remove(&entry.id);
            }
        }
        self.give(Event::EndpointsUpdated {
            kind,
            endpoints: entries.into(),
        });
    }

    fn give(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at,
            } => {
                self.sends += 1;
                let seen = self.seen.get_mut(&id).expect("a known request");
                assert!(
                    !seen.answered && !seen.is_established,
                    "an attempt after the end"
                );
                assert_eq!(seen.in_flight, None, "two attempts in flight");
                assert!(
                    now < seen.request.deadline && timeout_at <= seen.request.deadline,
                    "after its deadline"
                );
                seen.attempts += 1;
                assert!(seen.attempts <= MAX_ATTEMPTS, "too many attempts");
                let to = self.listed[&server];
                assert!(
                    to.state == EndpointState::Ready
                        || seen.request.mid_flow && to.state == EndpointState::Draining
                );
                if let Some((first, place)) = seen.may_have_executed {
                    let at = self.listed[&place];
                    match request_classes()[seen.request.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            panic!("a non-idempotent request was sent again")
                        }
                        Idempotency::Keyed { scope, window } => {
                            assert!(now < first + window, "after the deduplication window");
                            assert!(
                                scope != DeduplicationScope::Zone || at.zone == to.zone,
                                "outside its zone"
                            );
                            assert!(
                                scope != DeduplicationScope::Cell || at.cell == to.cell,
                                "outside its cell"
                            );
                        }
                    }
                }
                seen.in_flight = Some((server, now));
                if to.started_at > 0.0 && now < to.started_at + SLOW_START_WINDOW {
                    self.record_cold_attempt(to);
                }
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                self.finals += 1;
                let seen = self.seen.get_mut(&id).expect("a known request");
                assert!(
                    !seen.answered && seen.in_flight.is_none(),
                    "answered twice or while an attempt is in flight"
                );
                seen.answered = true;
                assert!(now <= seen.request.deadline + 0.02, "answered late");
                let effect = request_classes()[seen.request.class].idempotency;
                let all = matches!(
                    effect,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
                let harmless = all || seen.may_have_executed.is_none();
                assert!(
                    harmless || matches!(action, Action::Fail(_)),
                    "a rejection where a retry does harm"
                );
            }
            Action::Migrate(id) => assert!(
                self.seen[&id].is_established,
                "migrated what is not established"
            ),
            Action::SetTimer { after, token } => self.timers.push((now + after, token)),
            Action::CancelAttempt { .. } | Action::PollDiscovery => {}
        }
    }

    /// A single balancer has the whole slow-start budget. The capacity of a server is at least what this balancer's own
    /// connections and arrivals amount to: here the most of either that the run ever had.
    fn record_cold_attempt(&mut self, to: Endpoint) {
        let now = self.now;
        self.asked.retain(|at| *at > now - 30.0);
        let established = self.seen.values().filter(|s| s.is_established).count() as f64;
        let rate = self.asked.len() as f64 / 10.0;
        let listed = self
            .listed
            .values()
            .filter(|m| m.state != EndpointState::Removed)
            .count() as f64;
        // Until a load is reported, ten connections are assumed to fill a server of weight 1.
        let can =
            ((established / SLOW_START_WINDOW).max(rate) / listed).max(10.0 / SLOW_START_WINDOW);
        let sends = self.cold_attempts.entry(to.id).or_default();
        sends.push(now);
        let window = sends
            .iter()
            .filter(|at| **at > now - OVERLOAD_WINDOW)
            .count() as f64;
        // Slack: one for the token that is always available, one for a balancer that has just restarted, one for chance.
        assert!(
            window <= OVERLOAD_MULTIPLE * can * OVERLOAD_WINDOW + 3.0,
            "{window} attempts at a cold server with capacity for {can} a second"
        );
    }

    fn ask(&mut self) {
        self.ids += 1;
        let id = RequestId(self.ids);
        let class = self.random.below(5) as usize;
        let life = 0.3 + self.random.below(20) as f64 / 10.0;
        let group = Some(Key(self.random.below(9)));
        let mid_flow = self.random.below(10) == 0;
        let request = Request {
            group,
            mid_flow,
            ..Request::new(id, class, self.now + life)
        };
        let seen = ObservedRequest {
            request,
            attempts: 0,
            in_flight: None,
            is_established: false,
            may_have_executed: None,
            answered: false,
        };
        self.seen.insert(id, seen);
        self.asked.push(self.now);
        self.give(Event::Request(request));
    }

    /// Ends or establishes an attempt in flight, at random.
    fn outcome(&mut self) {
        let out: Vec<RequestId> = self
            .seen
            .iter()
            .filter(|(_, s)| s.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        if out.is_empty() {
            return;
        }
        let id = out[self.random.below(out.len() as u64) as usize];
        let pick = self.random.below(10);
        let how = self.random.below(5) as usize;
        let seen = self.seen.get_mut(&id).expect("listed above");
        let (server, sent) = seen.in_flight.expect("filtered above");
        let attempt = seen.attempts - 1;
        if seen.is_established || pick < 8 {
            if seen.is_established {
                seen.in_flight = None;
                self.seen.remove(&id);
                let outcome = [
                    Outcome::Reset,
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Cancelled,
                    Outcome::Success,
                ][how];
                let ended = AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome,
                    is_final: true,
                };
                return self.give(Event::AttemptEnded(ended));
            }
            seen.is_established = true;
            return self.give(Event::Established { id, server });
        }
        let outcomes = [
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Timeout,
            Outcome::Reset,
            Outcome::Error,
        ];
        let outcome = outcomes[how];
        seen.in_flight = None;
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed)
            && seen.may_have_executed.is_none()
        {
            seen.may_have_executed = Some((sent, server));
        }
        let ended = AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            is_final: false,
        };
        self.give(Event::AttemptEnded(ended));
        // The same event again, late: it must be ignored unless an attempt at that server is in flight.
        if self.seen[&id].in_flight.is_none_or(|(to, _)| to != server) {
            self.give(Event::AttemptEnded(ended));
        }
    }

    fn step(&mut self) {
        self.now += self.random.below(40) as f64 / 1000.0;
        let now = self.now;
        let due: Vec<(Time, u64)> = self.timers.iter().filter(|t| t.0 <= now).copied().collect();
        self.timers.retain(|t| t.0 > now);
        due.into_iter()
            .for_each(|(_, token)| self.give(Event::Timer(token)));
        // At its deadline an attempt in flight times out; a request without one must have had its answer.
        let over: Vec<RequestId> = self
            .seen
            .iter()
            .filter(|(_, s)| s.request.deadline <= now && !s.is_established)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let seen = self.seen.get_mut(&id).expect("listed above");
            if let Some((server, sent)) = seen.in_flight.take() {
                seen.may_have_executed.get_or_insert((sent, server));
                let attempt = seen.attempts - 1;
                let due = seen.request.deadline;
                self.now = due;
                self.give(Event::AttemptEnded(AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome: Outcome::Timeout,
                    is_final: false,
                }));
                self.now = now;
            }
            assert!(self.seen[&id].answered, "request {id:?} was never answered");
            self.seen.remove(&id);
        }
        match self.random.below(100) {
            0..=21 => self.ask(),
            22..=74 => self.outcome(),
            75..=79 => self.list(UpdateKind::Delta),
            80 => self.list(UpdateKind::Full),
            81 => self.give(Event::DiscoveryFailed),
            82..=84 => {
                let at = endpoint(self.random.below(SERVERS + 2)).id;
                let delay = self.random.below(30) as f64 / 1000.0;
                self.give(Event::LatencyReport {
                    server: at,
                    message_latency: delay,
                });
            }
            90..=92 => {
                let bytes = (0..self.random.below(12))
                    .map(|_| self.random.below(3) as u8)
                    .collect();
                self.give(Event::PeerMessage(bytes));
            }
            93 => self.give(Event::Timer(self.ids)),
            94 if self.random.below(20) == 0 => {
                // The balancer is killed and restarts with a cached list.
                let (ids, sends, finals) = (self.ids, self.sends, self.finals);
                let listed = std::mem::take(&mut self.listed);
                let cold_attempts = std::mem::take(&mut self.cold_attempts);
                let old = World::new(self.random.below(1 << 30));
                *self = World {
                    now,
                    ids,
                    sends,
                    finals,
                    cold_attempts,
                    ..old
                };
                self.listed = listed;
                let entries: Vec<Endpoint> = self.listed.values().copied().collect();
                self.node = TestBalancer::with_seed(settings(), ids);
                self.give(Event::EndpointsUpdated {
                    kind: UpdateKind::Cached,
                    endpoints: entries.into(),
                });
            }
            _ => {
                let gone = RequestId(self.random.below(self.ids + 5));
                if self.seen.remove(&gone).is_some() {
                    self.give(Event::ClientDisconnected(gone));
                }
            }
        }
    }
}

fn settings() -> BalancerConfig {
    BalancerConfig {
        classes: request_classes(),
        max_attempts: MAX_ATTEMPTS,
        slow_start_window: SLOW_START_WINDOW,
        overload_window: OVERLOAD_WINDOW,
        overload_multiple: OVERLOAD_MULTIPLE,
        can_cancel_attempts: true,

        discovery_mode: DiscoveryMode::Polled,
        ..config()
    }
}

#[test]
fn attempts_answers_and_slow_start_keep_their_limits_under_hostile_events() {
    let (mut sends, mut finals) = (0, 0);
    for seed in 1..=24 {
        let mut world = World::new(seed);
        for _ in 0..6000 {
            world.step();
        }
        sends += world.sends;
        finals += world.finals;
    }
    assert!(
        sends > 10_000 && finals > 2_000,
        "{sends} attempts, {finals} answers: too few to say anything"
    );
}
