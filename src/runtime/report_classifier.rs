//! Tells apart the two kinds of figures that backends report.
//!
//! The settings name two kinds, a connection's load (microseconds of work a second) and the time of a message at its
//! server (milliseconds). On the socket both come as `LOAD X`, with nothing to mark the kind, so it is told by the
//! figure: a message time comes once a second while it is long, is far smaller than any load but an idle connection's,
//! and follows the last one in time.

use super::latency_tracker::shortest_message_objective;
use crate::api::{BalancerConfig, ServerId, Time};
use std::collections::HashMap;

/// A figure under this share of the mean load is a message time: the load of an idle connection is a hundredth of the
/// mean and more.
const LEAST_LOAD_SHARE: f64 = 0.009;
/// The longest message time, in shortest objectives: a server that is slower has dropped its connections.
const LONGEST_MESSAGE_OBJECTIVES: f64 = 10.0;
/// The number of loads in the running mean.
const MEAN_LOAD_SAMPLES: f64 = 100.0;
/// Message times of a server come at this interval, in seconds.
const REPORT_INTERVAL: Time = 1.0;
/// A message time follows another within this many intervals. The load of an idle connection is as small, but does not
/// keep the interval.
const MAX_INTERVALS: f64 = 2.0;
/// Tolerance of the interval, in seconds.
const INTERVAL_TOLERANCE: Time = 0.05;

/// What a reported figure is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// The time of a message at the backend, in seconds.
    MessageTime(Time),
    /// Either of them: the next figure will tell.
    Ambiguous,
}

/// Mean of the loads, weighted towards the latest; 0 before the first.
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

/// Classifies the figures that backends report on connections.
pub struct ReportClassifier {
    /// The longest message time, in milliseconds; 0 where the settings name no such reports, or no objective.
    longest_message_time: f64,
    mean_load: MeanLoad,
    /// When each server last reported a message time, while another may follow.
    message_times: HashMap<ServerId, Time>,
    /// When each server last reported an ambiguous figure, while a message time may follow.
    ambiguous: HashMap<ServerId, Time>,
}

impl ReportClassifier {
    /// A classifier for the reports and objectives that the settings name.
    pub fn new(config: &BalancerConfig) -> Self {
        let objective = shortest_message_objective(config).filter(|_| config.reports_latency);
        let longest_message_time =
            objective.map_or(0.0, |seconds| LONGEST_MESSAGE_OBJECTIVES * seconds * 1000.0);
        Self {
            longest_message_time,
            mean_load: MeanLoad::default(),
            message_times: HashMap::new(),
            ambiguous: HashMap::new(),
        }
    }

    /// Classifies a figure of a connection; `first` if it is the connection's first, which is its load.
    pub fn classify(&mut self, now: Time, server: ServerId, figure: f64, first: bool) -> Report {
        let least_load = LEAST_LOAD_SHARE * self.mean_load.mean;
        if figure > self.longest_message_time || (first && figure >= least_load) {
            self.mean_load.add(figure);
            return Report::Load(figure);
        }
        self.forget_expired(now);
        if figure >= least_load && !self.continues_message_times(now, server) {
            let last_ambiguous = self.ambiguous.insert(server, now);
            if !last_ambiguous.is_some_and(|last| keeps_interval(now, last)) {
                return Report::Ambiguous;
            }
        }
        self.message_times.insert(server, now);
        Report::MessageTime(figure / 1000.0)
    }

    fn continues_message_times(&self, now: Time, server: ServerId) -> bool {
        let last = self.message_times.get(&server);
        last.is_some_and(|last| keeps_interval(now, *last))
    }

    /// Drops servers whose next report can no longer keep the interval.
    fn forget_expired(&mut self, now: Time) {
        let longest_gap = MAX_INTERVALS * REPORT_INTERVAL + INTERVAL_TOLERANCE;
        let may_follow = |_: &ServerId, last: &mut Time| now - *last <= longest_gap;
        self.message_times.retain(may_follow);
        self.ambiguous.retain(may_follow);
    }
}

/// Whether a report now follows one at `last` by a whole number of intervals.
fn keeps_interval(now: Time, last: Time) -> bool {
    let intervals = ((now - last) / REPORT_INTERVAL).round();
    let deviation = (now - last - intervals * REPORT_INTERVAL).abs();
    (1.0..=MAX_INTERVALS).contains(&intervals) && deviation <= INTERVAL_TOLERANCE
}
