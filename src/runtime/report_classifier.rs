//! Classifies the values that backends report as loads or as message times.
//!
//! A backend may report two kinds of values: a connection's load (microseconds of work per second) and the time of a
//! message at its server (milliseconds). Both arrive as `LOAD X` without an indication of the kind, so the kind is
//! inferred. A message time is repeated once a second while it is long, and is far smaller than any load except that of
//! an idle connection. A value too small for any load is therefore a message time, and so is another small value that
//! follows an earlier one of the same server at that interval.

use super::latency_tracker::shortest_message_objective;
use crate::api::{BalancerConfig, ServerId, Time};
use std::collections::HashMap;

/// A value below this share of the mean load is a message time: the load of an idle connection is at least a hundredth
/// of the mean.
const MIN_LOAD_SHARE: f64 = 0.009;
/// The longest message time, as a multiple of the shortest latency objective. A server that is slower has dropped its
/// connections.
const MAX_OBJECTIVE_MULTIPLE: f64 = 10.0;
/// Number of loads after which the weight of a new load in the running mean no longer decreases.
const MEAN_LOAD_SAMPLES: f64 = 100.0;
/// Interval at which a server reports message times, in seconds.
const REPORT_INTERVAL: Time = 1.0;
/// Maximum number of intervals between two consecutive message times of a server. The load of an idle connection may be
/// as small as a message time, but is not reported at the interval.
const MAX_INTERVALS: f64 = 2.0;
/// Permitted deviation from a whole number of intervals, in seconds.
const INTERVAL_TOLERANCE: Time = 0.05;

/// The classification of a reported value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// The time of a message at the backend, in seconds.
    MessageTime(Time),
    /// The value may be of either kind, and is not used. A later value at the interval shows that the server reports
    /// message times.
    Ambiguous,
}

/// Running mean of the loads, weighted towards the latest; 0 before the first load.
#[derive(Default)]
struct MeanLoad {
    mean: f64,
    samples: f64,
}

impl MeanLoad {
    fn add(&mut self, load: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_LOAD_SAMPLES);
        self.mean += (load - self.mean) / self.samples;
    }
}

/// Classifies the values that backends report on connections.
pub struct ReportClassifier {
    /// The longest message time, in milliseconds; 0 if the configuration has no message time reports or no objective,
    /// so that all positive values are loads.
    max_message_time: f64,
    mean_load: MeanLoad,
    /// When each server last reported a message time. Removed once another one can no longer follow at the interval.
    message_times: HashMap<ServerId, Time>,
    /// When each server last reported an ambiguous value. Removed once a message time can no longer follow at the
    /// interval.
    ambiguous: HashMap<ServerId, Time>,
}

impl ReportClassifier {
    /// Creates a classifier for the reports and objectives of the configuration.
    pub fn new(config: &BalancerConfig) -> Self {
        let objective = shortest_message_objective(config).filter(|_| config.reports_latency);
        let max_message_time =
            objective.map_or(0.0, |seconds| MAX_OBJECTIVE_MULTIPLE * seconds * 1000.0);
        Self {
            max_message_time,
            mean_load: MeanLoad::default(),
            message_times: HashMap::new(),
            ambiguous: HashMap::new(),
        }
    }

    /// Classifies a value reported on a connection. `is_first` tells whether the value is the connection's first, which
    /// is its load unless the value is too small for any load.
    pub fn classify(&mut self, now: Time, server: ServerId, value: f64, is_first: bool) -> Report {
        let min_load = MIN_LOAD_SHARE * self.mean_load.mean;
        if value > self.max_message_time || (is_first && value >= min_load) {
            self.mean_load.add(value);
            return Report::Load(value);
        }
        self.remove_expired(now);
        if value >= min_load && !self.continues_message_times(now, server) {
            let last_ambiguous = self.ambiguous.insert(server, now);
            if !last_ambiguous.is_some_and(|last| keeps_interval(now, last)) {
                return Report::Ambiguous;
            }
        }
        self.message_times.insert(server, now);
        Report::MessageTime(value / 1000.0)
    }

    fn continues_message_times(&self, now: Time, server: ServerId) -> bool {
        let last = self.message_times.get(&server);
        last.is_some_and(|last| keeps_interval(now, *last))
    }

    /// Removes the servers whose next report can no longer keep the interval.
    fn remove_expired(&mut self, now: Time) {
        let max_gap = MAX_INTERVALS * REPORT_INTERVAL + INTERVAL_TOLERANCE;
        let may_follow = |_: &ServerId, last: &mut Time| now - *last <= max_gap;
        self.message_times.retain(may_follow);
        self.ambiguous.retain(may_follow);
    }
}

/// Whether a report at `now` follows one at `last` by a whole number of intervals, at most [`MAX_INTERVALS`].
fn keeps_interval(now: Time, last: Time) -> bool {
    let intervals = ((now - last) / REPORT_INTERVAL).round();
    let deviation = (now - last - intervals * REPORT_INTERVAL).abs();
    (1.0..=MAX_INTERVALS).contains(&intervals) && deviation <= INTERVAL_TOLERANCE
}
