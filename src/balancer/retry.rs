//! Retries: whether another attempt may start, when it times out, and which final answer a request gets
//! otherwise.

use super::Balancer;
use super::api::{
    Action, AttemptEnded, DeduplicationScope, Idempotency, Outcome, RequestId, ServerId, Time,
};
use super::request_state::{Phase, PossibleExecution, RequestState};

/// Timeout of an attempt that is not the last one, in latency objectives.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// Number of error responses after which a request fails: the request itself is taken to be at fault.
const MAX_ERROR_RESPONSES: u32 = 2;

/// Whether an attempt may start, and if not, why.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RetryDecision {
    Allowed,
    /// The request had its maximum number of attempts.
    AttemptsExhausted,
    /// The client has given up.
    DeadlineExceeded,
    /// An attempt may have executed, and a second execution does harm.
    MayHaveExecuted,
    /// An attempt may have executed, and another one might arrive after the deduplication window.
    DeduplicationWindowOver,
}

impl RequestState {
    /// Whether the request is at the server, in flight or established.
    fn is_at(&self, server: ServerId) -> bool {
        self.phase.server() == Some(server)
    }
}

impl Balancer {
    /// Decides whether an attempt of a request, the first or a retry, may start now.
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

    /// When an attempt that starts now times out. Unless it is the last attempt, the timeout leaves time for
    /// another one.
    pub(super) fn attempt_timeout_at(&self, now: Time, state: &RequestState) -> Time {
        let is_last = state.attempts + 1 >= self.config.max_attempts;
        let timeout = if is_last {
            f64::INFINITY
        } else {
            self.latency_objective(state) * ATTEMPT_TIMEOUT_OBJECTIVES
        };
        state.request.deadline.min(now + timeout)
    }

    /// The latency objective in seconds. For a request whose class does not exist, its deadline, which is
    /// too long for the request to be queued.
    pub(super) fn latency_objective(&self, state: &RequestState) -> Time {
        self.class(state)
            .map_or(state.request.deadline, |class| class.latency_objective)
    }

    /// Handles the end of an attempt: records the outcome for outlier ejection, then releases, fails or
    /// retries the request.
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

    /// Detaches a request from its server.
    fn return_to_pending(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            let phase = std::mem::replace(&mut state.phase, Phase::Pending);
            let load = state.load;
            self.detach_request(id, phase, load);
        }
    }

    /// Records when and where a request may have executed, if that is its first possible execution.
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

    /// Counts an error response to a request, and returns the count.
    fn count_error_response(&mut self, id: RequestId) -> u32 {
        self.requests.get_mut(&id).map_or(0, |state| {
            state.error_responses += 1;
            state.error_responses
        })
    }

    /// Zone and cell of a server; 0 for both if the server is unknown.
    fn location(&self, server: ServerId) -> (u32, u32) {
        self.server_index(server).map_or((0, 0), |index| {
            let endpoint = &self.servers[index].endpoint;
            (endpoint.zone, endpoint.cell)
        })
    }

    /// Ends a request without a connection: rejects it if a retry by the client does no harm, else fails it.
    /// Retry-After is random up to `max_retry_after`, so that rejected clients do not all return at once.
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

    /// Whether a retry by the client does no harm. A client's retry may reach any server, so keyed requests
    /// must be deduplicated by all servers.
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
