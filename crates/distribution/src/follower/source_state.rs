//! The state that a follower keeps of one source.

use crate::Millis;
use crate::messages::MAX_WINDOW;

/// The maximum number of ranges of one response that are kept when they arrive out of order: the number of its
/// datagrams.
pub(super) const MAX_OUT_OF_ORDER: usize = MAX_WINDOW as usize;

/// The last change of a source's incarnation that the follower holds. Incarnation 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Cursor {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

/// The changes after one sequence number, up to and including another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SequenceRange {
    pub(super) after: u64,
    pub(super) up_to: u64,
}

/// A request whose response is not complete yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    /// The request's nonce, 0 for a handshake.
    pub(super) nonce: u32,
    pub(super) sent_at: Millis,
    pub(super) deadline: Millis,
    /// The sequence number of the response's last change, known once its last datagram has arrived. The response is
    /// complete when the cursor has reached this number. In a resynchronization, only whether it is known is used.
    pub(super) last_sequence: Option<u64>,
}

/// The state of one source at a follower.
#[derive(Clone, Debug)]
pub(super) struct SourceState {
    pub(super) cursor: Cursor,
    pub(super) next_poll: Millis,
    pub(super) pending_request: Option<PendingRequest>,
    /// The nonce of the last request whose response arrived after its deadline.
    pub(super) last_late_nonce: u32,
    /// The factor on the response timeout, doubled by late responses.
    pub(super) timeout_factor: u64,
    pub(super) missed_responses: u32,
    /// When to retry the source; set only while the source is disconnected.
    pub(super) retry_at: Option<Millis>,
    /// The follower holds everything written before this time on its clock; negative before the start of the clock.
    pub(super) synced_as_of: Option<i64>,
    /// Received ranges of changes that are not yet contiguous with the cursor.
    out_of_order: Vec<SequenceRange>,
    /// Since when the contents have differed although the cursor is at the source's head.
    pub(super) diverged_since: Option<Millis>,
}

impl SourceState {
    /// The state of a source that was never polled.
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

    /// The pending request, if it has this nonce.
    pub(super) fn pending_with_nonce(&self, nonce: u32) -> Option<PendingRequest> {
        self.pending_request
            .filter(|request| request.nonce == nonce)
    }

    /// Replaces the cursor. Ranges received for the previous cursor are dropped.
    pub(super) fn set_cursor(&mut self, cursor: Cursor) {
        self.cursor = cursor;
        self.clear_out_of_order();
    }

    pub(super) fn clear_out_of_order(&mut self) {
        self.out_of_order.clear();
    }

    /// Records a received range of changes, and advances the cursor over all contiguous ranges.
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

    /// Records that everything written before this time is held. The recorded time never decreases.
    pub(super) fn record_sync(&mut self, as_of: i64) {
        let latest = self.synced_as_of.map_or(as_of, |before| before.max(as_of));
        self.synced_as_of = Some(latest);
    }
}
