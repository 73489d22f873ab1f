//! Anti-entropy with one source, as a state machine without I/O.
//!
//! If the store is empty, all entries are transferred. Otherwise, the hashes of the tree's branches are compared, then
//! the hashes of the leaves of branches that differ. Finally, the newer entries of leaves that differ are transferred.

use super::source_state::{Cursor, MAX_OUT_OF_ORDER};
use super::versions_held::versions_held;
use crate::messages::{LeafHashes, LeafVersions, Payload, Query, ResponseBody};
use crate::source_selection::SourceIndex;
use crate::store::{BRANCHES, EntryStore, LEAVES_PER_BRANCH, leaf_of, leaf_range};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The number of consecutive complete responses without progress that are tolerated. After one more, the
/// resynchronization is abandoned until the next poll.
const MAX_STALLED_RESPONSES: u32 = 4;

/// A resynchronization with a source.
#[derive(Clone, Debug)]
pub(super) struct Resync {
    pub(super) source: SourceIndex,
    /// The source's head at the start, which becomes the cursor once the resynchronization is complete.
    pub(super) start: Cursor,
    phase: Phase,
    /// Received ranges that are not yet contiguous with the position.
    out_of_order: Vec<PositionRange>,
    stalled_responses: u32,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Compares the hashes of branches.
    Branches,
    /// Compares the hashes of leaves.
    Leaves {
        /// Branches that differ and whose leaves have not been compared yet, one bit for each.
        remaining_branches: u64,
        salt: u32,
        differing_leaves: Vec<u16>,
    },
    /// Transfers all entries.
    AllEntries {
        /// The first position whose entries have not been received yet.
        position: u64,
    },
    /// Transfers the newer entries of leaves that differ.
    DifferingLeaves {
        /// Leaves that are not complete yet, in ascending order.
        leaves: Vec<u16>,
        /// The last leaf in the current request.
        last_requested_leaf: u16,
        /// The first position whose entries have not been received yet.
        position: u64,
    },
}

/// The positions from `from` up to but excluding `next`, or up to the end of what was requested if `next` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PositionRange {
    from: u64,
    next: Option<u64>,
}

/// The progress made by a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// The resynchronization is complete.
    pub(super) is_finished: bool,
    /// No more datagrams of this response are expected.
    pub(super) is_response_complete: bool,
    /// The state has advanced.
    has_advanced: bool,
}

impl Resync {
    /// A resynchronization with a source at this head.
    pub(super) fn new(source: SourceIndex, start: Cursor, store: &EntryStore) -> Self {
        let phase = match store.is_empty() {
            true => Phase::AllEntries { position: 0 },
            false => Phase::Branches,
        };
        Self {
            source,
            start,
            phase,
            out_of_order: Vec::new(),
            stalled_responses: 0,
        }
    }

