//! The status of each lease, for operators.

use super::LeaseManager;
use super::lease::Lease;
use crate::acceptor::AcceptorState;
use crate::proposer::Phase;
use crate::{Clocks, InstanceId, LeaseId, Millis};
use serde::{Deserialize, Serialize};

/// The status of one lease, as far as one instance knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The lease.
    pub lease: LeaseId,
    /// The lease's interval.
    pub interval: Millis,
    /// The holder, as far as this instance knows.
    pub holder: Option<InstanceId>,
    /// The last term that this instance won or voted for; 0 for none.
    pub term: u64,
    /// The time since this instance proposed or voted for `term`.
    pub term_age: Option<Millis>,
    /// Terms in which this instance carried out the task.
    pub completed: u64,
    /// Terms that passed without the task before this instance took the lease over, and terms won by this instance
    /// whose grant expired before the task was carried out.
    pub missed: u64,
    /// Whether this instance should hold the lease but cannot reach a majority.
    pub is_quorum_lost: bool,
}

/// The last term that was won or voted for. Ordered by term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LastTerm {
    term: u64,
    at: Millis,
}

impl LeaseManager {
    /// The status of each lease, ordered by id.
    pub fn status(&self, now: Clocks) -> impl Iterator<Item = LeaseStatus> + '_ {
        self.leases.iter().map(move |(id, lease)| {
            let accepted = self.acceptor.state(*id);
            let last_term = last_term(lease, accepted);
            LeaseStatus {
                lease: *id,
                interval: lease.interval,
                holder: self.presumed_holder(lease, accepted),
                term: last_term.map_or(0, |last| last.term),
                term_age: last_term.map(|last| now.monotonic.saturating_sub(last.at)),
                completed: lease.completed,
                missed: lease.missed,
                is_quorum_lost: lease.is_quorum_lost,
            }
        })
    }

    /// The full state of a lease in Rust's debug format, for diagnosing a fault.
    pub fn describe(&self, id: LeaseId) -> String {
        format!("{:?} {:?}", self.leases.get(&id), self.acceptor.state(id))
    }

    /// How much longer this instance abstains from votes on leases with this interval.
    pub fn remaining_abstention(&self, now: Clocks, interval: Millis) -> Millis {
        self.acceptor.remaining_abstention(now, interval)
    }

    fn presumed_holder(
        &self,
        lease: &Lease,
        accepted: Option<&AcceptorState>,
    ) -> Option<InstanceId> {
        if matches!(lease.proposer.phase, Phase::Holding | Phase::Proposing) {
            return Some(self.config.instance);
        }
        match accepted {
            Some(state) if state.accepted_at.is_some() && !state.is_released => {
                Some(InstanceId(state.promised.proposer))
            }
            _ => lease.proposer.known_holder.map(InstanceId),
        }
    }
}

fn last_term(lease: &Lease, accepted: Option<&AcceptorState>) -> Option<LastTerm> {
    let voted = accepted.and_then(|state| {
        state.accepted_at.map(|at| LastTerm {
            term: state.highest_term,
            at,
        })
    });
    let won = lease.last_won.map(|won| LastTerm {
        term: won.term,
        at: won.proposed_at,
    });
    voted.max(won)
}
