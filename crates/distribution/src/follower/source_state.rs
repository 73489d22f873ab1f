//! What a follower knows of one source.

use crate::Millis;
use crate::messages::MAX_WINDOW;

/// Ranges of one response that may be remembered when they arrive out of order: as many as it has datagrams.
pub(super) const MAX_OUT_OF_ORDER: usize = MAX_WINDOW as usize;

/// The last change of a source's incarnation that is held here. Incarnation 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Cursor {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

/// The changes after one sequence number, up to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SequenceRange {
    pub(super) after: u64,
    pub(super) up_to: u64,
}

/// A request without a complete response.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    /// Its number, 0 for a handshake.
    pub(super) nonce: u32,
    pub(super) sent_at: Millis,
    pub(super) deadline: Millis,
    /// The last change of the response, once its last datagram has arrived: the response is complete when the cursor
    /// is there.
    pub(super) last_sequence: Option<u64>,
}

/// The state of one source at a follower.
#[derive(Clone, Debug)]
pub(super) struct SourceState {
    pub(super) cursor: Cursor,
    pub(super) next_poll: Millis,
    pub(super) pending_request: Option<PendingRequest>,
    /// The last request whose response came after its deadline.
    pub(super) last_late_nonce: u32,
    /// The factor on the response timeout, doubled by late responses.
    pub(super) timeout_factor: Millis,
    pub(super) missed_responses: u32,
    /// The source is disconnected, and retried at this time.
    pub(super) retry_at: Option<Millis>,
    /// Everything written before this time on our clock is held here; negative before the start of the clock.
    pub(super) synced_as_of: Option<i64>,
    /// Received ranges of changes that do not yet join the cursor.
    out_of_order: Vec<SequenceRange>,
    /// Since when the contents differ although the cursor is at the source's head.
    pub(super) diverged_since: Option<Millis>,
}

impl SourceState {
    /// A source that was never polled.
    pub(super) fn new(first_poll: Millis) -> Self {
        Self {
            cursor: Cursor::default(),
            next_poll: first_poll,
            pending_request: None,
            last_late_nonce: 0,
            timeout_factor: 1,
            missed_responses: 0,
            retry_at: None,
            synced_as_of: None,
            out_of_order: Vec::new(),
            diverged_since: None,
        }
    }

    pub(super) fn is_disconnected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// The pending request, if it has this number.
    pub(super) fn pending_with_nonce(&self, nonce: u32) -> Option<PendingRequest> {
        self.pending_request
            .filter(|request| request.nonce == nonce)
    }

    /// Replaces the cursor; ranges received for the previous one are void.
    pub(super) fn set_cursor(&mut self, cursor: Cursor) {
        self.cursor = cursor;
        self.clear_out_of_order();
    }

    pub(super) fn clear_out_of_order(&mut self) {
        self.out_of_order.clear();
    }

    /// Takes a received range of changes, and moves the cursor over all that join it.
    pub(super) fn advance_cursor(&mut self, received: SequenceRange) {
        if self.out_of_order.len() < MAX_OUT_OF_ORDER {
            self.out_of_order.push(received);
        }
        self.out_of_order.sort_unstable();
        let mut sequence = self.cursor.sequence;
        for range in &self.out_of_order {
            if range.after <= sequence && range.up_to > sequence {
                sequence = range.up_to;
            }
        }
        self.cursor.sequence = sequence;
        self.out_of_order.retain(|range| range.up_to > sequence);
    }

    /// Everything written before this time is held here; the time never goes back.
    pub(super) fn record_sync(&mut self, as_of: i64) {
        let latest = self.synced_as_of.map_or(as_of, |before| before.max(as_of));
        self.synced_as_of = Some(latest);
    }
}
