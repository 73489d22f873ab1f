//! Per-server state, and updates of the endpoint list.

use super::Balancer;
use super::api::{Endpoint, EndpointState, RequestId, Time, UpdateKind};
use super::random::{mix64, unit_fraction};
use super::slow_start::TokenBucket;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The conjugate of the golden ratio: its multiples modulo 1 are evenly distributed.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;

/// This balancer's state of a server. Part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// Requests of this balancer at the server: attempts in flight and established connections.
    #[serde(skip)]
    pub(super) attached_requests: BTreeSet<RequestId>,
    /// Message latency divided by the busy threshold: the server is busy at 1 or more.
    pub(super) latency_ratio: f64,
    /// Until when the server is ejected, or busy if `consecutive_failures` is 0.
    pub(super) avoided_until: Time,
    /// Consecutive ejections for failures.
    pub(super) consecutive_failures: u32,
    /// Moving average of the share of errors and resets among errors, resets and established connections.
    pub(super) error_rate: f64,
    /// Load of the requests in `attached_requests`, in microseconds of work per second.
    #[serde(skip)]
    pub(super) load: f64,
    /// When the server was last overloaded or ejected for a failure. Its recovery takes a slow-start window
    /// from then on.
    pub(super) last_unhealthy_at: Time,
    /// Attempts that this balancer may start at the server while it warms up or recovers.
    pub(super) slow_start_tokens: TokenBucket,
}

impl Server {
    fn new(now: Time, endpoint: Endpoint, balancer_index: u32) -> Self {
        Self {
            endpoint,
            last_unhealthy_at: f64::NEG_INFINITY,
            slow_start_tokens: TokenBucket::new(now, initial_tokens(&endpoint, balancer_index)),
            ..Self::default()
        }
    }

    /// Whether the server is ejected because of failures, and so gets no attempts.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.avoided_until > now && self.consecutive_failures > 0
    }

    /// Whether the server is reported busy, and so gets attempts only if no other server is less busy.
    pub(super) fn is_busy(&self, now: Time) -> bool {
        self.avoided_until > now && self.consecutive_failures == 0
    }
}

/// The fraction of a token with which a balancer's budget for a new server starts. It is evenly distributed
/// over the balancers, so that many small budgets reach a whole token at different times.
fn initial_tokens(endpoint: &Endpoint, balancer_index: u32) -> f64 {
    let phase =
        f64::from(balancer_index) * GOLDEN_RATIO_CONJUGATE + unit_fraction(mix64(endpoint.id.0));
    phase.fract()
}

/// The entry with a start time that is not in the future and a usable weight.
fn sanitized(now: Time, entry: &Endpoint) -> Endpoint {
    let has_usable_weight = entry.weight.is_finite() && entry.weight > 0.0;
    Endpoint {
        started_at: entry.started_at.min(now),
        weight: if has_usable_weight { entry.weight } else { 1.0 },
        ..*entry
    }
}

impl Balancer {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, now: Time, kind: UpdateKind, entries: &[Endpoint]) {
        self.discovery_poll.record_success();
        if kind != UpdateKind::Delta {
            for server in &mut self.servers {
                server.endpoint.state = EndpointState::Removed;
            }
        }
        for entry in entries {
            self.upsert_server(now, sanitized(now, entry));
        }
        self.total_weight = self.ready_weight();
        self.forget_removed_servers(now);
    }

    fn upsert_server(&mut self, now: Time, endpoint: Endpoint) {
        let new = Server::new(now, endpoint, self.config.balancer_index);
        let found = self
            .servers
            .binary_search_by_key(&endpoint.id, |server| server.endpoint.id);
        match found {
            Err(index) => self.servers.insert(index, new),
            Ok(index) => {
                let known = &mut self.servers[index];
                if known.endpoint.started_at == endpoint.started_at {
                    known.endpoint = endpoint;
                } else {
                    // A restart: failures and latency of the old process do not apply to the new one.
                    let old = std::mem::replace(known, new);
                    known.attached_requests = old.attached_requests;
                    known.load = old.load;
                }
            }
        }
    }

    fn ready_weight(&self) -> f64 {
        self.servers
            .iter()
            .filter(|server| server.endpoint.state == EndpointState::Ready)
            .map(|server| server.endpoint.weight)
            .sum()
    }

    /// Forgets removed servers, except those that have requests or would still be warming up: a server that
    /// is listed again must not get a new slow-start budget.
    fn forget_removed_servers(&mut self, now: Time) {
        let earliest_warm_up_start = now - self.config.slow_start_window;
        self.servers.retain(|server| {
            server.endpoint.state != EndpointState::Removed
                || !server.attached_requests.is_empty()
                || server.endpoint.started_at > earliest_warm_up_start
        });
    }
}
