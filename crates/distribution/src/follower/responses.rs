//! Handling of responses.

use super::Follower;
use super::polling::MAX_TIMEOUT_FACTOR;
use super::source_state::{Cursor, PendingRequest, SequenceRange};
use crate::messages::{Payload, PollResponse, ResponseBody};
use crate::source_selection::SourceIndex;
use crate::{Entry, Event, Millis, Output};

/// A follower resynchronizes with a source if its cursor is at the head but the contents differ for this long.
pub const RESYNC_IF_DIVERGED_FOR: Millis = 600_000;

/// The data of a response besides its body.
#[derive(Clone, Copy, Debug)]
struct ResponseContext {
    source: SourceIndex,
    request: PendingRequest,
    /// The source's incarnation and the sequence number of its last change.
    head: Cursor,
    /// Once the response is complete, the follower holds everything written before this time on its clock. `None` if
    /// the source has not heard from a writer.
    as_of: Option<i64>,
}

impl Follower {
    /// Applies a response from an incarnation of a source.
    pub(super) fn handle_response(
        &mut self,
        now: Millis,
        source: SourceIndex,
        incarnation: u64,
        response: &PollResponse,
        mut payload: Payload,
    ) {
        // Entries are versioned, so they are valid whatever was requested.
        if let Payload::Entries(entries) = &mut payload {
            for entry in std::mem::take(entries) {
                self.apply_entry(entry);
            }
        }
        self.mark_responsive(now, source);
        let Some(request) = self.states[source].pending_with_nonce(response.nonce) else {
            return self.handle_late_response(source, response.nonce);
        };
        let context = ResponseContext {
            source,
            request,
            head: Cursor {
                incarnation,
                sequence: response.head,
            },
            as_of: synced_as_of(request, response.data_age),
        };
        self.handle_body(now, context, &response.body, &payload);
    }

    fn handle_body(
        &mut self,
        now: Millis,
        context: ResponseContext,
        body: &ResponseBody,
        payload: &Payload,
    ) {
        let source = context.source;
        match body {
            ResponseBody::UpToDate { same_content } => {
                self.handle_up_to_date(now, context, *same_content);
            }
            ResponseBody::AdoptHead => {
                self.states[source].set_cursor(context.head);
                self.cancel_resync(source);
                self.record_synchronized(now, context);
            }
            ResponseBody::ContentDiffers => {
                self.finish_request(now, source);
                self.start_resync(now, source, context.head);
            }
            ResponseBody::RetryAfter { wait } => {
                self.retry_after(now, source, Millis::from(*wait));
            }
            ResponseBody::Changes { after, up_to, last } => {
                let (after, up_to) = (*after, *up_to);
                self.handle_changes(now, context, SequenceRange { after, up_to }, *last);
            }
            ResponseBody::BranchHashes
            | ResponseBody::LeafHashes { .. }
            | ResponseBody::Entries { .. } => {
                self.handle_resync_response(now, source, context.head.incarnation, body, payload);
            }
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        match self.store.insert_if_newer(&entry) {
            Ok(true) => self.channel.push(Output::EntryUpdated(entry)),
            Ok(false) => self.channel.count("not-newer"),
            Err(error) => self.channel.count(error.counter()),
        }
    }

    /// Handles a response to a request that is no longer pending. While a newer request is pending, the response
    /// timeout is doubled, once for each late request.
    fn handle_late_response(&mut self, source: SourceIndex, nonce: u32) {
        let state = &mut self.states[source];
        if state.pending_request.is_some() && nonce != state.last_late_nonce {
            state.last_late_nonce = nonce;
            state.timeout_factor = (state.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
        }
        self.channel.count("stale-answer");
    }

    fn handle_up_to_date(&mut self, now: Millis, context: ResponseContext, same_content: bool) {
        if self.states[context.source].cursor != context.head {
            return self.channel.count("stale-answer");
        }
        self.record_synchronized(now, context);
        self.check_divergence(now, context, same_content);
    }

    /// Advances the cursor. Then waits for the rest of the response, requests more changes, or finishes the request.
    fn handle_changes(
        &mut self,
        now: Millis,
        context: ResponseContext,
        received: SequenceRange,
        last: bool,
    ) {
        let state = &mut self.states[context.source];
        if state.cursor.incarnation != context.head.incarnation {
            return self.channel.count("stale-answer");
        }
        state.advance_cursor(received);
        let sequence = state.cursor.sequence;
        let last_sequence = context.request.last_sequence;
        let last_sequence = last_sequence.or(last.then_some(received.up_to));
        let is_complete = last_sequence.is_some_and(|last| sequence >= last);
        if !is_complete {
            self.extend_deadline(now, context.source, last_sequence);
        } else if sequence >= context.head.sequence {
            self.record_synchronized(now, context);
        } else {
            self.poll_immediately(now, context.source);
        }
    }

    /// Finishes the request, and records that everything the source had when it responded is held here.
    fn record_synchronized(&mut self, now: Millis, context: ResponseContext) {
        self.finish_request(now, context.source);
        let state = &mut self.states[context.source];
        state.clear_out_of_order();
        let Some(as_of) = context.as_of else {
            return;
        };
        state.record_sync(as_of);
        if !std::mem::replace(&mut self.synchronized, true) {
            self.channel.emit(Event::Synchronized);
        }
    }

    /// Resynchronizes with a source whose content has differed for [`RESYNC_IF_DIVERGED_FOR`] although the cursor was
    /// at its head.
    fn check_divergence(&mut self, now: Millis, context: ResponseContext, same_content: bool) {
        let state = &mut self.states[context.source];
        if same_content {
            state.diverged_since = None;
            return;
        }
        let since = *state.diverged_since.get_or_insert(now);
        if now >= since + RESYNC_IF_DIVERGED_FOR {
            state.diverged_since = None;
            self.start_resync(now, context.source, context.head);
        }
    }
}

/// The time on this follower's clock before which everything written is held once the response is complete. Counting
/// the data age from when the request was sent, not from when the response was, never makes the data appear newer than
/// it is.
fn synced_as_of(request: PendingRequest, data_age: Option<u64>) -> Option<i64> {
    let data_age = i64::try_from(data_age?).ok()?;
    Some((request.sent_at as i64).saturating_sub(data_age))
}
