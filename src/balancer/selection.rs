//! Server selection: among the eligible servers with the lowest load level, the one that the request's
//! placement key ranks first by weighted rendezvous hashing.

use super::Balancer;
use super::api::{
    DeduplicationScope, EndpointState, Idempotency, Key, RequestClass, ServerId, Time,
};
use super::overload::OVERLOADED_RATIO;
use super::rendezvous;
use super::request_state::{PossibleExecution, RequestState};
use super::servers::Server;

/// Load level of a server that is neither busy nor estimated to be loaded above its share.
const NORMAL_LEVEL: f64 = 0.0;
/// Load level of a server that warms up and has budget left. The lowest, so that the budget is used first.
const WARMING_UP_LEVEL: f64 = -1.0;
/// Highest load level that estimated load alone leads to, below the level of a server that is reported busy.
const MAX_ESTIMATED_LEVEL: f64 = 0.95;
/// A key prefers a server that warms up if it ranks the server within a leading share of all servers. This is
/// the minimum of that share.
const MIN_PREFERRED_SHARE: f64 = 0.2;
/// The share is this factor divided by the square of the arrivals in an overload window. With few arrivals it
/// thus exceeds [`MIN_PREFERRED_SHARE`].
const FEW_ARRIVALS_PREFERRED_FACTOR: f64 = 0.27;

/// Why a server gets no attempt of a request.
enum Ineligible {
    /// The server is draining or removed.
    NotReady,
    /// The server would not discard a duplicate of an attempt that may have executed.
    OutsideDeduplicationScope,
    /// The server had an attempt of this request, or the connection is to migrate off it.
    AlreadyAttempted,
    /// The server warms up or recovers, and this balancer's budget for it is spent.
    SlowStartBudgetSpent,
    /// The server is ejected because of failures.
    Ejected,
    /// The server is overloaded. If all servers are, waiting does less harm than another attempt.
    Overloaded,
}

/// The properties of an eligible server by which candidates are compared.
struct Eligible {
    /// 0 to 1, see [`Balancer::capacity_share`].
    capacity_share: f64,
    /// The lowest wins. For a busy server, its latency ratio.
    load_level: f64,
}

/// The inputs of one selection.
struct Selection<'a> {
    now: Time,
    state: &'a RequestState,
    key: Key,
    /// The first attempt that may have executed, and the scope in which its duplicates are discarded.
    deduplication: Option<(DeduplicationScope, PossibleExecution)>,
    /// The server that the connection is to migrate off.
    migrating_from: Option<ServerId>,
}

/// An eligible server with its rendezvous score for the key.
struct Candidate {
    server: ServerId,
    load_level: f64,
    score: f64,
    /// The endpoint's weight times the capacity share.
    weight: f64,
    hash: f64,
}

/// Tracks the best candidate for a key.
struct Ranking {
    key: Key,
    best: Option<Candidate>,
}

impl Ranking {
    fn consider(&mut self, server: &Server, eligible: Eligible) {
        let load_level = eligible.load_level;
        if let Some(best) = &self.best
            && load_level > best.load_level
        {
            return;
        }
        let id = server.endpoint.id;
        let weight = server.endpoint.weight * eligible.capacity_share;
        let hash = rendezvous::hash(self.key, id);
        // Computing the score's logarithm is the most expensive part of a placement. It is skipped where the
        // score cannot be higher.
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
    /// Chooses the server of the next attempt; `None` if no server is eligible.
    pub(super) fn choose_server(&self, now: Time, state: &RequestState) -> Option<ServerId> {
        let best = self.best_candidate(now, state, None)?;
        Some(best.server)
    }

    /// Whether another server can take a connection without exceeding its share of the load.
    pub(super) fn can_migrate(&self, now: Time, state: &RequestState, from: ServerId) -> bool {
        self.best_candidate(now, state, Some(from))
            .is_some_and(|best| best.load_level <= NORMAL_LEVEL)
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
            deduplication: required_deduplication(class, state),
            migrating_from,
        };
        let mut ranking = Ranking {
            key: selection.key,
            best: None,
        };
        for server in &self.servers {
            if let Ok(eligible) = self.check_eligibility(&selection, server) {
                ranking.consider(server, eligible);
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
        // The server may have the request's connection, whatever its load and even if it is ejected.
        if selection.state.request.mid_flow {
            return Ok(NORMAL_LEVEL);
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

    /// Whether the key prefers a server that warms up, see [`MIN_PREFERRED_SHARE`]. Ranks are by full weight.
    fn is_preferred_by(&self, key: Key, server: &Server) -> bool {
        let arrivals = self.arrival_rate.total * self.config.overload_window;
        let share =
            (FEW_ARRIVALS_PREFERRED_FACTOR / (arrivals * arrivals)).clamp(MIN_PREFERRED_SHARE, 1.0);
        let rank = rendezvous::full_weight_rank(key, server, &self.servers);
        (rank as f64) < share * self.servers.len() as f64
    }
}

/// Where duplicates of a keyed request that may have executed are discarded; `None` if any server may get an
/// attempt.
fn required_deduplication(
    class: &RequestClass,
    state: &RequestState,
) -> Option<(DeduplicationScope, PossibleExecution)> {
    match (class.idempotency, state.first_possible_execution) {
        (Idempotency::Keyed { scope, .. }, Some(execution)) => Some((scope, execution)),
        _ => None,
    }
}

impl Selection<'_> {
    /// Draining servers are accepted for the first attempt of a mid-flow request, whose connection they may
    /// have.
    fn accepts_state(&self, state: EndpointState) -> bool {
        match state {
            EndpointState::Ready => true,
            EndpointState::Draining => self.state.request.mid_flow && self.state.attempts == 0,
            EndpointState::Removed => false,
        }
    }

    fn is_within_scope(&self, server: &Server) -> bool {
        match self.deduplication {
            Some((DeduplicationScope::Zone, execution)) => server.endpoint.zone == execution.zone,
            Some((DeduplicationScope::Cell, execution)) => server.endpoint.cell == execution.cell,
            Some((DeduplicationScope::All, _)) | None => true,
        }
    }

    fn excludes(&self, server: ServerId) -> bool {
        self.state.attempted.contains(&server) || self.migrating_from == Some(server)
    }
}
