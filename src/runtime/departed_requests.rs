//! The ids of requests that may have executed and whose client has left. An id is new for every connection, so one that
//! comes again is the same request: it would execute a second time, perhaps while the first execution goes on.

use crate::api::RequestId;
use crate::invariants;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is remembered.
const REMEMBERED_TIME: Duration = Duration::from_secs(60);
/// Maximum number of ids that are remembered. Beyond it, the oldest one is forgotten early.
const MAX_REMEMBERED: usize = 16_384;

/// Remembers the ids of departed requests for `REMEMBERED_TIME`.
#[derive(Default)]
pub struct DepartedRequests {
    ids: HashSet<RequestId>,
    /// When each id was added, oldest first.
    by_age: VecDeque<(Instant, RequestId)>,
}

impl DepartedRequests {
    /// Remembers an id from `now` on. Does nothing if it is remembered already.
    pub fn remember(&mut self, now: Instant, id: RequestId) {
        self.forget_expired(now);
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back((now, id));
        if self.by_age.len() > MAX_REMEMBERED {
            invariants::count("departed request forgotten early");
            self.forget_oldest();
        }
    }

    /// Whether an id is remembered at `now`.
    pub fn contains(&mut self, now: Instant, id: RequestId) -> bool {
        self.forget_expired(now);
        self.ids.contains(&id)
    }

    /// The number of ids that are kept.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn forget_expired(&mut self, now: Instant) {
        let is_expired = |(added, _): &(Instant, RequestId)| now >= *added + REMEMBERED_TIME;
        while self.by_age.front().is_some_and(is_expired) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}
