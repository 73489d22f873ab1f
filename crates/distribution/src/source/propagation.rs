//! Which changes have reached all reachable followers whose primary source this is, and since when.

use super::followers::ConfirmedByAll;
use crate::{Entry, Millis};
use std::collections::VecDeque;

/// The interval at which the propagation of changes is evaluated.
pub const TRACKING_INTERVAL: Millis = 250;
/// A reachable follower that has not confirmed a change after this time lags.
pub const LAG_THRESHOLD: Millis = 3000;
/// The last changes that are tracked.
pub const MAX_TRACKED_CHANGES: usize = 256;
/// This long after its start a source has all the followers back that had found it disconnected: the longest time
/// between two of their retries, and a second.
pub const SETTLE_TIME: Millis = 8500;

/// When a change had reached all reachable followers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Propagated {
    pub(super) at: Millis,
    /// How many followers had to confirm it.
    pub(super) followers: usize,
}

/// A change and its propagation.
#[derive(Clone, Debug)]
pub(super) struct TrackedChange {
    pub(super) sequence: u64,
    pub(super) key: u64,
    pub(super) version: u64,
    pub(super) received_at: Millis,
    pub(super) propagated: Option<Propagated>,
}

/// The last changes of a source, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeTracker {
    changes: VecDeque<TrackedChange>,
}

impl ChangeTracker {
    /// Tracks a change; the oldest one is dropped if there are too many.
    pub(super) fn record(&mut self, now: Millis, sequence: u64, entry: &Entry) {
        if self.changes.len() >= MAX_TRACKED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(TrackedChange {
            sequence,
            key: entry.key,
            version: entry.version,
            received_at: now,
            propagated: None,
        });
    }

    /// Evaluates the propagation. Before the source is settled, a follower that comes back can revoke it.
    pub(super) fn update(&mut self, now: Millis, confirmed: ConfirmedByAll, is_settled: bool) {
        for change in &mut self.changes {
            let is_confirmed = change.sequence <= confirmed.sequence;
            if !is_confirmed && !is_settled {
                change.propagated = None;
            } else if is_confirmed && change.propagated.is_none() {
                change.propagated = Some(Propagated {
                    at: now,
                    followers: confirmed.followers,
                });
            }
        }
    }

    /// The changes, newest first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = &TrackedChange> {
        self.changes.iter().rev()
    }

    /// How long a follower that has confirmed the changes up to this one lags, if it does.
    pub(super) fn lag(&self, now: Millis, confirmed: u64) -> Option<Millis> {
        let mut changes = self.changes.iter();
        let missing = changes.find(|change| change.sequence > confirmed)?;
        let lag = now.saturating_sub(missing.received_at);
        (lag >= LAG_THRESHOLD).then_some(lag)
    }
}
