//! Proposing terms, releasing a lease, and what an attempt has led to.

use super::lease::{GRANT_MARGIN_SHARE, STAGGER_SHARE};
use super::{LeaseManager, Output};
use crate::acceptor::LATE_HOLDER_DIVISOR;
use crate::proposer::{Phase, Progress, Proposal};
use crate::{Clocks, InstanceId, LeaseGrant, LeaseId, Message, Millis};

/// A request without an answer is repeated after this, or earlier for short intervals.
const REPEAT_AFTER_MS: Millis = 100;
/// A request is repeated at the latest after this share of an interval.
const REPEAT_SHARE: u64 = 8;
/// Requests of one attempt, the first one included.
const MAX_REQUESTS: u32 = 6;
/// An unresolved term is proposed again only within this share of an interval.
const RESUME_SHARE: u64 = 2;
/// The shortest pause after a failed attempt, as a share of an interval.
const MIN_PAUSE_SHARE: u64 = 16;

impl LeaseManager {
    /// Asks whether this instance would get the promises for a lease.
    pub(super) fn start_pre_vote(&mut self, now: Clocks, id: LeaseId) {
        let (instance, incarnation) = (self.config.instance.0, self.config.incarnation);
        if let Some(lease) = self.leases.get_mut(&id) {
            let proposer = &mut lease.proposer;
            proposer.start_pre_vote(now.monotonic, instance, incarnation);
            lease.repeats = 0;
            self.send_request(now, id);
        }
    }

    /// Asks for the promises for a lease.
    pub(super) fn start_prepare(&mut self, now: Clocks, id: LeaseId) {
        let (instance, incarnation) = (self.config.instance.0, self.config.incarnation);
        if let Some(lease) = self.leases.get_mut(&id) {
            let proposer = &mut lease.proposer;
            proposer.start_prepare(now.monotonic, instance, incarnation);
            lease.repeats = 0;
            self.send_request(now, id);
        }
    }

    /// Proposes the next term of a lease.
    pub(super) fn propose_term(&mut self, now: Clocks, id: LeaseId) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.proposer.propose_term(now.monotonic);
            lease.repeats = 0;
            self.send_request(now, id);
        }
    }

    /// Repeats a request without enough answers, or gives the attempt up.
    pub(super) fn repeat_request(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        lease.repeats += 1;
        let in_time = now.monotonic < lease.expiry_of(lease.proposer.started_at);
        let proposer = &lease.proposer;
        // An acceptor that has promised more is asked with a higher ballot, for the same term.
        if proposer.phase == Phase::Proposing && proposer.is_preempted && in_time {
            return self.start_prepare(now, id);
        }
        if lease.repeats < MAX_REQUESTS && in_time {
            return self.send_request(now, id);
        }
        lease.proposer.become_idle();
        let pause = lease.interval / STAGGER_SHARE + lease.jitter(id, self.config.instance);
        self.set_held(id, false);
        self.set_quorum_lost(id, true);
        self.arm_timer(now, id, now.monotonic + pause);
    }

    /// Sends the proposer's request to the voters that have not answered, and sets the timer to repeat it.
    fn send_request(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let request = lease.current_request(id);
        let unanswered = lease.unanswered_voters();
        // The timer first: this instance's own vote may complete the majority and set another timer.
        let repeat_after = REPEAT_AFTER_MS.min(lease.interval / REPEAT_SHARE + 1);
        self.arm_timer(now, id, now.monotonic + repeat_after);
        for voter in unanswered {
            self.send_message(now, voter, request.clone());
        }
    }

    /// Gives the lease back, so that another instance can acquire it at once.
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

    /// Acts on what a response has led to.
    pub(super) fn apply_progress(&mut self, now: Clocks, id: LeaseId, progress: Progress) {
        match progress {
            Progress::Pending => {}
            Progress::PreVoteWon => self.start_prepare(now, id),
            Progress::Prepared { accepted_ago } => self.begin_holding(now, id, accepted_ago),
            Progress::TermWon => self.grant_term(now, id),
            Progress::Failed { retry_after } => self.schedule_retry(now, id, retry_after),
        }
    }

    /// A majority has promised: this instance holds the lease from now on.
    fn begin_holding(&mut self, now: Clocks, id: LeaseId, accepted_ago: Option<Millis>) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        let interval = lease.interval;
        let resumable = lease.proposer.resumable_proposal();
        let can_resume = resumable
            .is_some_and(|proposal| now.monotonic < proposal.proposed_at + interval / RESUME_SHARE);
        if !can_resume {
            lease.proposer.abandon_proposal();
        }
        lease.next_term_at = match accepted_ago {
            _ if can_resume => now.monotonic,
            Some(age) => (now.monotonic + interval).saturating_sub(age),
            // A lease that nobody has held yet: the ids spread the first terms.
            None => now.monotonic + id.0 % interval / 2,
        };
        lease.repeats = 0;
        lease.is_handover_requested = false;
        lease.proposer.known_holder = None;
        if let (false, Some(age)) = (can_resume, accepted_ago) {
            // Whole intervals that passed without a vote before this instance took over.
            let passed = ((age + interval / 2) / interval).saturating_sub(1);
            self.record_missed(id, passed);
        }
        self.set_held(id, true);
        self.set_quorum_lost(id, false);
        self.arm_next_term(now, id);
    }

    /// A term was won.
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
        // The rhythm is kept, unless this term came late; then the next must not follow at once.
        let on_time =
            proposed_at.saturating_sub(lease.next_term_at) < interval / LATE_HOLDER_DIVISOR;
        let next_term_at = if on_time {
            lease.next_term_at
        } else {
            proposed_at
        } + interval;
        let earliest = now.monotonic + interval - interval / GRANT_MARGIN_SHARE;
        lease.next_term_at = next_term_at.max(earliest);
        lease.repeats = 0;
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
            // An acceptor has promised a higher ballot: win it back before the next term.
            self.start_prepare(now, id);
        } else {
            self.arm_next_term(now, id);
        }
    }

    /// An attempt has failed.
    fn schedule_retry(&mut self, now: Clocks, id: LeaseId, retry_after: Millis) {
        let instance = self.config.instance;
        let is_preferred = self.is_preferred(id);
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let holder = lease.proposer.known_holder.map(InstanceId);
        // The preferred instance retries soon: what an acceptor believes of the holder may change at any moment.
        let longest = lease.interval / if is_preferred { STAGGER_SHARE } else { 1 };
        let shortest = lease.interval / MIN_PAUSE_SHARE + 1;
        let pause = retry_after.clamp(shortest, longest) + lease.jitter(id, instance);
        self.set_held(id, false);
        match holder {
            // The preferred instance asks the holder for the lease; others wait until the holder is late.
            Some(holder) if is_preferred && holder != instance && self.alive.contains(&holder) => {
                let request = Message::RequestHandover { lease: id };
                self.send_message(now, holder, request);
                self.arm_timer(now, id, now.monotonic + pause);
            }
            Some(_) if !is_preferred => self.schedule_check(now, id),
            _ => self.arm_timer(now, id, now.monotonic + pause),
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