    /// The name of the counter of resynchronizations that start in this phase.
    pub(super) fn counter(&self) -> &'static str {
        match self.phase {
            Phase::Branches => "comparisons",
            _ => "walks",
        }
    }

    /// The next request. Ranges that arrived out of order are dropped, because its response repeats them.
    pub(super) fn next_query(&mut self, store: &EntryStore) -> (Query, Vec<LeafVersions>) {
        self.out_of_order.clear();
        let query = match &mut self.phase {
            Phase::Branches => Query::BranchHashes,
            Phase::Leaves {
                remaining_branches,
                salt,
                ..
            } => Query::LeafHashes {
                branches: *remaining_branches,
                salt: *salt,
            },
            Phase::AllEntries { position } => Query::Entries { from: *position },
            Phase::DifferingLeaves {
                leaves,
                last_requested_leaf,
                position,
            } => {
                let requested = versions_held(store, leaves, *position);
                *last_requested_leaf = requested.last().map_or(0, |held| held.leaf);
                return (Query::NewerEntries { from: *position }, requested);
            }
        };
        (query, Vec::new())
    }

    /// Applies a datagram of a response. Returns `None` if the datagram does not belong to the current phase.
    /// `seen_last`: the last datagram of the response has arrived, possibly before others.
    pub(super) fn apply(
        &mut self,
        store: &EntryStore,
        rng: &mut ChaCha8Rng,
        body: &ResponseBody,
        payload: &Payload,
        seen_last: bool,
    ) -> Option<Progress> {
        match (body, payload) {
            (ResponseBody::BranchHashes, Payload::BranchHashes(theirs)) => {
                self.compare_branches(store, rng, theirs)
            }
            (ResponseBody::LeafHashes { last }, Payload::LeafHashes(theirs)) => {
                self.compare_leaves(store, theirs, *last)
            }
            (ResponseBody::Entries { from, next, .. }, _) => {
                let (from, next) = (*from, *next);
                self.advance_position(PositionRange { from, next }, seen_last)
            }
            _ => None,
        }
    }

    /// Counts complete responses without progress in a row. Returns whether they are more than
    /// [`MAX_STALLED_RESPONSES`].
    pub(super) fn update_stalled(&mut self, progress: Progress) -> bool {
        if progress.is_response_complete {
            self.stalled_responses = match progress.has_advanced {
                true => 0,
                false => self.stalled_responses + 1,
            };
        }
        self.stalled_responses > MAX_STALLED_RESPONSES
    }

    fn compare_branches(
        &mut self,
        store: &EntryStore,
        rng: &mut ChaCha8Rng,
        theirs: &[u64],
    ) -> Option<Progress> {
        if !matches!(self.phase, Phase::Branches) {
            return None;
        }
        let ours = store.branch_hashes();
        let differing = (0..BRANCHES).filter(|branch| ours[*branch] != theirs[*branch]);
        let remaining_branches = differing.fold(0_u64, |bits, branch| bits | 1 << branch);
        self.phase = Phase::Leaves {
            remaining_branches,
            salt: rng.random(),
            differing_leaves: Vec::new(),
        };
        Some(Progress {
            is_finished: remaining_branches == 0,
            is_response_complete: true,
            has_advanced: true,
        })
    }

    fn compare_leaves(
        &mut self,
        store: &EntryStore,
        theirs: &[LeafHashes],
        last: bool,
    ) -> Option<Progress> {
        let Phase::Leaves {
            remaining_branches,
            salt,
            differing_leaves,
        } = &mut self.phase
        else {
            return None;
        };
        let remaining_before = *remaining_branches;
        for LeafHashes { branch, hashes } in theirs {
            if *remaining_branches >> branch & 1 == 0 {
                continue;
            }
            *remaining_branches &= !(1 << branch);
            let ours = store.leaf_hashes(*branch as usize, *salt);
            let differing = (0..LEAVES_PER_BRANCH).filter(|leaf| ours[*leaf] != hashes[*leaf]);
            let first_leaf = u16::from(*branch) * LEAVES_PER_BRANCH as u16;
            differing_leaves.extend(differing.map(|leaf| first_leaf + leaf as u16));
        }
        let all_compared = *remaining_branches == 0;
        let progress = Progress {
            is_finished: all_compared && differing_leaves.is_empty(),
            // If the last datagram arrived before another one, the missing hashes are requested again.
            is_response_complete: last || all_compared,
            has_advanced: *remaining_branches != remaining_before,
        };
        if all_compared {
            let mut leaves = std::mem::take(differing_leaves);
            leaves.sort_unstable();
            self.phase = Phase::DifferingLeaves {
                leaves,
                last_requested_leaf: 0,
                position: 0,
            };
        }
        Some(progress)
    }

    /// Records a received range of entries, and advances the position over all contiguous ranges.
    fn advance_position(&mut self, received: PositionRange, seen_last: bool) -> Option<Progress> {
        let (Phase::AllEntries { position } | Phase::DifferingLeaves { position, .. }) =
            &mut self.phase
        else {
            return None;
        };
        if self.out_of_order.len() < MAX_OUT_OF_ORDER {
            self.out_of_order.push(received);
        }
        self.out_of_order.sort_unstable();
        let position_before = *position;
        let mut reached_end = false;
        for range in &self.out_of_order {
            match range.next {
                Some(next) if range.from <= *position => *position = (*position).max(next),
                None if range.from <= *position => reached_end = true,
                _ => {}
            }
        }
        let position = *position;
        self.out_of_order.retain(|range| range.from > position);
        Some(Progress {
            is_finished: self.complete_leaves(position, reached_end),
            is_response_complete: reached_end || (seen_last && self.out_of_order.is_empty()),
            has_advanced: reached_end || position != position_before,
        })
    }

    /// Removes the leaves before the position, or all requested leaves if the end of the response is reached. Returns
    /// whether nothing remains to be transferred.
    fn complete_leaves(&mut self, reached: u64, reached_end: bool) -> bool {
        let Phase::DifferingLeaves {
            leaves,
            last_requested_leaf,
            position,
        } = &mut self.phase
        else {
            return reached_end;
        };
        if reached_end {
            leaves.retain(|leaf| leaf > last_requested_leaf);
            let next_leaf = leaves.first();
            *position = next_leaf.map_or(0, |leaf| *leaf_range(*leaf as usize).start());
        } else {
            let reached_leaf = leaf_of(reached) as u16;
            leaves.retain(|leaf| *leaf >= reached_leaf);
        }
        leaves.is_empty()
    }
}
