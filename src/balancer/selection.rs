//! Selection of a server: of the eligible servers with the lowest load level, the one that the request's
//! key ranks first by weighted rendezvous hashing.

use super::Balancer;
use super::api::{
    DeduplicationScope, EndpointState, Idempotency, Key, RequestClass, ServerId, Time,
};
use super::overload::OVERLOADED_RATIO;
use super::rendezvous;
use super::request_state::{PossibleExecution, RequestState};
use super::servers::Server;

/// Load level of a server with nothing against it.
const CLEAR_LEVEL: f64 = 0.0;
/// Load level of a server that warms up and has an attempt available: its budget is used first.
const WARMING_UP_LEVEL: f64 = -1.0;
/// Highest load level that follows from estimated load alone, without a report that the server is busy.
const MAX_ESTIMATED_LEVEL: f64 = 0.95;
/// A server that warms up is used by the keys that rank it within this share of the servers, or more.
const MIN_PREFERRED_SHARE: f64 = 0.2;
/// With few arrivals within an overload window that share is this factor over the square of their number.
const FEW_ARRIVALS_PREFERRED_FACTOR: f64 = 0.27;

/// Why a server gets no attempt of a request.
enum Ineligible {
    /// It is draining or removed.
    NotReady,
    /// It would not discard a duplicate of an attempt that may have executed.
    OutsideDeduplicationScope,
    /// It had an attempt of this request, or the connection is to migrate off it.
    AlreadyAttempted,
    /// It warms up or recovers, and this balancer has used its budget there.
    SlowStartBudgetSpent,
    /// It is ejected because of failures.
    Ejected,
    /// Its load level is that of an overloaded server: where all are, waiting does less harm.
    Overloaded,
}

/// What the ranking needs to know of an eligible server.
struct Eligible {
    /// 0 to 1, see [`Balancer::capacity_share`].
    capacity_share: f64,
    /// The lowest wins; a latency ratio where the server is busy.
    load_level: f64,
}

/// The inputs of one selection.
struct Selection<'a> {
    now: Time,
    state: &'a RequestState,
    key: Key,
    /// Where the duplicates of an attempt that may have executed are discarded.
    deduplicated_by: Option<(DeduplicationScope, PossibleExecution)>,
    /// The server that the connection is to leave.
    migrating_from: Option<ServerId>,
}

/// An eligible server with its rank for the key.
struct Candidate {
    server: ServerId,
    load_level: f64,
    score: f64,
    weight: f64,
    hash: f64,
}

/// The best candidate so far.
struct Ranking {
    key: Key,
    best: Option<Candidate>,
}

impl Ranking {
    fn offer(&mut self, server: &Server, eligible: Eligible) {
        let load_level = eligible.load_level;
        if let Some(best) = &self.best
            && load_level > best.load_level
        {
            return;
        }
        let id = server.endpoint.id;
        let weight = server.endpoint.weight * eligible.capacity_share;
        let hash = rendezvous::hash(self.key, id);
        // Skips the logarithm, the costliest part of a placement, where the score cannot be the higher one.
        if let Some(best) = &self.best
            && load_level == best.load_level
            && weight <= best.weight
            && hash <= best.hash
        {
            return;
        }
        let score = rendezvous::score_of_hash(hash, weight);
        let is_better = match &self.best {
            Some(best) => load_level < best.load_level || score > best.score,
            None => true,
        };
        if is_better {
            self.best = Some(Candidate {
                server: id,
                load_level,
                score,
                weight,
                hash,
            });
        }
    }
}

impl Balancer {
    /// The server for the next attempt, `None` if there is no eligible one.
    pub(super) fn choose_server(&self, now: Time, state: &RequestState) -> Option<ServerId> {
        let best = self.best_candidate(now, state, None)?;
        Some(best.server)
    }

    /// Whether another server would take a connection without being loaded above its part.
    pub(super) fn can_migrate(&self, now: Time, state: &RequestState, from: ServerId) -> bool {
        self.best_candidate(now, state, Some(from))
            .is_some_and(|best| best.load_level <= CLEAR_LEVEL)
    }

