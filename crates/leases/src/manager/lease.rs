//! The local state of one lease.

use crate::proposer::{Phase, Proposal, Proposer};
use crate::ranking::Ranking;
use crate::{InstanceId, LeaseId, Message, Millis};

/// A grant expires this share of an interval before the interval ends.
pub(super) const GRANT_MARGIN_SHARE: u64 = 4;
/// Voters take over one after the other, this share of an interval apart.
pub(super) const STAGGER_SHARE: u64 = 8;

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub interval: Millis,
    pub voters: Vec<InstanceId>,
    pub proposer: Proposer,
    /// The instance that ranks first among those alive.
    pub preferred: Option<InstanceId>,
    /// When the next term may be proposed.
    pub next_term_at: Millis,
    /// The time of its timer.
    pub timer_at: Option<Millis>,
    /// Requests repeated so far in this attempt.
    pub repeats: u32,
    /// The preferred instance has asked for the lease.
    pub is_handover_requested: bool,
    /// The last term won here.
    pub last_won: Option<Proposal>,
    pub completed: u64,
    pub missed: u64,
    /// Whether it is held, as reported last.
    pub is_held: bool,
    /// Whether its quorum is lost, as reported last.
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
            repeats: 0,
            is_handover_requested: false,
            last_won: None,
            completed: 0,
            missed: 0,
            is_held: false,
            is_quorum_lost: false,
            added_at: now,
        }
    }

    /// A pause that differs between proposers and attempts: those that failed together must not retry together.
    pub fn jitter(&self, id: LeaseId, instance: InstanceId) -> Millis {
        let drawn = Ranking::hash_number(id.0 ^ instance.0 ^ self.proposer.ballot.round);
        drawn % (self.interval / STAGGER_SHARE + 1)
    }

    /// When a grant expires, or an attempt is pointless, that began at this moment.
    pub fn expiry_of(&self, started_at: Millis) -> Millis {
        started_at + self.interval - self.interval / GRANT_MARGIN_SHARE
    }

    /// What the proposer asks the voters for in its phase.
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

    /// The voters that have not answered the current request.
    pub fn unanswered_voters(&self) -> Vec<InstanceId> {
        let voters = self.voters.iter();
        voters
            .filter(|voter| !self.proposer.has_vote_from(voter.0))
            .copied()
            .collect()
    }
}
