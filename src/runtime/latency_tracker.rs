//! Tracks which backends are slow to answer messages.

use crate::api::{BalancerConfig, Event, ServerId, Time};
use std::collections::HashMap;

/// A message that takes longer than the shortest objective divided by this is slow.
const SLOW_DIVISOR: f64 = 3.0;
/// While messages at a backend stay slow, the balancer is told once in this time, in seconds.
const REPEAT_INTERVAL: Time = 1.0;

/// The shortest latency objective for a message, in seconds, where the settings name one.
pub(super) fn shortest_message_objective(config: &BalancerConfig) -> Option<Time> {
    let objectives = config
        .classes
        .iter()
        .filter_map(|class| class.message_latency_objective);
    objectives.reduce(f64::min)
}

/// The backends whose messages take long.
pub struct LatencyTracker {
    /// Messages that take longer, in seconds, are slow; infinite where no class has an objective for messages.
    threshold: Time,
    /// When the balancer was last told of each slow backend.
    last_reports: HashMap<ServerId, Time>,
}

impl LatencyTracker {
    /// A tracker with the threshold that the settings give.
    pub fn new(config: &BalancerConfig) -> Self {
        let objective = shortest_message_objective(config);
        Self {
            threshold: objective.unwrap_or(f64::INFINITY) / SLOW_DIVISOR,
            last_reports: HashMap::new(),
        }
    }

    /// Handles the time of one message, in seconds. Returns the report for the balancer: one in each interval while the
    /// backend is slow, and one when it is no longer.
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
        self.last_reports.insert(server, now);
        Some(Event::LatencyReport {
            server,
            message_latency: seconds,
        })
    }
}