    fn best_candidate(
        &self,
        now: Time,
        state: &RequestState,
        migrating_from: Option<ServerId>,
    ) -> Option<Candidate> {
        let class = self.class(state)?;
        let selection = Selection {
            now,
            state,
            key: state.placement_key(),
            deduplicated_by: deduplicated_by(class, state),
            migrating_from,
        };
        let mut ranking = Ranking {
            key: selection.key,
            best: None,
        };
        for server in &self.servers {
            if let Ok(eligible) = self.check_eligibility(&selection, server) {
                ranking.offer(server, eligible);
            }
        }
        ranking.best
    }

    fn check_eligibility(
        &self,
        selection: &Selection,
        server: &Server,
    ) -> Result<Eligible, Ineligible> {
        if !selection.accepts_state(server.endpoint.state) {
            return Err(Ineligible::NotReady);
        }
        if !selection.is_within_scope(server) {
            return Err(Ineligible::OutsideDeduplicationScope);
        }
        if selection.excludes(server.endpoint.id) {
            return Err(Ineligible::AlreadyAttempted);
        }
        let capacity_share = self.capacity_share(selection.now, server);
        if !self.has_slow_start_budget(selection.now, server, capacity_share) {
            return Err(Ineligible::SlowStartBudgetSpent);
        }
        let load_level = self.load_level(selection, server, capacity_share)?;
        if load_level >= OVERLOADED_RATIO {
            return Err(Ineligible::Overloaded);
        }
        Ok(Eligible {
            capacity_share,
            load_level,
        })
    }

    fn load_level(
        &self,
        selection: &Selection,
        server: &Server,
        capacity_share: f64,
    ) -> Result<f64, Ineligible> {
        if selection.state.request.mid_flow {
            return Ok(CLEAR_LEVEL);
        }
        if server.is_ejected(selection.now) {
            return Err(Ineligible::Ejected);
        }
        if server.is_busy(selection.now) {
            return Ok(server.latency_ratio);
        }
        if capacity_share < 1.0 && self.is_preferred_by(selection.key, server) {
            return Ok(WARMING_UP_LEVEL);
        }
        Ok(self
            .excess_load(server, capacity_share)
            .min(MAX_ESTIMATED_LEVEL))
    }

    /// Whether the key ranks a server that warms up among the first once it has its full weight.
    fn is_preferred_by(&self, key: Key, server: &Server) -> bool {
        let arrivals = self.arrival_rate.total * self.config.overload_window;
        let share =
            (FEW_ARRIVALS_PREFERRED_FACTOR / (arrivals * arrivals)).clamp(MIN_PREFERRED_SHARE, 1.0);
        let rank = rendezvous::full_weight_rank(key, server, &self.servers);
        (rank as f64) < share * self.servers.len() as f64
    }
}

fn deduplicated_by(
    class: &RequestClass,
    state: &RequestState,
) -> Option<(DeduplicationScope, PossibleExecution)> {
    match (class.idempotency, state.first_possible_execution) {
        (Idempotency::Keyed { scope, .. }, Some(execution)) => Some((scope, execution)),
        _ => None,
    }
}

impl Selection<'_> {
    /// A draining server still takes the packets of a connection that it may have.
    fn accepts_state(&self, state: EndpointState) -> bool {
        match state {
            EndpointState::Ready => true,
            EndpointState::Draining => self.state.request.mid_flow && self.state.attempts == 0,
            EndpointState::Removed => false,
        }
    }

    fn is_within_scope(&self, server: &Server) -> bool {
        match self.deduplicated_by {
            Some((DeduplicationScope::Zone, execution)) => server.endpoint.zone == execution.zone,
            Some((DeduplicationScope::Cell, execution)) => server.endpoint.cell == execution.cell,
            Some((DeduplicationScope::All, _)) | None => true,
        }
    }

    fn excludes(&self, server: ServerId) -> bool {
        self.state.attempted.contains(&server) || self.migrating_from == Some(server)
    }
}
