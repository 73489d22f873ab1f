//! The median set-up time of a connection. A set-up time far above the median shows that a server is busy,
//! even if no message latency is reported.

use super::api::Time;
use serde::{Deserialize, Serialize};

/// Factor by which each set-up moves the estimated median up or down.
const MEDIAN_STEP_FACTOR: f64 = 1.05;
/// Number of set-ups before the median is used.
const MIN_SAMPLES: u32 = 8;

/// A running estimate of the median. Part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct MedianSetupTime {
    /// In seconds; 0 before the first set-up.
    median_setup_time: Time,
    samples: u32,
}

impl MedianSetupTime {
    /// Records a set-up time and returns its excess over the previous median in seconds. Returns `None` while
    /// there are too few samples.
    pub(super) fn record(&mut self, setup_time: Time) -> Option<Time> {
        let previous_median = self.median_setup_time;
        let direction = if setup_time > previous_median { 1 } else { -1 };
        self.median_setup_time = if previous_median <= 0.0 {
            setup_time
        } else {
            previous_median * MEDIAN_STEP_FACTOR.powi(direction)
        };
        self.samples = self.samples.saturating_add(1);
        (self.samples > MIN_SAMPLES).then_some(setup_time - previous_median)
    }
}
