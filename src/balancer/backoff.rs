//! Backoff of a whole balancer: while servers fail, it leaves a gap between attempts, which doubles with
//! each failure and halves with each established connection. Immediate retries would keep an overloaded
//! fleet down.

use super::api::Time;
use serde::{Deserialize, Serialize};

/// Highest exponent: the gap is at most 2^7 units.
const MAX_EXPONENT: u32 = 7;
/// The unit of the gap, in mean times between first attempts: busy balancers send more in the same gap.
const GAP_ARRIVAL_SHARE: f64 = 1.0 / 12.0;

/// The present gap. A part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct Backoff {
    /// 0: no gap.
    backoff_exponent: u32,
    /// No attempt starts before this time.
    next_attempt_at: Time,
}

impl Backoff {
    pub(super) fn allows_attempt(&self, now: Time) -> bool {
        now >= self.next_attempt_at
    }

    /// A server failed.
    pub(super) fn increase(&mut self) {
        self.backoff_exponent = (self.backoff_exponent + 1).min(MAX_EXPONENT);
    }

    /// A connection was established.
    pub(super) fn decrease(&mut self) {
        self.backoff_exponent /= 2;
    }

    pub(super) fn is_active(&self) -> bool {
        self.backoff_exponent > 0
    }

    /// The gap in seconds before jitter. `longest_unit` in seconds, `first_attempt_rate` in attempts a
    /// second.
    pub(super) fn gap(&self, longest_unit: Time, first_attempt_rate: f64) -> Time {
        let unit = longest_unit.min(GAP_ARRIVAL_SHARE / first_attempt_rate);
        unit * f64::from(1 << self.backoff_exponent)
    }

    pub(super) fn block_until(&mut self, next_attempt_at: Time) {
        self.next_attempt_at = next_attempt_at;
    }
}
