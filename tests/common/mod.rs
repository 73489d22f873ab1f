//! A test harness: one balancer in virtual time, driven by events.
#![allow(dead_code, reason = "each test file uses its own part")]

use spanspur::Balancer;
use spanspur::api::*;

pub struct TestBalancer {
    pub inner: Balancer,
    pub actions: Vec<Action>,
    ids: u64,
}

/// Random numbers of a seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

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
    pub fn new(config: BalancerConfig) -> Self {
        Self::with_seed(config, 7)
    }

    pub fn with_seed(config: BalancerConfig, seed: u64) -> Self {
        Self {
            inner: Balancer::new(config, seed),
            actions: Vec::new(),
            ids: 0,
        }
    }

    /// Handles an event and returns the actions.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.inner.handle(now, &event, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

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

    pub fn next_id(&mut self) -> RequestId {
        self.ids += 1;
        RequestId(self.ids)
    }

    /// Makes this request and returns the server of its attempt.
    pub fn request(&mut self, now: Time, request: Request) -> Option<ServerId> {
        attempted_server(&self.handle(now, Event::Request(request)))
    }

    /// Makes a request with a key, returns the server of its attempt and disconnects the client.
    pub fn place(&mut self, now: Time, key: Key) -> Option<ServerId> {
        let id = self.next_id();
        let to = self.request(
            now,
            Request {
                key: Some(key),
                ..Request::new(id, 0, now + 2.0)
            },
        );
        self.handle(now, Event::ClientDisconnected(id));
        to
    }

    /// Ends attempt `attempt` of a request, not final.
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

/// The server of the only attempt among these actions.
pub fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    let mut sends = actions.iter().filter_map(|a| match a {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    });
    let first = sends.next();
    assert_eq!(sends.next(), None, "two attempts at once");
    first
}
