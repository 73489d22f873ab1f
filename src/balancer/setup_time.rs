//! The median set-up time of a connection: a set-up far above it shows a busy server where no latency is
//! reported.

use super::api::Time;
use serde::{Deserialize, Serialize};

/// Each set-up moves the estimated median up or down by this factor.
const MEDIAN_STEP_FACTOR: f64 = 1.05;
/// The median is not used before this many set-ups.
const MIN_SAMPLES: u32 = 8;

/// A running estimate of the median. A part of the snapshot: the order and the types of the fields are
/// fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct MedianSetupTime {
    /// Seconds; 0 before the first set-up.
    median_setup_time: Time,
    samples: u32,
}

impl MedianSetupTime {
    /// Takes a set-up time into the median, and returns by how much it lay above the median before, if
    /// that is known.
    pub(super) fn record(&mut self, setup_time: Time) -> Option<Time> {
        let median_before = self.median_setup_time;
        let direction = if setup_time > median_before { 1 } else { -1 };
        self.median_setup_time = if median_before <= 0.0 {
            setup_time
        } else {
            median_before * MEDIAN_STEP_FACTOR.powi(direction)
        };
        self.samples = self.samples.saturating_add(1);
        (self.samples > MIN_SAMPLES).then_some(setup_time - median_before)
    }
}
