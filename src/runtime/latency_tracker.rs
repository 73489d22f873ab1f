//! Tracks which backends are slow to answer messages.

use crate::api::{BalancerConfig, Event, ServerId, Time};
use std::collections::HashMap;

/// A message is slow if it takes longer than the shortest message latency objective divided by this number.
const SLOW_DIVISOR: f64 = 3.0;
/// Interval between reports to the balancer while messages at a backend stay slow, in seconds.
const REPEAT_INTERVAL: Time = 1.0;
/// Seconds after which a backend that has sent no message is forgotten. Longer than the balancer counts it as busy after a
/// report.
const FORGET_AFTER: Time = 10.0;

/// Returns the shortest message latency objective of all classes, in seconds, or `None` if no class has one.
pub(super) fn shortest_message_objective(config: &BalancerConfig) -> Option<Time> {
    let objectives = config
        .classes
        .iter()
        .filter_map(|class| class.message_latency_objective);
    objectives.reduce(f64::min)
}

/// Tracks the backends whose messages are slow.
pub struct LatencyTracker {
    /// Messages that take longer than this, in seconds, are slow; infinite if no class has a message latency objective.
    threshold: Time,
    /// When each slow backend was last reported to the balancer.
    last_reports: HashMap<ServerId, Time>,
}

impl LatencyTracker {
    /// Creates a tracker with the threshold that results from the configuration.
    pub fn new(config: &BalancerConfig) -> Self {
        let objective = shortest_message_objective(config);
        Self {
            threshold: objective.unwrap_or(f64::INFINITY) / SLOW_DIVISOR,
            last_reports: HashMap::new(),
        }
    }

    /// The number of backends that are slow.
    pub fn slow_backends(&self) -> usize {
        self.last_reports.len()
    }

    /// Handles the measured time of one message, in seconds. Returns a report for the balancer once per interval while
    /// the backend is slow, and once when it is no longer slow.
    pub fn measure(&mut self, now: Time, server: ServerId, seconds: Time) -> Option<Event> {
        if seconds <= self.threshold {
            let was_slow = self.last_reports.remove(&server).is_some();
            return was_slow.then_some(Event::LatencyReport {
                server,
                message_latency: seconds,
            });
        }
        let last = self.last_reports.get(&server);
        if last.is_some_and(|last| now < last + REPEAT_INTERVAL) {
            return None;
        }
        // Servers leave the list for good, and new ones have other ids.
        self.last_reports
            .retain(|_, last| now < *last + FORGET_AFTER);
        self.last_reports.insert(server, now);
        Some(Event::LatencyReport {
            server,
            message_latency: seconds,
        })
    }
}
