//! What a source spends on pieces: a rate with a burst, and beyond it places in one queue, first come, first served.
//!
//! It is the generic cell rate algorithm (ITU-T I.371): one time, up to which the rate is spoken for. A piece that is
//! not free now gets the next place in that schedule, so what is asked for waits in the order of the asks, whatever
//! else comes, and no queue is kept: a place is a time, and each follower holds one at most.

use crate::Millis;

/// A place is kept so long, and honoured so much before: a few round trips' jitter.
pub const SLOT_KEPT: Millis = 200;

/// The schedule of a source's pieces. In any span of T milliseconds it lets through no more than
/// `rate * (T + 2 * SLOT_KEPT) / 1000 + burst` pieces, and those of one place: what is spoken for, with what places may
/// come early or late, and all pieces of a place may go at its beginning.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Nanoseconds between two pieces.
    every: u64,
    /// Nanoseconds that may be saved up.
    burst: u64,
    /// The rate is spoken for up to here, in nanoseconds that count from a burst before time 0.
    until: u64,
}

const NANOS: u64 = 1_000_000;

impl Pace {
    /// So many pieces a second, and so many at once after a pause.
    pub fn new(now: Millis, per_second: u32, burst: u32) -> Self {
        let every = 1_000_000_000 / u64::from(per_second.max(1));
        let burst = every * u64::from(burst.max(1));
        Self {
            every,
            burst,
            until: now * NANOS,
        }
    }

    /// How many of so many pieces may go now; they are spoken for.
    pub fn take(&mut self, now: Millis, pieces: u32) -> u32 {
        let clock = self.clock(now);
        self.until = self.until.max(clock - self.burst);
        let free = clock.saturating_sub(self.until) / self.every;
        let granted = free.min(u64::from(pieces));
        self.until += granted * self.every;
        granted as u32
    }

    /// A place for so many pieces: when it comes.
    pub fn reserve(&mut self, now: Millis, pieces: u32) -> Millis {
        self.until = self.until.max(self.clock(now));
        let at = (self.until - self.burst).div_ceil(NANOS);
        self.until += u64::from(pieces) * self.every;
        at
    }

    /// How far ahead the rate is spoken for, in milliseconds.
    pub fn ahead(&self, now: Millis) -> Millis {
        self.until.saturating_sub(self.clock(now)) / NANOS
    }

    fn clock(&self, now: Millis) -> u64 {
        now * NANOS + self.burst
    }
}
