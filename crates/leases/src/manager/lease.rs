//! The local state of one lease.

use crate::proposer::{Phase, Proposal, Proposer};
use crate::ranking::Ranking;
use crate::{InstanceId, LeaseId, Message, Millis};

/// A grant expires `interval / GRANT_MARGIN_DIVISOR` before the interval ends.
pub(super) const GRANT_MARGIN_DIVISOR: u64 = 4;
/// Voters take over in turn, `interval / STAGGER_DIVISOR` apart.
pub(super) const STAGGER_DIVISOR: u64 = 8;

/// A configured lease, as this instance sees it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub interval: Millis,
    pub voters: Vec<InstanceId>,
    pub proposer: Proposer,
    /// The instance that ranks first among those alive.
    pub preferred: Option<InstanceId>,
    /// When the next term may be proposed.
    pub next_term_at: Millis,
    /// When the armed timer expires.
    pub timer_at: Option<Millis>,
    /// Number of retransmissions in the current attempt.
    pub retransmissions: u32,
    /// Whether the preferred instance has asked for the lease.
    pub is_handover_requested: bool,
    /// The last term that this instance won.
    pub last_won: Option<Proposal>,
    /// Terms in which this instance carried out the task.
    pub completed: u64,
    /// See [`LeaseStatus::missed`](super::LeaseStatus::missed).
    pub missed: u64,
    /// Whether this instance holds the lease, as last reported by an output.
    pub is_held: bool,
    /// Whether the quorum is lost, as last reported by an output.
    pub is_quorum_lost: bool,
    pub added_at: Millis,
}

impl Lease {
    pub fn new(
        now: Millis,
        interval: Millis,
        voters: Vec<InstanceId>,
        preferred: Option<InstanceId>,
    ) -> Self {
        Self {
            interval,
            voters,
            proposer: Proposer::new(),
            preferred,
            next_term_at: now,
            timer_at: None,
            retransmissions: 0,
            is_handover_requested: false,
            last_won: None,
            completed: 0,
            missed: 0,
            is_held: false,
            is_quorum_lost: false,
            added_at: now,
        }
    }

    /// A delay that differs between proposers and attempts, so that proposers that failed together do not retry
    /// together.
    pub fn jitter(&self, id: LeaseId, instance: InstanceId) -> Millis {
        let hash = Ranking::hash_number(id.0 ^ instance.0 ^ self.proposer.ballot.round);
        hash % (self.interval / STAGGER_DIVISOR + 1)
    }

    /// When the grant of an attempt that began at `started_at` expires. From then on the attempt is pointless.
    pub fn expiry_of(&self, started_at: Millis) -> Millis {
        started_at + self.interval - self.interval / GRANT_MARGIN_DIVISOR
    }

    /// The request that the proposer sends to the voters in its current phase.
    pub fn current_request(&self, id: LeaseId) -> Message {
        let (proposer, interval) = (&self.proposer, self.interval);
        let ballot = proposer.ballot;
        match proposer.phase {
            Phase::PreVote | Phase::Preparing => Message::Prepare {
                lease: id,
                ballot,
                interval,
                pre_vote: proposer.phase == Phase::PreVote,
            },
            _ => Message::Accept {
                lease: id,
                ballot,
                term: proposer.term,
                interval,
            },
        }
    }

    /// The voters that have not responded to the current request.
    pub fn unanswered_voters(&self) -> Vec<InstanceId> {
        let voters = self.voters.iter();
        voters
            .filter(|voter| !self.proposer.has_vote_from(voter.0))
            .copied()
            .collect()
    }
}
