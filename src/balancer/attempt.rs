//! Attempts: what a pending request does next, the start of an attempt, and events while it is in flight.

use super::Balancer;
use super::api::{Action, Request, RequestId, ServerId, Time};
use super::request_state::{Phase, RequestState};
use super::retry::RetryDecision;

/// What a pending request does next.
enum NextStep {
    Start {
        server: ServerId,
        timeout_at: Time,
    },
    /// Wait for capacity.
    Queue,
    /// No attempt may start, or none would be in time.
    GiveFinalAnswer,
}

impl Balancer {
    /// Starts an attempt of a pending request, queues it, or gives its final answer.
    pub(super) fn dispatch_request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        match self.next_step(now, state) {
            NextStep::Start { server, timeout_at } => {
                self.start_attempt(now, id, server, timeout_at, actions);
            }
            NextStep::Queue => self.enqueue_request(id, actions),
            NextStep::GiveFinalAnswer => self.give_final_answer(id, actions),
        }
    }

    fn next_step(&self, now: Time, state: &RequestState) -> NextStep {
        if self.decide_retry(now, state) != RetryDecision::Allowed {
            return NextStep::GiveFinalAnswer;
        }
        if self.backoff.allows_attempt(now)
            && let Some(server) = self.choose_server(now, state)
        {
            let timeout_at = self.attempt_timeout_at(now, state);
            return NextStep::Start { server, timeout_at };
        }
        // A rejected client retries at once, whereas a queued request costs the servers nothing.
        if now + self.latency_objective(state) < state.request.deadline {
            NextStep::Queue
        } else {
            NextStep::GiveFinalAnswer
        }
    }

    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout_at: Time,
        actions: &mut Vec<Action>,
    ) {
        self.start_backoff_gap(now);
        actions.push(Action::StartAttempt {
            id,
            server,
            timeout_at,
        });
        self.spend_token(now, server);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.phase = Phase::InFlight(server);
        state.sent_at = now;
        state.attempts += 1;
        state.attempted.push(server);
        let load = state.load;
        self.attach_request(id, server, load);
    }

    /// Starts the backoff gap after an attempt, if the backoff is active. The unit of the gap is at most the
    /// queue interval.
    fn start_backoff_gap(&mut self, now: Time) {
        if self.backoff.is_active() {
            let gap = self
                .backoff
                .gap(self.queue_interval, self.arrival_rate.new_clients);
            let jittered_gap = gap * self.random.next_jitter();
            self.backoff.block_until(now + jittered_gap);
        }
    }

    /// Handles that the attempt in flight became an established connection.
    pub(super) fn attempt_established(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase != Phase::InFlight(server) {
            return;
        }
        state.phase = Phase::Established(server);
        let setup_time = now - state.sent_at;
        self.established_count += 1;
        self.backoff.decrease();
        if let Some(server) = self.server_mut(server) {
            server.record_established();
        }
        // The excess over the median counts as message latency. It can mark the server as busy, but not as no
        // longer busy.
        if let Some(excess) = self.setup_time.record(setup_time) {
            let latency_ratio = excess / self.busy_latency_threshold;
            if latency_ratio >= 1.0 {
                self.record_latency_ratio(now, server, latency_ratio, actions);
            }
        }
    }

    /// Adopts a connection that was established before this balancer started. Ignored if the request is known
    /// or its server is not listed.
    pub(super) fn adopt_established(&mut self, now: Time, request: &Request, server: ServerId) {
        if self.requests.contains_key(&request.id) || self.server_index(server).is_none() {
            return;
        }
        let phase = Phase::Established(server);
        let state = RequestState::new(now, request, phase, self.mean_load());
        self.attach_request(request.id, server, state.load);
        self.established_count += 1;
        self.requests.insert(request.id, state);
    }

    /// Releases a request whose client disconnected. Cancels its attempt in flight, if allowed, to spare the
    /// server the work.
    pub(super) fn client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(state) = self.release_request(id)
            && matches!(state.phase, Phase::InFlight(_))
            && self.config.can_cancel_attempts
        {
            let attempt = state.attempts - 1;
            actions.push(Action::CancelAttempt { id, attempt });
        }
    }
}
