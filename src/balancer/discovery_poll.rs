//! Polling of discovery: once at the start and after each configuration change, then with backoff after each
//! failure.

use super::Balancer;
use super::api::{Action, DiscoveryMode, Time};
use serde::{Deserialize, Serialize};

/// Token of the timer that polls discovery again.
pub(super) const DISCOVERY_POLL_TIMER: u64 = 1;
/// Backoff after the first failure, as a fraction of `discovery_backoff_base`.
const INITIAL_BACKOFF_SHARE: f64 = 1.0 / 32.0;
/// Maximum number of times the backoff is doubled: it is at most half of `discovery_backoff_base`.
const MAX_BACKOFF_DOUBLINGS: i32 = 4;
/// Maximum backoff before jitter, in seconds.
const MAX_BACKOFF: Time = 2.0;

/// State of the polling. Part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct DiscoveryPoll {
    consecutive_failures: i32,
    /// Whether the first poll since the start or the last configuration change was requested.
    is_first_poll_requested: bool,
}

impl DiscoveryPoll {
    /// Forgets all failures and has the first poll requested again: the discovery service may have been
    /// replaced along with the configuration.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and returns the seconds until the next poll, before jitter.
    fn record_failure(&mut self, discovery_backoff_base: Time) -> Time {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let share = INITIAL_BACKOFF_SHARE * f64::from(1 << doublings);
        self.consecutive_failures += 1;
        (discovery_backoff_base * share).min(MAX_BACKOFF)
    }
}

impl Balancer {
    /// Requests the first poll after the start and after each configuration change.
    pub(super) fn request_first_poll(&mut self, actions: &mut Vec<Action>) {
        let was_requested =
            std::mem::replace(&mut self.discovery_poll.is_first_poll_requested, true);
        if !was_requested && self.config.discovery_mode == DiscoveryMode::Polled {
            actions.push(Action::PollDiscovery);
        }
    }

    /// Schedules the next poll after a backoff. Jitter spreads out balancers whose polls failed at the same
    /// time.
    pub(super) fn schedule_discovery_poll(&mut self, actions: &mut Vec<Action>) {
        let backoff = self
            .discovery_poll
            .record_failure(self.config.discovery_backoff_base);
        let after = backoff * self.random.next_jitter();
        actions.push(Action::SetTimer {
            after,
            token: DISCOVERY_POLL_TIMER,
        });
    }
}
