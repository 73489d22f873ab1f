//! Deterministic random numbers: SplitMix64.

use serde::{Deserialize, Serialize};

/// The increment of SplitMix64's state.
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A stream of random numbers that is determined by its seed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct RandomSource {
    state: u64,
}

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number, inside (0, 1).
    pub(super) fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(SPLITMIX64_INCREMENT);
        unit_fraction(mix64(self.state))
    }

    /// The next factor of jitter, inside (0.5, 1.5).
    pub(super) fn next_jitter(&mut self) -> f64 {
        0.5 + self.next_fraction()
    }
}

/// Spreads all bits of `x` over the result (the finalizer of SplitMix64).
pub(super) fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a fraction strictly inside (0, 1), where the logarithm is finite and below 0.
pub(super) fn unit_fraction(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
