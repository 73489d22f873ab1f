//! Slow start: a token bucket limits the attempts at a server that has just started (warms up), or that was
//! overloaded or failed (recovers). Its refill rate follows the server's current capacity.

use super::Balancer;
use super::api::{ServerId, Time};
use super::load_estimate::CAPACITY_PER_WEIGHT;
use super::servers::Server;
use serde::{Deserialize, Serialize};

/// Share of what a server that warms up withstands that all balancers together may use. The rest is a margin
/// for errors of other balancers.
const WARM_UP_BUDGET_SHARE: f64 = 0.85;
/// Refill rate at the start of a recovery, as a multiple of the server's share of the requests of new
/// clients.
const RECOVERY_INITIAL_MULTIPLE: f64 = 2.0;
/// Number of times the refill rate doubles during a recovery, which takes a slow-start window.
const RECOVERY_DOUBLINGS: f64 = 2.0;
/// A fleet has spare capacity if its load, as estimated from this balancer's connections, is below this share
/// of its capacity.
const SPARE_CAPACITY_LOAD_SHARE: f64 = 0.5;

/// A token bucket; an attempt takes one token. Part of the snapshot: the order and the types of the fields
/// are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct TokenBucket {
    /// Tokens at `updated_at`.
    tokens: f64,
    /// When `tokens` was last updated.
    updated_at: Time,
}

impl TokenBucket {
    pub(super) fn new(now: Time, tokens: f64) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// The tokens at a time, without an upper limit. `refill_rate` is in tokens per second.
    fn accrued(&self, now: Time, refill_rate: f64) -> f64 {
        self.tokens + refill_rate * (now - self.updated_at)
    }
}

impl Balancer {
    /// The current capacity of a server as a share of its full capacity (0 to 1). The share grows linearly
    /// while the server warms up.
    pub(super) fn capacity_share(&self, now: Time, server: &Server) -> f64 {
        let started_at = server.endpoint.started_at;
        let progress = (now - started_at) / self.config.slow_start_window;
        if started_at <= 0.0 || progress.is_nan() || progress >= 1.0 {
            return 1.0;
        }
        let cold_share = self.config.cold_capacity_share;
        cold_share + (1.0 - cold_share) * progress.max(0.0)
    }

    /// Whether this balancer may start an attempt at a server. Always true for a server that neither warms up
    /// nor recovers.
    pub(super) fn has_slow_start_budget(
        &self,
        now: Time,
        server: &Server,
        capacity_share: f64,
    ) -> bool {
        let recovers = now < server.last_unhealthy_at + self.config.slow_start_window;
        let is_limited = capacity_share < 1.0 || recovers;
        !(is_limited && self.available_tokens(now, server, capacity_share) < 1.0)
    }

    /// Takes a token from a server's budget.
    pub(super) fn spend_token(&mut self, now: Time, server: ServerId) {
        let Some(index) = self.server_index(server) else {
            return;
        };
        let capacity_share = self.capacity_share(now, &self.servers[index]);
        let tokens = self.available_tokens(now, &self.servers[index], capacity_share) - 1.0;
        self.servers[index].slow_start_tokens = TokenBucket::new(now, tokens.max(0.0));
    }

    /// Attempts that this balancer may start at a server that warms up or recovers.
    fn available_tokens(&self, now: Time, server: &Server, capacity_share: f64) -> f64 {
        let warms_up = capacity_share < 1.0;
        let refill_rate = if warms_up {
            self.warm_up_refill_rate(server, capacity_share)
        } else {
            self.recovery_refill_rate(now, server)
        };
        let tokens = server.slow_start_tokens.accrued(now, refill_rate);
        let burst = refill_rate * self.config.overload_window;
        // A whole token expires if it is not used within an overload window: saved up on all balancers, such
        // tokens could be spent in one burst.
        if warms_up && tokens >= 1.0 && tokens.fract() > burst {
            return tokens.fract();
        }
        tokens.min(burst.max(1.0))
    }

    /// This balancer's share of the attempts per second that the server withstands, at the server's mean
    /// capacity since the last attempt.
    fn warm_up_refill_rate(&self, server: &Server, capacity_share: f64) -> f64 {
        let previous_share = self.capacity_share(server.slow_start_tokens.updated_at, server);
        let mean_share = (capacity_share + previous_share) / 2.0;
        WARM_UP_BUDGET_SHARE
            * self.config.overload_multiple
            * mean_share
            * self.full_capacity_rate(server)
    }

    /// A multiple of the server's share of the requests of new clients, in attempts per second. The multiple
    /// grows exponentially during the recovery.
    fn recovery_refill_rate(&self, now: Time, server: &Server) -> f64 {
        let progress = (now - server.last_unhealthy_at) / self.config.slow_start_window;
        let growth = libm::exp2(RECOVERY_DOUBLINGS * progress);
        let rate = RECOVERY_INITIAL_MULTIPLE * (self.arrival_rate.new_clients * growth);
        let min_rate = if self.recovers_with_spare_capacity(server) {
            self.full_capacity_rate(server)
        } else {
            0.0
        };
        (rate / self.servers.len() as f64).max(min_rate)
    }

    /// Whether the server is reported to be no longer busy and the fleet has spare capacity.
    fn recovers_with_spare_capacity(&self, server: &Server) -> bool {
        let fleet_load =
            f64::from(self.established_count) * self.mean_load() * self.balancer_count();
        server.latency_ratio > 0.0
            && server.latency_ratio < 1.0
            && fleet_load < SPARE_CAPACITY_LOAD_SHARE * CAPACITY_PER_WEIGHT * self.total_weight
    }

    /// This balancer's share of the rate that fills the server within a slow-start window, in attempts per
    /// second.
    fn full_capacity_rate(&self, server: &Server) -> f64 {
        CAPACITY_PER_WEIGHT * server.endpoint.weight
            / self.mean_load()
            / self.config.slow_start_window
            / self.balancer_count()
    }
}
