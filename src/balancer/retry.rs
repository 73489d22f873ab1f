//! Retries: whether an attempt may follow, when it times out, and the final answer where none may.

use super::Balancer;
use super::api::{
    Action, AttemptEnded, DeduplicationScope, Idempotency, Outcome, RequestId, ServerId, Time,
};
use super::request_state::{Phase, PossibleExecution, RequestState};

/// An attempt's timeout in latency objectives, unless it is the last one.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// A request that this many servers answer with an error is itself at fault, and fails.
const MAX_ERROR_RESPONSES: u32 = 2;

/// Whether an attempt may be started; otherwise the reason why not.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RetryDecision {
    Allowed,
    /// The request had its maximum of attempts.
    AttemptsExhausted,
    /// The client has given up.
    DeadlineExceeded,
    /// An attempt may have executed, and a second execution does harm.
    MayHaveExecuted,
    /// An attempt may have executed, and its duplicates are discarded only until before this one would
    /// arrive.
    DeduplicationWindowOver,
}

impl RequestState {
    /// Whether the server has the request now.
    fn is_at(&self, server: ServerId) -> bool {
        self.phase.server() == Some(server)
    }
}

impl Balancer {
    /// Whether a request may have an attempt now.
    pub(super) fn decide_retry(&self, now: Time, state: &RequestState) -> RetryDecision {
        if state.attempts >= self.config.max_attempts {
            return RetryDecision::AttemptsExhausted;
        }
        let is_before_deadline = now < state.request.deadline;
        if !is_before_deadline {
            return RetryDecision::DeadlineExceeded;
        }
        let idempotency = self.class(state).map(|class| class.idempotency);
        let latest_arrival = now + self.config.connect_timeout;
        match (idempotency, state.first_possible_execution) {
            (Some(Idempotency::NonIdempotent), Some(_)) => RetryDecision::MayHaveExecuted,
            (Some(Idempotency::Keyed { window, .. }), Some(execution))
                if latest_arrival >= execution.sent_at + window =>
            {
                RetryDecision::DeduplicationWindowOver
            }
            _ => RetryDecision::Allowed,
        }
    }

    /// When an attempt that starts now times out. Leaves time for another one, unless it is the last.
    pub(super) fn attempt_timeout_at(&self, now: Time, state: &RequestState) -> Time {
        let is_last = state.attempts + 1 >= self.config.max_attempts;
        let timeout = if is_last {
            f64::INFINITY
        } else {
            self.latency_objective(state) * ATTEMPT_TIMEOUT_OBJECTIVES
        };
        state.request.deadline.min(now + timeout)
    }

    /// In seconds; for a request of a class that does not exist, its deadline.
    pub(super) fn latency_objective(&self, state: &RequestState) -> Time {
        self.class(state)
            .map_or(state.request.deadline, |class| class.latency_objective)
    }

    /// Takes the end of an attempt: its outcome counts for the ejection of the server, then the request is
    /// released, fails or is attempted again.
    pub(super) fn attempt_ended(
        &mut self,
        now: Time,
        ended: &AttemptEnded,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&ended.id) else {
            return;
        };
        let is_superseded = !state.is_at(ended.server);
        if is_superseded && !ended.is_final {
            return;
        }
        self.record_outcome(now, ended.server, ended.outcome);
        if ended.is_final {
            self.release_request(ended.id);
            return;
        }
        self.return_to_pending(ended.id);
        if ended.outcome.may_have_executed() {
            self.record_possible_execution(ended.id, ended.server);
        }
        if ended.outcome == Outcome::Error
            && self.count_error_response(ended.id) >= MAX_ERROR_RESPONSES
        {
            self.release_request(ended.id);
            actions.push(Action::Fail(ended.id));
            return;
        }
        self.dispatch_request(now, ended.id, actions);
    }

    /// Takes a request off the server that has it.
    fn return_to_pending(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            let phase = std::mem::replace(&mut state.phase, Phase::Pending);
            let load = state.load;
            self.detach_request(id, phase, load);
        }
    }

    /// Keeps when and where a request may have executed first.
    fn record_possible_execution(&mut self, id: RequestId, server: ServerId) {
        let (zone, cell) = self.location(server);
        if let Some(state) = self.requests.get_mut(&id) {
            let execution = PossibleExecution {
                sent_at: state.sent_at,
                zone,
                cell,
            };
            state.first_possible_execution.get_or_insert(execution);
        }
    }

    /// How many servers have answered a request with an error, with this answer.
    fn count_error_response(&mut self, id: RequestId) -> u32 {
        self.requests.get_mut(&id).map_or(0, |state| {
            state.error_responses += 1;
            state.error_responses
        })
    }

    /// Zone and cell of a server; 0 and 0 if it is unknown.
    fn location(&self, server: ServerId) -> (u32, u32) {
        self.server_index(server).map_or((0, 0), |index| {
            let endpoint = &self.servers[index].endpoint;
            (endpoint.zone, endpoint.cell)
        })
    }

    /// Ends a request without a connection: rejected where a retry by the client does no harm, else failed.
    /// Retry-After is random up to `max_retry_after`, so that rejected clients do not return all at once.
    pub(super) fn give_final_answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.release_request(id) else {
            return;
        };
        let retry_after = self.config.max_retry_after.unwrap_or(0.0) * self.random.next_fraction();
        actions.push(if self.is_client_retry_harmless(&state) {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
    }

    /// The client's retry may reach any server: duplicates have to be discarded by all of them.
    fn is_client_retry_harmless(&self, state: &RequestState) -> bool {
        let is_repeatable = match self.class(state).map(|class| class.idempotency) {
            Some(Idempotency::NonIdempotent) => false,
            Some(Idempotency::Keyed { scope, .. }) => scope == DeduplicationScope::All,
            Some(Idempotency::Idempotent) | None => true,
        };
        let cannot_have_executed =
            state.first_possible_execution.is_none() && state.phase == Phase::Pending;
        is_repeatable || cannot_have_executed
    }
}
