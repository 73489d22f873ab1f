//! Overload: a server with slow messages is avoided, and some of its connections migrate, the heaviest first.
//!
//! The latency ratio of a server is its message latency over the busy threshold: from 1 on it is busy, from
//! [`OVERLOADED_RATIO`] on overloaded, from [`SATURATED_RATIO`] on saturated.

use super::Balancer;
use super::api::{Action, BalancerConfig, RequestId, ServerId, Time};
use super::request_state::{Phase, RequestState};

/// The busy threshold, in the strictest message latency objective. Servers report latency from there on.
const BUSY_THRESHOLD_OBJECTIVES: f64 = 1.0 / 3.0;
/// The latency ratio from which on a server gets no attempt even if all others are busy too.
pub(super) const OVERLOADED_RATIO: f64 = 1.5;
/// The latency ratio at which messages take as long as the strictest latency objective.
const SATURATED_RATIO: f64 = 1.0 / BUSY_THRESHOLD_OBJECTIVES;
/// Seconds that a report of a busy server holds. A balancer without connections there gets no report when
/// it is clear again.
const BUSY_REPORT_TTL: Time = 8.0;
/// Share of this balancer's connections to a saturated server that migrate at each latency report.
const MIGRATION_SHARE: f64 = 0.12;
/// By how much that share grows for a single connection there: where most balancers have none, the few
/// have to migrate more.
const SINGLE_CONNECTION_MIGRATION_BOOST: f64 = 2.5;

/// The message latency, in seconds, from which on a server is busy; infinite without an objective.
pub(super) fn busy_message_latency(config: &BalancerConfig) -> Time {
    let strictest_objective = config
        .classes
        .iter()
        .filter_map(|class| class.message_latency_objective)
        .fold(f64::INFINITY, f64::min);
    strictest_objective * BUSY_THRESHOLD_OBJECTIVES
}

/// How many of a busy server's connections are to migrate at a report, before rounding.
fn migration_count(in_flight: usize, latency_ratio: f64) -> f64 {
    let boost = SINGLE_CONNECTION_MIGRATION_BOOST * libm::exp(1.0 - in_flight as f64);
    let share = MIGRATION_SHARE * (1.0 + boost);
    in_flight as f64 * share * ((latency_ratio - 1.0) / (SATURATED_RATIO - 1.0)).min(1.0)
}

impl Balancer {
    /// Takes a server's report of how long messages take there, in seconds.
    pub(super) fn record_message_latency(
        &mut self,
        now: Time,
        server: ServerId,
        message_latency: Time,
        actions: &mut Vec<Action>,
    ) {
        let latency_ratio = message_latency / self.busy_message_latency;
        self.record_latency_ratio(now, server, latency_ratio, actions);
    }

    /// Takes a server's latency ratio, and migrates connections off it if it is busy.
    pub(super) fn record_latency_ratio(
        &mut self,
        now: Time,
        id: ServerId,
        latency_ratio: f64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(server) = self.server_mut(id) {
            let is_busy = latency_ratio >= 1.0;
            server.latency_ratio = latency_ratio;
            // Ends an ejection for failures too: the server responds.
            server.ejected_until = if is_busy { now + BUSY_REPORT_TTL } else { now };
            if latency_ratio >= OVERLOADED_RATIO {
                server.unhealthy_since = now;
            }
        }
        // Drawn for each report, so that the number of draws does not depend on what is reported.
        let rounding = self.random.next_fraction();
        if latency_ratio < 1.0 {
            return;
        }
        self.migrate_connections(now, id, latency_ratio, rounding, actions);
    }

    /// Migrates the heaviest connections off a busy server; `rounding` is a random fraction.
    fn migrate_connections(
        &self,
        now: Time,
        from: ServerId,
        latency_ratio: f64,
        rounding: f64,
        actions: &mut Vec<Action>,
    ) {
        let in_flight: Vec<RequestId> = match self.server_index(from) {
            Some(index) => self.servers[index].in_flight.iter().copied().collect(),
            None => Vec::new(),
        };
        let count = migration_count(in_flight.len(), latency_ratio);
        let mut heaviest: Vec<&RequestState> = in_flight
            .iter()
            .filter_map(|id| self.requests.get(id))
            .filter(|state| state.phase == Phase::Established(from))
            .collect();
        heaviest.sort_by(|a, b| b.load.total_cmp(&a.load));
        heaviest.truncate((count + rounding) as usize);
        // A saturated server serves nobody in time: connections leave it even if they have to queue for
        // another.
        heaviest
            .retain(|state| latency_ratio >= SATURATED_RATIO || self.can_migrate(now, state, from));
        actions.extend(
            heaviest
                .iter()
                .map(|state| Action::Migrate(state.request.id)),
        );
    }
}
