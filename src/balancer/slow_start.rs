//! Slow start: a server that has just started (warms up) or was overloaded or failed (recovers) gets
//! attempts from a token bucket, whose refill rate follows what the server can take by then.

use super::Balancer;
use super::api::{ServerId, Time};
use super::load_estimate::CAPACITY_PER_WEIGHT;
use super::servers::Server;
use serde::{Deserialize, Serialize};

/// Share of what a server that warms up withstands that is used; the rest is for errors of other balancers.
const WARM_UP_BUDGET_SHARE: f64 = 0.85;
/// Refill rate at the start of a recovery, in the server's share of first attempts.
const RECOVERY_INITIAL_RATE: f64 = 2.0;
/// How often the refill rate doubles over a slow-start window of recovery.
const RECOVERY_DOUBLINGS: f64 = 2.0;
/// A fleet whose load is below this share of its capacity, as estimated from this balancer's part, has
/// spare capacity.
const SPARE_CAPACITY_LOAD_SHARE: f64 = 0.5;

/// Attempts that may be started now. A part of the snapshot: the order and the types of the fields are
/// fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct TokenBucket {
    /// Attempts.
    tokens: f64,
    /// When `tokens` was counted.
    updated_at: Time,
}

impl TokenBucket {
    pub(super) fn new(now: Time, tokens: f64) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// The tokens at a time, without a limit; `refill_rate` in attempts a second.
    fn accrued(&self, now: Time, refill_rate: f64) -> f64 {
        self.tokens + refill_rate * (now - self.updated_at)
    }
}

impl Balancer {
    /// The share of its full capacity, 0 to 1, that a server has by now: it grows linearly while it warms
    /// up.
    pub(super) fn capacity_share(&self, now: Time, server: &Server) -> f64 {
        let started_at = server.endpoint.started_at;
        let age = (now - started_at) / self.config.slow_start_window;
        if started_at <= 0.0 || age.is_nan() || age >= 1.0 {
            return 1.0;
        }
        let cold_share = self.config.cold_capacity_share;
        cold_share + (1.0 - cold_share) * age.max(0.0)
    }

    /// Whether this balancer may start an attempt at a server. Always, if it neither warms up nor recovers.
    pub(super) fn has_slow_start_budget(
        &self,
        now: Time,
        server: &Server,
        capacity_share: f64,
    ) -> bool {
        let recovers = now < server.unhealthy_since + self.config.slow_start_window;
        let is_limited = capacity_share < 1.0 || recovers;
        !(is_limited && self.available_tokens(now, server, capacity_share) < 1.0)
    }

    /// Takes an attempt out of a server's budget.
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
        // Whole tokens expire if unused: saved up at all balancers, they would come in one burst.
        if warms_up && tokens >= 1.0 && tokens.fract() > burst {
            return tokens.fract();
        }
        tokens.min(burst.max(1.0))
    }

    /// In attempts a second: this balancer's part of what the server withstands, at its mean capacity
    /// since the last attempt.
    fn warm_up_refill_rate(&self, server: &Server, capacity_share: f64) -> f64 {
        let share_before = self.capacity_share(server.slow_start_tokens.updated_at, server);
        let mean_share = (capacity_share + share_before) / 2.0;
        WARM_UP_BUDGET_SHARE
            * self.config.overload_multiple
            * mean_share
            * self.full_capacity_rate(server)
    }

    /// In attempts a second: a multiple of the server's share of first attempts, which grows exponentially.
    fn recovery_refill_rate(&self, now: Time, server: &Server) -> f64 {
        let recovered = (now - server.unhealthy_since) / self.config.slow_start_window;
        let growth = libm::exp2(RECOVERY_DOUBLINGS * recovered);
        let rate = RECOVERY_INITIAL_RATE * (self.arrival_rate.first_attempts * growth);
        let least = if self.recovers_with_spare_capacity(server) {
            self.full_capacity_rate(server)
        } else {
            0.0
        };
        (rate / self.servers.len() as f64).max(least)
    }

    /// Whether the server is reported as not busy any more, and the fleet has spare capacity.
    fn recovers_with_spare_capacity(&self, server: &Server) -> bool {
        let fleet_load = f64::from(self.established) * self.mean_load() * self.balancer_count();
        server.latency_ratio > 0.0
            && server.latency_ratio < 1.0
            && fleet_load < SPARE_CAPACITY_LOAD_SHARE * CAPACITY_PER_WEIGHT * self.total_weight
    }

    /// In attempts a second: this balancer's part of the rate that fills the server within a slow-start
    /// window.
    fn full_capacity_rate(&self, server: &Server) -> f64 {
        CAPACITY_PER_WEIGHT * server.endpoint.weight
            / self.mean_load()
            / self.config.slow_start_window
            / self.balancer_count()
    }
}
