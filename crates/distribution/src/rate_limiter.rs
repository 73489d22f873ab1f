//! A rate limiter with reservations: the generic cell rate algorithm (ITU-T I.371).
//!
//! The limiter's schedule is a single timestamp, the theoretical arrival time: the rate is allocated up to this time. A
//! request that can't be granted now reserves the next slot after it. The caller stores the slot, at most one for each
//! follower, so requests are served in order of arrival without a queue.

use crate::Millis;

/// How much earlier or later than its time a reservation may be used, in milliseconds. This covers the jitter of a few
/// round trips.
pub const RESERVATION_TOLERANCE: Millis = 200;

const NANOS_PER_MILLI: u64 = 1_000_000;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Limits the datagrams that a source sends. In any span of T milliseconds, the limiter admits at most
/// `rate * (T + 2 * RESERVATION_TOLERANCE) / 1000 + burst` datagrams, plus those of one reservation: reservations may
/// be used early or late, and all datagrams of a reservation may be sent at once.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// The time between two datagrams, in nanoseconds.
    interval: u64,
    /// The unused allowance that may accumulate, in nanoseconds.
    burst: u64,
    /// The theoretical arrival time, up to which the rate is allocated, in nanoseconds. It is counted from one `burst`
    /// before time 0, so that it can't be negative.
    allocated_until: u64,
}

impl RateLimiter {
    /// A limiter of `per_second` datagrams per second, which admits `burst` of them at once at the start and after a
    /// pause. For both, 0 counts as 1.
    pub fn new(now: Millis, per_second: u32, burst: u32) -> Self {
        let interval = NANOS_PER_SECOND / u64::from(per_second.max(1));
        let burst = interval * u64::from(burst.max(1));
        Self {
            interval,
            burst,
            allocated_until: now * NANOS_PER_MILLI,
        }
    }

    /// Acquires as many of `count` datagrams as may be sent now, and returns their number.
    pub fn acquire(&mut self, now: Millis, count: u32) -> u32 {
        let clock = self.clock(now);
        self.allocated_until = self.allocated_until.max(clock - self.burst);
        let available = clock.saturating_sub(self.allocated_until) / self.interval;
        let granted = available.min(u64::from(count));
        self.allocated_until += granted * self.interval;
        granted as u32
    }

    /// Reserves the next slot for `count` datagrams, and returns the time at which they may be sent.
    pub fn reserve(&mut self, now: Millis, count: u32) -> Millis {
        self.allocated_until = self.allocated_until.max(self.clock(now));
        let at = (self.allocated_until - self.burst).div_ceil(NANOS_PER_MILLI);
        self.allocated_until += u64::from(count) * self.interval;
        at
    }

    /// How far ahead the rate is allocated, in milliseconds.
    pub fn backlog(&self, now: Millis) -> Millis {
        self.allocated_until.saturating_sub(self.clock(now)) / NANOS_PER_MILLI
    }

    fn clock(&self, now: Millis) -> u64 {
        now * NANOS_PER_MILLI + self.burst
    }
}
