//! Tracking of which changes have reached all reachable followers whose primary source this is, and when.

use super::followers::ConfirmedByAll;
use crate::{Entry, Millis};
use std::collections::VecDeque;

/// The interval at which the propagation of changes is evaluated.
pub const TRACKING_INTERVAL: Millis = 250;
/// A reachable follower lags if it has not confirmed a change this long after the change's arrival at the source.
pub const LAG_THRESHOLD: Millis = 3000;
/// The number of most recent changes that are tracked.
pub const MAX_TRACKED_CHANGES: usize = 256;
/// A source is settled once it has run this long: all followers that considered it disconnected have had the time to
/// retry it. This is the longest interval between two retries of a follower (7,500 ms by default), plus one second.
pub const SETTLE_TIME: Millis = 8500;

/// The propagation of a change to all reachable followers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Propagated {
    pub(super) at: Millis,
    /// The number of followers that had to confirm the change.
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
    /// Tracks a change. If there are too many, the oldest one is dropped.
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

    /// Updates which changes are propagated. Until the source is settled, a propagated change becomes unpropagated
    /// again if a follower reconnects that has not confirmed it.
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

    /// The lag of a follower that has confirmed the changes up to `confirmed`: the time since the first change after it
    /// arrived. `None` if that is less than [`LAG_THRESHOLD`].
    pub(super) fn lag(&self, now: Millis, confirmed: u64) -> Option<Millis> {
        let mut changes = self.changes.iter();
        let missing = changes.find(|change| change.sequence > confirmed)?;
        let lag = now.saturating_sub(missing.received_at);
        (lag >= LAG_THRESHOLD).then_some(lag)
    }
}
