//! Proposing terms, releasing a lease, and acting on the result of an attempt.

use super::lease::{GRANT_MARGIN_DIVISOR, STAGGER_DIVISOR};
use super::{LeaseManager, Output};
use crate::acceptor::LATE_HOLDER_DIVISOR;
use crate::proposer::{Phase, Progress, Proposal};
use crate::{Clocks, InstanceId, LeaseGrant, LeaseId, Message, Millis};

/// A request without a response is retransmitted after this time, in milliseconds, or earlier for short intervals.
const RETRANSMIT_AFTER_MS: Millis = 100;
/// A request is retransmitted after `interval / RETRANSMIT_DIVISOR` at the latest.
const RETRANSMIT_DIVISOR: u64 = 8;
/// Maximum number of times that a request is sent in one attempt, including the first time.
const MAX_TRANSMISSIONS: u32 = 6;
/// An unresolved term is proposed again only within `interval / RESUME_DIVISOR` after its first proposal.
const RESUME_DIVISOR: u64 = 2;
/// The minimum backoff after a failed attempt is `interval / MIN_BACKOFF_DIVISOR`.
const MIN_BACKOFF_DIVISOR: u64 = 16;

impl LeaseManager {
    /// Starts a pre-vote for a lease.
    pub(super) fn start_pre_vote(&mut self, now: Clocks, id: LeaseId) {
        let (instance, incarnation) = (self.config.instance.0, self.config.incarnation);
        if let Some(lease) = self.leases.get_mut(&id) {
            let proposer = &mut lease.proposer;
            proposer.start_pre_vote(now.monotonic, instance, incarnation);
            lease.retransmissions = 0;
            self.send_request(now, id);
        }
    }

    /// Requests promises for a lease, with a new ballot.
    pub(super) fn start_prepare(&mut self, now: Clocks, id: LeaseId) {
        let (instance, incarnation) = (self.config.instance.0, self.config.incarnation);
        if let Some(lease) = self.leases.get_mut(&id) {
            let proposer = &mut lease.proposer;
            proposer.start_prepare(now.monotonic, instance, incarnation);
            lease.retransmissions = 0;
            self.send_request(now, id);
        }
    }

