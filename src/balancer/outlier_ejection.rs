//! Outlier ejection: a server that fails gets no attempts for a while. The ejection time doubles with each
//! consecutive failure.

use super::Balancer;
use super::api::{Outcome, ServerId, Time};
use super::servers::Server;

/// Ejection time after the first failure, in connect timeouts.
const BASE_EJECTION_CONNECT_TIMEOUTS: f64 = 2.0;
/// Maximum number of times the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Error rate at or above which errors and resets count as failures of the server: a single one may be the
/// fault of the request or the network.
const FAILING_ERROR_RATE: f64 = 0.4;
/// Weight of one answer in the moving average of the error rate.
const ERROR_RATE_SMOOTHING: f64 = 0.25;

impl Server {
    fn record_error(&mut self) {
        self.error_rate += (1.0 - self.error_rate) * ERROR_RATE_SMOOTHING;
    }

    /// Whether an outcome is a failure of the server.
    fn is_failure(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Timeout => true,
            Outcome::Error | Outcome::Reset => self.error_rate >= FAILING_ERROR_RATE,
            Outcome::Success | Outcome::Cancelled | Outcome::NotSent => false,
        }
    }

    fn eject(&mut self, now: Time, base_ejection: Time) {
        let doublings = self.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        let ejection = base_ejection * f64::from(1 << doublings);
        self.avoided_until = self.avoided_until.max(now + ejection);
        self.consecutive_failures += 1;
        self.last_unhealthy_at = now;
    }

    /// Records that an attempt became an established connection.
    pub(super) fn record_established(&mut self) {
        self.error_rate -= self.error_rate * ERROR_RATE_SMOOTHING;
        if self.error_rate < FAILING_ERROR_RATE {
            self.consecutive_failures = 0;
        }
    }
}

impl Balancer {
    /// Records the outcome of an attempt or a connection, and ejects the server if the outcome is a
    /// failure of the server.
    pub(super) fn record_outcome(&mut self, now: Time, server: ServerId, outcome: Outcome) {
        let base_ejection = BASE_EJECTION_CONNECT_TIMEOUTS * self.config.connect_timeout;
        let Some(server) = self.server_mut(server) else {
            return;
        };
        if matches!(outcome, Outcome::Error | Outcome::Reset) {
            server.record_error();
        }
        if !server.is_failure(outcome) {
            return;
        }
        // An attempt or connection that ends during an ejection began before it: many connections that break
        // at once count as one failure.
        if server.consecutive_failures == 0 || now >= server.avoided_until {
            server.eject(now, base_ejection);
            // A server that cannot be reached is not overloaded by attempts, so no backoff is needed.
            if outcome != Outcome::ConnectFailed {
                self.backoff.increase();
            }
        }
    }

    /// Records a health check: the server responded (`None`), or stays ejected until the given time.
    pub(super) fn record_health_check(
        &mut self,
        now: Time,
        server: ServerId,
        ejected_until: Option<Time>,
    ) {
        let Some(server) = self.server_mut(server) else {
            return;
        };
        if let Some(ejected_until) = ejected_until {
            server.avoided_until = server.avoided_until.max(ejected_until);
            server.consecutive_failures = server.consecutive_failures.max(1);
            server.last_unhealthy_at = now;
        } else if server.consecutive_failures > 0 {
            server.consecutive_failures = 0;
            server.avoided_until = now;
        }
    }
}
