//! The requests that wait for capacity, in order of arrival. A request is in the queue at most once, and
//! leaves it when it ends.

use super::api::RequestId;
use std::collections::BTreeMap;

/// The place of a request in the queue. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition(u64);

#[derive(Default)]
pub(super) struct RequestQueue {
    requests: BTreeMap<QueuePosition, RequestId>,
    next_number: u64,
    is_pass_scheduled: bool,
}

impl RequestQueue {
    /// Adds a request at the end.
    pub(super) fn push(&mut self, id: RequestId) -> QueuePosition {
        let position = QueuePosition(self.next_number);
        self.next_number += 1;
        self.requests.insert(position, id);
        position
    }

    /// Removes the request at this position, if it is still there.
    pub(super) fn remove(&mut self, position: QueuePosition) {
        self.requests.remove(&position);
    }

    /// Records that a pass over the queue is scheduled. Returns `false` if one already was.
    pub(super) fn schedule_pass(&mut self) -> bool {
        !std::mem::replace(&mut self.is_pass_scheduled, true)
    }

    /// Begins a pass: takes all requests, in order of arrival. The next pass has to be scheduled anew.
    pub(super) fn begin_pass(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        self.is_pass_scheduled = false;
        std::mem::take(&mut self.requests).into_values()
    }
}