    /// Proposes a term of a lease: the unresolved one, or else the next one.
    pub(super) fn propose_term(&mut self, now: Clocks, id: LeaseId) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.proposer.propose_term(now.monotonic);
            lease.retransmissions = 0;
            self.send_request(now, id);
        }
    }

    /// Retransmits a request that lacks responses, or gives the attempt up.
    pub(super) fn retransmit_request(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        lease.retransmissions += 1;
        let in_time = now.monotonic < lease.expiry_of(lease.proposer.started_at);
        let proposer = &lease.proposer;
        // An acceptor has promised a higher ballot. With a new ballot the same term can be proposed to that acceptor.
        if proposer.phase == Phase::Proposing && proposer.is_preempted && in_time {
            return self.start_prepare(now, id);
        }
        if lease.retransmissions < MAX_TRANSMISSIONS && in_time {
            return self.send_request(now, id);
        }
        lease.proposer.become_idle();
        let backoff = lease.interval / STAGGER_DIVISOR + lease.jitter(id, self.config.instance);
        self.set_held(id, false);
        self.set_quorum_lost(id, true);
        self.arm_timer(now, id, now.monotonic + backoff);
    }

    /// Sends the proposer's request to the voters that have not responded, and arms the retransmission timer.
    fn send_request(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let request = lease.current_request(id);
        let unanswered = lease.unanswered_voters();
        // The timer is armed before the messages are sent, because this instance's own vote is handled at once and may
        // complete the majority, which arms another timer.
        let retransmit_after = RETRANSMIT_AFTER_MS.min(lease.interval / RETRANSMIT_DIVISOR + 1);
        self.arm_timer(now, id, now.monotonic + retransmit_after);
        for voter in unanswered {
            self.send_message(now, voter, request.clone());
        }
    }

    /// Releases the lease, so that another instance can acquire it at once.
    pub(super) fn release_lease(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        let was_active = lease.proposer.phase != Phase::Idle;
        let ballot = lease.proposer.ballot;
        lease.proposer.become_idle();
        lease.is_handover_requested = false;
        if was_active {
            let voters = lease.voters.clone();
            self.set_held(id, false);
            for voter in voters {
                let release = Message::Release { lease: id, ballot };
                self.send_message(now, voter, release);
            }
        }
        self.schedule_check(now, id);
    }

    /// Acts on the effect of a response.
    pub(super) fn apply_progress(&mut self, now: Clocks, id: LeaseId, progress: Progress) {
        match progress {
            Progress::Pending => {}
            Progress::PreVoteWon => self.start_prepare(now, id),
            Progress::Prepared { accepted_ago } => self.begin_holding(now, id, accepted_ago),
            Progress::TermWon => self.grant_term(now, id),
            Progress::Failed { retry_after } => self.schedule_retry(now, id, retry_after),
        }
    }

    /// Begins to hold the lease after a majority has promised.
    fn begin_holding(&mut self, now: Clocks, id: LeaseId, accepted_ago: Option<Millis>) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        let interval = lease.interval;
        let resumable = lease.proposer.resumable_proposal();
        let can_resume = resumable.is_some_and(|proposal| {
            now.monotonic < proposal.proposed_at + interval / RESUME_DIVISOR
        });
        if !can_resume {
            lease.proposer.abandon_proposal();
        }
        lease.next_term_at = match accepted_ago {
            _ if can_resume => now.monotonic,
            Some(age) => (now.monotonic + interval).saturating_sub(age),
            // No acceptor of the majority remembers a vote. An offset derived from the lease's id spreads the first
            // terms of the leases over half an interval.
            None => now.monotonic + id.0 % interval / 2,
        };
        lease.retransmissions = 0;
        lease.is_handover_requested = false;
        lease.proposer.known_holder = None;
        if let (false, Some(age)) = (can_resume, accepted_ago) {
            // The intervals that passed without a vote before this instance took over, rounded to whole intervals.
            let missed = ((age + interval / 2) / interval).saturating_sub(1);
            self.record_missed(id, missed);
        }
        self.set_held(id, true);
        self.set_quorum_lost(id, false);
        self.arm_next_term(now, id);
    }

    /// Grants the term that was won and schedules the next one.
    fn grant_term(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        let (interval, proposed_at) = (lease.interval, lease.proposer.started_at);
        let grant = LeaseGrant {
            lease: id,
            fencing_token: lease.proposer.term,
            valid_until: lease.expiry_of(proposed_at),
        };
        lease.last_won = Some(Proposal {
            term: lease.proposer.term,
            proposed_at,
        });
        // The schedule of terms is kept, unless this term was proposed late. Then the schedule restarts from this term,
        // so that the next term does not follow at once.
        let on_time =
            proposed_at.saturating_sub(lease.next_term_at) < interval / LATE_HOLDER_DIVISOR;
        let next_term_at = if on_time {
            lease.next_term_at
        } else {
            proposed_at
        } + interval;
        let earliest = now.monotonic + interval - interval / GRANT_MARGIN_DIVISOR;
        lease.next_term_at = next_term_at.max(earliest);
        lease.retransmissions = 0;
        let (is_preempted, is_handover_requested) =
            (lease.proposer.is_preempted, lease.is_handover_requested);
        if grant.is_valid(now.monotonic) {
            self.outputs.push(Output::Granted(grant));
        } else {
            self.record_missed(id, 1);
        }
        self.set_quorum_lost(id, false);
        if is_handover_requested {
            self.release_lease(now, id);
        } else if is_preempted {
            // An acceptor has promised a higher ballot. A new ballot obtains that acceptor's promise before the next
            // term.
            self.start_prepare(now, id);
        } else {
            self.arm_next_term(now, id);
        }
    }

    /// Schedules the next attempt after a failed one.
    fn schedule_retry(&mut self, now: Clocks, id: LeaseId, retry_after: Millis) {
        let instance = self.config.instance;
        let is_preferred = self.is_preferred(id);
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let holder = lease.proposer.known_holder.map(InstanceId);
        // The preferred instance retries soon, because an acceptor's view of the holder's liveness may change at any
        // time.
        let max_backoff = lease.interval / if is_preferred { STAGGER_DIVISOR } else { 1 };
        let min_backoff = lease.interval / MIN_BACKOFF_DIVISOR + 1;
        let backoff = retry_after.clamp(min_backoff, max_backoff) + lease.jitter(id, instance);
        self.set_held(id, false);
        match holder {
            // The preferred instance asks the holder to hand the lease over; other instances wait until the holder is
            // late.
            Some(holder) if is_preferred && holder != instance && self.alive.contains(&holder) => {
                let request = Message::RequestHandover { lease: id };
                self.send_message(now, holder, request);
                self.arm_timer(now, id, now.monotonic + backoff);
            }
            Some(_) if !is_preferred => self.schedule_check(now, id),
            _ => self.arm_timer(now, id, now.monotonic + backoff),
        }
    }

    fn record_missed(&mut self, id: LeaseId, terms: u64) {
        if let Some(lease) = self.leases.get_mut(&id)
            && terms > 0
        {
            lease.missed += terms;
            self.outputs.push(Output::TermsMissed { lease: id, terms });
        }
    }

    fn set_held(&mut self, id: LeaseId, is_held: bool) {
        if let Some(lease) = self.leases.get_mut(&id)
            && std::mem::replace(&mut lease.is_held, is_held) != is_held
        {
            let changed = Output::HoldingChanged { lease: id, is_held };
            self.outputs.push(changed);
        }
    }

    fn set_quorum_lost(&mut self, id: LeaseId, is_lost: bool) {
        if let Some(lease) = self.leases.get_mut(&id)
            && std::mem::replace(&mut lease.is_quorum_lost, is_lost) != is_lost
        {
            let changed = Output::QuorumChanged { lease: id, is_lost };
            self.outputs.push(changed);
        }
    }
}
