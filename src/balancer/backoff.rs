//! Backoff of a whole balancer: while servers fail, it leaves a gap between attempts. The gap doubles with
//! each failure, and its exponent halves with each established connection. Immediate retries would keep an
//! overloaded fleet down.

use super::api::Time;
use serde::{Deserialize, Serialize};

/// Maximum exponent: the gap is at most 2^7 units.
const MAX_EXPONENT: u32 = 7;
/// The unit of the gap, in mean interarrival times of requests of new clients: in a gap of a fixed length,
/// more requests would arrive at a busy balancer.
const GAP_UNIT_INTERARRIVAL_TIMES: f64 = 1.0 / 12.0;

/// The state of the backoff. Part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct Backoff {
    /// The gap is `2^backoff_exponent` units; at 0 there is no gap.
    backoff_exponent: u32,
    /// No attempt starts before this time.
    next_attempt_at: Time,
}

impl Backoff {
    pub(super) fn allows_attempt(&self, now: Time) -> bool {
        now >= self.next_attempt_at
    }

    /// Records a failure of a server.
    pub(super) fn increase(&mut self) {
        self.backoff_exponent = (self.backoff_exponent + 1).min(MAX_EXPONENT);
    }

    /// Records an established connection.
    pub(super) fn decrease(&mut self) {
        self.backoff_exponent /= 2;
    }

    pub(super) fn is_active(&self) -> bool {
        self.backoff_exponent > 0
    }

    /// The gap in seconds, before jitter. `max_unit`, in seconds, limits the unit where requests are rare.
    /// `new_client_rate` is in requests per second.
    pub(super) fn gap(&self, max_unit: Time, new_client_rate: f64) -> Time {
        let unit = max_unit.min(GAP_UNIT_INTERARRIVAL_TIMES / new_client_rate);
        unit * f64::from(1 << self.backoff_exponent)
    }

    pub(super) fn block_until(&mut self, next_attempt_at: Time) {
        self.next_attempt_at = next_attempt_at;
    }
}
