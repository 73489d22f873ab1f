//! Sending of requests, their timeouts and retries.

use super::Follower;
use super::source_state::{PendingRequest, SourceState};
use crate::Millis;
use crate::messages::{self, LeafVersions, MAX_WINDOW, PollRequest, Query};
use crate::source_selection::{Role, SourceIndex};
use rand::RngExt;

/// The number of consecutive requests without a response after which a source counts as disconnected.
pub const MAX_MISSED_RESPONSES: u32 = 3;
/// The longest Retry-After delay that is accepted from a source, in milliseconds.
pub const MAX_RETRY_AFTER: Millis = 60_000;
/// The highest factor on the response timeout. Late responses double the factor.
pub const MAX_TIMEOUT_FACTOR: u64 = 8;

impl Follower {
    /// When the next action for a source is due: a timeout, a retry or a poll.
    pub(super) fn next_action_at(
        &self,
        source: SourceIndex,
        state: &SourceState,
    ) -> Option<Millis> {
        if let Some(request) = state.pending_request {
            return Some(request.deadline);
        }
        if let Some(retry_at) = state.retry_at {
            return Some(retry_at);
        }
        let is_polled = self.assignment.contains(source);
        is_polled.then_some(state.next_poll)
    }

    /// Handles a request's timeout, and polls a source if a poll is due.
    pub(super) fn advance_polling(&mut self, now: Millis, source: SourceIndex) {
        let pending = self.states[source].pending_request;
        if pending.is_some_and(|request| now >= request.deadline) {
            self.handle_timeout(now, source);
        }
        // The timeout may have reassigned the sources, and thereby have sent a request.
        let state = &self.states[source];
        if state.pending_request.is_some() {
            return;
        }
        let due = self.next_action_at(source, state);
        if due.is_some_and(|due| now >= due) {
            self.poll(now, source);
        }
    }

    fn handle_timeout(&mut self, now: Millis, source: SourceIndex) {
        let state = &mut self.states[source];
        let max_missed = match state.is_disconnected() {
            true => 1,
            false => MAX_MISSED_RESPONSES,
        };
        state.pending_request = None;
        state.missed_responses += 1;
        state.next_poll = now;
        if state.missed_responses >= max_missed {
            self.mark_disconnected(now, source);
        }
    }

    /// When to retry a disconnected source.
    pub(super) fn random_retry_time(&mut self, now: Millis) -> Millis {
        let interval = self.schedule.retry_interval.max(1);
        now + interval + self.rng.random_range(0..=interval / 2)
    }

    /// Sends the next request to a source, or starts a handshake if there is no session.
    fn poll(&mut self, now: Millis, source: SourceIndex) {
        let deadline = now + self.response_timeout(source);
        let nonce = if self.channel.has_session(self.sources[source].id) {
            // The new response repeats what arrived out of order.
            self.states[source].clear_out_of_order();
            let (query, leaves) = self.next_query(source);
            self.send_request(now, source, query, &leaves)
        } else {
            let address = self.sources[source].endpoint.address;
            self.channel.start_handshake(now, address);
            0
        };
        self.states[source].pending_request = Some(PendingRequest {
            nonce,
            sent_at: now,
            deadline,
            last_sequence: None,
        });
    }

    fn response_timeout(&self, source: SourceIndex) -> Millis {
        self.schedule.response_timeout.max(1) * self.states[source].timeout_factor
    }

    /// Sends a request, and returns its nonce.
    pub(super) fn send_request(
        &mut self,
        now: Millis,
        source: SourceIndex,
        query: Query,
        leaves: &[LeafVersions],
    ) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1).max(1);
        let cursor = self.states[source].cursor;
        let request = PollRequest {
            nonce: self.last_nonce,
            is_primary: self.assignment.primary == Some(source),
            incarnation: cursor.incarnation,
            sequence: cursor.sequence,
            root_hash: self.store.root_hash(),
            window: MAX_WINDOW,
            query,
        };
        let body = messages::encode_request(&request, leaves);
        let id = self.sources[source].id;
        let address = self.sources[source].endpoint.address;
        if !self.channel.send(id, address, &body) {
            self.channel.start_handshake(now, address);
        }
        self.channel.count("asks");
        self.last_nonce
    }

    /// Ends the pending request. The next poll is due at its regular time.
    pub(super) fn finish_request(&mut self, now: Millis, source: SourceIndex) {
        let role = self.assignment.role_of(source);
        let next_poll = self.regular_poll_time(now, role.unwrap_or(Role::Primary));
        let state = &mut self.states[source];
        state.pending_request = None;
        state.next_poll = next_poll;
    }

    /// Polls a source at once, because there is more to request.
    pub(super) fn poll_immediately(&mut self, now: Millis, source: SourceIndex) {
        let state = &mut self.states[source];
        state.pending_request = None;
        state.next_poll = now;
        self.advance_polling(now, source);
    }

    /// Schedules the next poll at the slot that the source has reserved because its rate limit is reached.
    pub(super) fn retry_after(&mut self, now: Millis, source: SourceIndex, wait: Millis) {
        self.channel.count("later");
        let state = &mut self.states[source];
        let Some(request) = state.pending_request.take() else {
            return;
        };
        // The delay is counted from when the request was sent, so that the next request arrives at the slot whatever
        // the latency is.
        let at = request.sent_at + wait.min(MAX_RETRY_AFTER);
        state.next_poll = at.max(now + 1);
    }

    /// Extends the deadline, because more datagrams of the same response are expected.
    pub(super) fn extend_deadline(
        &mut self,
        now: Millis,
        source: SourceIndex,
        last_sequence: Option<u64>,
    ) {
        let deadline = now + self.response_timeout(source);
        if let Some(request) = &mut self.states[source].pending_request {
            request.deadline = deadline;
            request.last_sequence = last_sequence;
        }
    }
}
