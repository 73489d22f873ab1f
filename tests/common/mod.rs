//! A test harness: one balancer in virtual time, driven by events.
#![allow(dead_code, reason = "each test file uses its own part")]

use spanspur::Balancer;
use spanspur::api::*;

/// A balancer without I/O: each test passes the time and the events, and checks the actions.
pub struct TestBalancer {
    pub inner: Balancer,
    /// Buffer for the actions of the current event; empty between events.
    pub actions: Vec<Action>,
    last_id: u64,
}

/// A seeded linear congruential generator. The recorded fixtures depend on its sequence.
pub struct Random(pub u64);

impl Random {
    /// A random number from 0 to `end`, exclusive.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// A configuration with one class, four attempts and a slow start.
pub fn config() -> BalancerConfig {
    BalancerConfig {
        classes: vec![RequestClass::default()],
        max_attempts: 4,
        cold_capacity_share: 0.3,
        slow_start_window: 10.0,
        overload_multiple: 2.5,
        overload_window: 2.0,
        ..BalancerConfig::default()
    }
}

/// A ready endpoint of weight 1 that started long ago.
pub fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        id: ServerId::of(&format!("10.0.0.{number}:80")),
        zone: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0.0,
        cell: 0,
    }
}

impl TestBalancer {
    /// A balancer with a fixed seed, the same in all tests.
    pub fn new(config: BalancerConfig) -> Self {
        Self::with_seed(config, 7)
    }

    pub fn with_seed(config: BalancerConfig, seed: u64) -> Self {
        Self {
            inner: Balancer::new(config, seed),
            actions: Vec::new(),
            last_id: 0,
        }
    }

    /// Handles an event and returns the actions.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.inner.handle(now, &event, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    /// Passes an endpoint list or a delta to the balancer, and returns the actions.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        kind: UpdateKind,
        entries: &[Endpoint],
    ) -> Vec<Action> {
        self.handle(
            now,
            Event::EndpointsUpdated {
                kind,
                endpoints: entries.into(),
            },
        )
    }

    /// A request id that has not been used.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Starts a request and returns the server of its attempt, if one started.
    pub fn request(&mut self, now: Time, request: Request) -> Option<ServerId> {
        attempted_server(&self.handle(now, Event::Request(request)))
    }

    /// Starts a request with this key, and returns the server of its attempt, if one started. The client then
    /// disconnects.
    pub fn place(&mut self, now: Time, key: Key) -> Option<ServerId> {
        let id = self.next_id();
        let server = self.request(
            now,
            Request {
                key: Some(key),
                ..Request::new(id, 0, now + 2.0)
            },
        );
        self.handle(now, Event::ClientDisconnected(id));
        server
    }

    /// Ends attempt number `attempt` of a request with an outcome that is not final.
    pub fn end_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(
            now,
            Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                server,
                outcome,
                is_final: false,
            }),
        )
    }
}

/// The server of the attempt that these actions start; at most one may start.
pub fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    let mut servers = actions.iter().filter_map(|a| match a {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    });
    let first = servers.next();
    assert_eq!(servers.next(), None, "two attempts at once");
    first
}
