//! Overload: a server with high message latency is avoided, and some of its connections migrate, the
//! heaviest first.
//!
//! The latency ratio of a server is its message latency divided by the busy threshold. From 1 the server is
//! busy, from [`OVERLOADED_RATIO`] overloaded, from [`SATURATED_RATIO`] saturated.

use super::Balancer;
use super::api::{Action, BalancerConfig, RequestId, ServerId, Time};
use super::request_state::{Phase, RequestState};

/// The busy threshold as a fraction of the strictest message latency objective. The process reports message
/// latency above the same threshold (`runtime::latency_tracker`).
const BUSY_THRESHOLD_OBJECTIVES: f64 = 1.0 / 3.0;
/// Latency ratio at or above which a server gets no attempts, even if all others are busy too.
pub(super) const OVERLOADED_RATIO: f64 = 1.5;
/// Latency ratio at which messages take as long as the strictest message latency objective.
const SATURATED_RATIO: f64 = 1.0 / BUSY_THRESHOLD_OBJECTIVES;
/// Seconds after which a report that a server is busy expires. A balancer without connections to the server
/// gets no report when the server is no longer busy.
const BUSY_REPORT_TTL: Time = 8.0;
/// Share of this balancer's connections to a saturated server that migrate on each latency report.
const MIGRATION_SHARE: f64 = 0.12;
/// Relative increase of that share for a balancer with a single connection to the server. Where most
/// balancers have no connection to it, the few that have one must migrate more.
const SINGLE_CONNECTION_MIGRATION_BOOST: f64 = 2.5;

/// The message latency, in seconds, at or above which a server is busy; infinite without an objective.
pub(super) fn busy_latency_threshold(config: &BalancerConfig) -> Time {
    let strictest_objective = config
        .classes
        .iter()
        .filter_map(|class| class.message_latency_objective)
        .fold(f64::INFINITY, f64::min);
    strictest_objective * BUSY_THRESHOLD_OBJECTIVES
}

/// Number of a busy server's connections to migrate on a report, before rounding. `attached` is the number of
/// this balancer's requests at the server.
fn migration_count(attached: usize, latency_ratio: f64) -> f64 {
    let boost = SINGLE_CONNECTION_MIGRATION_BOOST * libm::exp(1.0 - attached as f64);
    let share = MIGRATION_SHARE * (1.0 + boost);
    attached as f64 * share * ((latency_ratio - 1.0) / (SATURATED_RATIO - 1.0)).min(1.0)
}

impl Balancer {
    /// Records the message latency that a server reports, in seconds.
    pub(super) fn record_message_latency(
        &mut self,
        now: Time,
        server: ServerId,
        message_latency: Time,
        actions: &mut Vec<Action>,
    ) {
        let latency_ratio = message_latency / self.busy_latency_threshold;
        self.record_latency_ratio(now, server, latency_ratio, actions);
    }

    /// Records a server's latency ratio, and migrates connections off the server if it is busy.
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
            // A server that is not busy is no longer ejected for failures either, since it responds. A busy
            // server that is ejected stays so until the report expires.
            server.avoided_until = if is_busy { now + BUSY_REPORT_TTL } else { now };
            if latency_ratio >= OVERLOADED_RATIO {
                server.last_unhealthy_at = now;
            }
        }
        // Drawn for every report, so that the random sequence does not depend on the reported values.
        let rounding = self.random.next_fraction();
        if latency_ratio < 1.0 {
            return;
        }
        self.migrate_connections(now, id, latency_ratio, rounding, actions);
    }

    /// Migrates the heaviest connections off a busy server. Their number is rounded up or down at random by
    /// the fraction `rounding`.
    fn migrate_connections(
        &self,
        now: Time,
        from: ServerId,
        latency_ratio: f64,
        rounding: f64,
        actions: &mut Vec<Action>,
    ) {
        let attached: Vec<RequestId> = match self.server_index(from) {
            Some(index) => self.servers[index]
                .attached_requests
                .iter()
                .copied()
                .collect(),
            None => Vec::new(),
        };
        let count = migration_count(attached.len(), latency_ratio);
        let mut heaviest: Vec<&RequestState> = attached
            .iter()
            .filter_map(|id| self.requests.get(id))
            .filter(|state| state.phase == Phase::Established(from))
            .collect();
        heaviest.sort_by(|a, b| b.load.total_cmp(&a.load));
        heaviest.truncate((count + rounding) as usize);
        // A saturated server serves no connection in time: connections migrate off it even if they must queue
        // for another server.
        heaviest
            .retain(|state| latency_ratio >= SATURATED_RATIO || self.can_migrate(now, state, from));
        actions.extend(
            heaviest
                .iter()
                .map(|state| Action::Migrate(state.request.id)),
        );
    }
}
