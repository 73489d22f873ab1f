//! Messages from other instances: requests for this instance's votes, and responses to its own requests.

use super::LeaseManager;
use crate::proposer::{Phase, Progress};
use crate::{Ballot, Clocks, InstanceId, LeaseId, Message, RejectReason};

impl LeaseManager {
    pub(super) fn handle_message(&mut self, now: Clocks, from: InstanceId, message: &Message) {
        match message {
            Message::Prepare { lease, .. }
            | Message::Accept { lease, .. }
            | Message::Release { lease, .. } => self.handle_request(now, from, *lease, message),
            Message::RequestHandover { lease } => self.handle_handover_request(now, from, *lease),
            Message::Promise { lease, ballot, .. }
            | Message::Accepted { lease, ballot, .. }
            | Message::Rejected { lease, ballot, .. } => {
                self.handle_response(now, from, *lease, *ballot, message);
            }
        }
    }

    /// Passes a proposer's request to the acceptor. The acceptor votes on any lease, including one that is not
    /// configured at this instance yet.
    fn handle_request(&mut self, now: Clocks, from: InstanceId, lease: LeaseId, request: &Message) {
        let response = self.acceptor.handle_message(now, request, &self.alive);
        if let Some(response) = response {
            self.send_message(now, from, response);
        }
        // A vote for another instance postpones the time at which that instance counts as late, and with it the check.
        if from != self.config.instance && !self.is_preferred(lease) {
            self.schedule_check(now, lease);
        }
    }

    /// Hands the lease over to the preferred instance: at once while holding the lease between two terms, or, during a
    /// proposal, when the term is won.
    fn handle_handover_request(&mut self, now: Clocks, from: InstanceId, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        lease.is_handover_requested = lease.preferred == Some(from) && from != self.config.instance;
        if lease.is_handover_requested && lease.proposer.phase == Phase::Holding {
            self.release_lease(now, id);
        }
    }

    fn handle_response(
        &mut self,
        now: Clocks,
        from: InstanceId,
        id: LeaseId,
        ballot: Ballot,
        response: &Message,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        if !lease.voters.contains(&from) {
            return;
        }
        if lacks_promise(response) && ballot == lease.proposer.ballot {
            let prepare = Message::Prepare {
                lease: id,
                ballot,
                interval: lease.interval,
                pre_vote: false,
            };
            return self.send_message(now, from, prepare);
        }
        let voters = lease.voters.len();
        let progress = lease.proposer.handle_response(from.0, response, voters);
        if progress != Progress::Pending {
            return self.apply_progress(now, id, progress);
        }
        // A rejection that arrived after the majority was complete: an acceptor has promised a higher ballot.
        if lease.proposer.phase == Phase::Holding && lease.proposer.is_preempted {
            self.start_prepare(now, id);
        }
    }
}

fn lacks_promise(response: &Message) -> bool {
    let Message::Rejected { reason, .. } = response else {
        return false;
    };
    *reason == RejectReason::NoPromise
}
