//! Starting a resynchronization, and handling its requests and responses.

use super::Follower;
use super::resync::Resync;
use super::source_state::Cursor;
use crate::Millis;
use crate::messages::{LeafVersions, Payload, Query, ResponseBody};
use crate::source_selection::SourceIndex;

impl Follower {
    /// Starts a resynchronization with a source that is polled, unless another one is in progress.
    pub(super) fn start_resync(&mut self, now: Millis, source: SourceIndex, head: Cursor) {
        if self.resync.is_some() || !self.assignment.contains(source) {
            return;
        }
        let resync = Resync::new(source, head, &self.store);
        self.channel.count(resync.counter());
        self.resync = Some(resync);
        self.poll_immediately(now, source);
    }

    /// Drops the resynchronization, if it is with this source.
    pub(super) fn cancel_resync(&mut self, source: SourceIndex) {
        self.resync.take_if(|resync| resync.source == source);
    }

    /// The next request to a source.
    pub(super) fn next_query(&mut self, source: SourceIndex) -> (Query, Vec<LeafVersions>) {
        let resync = self.resync.as_mut();
        match resync.filter(|resync| resync.source == source) {
            Some(resync) => resync.next_query(&self.store),
            None => (Query::Changes, Vec::new()),
        }
    }

    /// Applies a response of a resynchronization.
    pub(super) fn handle_resync_response(
        &mut self,
        now: Millis,
        source: SourceIndex,
        incarnation: u64,
        body: &ResponseBody,
        payload: &Payload,
    ) {
        let current = self.resync.take_if(|resync| resync.source == source);
        let Some(mut resync) = current else {
            return self.channel.count("stale-answer");
        };
        // The source has restarted: the cursor that this resynchronization would set at its end is no longer valid.
        if resync.start.incarnation != incarnation {
            self.channel.count("stale-answer");
            return self.poll_immediately(now, source);
        }
        let seen_last = self.has_seen_last(source, body);
        let progress = resync.apply(&self.store, &mut self.rng, body, payload, seen_last);
        let Some(progress) = progress else {
            self.resync = Some(resync);
            return self.channel.count("stale-answer");
        };
        if progress.is_finished {
            self.channel.count("caught-up");
            self.states[source].set_cursor(resync.start);
            return self.poll_immediately(now, source);
        }
        if resync.update_stalled(progress) {
            self.channel.count("given-up");
            return self.finish_request(now, source);
        }
        self.resync = Some(resync);
        match progress.is_response_complete {
            true => self.poll_immediately(now, source),
            // The 0 only records that the last datagram has arrived: a resynchronization advances by positions, not by
            // sequence numbers.
            false => self.extend_deadline(now, source, seen_last.then_some(0)),
        }
    }

    /// Whether the last datagram of the response has arrived, now or before.
    fn has_seen_last(&self, source: SourceIndex, body: &ResponseBody) -> bool {
        let pending = self.states[source].pending_request;
        pending.is_some_and(|request| request.last_sequence.is_some())
            || matches!(body, ResponseBody::Entries { last: true, .. })
    }
}
