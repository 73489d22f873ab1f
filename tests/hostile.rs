//! Seeded random events in virtual time: outcomes in any order, changing endpoint lists, restarts of servers and of the
//! balancer. An independent record of each request checks attempts, final answers and slow start.

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

/// The record of a request, kept outside the balancer.
struct ObservedRequest {
    request: Request,
    attempts: u32,
    /// The server of the attempt in flight or of the established connection, and the start of its attempt.
    in_flight: Option<(ServerId, Time)>,
    is_established: bool,
    /// The start and the server of the first attempt that may have executed the request.
    may_have_executed: Option<(Time, ServerId)>,
    answered: bool,
}

struct Simulation {
    balancer: TestBalancer,
    random: Random,
    now: Time,
    requests: BTreeMap<RequestId, ObservedRequest>,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// When each timer is due, and its token.
    timers: Vec<(Time, u64)>,
    /// The attempts at each server while it warms up, since its last start.
    cold_attempts: BTreeMap<ServerId, Vec<Time>>,
    /// When each request arrived.
    arrivals: Vec<Time>,
    last_id: u64,
    attempt_count: usize,
    answer_count: usize,
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

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation {
            balancer: TestBalancer::with_seed(balancer_config(), seed),
            random: Random(seed),
            now: 100.0,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            timers: Vec::new(),
            cold_attempts: BTreeMap::new(),
            arrivals: Vec::new(),
            last_id: 0,
            attempt_count: 0,
            answer_count: 0,
        };
        simulation.update_endpoints(UpdateKind::Cached);
        simulation
    }

    fn random_endpoint(&mut self, number: u64) -> Endpoint {
        let state = match self.random.below(8) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        let previous_start = self
            .endpoints
            .get(&endpoint(number).id)
            .map_or(0.0, |listed| listed.started_at);
        let started_at = if self.random.below(6) == 0 {
            self.now
        } else {
            previous_start
        };
        Endpoint {
            state,
            started_at,
            zone: number as u32 % 3,
            cell: number as u32 % 4,
            ..endpoint(number)
        }
    }

    fn update_endpoints(&mut self, kind: UpdateKind) {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            if self.random.below(4) > 0 {
                entries.push(self.random_endpoint(number));
            }
        }
        if kind != UpdateKind::Delta {
            self.endpoints
                .values_mut()
                .for_each(|listed| listed.state = EndpointState::Removed);
        }
        for entry in &entries {
            let previous = self.endpoints.insert(entry.id, *entry);
            if previous.is_none_or(|previous| previous.started_at != entry.started_at) {
                self.cold_attempts.remove(&entry.id);
            }
        }
        self.handle(Event::EndpointsUpdated {
            kind,
            endpoints: entries.into(),
        });
    }

    fn handle(&mut self, event: Event) {
        for action in self.balancer.handle(self.now, event) {
            self.apply_action(action);
        }
    }

    /// Checks an action and applies it to the record.
    fn apply_action(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at,
            } => {
                self.attempt_count += 1;
                let observed = self.requests.get_mut(&id).expect("a known request");
                assert!(
                    !observed.answered && !observed.is_established,
                    "an attempt after the final answer"
                );
                assert_eq!(observed.in_flight, None, "two attempts in flight");
                assert!(
                    now < observed.request.deadline && timeout_at <= observed.request.deadline,
                    "an attempt beyond the deadline"
                );
                observed.attempts += 1;
                assert!(observed.attempts <= MAX_ATTEMPTS, "too many attempts");
                let target = self.endpoints[&server];
                assert!(
                    target.state == EndpointState::Ready
                        || observed.request.mid_flow && target.state == EndpointState::Draining
                );
                if let Some((first_start, first_server)) = observed.may_have_executed {
                    let first = self.endpoints[&first_server];
                    match request_classes()[observed.request.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            panic!("a non-idempotent request was sent again")
                        }
                        Idempotency::Keyed { scope, window } => {
                            assert!(now < first_start + window, "after the deduplication window");
                            assert!(
                                scope != DeduplicationScope::Zone || first.zone == target.zone,
                                "outside its zone"
                            );
                            assert!(
                                scope != DeduplicationScope::Cell || first.cell == target.cell,
                                "outside its cell"
                            );
                        }
                    }
                }
                observed.in_flight = Some((server, now));
                if target.started_at > 0.0 && now < target.started_at + SLOW_START_WINDOW {
                    self.record_cold_attempt(target);
                }
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                self.answer_count += 1;
                let observed = self.requests.get_mut(&id).expect("a known request");
                assert!(
                    !observed.answered && observed.in_flight.is_none(),
                    "answered twice or while an attempt is in flight"
                );
                observed.answered = true;
                assert!(now <= observed.request.deadline + 0.02, "answered late");
                let idempotency = request_classes()[observed.request.class].idempotency;
                let retry_is_safe = matches!(
                    idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
                let rejection_is_safe = retry_is_safe || observed.may_have_executed.is_none();
                assert!(
                    rejection_is_safe || matches!(action, Action::Fail(_)),
                    "a rejection although a retry by the client is unsafe"
                );
            }
            Action::Migrate(id) => assert!(
                self.requests[&id].is_established,
                "a migration of a request that is not established"
            ),
            Action::SetTimer { after, token } => self.timers.push((now + after, token)),
            Action::CancelAttempt { .. } | Action::PollDiscovery => {}
        }
    }

    /// Records an attempt at a server that warms up, and checks the number of recent ones.
    ///
    /// A single balancer has the whole slow-start budget. It assumes at least the capacity that its own connections and
    /// arrivals need. Here the bound is the larger of two rates per endpoint: the established connections spread over
    /// the slow-start window, and the arrivals of 30 s counted as if they came in 10 s.
    fn record_cold_attempt(&mut self, target: Endpoint) {
        let now = self.now;
        self.arrivals.retain(|arrival| *arrival > now - 30.0);
        let established = self.requests.values().filter(|r| r.is_established).count() as f64;
        let rate = self.arrivals.len() as f64 / 10.0;
        let endpoint_count = self
            .endpoints
            .values()
            .filter(|listed| listed.state != EndpointState::Removed)
            .count() as f64;
        // Until a load is reported, ten connections are assumed to fill a server of weight 1.
        let capacity = ((established / SLOW_START_WINDOW).max(rate) / endpoint_count)
            .max(10.0 / SLOW_START_WINDOW);
        let attempts = self.cold_attempts.entry(target.id).or_default();
        attempts.push(now);
        let recent = attempts
            .iter()
            .filter(|start| **start > now - OVERLOAD_WINDOW)
            .count() as f64;
        // Slack: one for the token that is always available, one for a balancer that has just restarted, one for
        // chance.
        assert!(
            recent <= OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW + 3.0,
            "{recent} attempts at a cold server with capacity for {capacity} a second"
        );
    }

    fn start_request(&mut self) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let class = self.random.below(5) as usize;
        let timeout = 0.3 + self.random.below(20) as f64 / 10.0;
        let group = Some(Key(self.random.below(9)));
        let mid_flow = self.random.below(10) == 0;
        let request = Request {
            group,
            mid_flow,
            ..Request::new(id, class, self.now + timeout)
        };
        let observed = ObservedRequest {
            request,
            attempts: 0,
            in_flight: None,
            is_established: false,
            may_have_executed: None,
            answered: false,
        };
        self.requests.insert(id, observed);
        self.arrivals.push(self.now);
        self.handle(Event::Request(request));
    }

    /// Picks an attempt in flight or an established connection at random. An attempt is established or fails; a
    /// connection ends.
    fn progress_attempt(&mut self) {
        let in_flight: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        if in_flight.is_empty() {
            return;
        }
        let id = in_flight[self.random.below(in_flight.len() as u64) as usize];
        let roll = self.random.below(10);
        let outcome_index = self.random.below(5) as usize;
        let observed = self.requests.get_mut(&id).expect("listed above");
        let (server, started_at) = observed.in_flight.expect("filtered above");
        let attempt = observed.attempts - 1;
        if observed.is_established || roll < 8 {
            if observed.is_established {
                observed.in_flight = None;
                self.requests.remove(&id);
                let outcome = [
                    Outcome::Reset,
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Cancelled,
                    Outcome::Success,
                ][outcome_index];
                let ended = AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome,
                    is_final: true,
                };
                return self.handle(Event::AttemptEnded(ended));
            }
            observed.is_established = true;
            return self.handle(Event::Established { id, server });
        }
        let outcomes = [
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Timeout,
            Outcome::Reset,
            Outcome::Error,
        ];
        let outcome = outcomes[outcome_index];
        observed.in_flight = None;
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed)
            && observed.may_have_executed.is_none()
        {
            observed.may_have_executed = Some((started_at, server));
        }
        let ended = AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            is_final: false,
        };
        self.handle(Event::AttemptEnded(ended));
        // A late duplicate: the balancer must ignore it. Not sent if the new attempt is at the same server.
        if self.requests[&id]
            .in_flight
            .is_none_or(|(target, _)| target != server)
        {
            self.handle(Event::AttemptEnded(ended));
        }
    }

    /// Advances the time, fires due timers and adds one random event.
    fn step(&mut self) {
        self.now += self.random.below(40) as f64 / 1000.0;
        let now = self.now;
        let due: Vec<(Time, u64)> = self.timers.iter().filter(|t| t.0 <= now).copied().collect();
        self.timers.retain(|t| t.0 > now);
        due.into_iter()
            .for_each(|(_, token)| self.handle(Event::Timer(token)));
        // At the deadline an attempt in flight times out. Then the request must have its final answer.
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.request.deadline <= now && !r.is_established)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let observed = self.requests.get_mut(&id).expect("listed above");
            if let Some((server, started_at)) = observed.in_flight.take() {
                observed
                    .may_have_executed
                    .get_or_insert((started_at, server));
                let attempt = observed.attempts - 1;
                self.now = observed.request.deadline;
                self.handle(Event::AttemptEnded(AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome: Outcome::Timeout,
                    is_final: false,
                }));
                self.now = now;
            }
            assert!(
                self.requests[&id].answered,
                "request {id:?} was never answered"
            );
            self.requests.remove(&id);
        }
        match self.random.below(100) {
            0..=21 => self.start_request(),
            22..=74 => self.progress_attempt(),
            75..=79 => self.update_endpoints(UpdateKind::Delta),
            80 => self.update_endpoints(UpdateKind::Full),
            81 => self.handle(Event::DiscoveryFailed),
            82..=84 => {
                let server = endpoint(self.random.below(SERVERS + 2)).id;
                let message_latency = self.random.below(30) as f64 / 1000.0;
                self.handle(Event::LatencyReport {
                    server,
                    message_latency,
                });
            }
            90..=92 => {
                let bytes = (0..self.random.below(12))
                    .map(|_| self.random.below(3) as u8)
                    .collect();
                self.handle(Event::PeerMessage(bytes));
            }
            93 => self.handle(Event::Timer(self.last_id)),
            94 if self.random.below(20) == 0 => {
                // The balancer is killed and restarts with a cached list.
                let (last_id, attempt_count, answer_count) =
                    (self.last_id, self.attempt_count, self.answer_count);
                let endpoints = std::mem::take(&mut self.endpoints);
                let cold_attempts = std::mem::take(&mut self.cold_attempts);
                let restarted = Simulation::new(self.random.below(1 << 30));
                *self = Simulation {
                    now,
                    last_id,
                    attempt_count,
                    answer_count,
                    cold_attempts,
                    ..restarted
                };
                self.endpoints = endpoints;
                let entries: Vec<Endpoint> = self.endpoints.values().copied().collect();
                self.balancer = TestBalancer::with_seed(balancer_config(), last_id);
                self.handle(Event::EndpointsUpdated {
                    kind: UpdateKind::Cached,
                    endpoints: entries.into(),
                });
            }
            _ => {
                let id = RequestId(self.random.below(self.last_id + 5));
                if self.requests.remove(&id).is_some() {
                    self.handle(Event::ClientDisconnected(id));
                }
            }
        }
    }
}

fn balancer_config() -> BalancerConfig {
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
fn attempts_answers_and_slow_start_keep_their_limits_under_random_events() {
    let (mut attempt_count, mut answer_count) = (0, 0);
    for seed in 1..=24 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..6000 {
            simulation.step();
        }
        attempt_count += simulation.attempt_count;
        answer_count += simulation.answer_count;
    }
    assert!(
        attempt_count > 10_000 && answer_count > 2_000,
        "{attempt_count} attempts, {answer_count} answers: too few for a meaningful test"
    );
}
