//! An acceptor of Paxos (Lamport, 'Paxos Made Simple', 2001, section 2.2). For each lease the acceptor keeps the ballot
//! that it has promised and the last term that it has voted for.
//!
//! Two rules go beyond Paxos. First, an acceptor votes for a term only if the previous term is old enough, so that two
//! terms never overlap, whichever instance proposes them. Second, an acceptor does not promise a lease to another
//! instance while the lease's holder is believed to be alive and is on time.
//!
//! An acceptor keeps no state across a restart. After a restart the acceptor abstains until all votes that it may have
//! forgotten have expired. From then on the Unix time in milliseconds stands for the terms that the acceptor has
//! forgotten. Term numbers increase by one per term, and terms are far longer than a millisecond. The Unix time is
//! therefore higher than every forgotten term, as long as wall clocks differ by less than `max_clock_skew`.

use crate::{Ballot, Clocks, InstanceId, LeaseId, Message, Millis, RejectReason};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of leases that an acceptor keeps.
pub const MAX_LEASES: usize = 65_536;
/// A lease may be evicted if its state has not changed for this number of its intervals and for
/// [`EVICT_AFTER_MS`].
const EVICT_AFTER_INTERVALS: u64 = 8;
/// See [`EVICT_AFTER_INTERVALS`].
const EVICT_AFTER_MS: Millis = 3_600_000;
/// A term may start `interval / EARLY_TERM_DIVISOR` early, since message delays vary.
pub const EARLY_TERM_DIVISOR: u64 = 8;
/// A holder counts as late once its next term is overdue by `interval / LATE_HOLDER_DIVISOR`.
pub const LATE_HOLDER_DIVISOR: u64 = 4;
/// A new holder counts as on time for at least `interval / NEW_HOLDER_GRACE_DIVISOR`.
const NEW_HOLDER_GRACE_DIVISOR: u64 = 8;
/// A proposer whose ballot was too low may retry after `interval / RETRY_DIVISOR`.
const RETRY_DIVISOR: u64 = 8;

/// The state that an acceptor keeps for one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The promised ballot. Lower ballots are rejected.
    pub promised: Ballot,
    /// The highest term voted for, or the Unix time that stands for forgotten terms.
    pub highest_term: u64,
    /// The ballot of the vote for `highest_term`; the lowest ballot if `highest_term` stands for forgotten terms.
    pub accepted_ballot: Ballot,
    /// When the acceptor voted for `highest_term`; `None` if it has only given promises.
    pub accepted_at: Option<Millis>,
    /// The lease's interval.
    pub interval: Millis,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// When the acceptor last gave a promise or a vote.
    last_change_at: Millis,
}

impl AcceptorState {
    /// The state of a lease of which the acceptor remembers nothing. The Unix time stands for forgotten terms.
    fn without_memory(now: Clocks, interval: Millis) -> Self {
        Self {
            promised: Ballot::default(),
            highest_term: now.wall,
            accepted_ballot: Ballot::default(),
            accepted_at: None,
            interval,
            is_released: true,
            last_change_at: now.monotonic,
        }
    }

    /// The time from which the holder counts as late. A new holder has time to propose a term. Without that time, two
    /// instances could keep taking the lease from each other, and neither would win a term.
    pub fn late_from(&self) -> Millis {
        let last_activity = self.accepted_at.unwrap_or(self.last_change_at);
        let late = last_activity + self.interval + self.interval / LATE_HOLDER_DIVISOR;
        late.max(self.last_change_at + self.interval / NEW_HOLDER_GRACE_DIVISOR)
    }

    fn record_promise(&mut self, now: Clocks, ballot: Ballot, interval: Millis) {
        self.promised = ballot;
        self.is_released = false;
        self.interval = interval;
        self.last_change_at = now.monotonic;
    }

    /// Whether the proposal is for the term voted for last and comes from the same proposer, possibly with a higher
    /// ballot.
    fn is_repeated_proposal(&self, ballot: Ballot, term: u64) -> bool {
        let accepted = self.accepted_ballot;
        self.highest_term == term
            && (accepted.proposer, accepted.incarnation) == (ballot.proposer, ballot.incarnation)
    }
}

/// The acceptor of one instance, for all leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    started_at: Millis,
    max_clock_skew: Millis,
    leases: BTreeMap<LeaseId, AcceptorState>,
}

impl Acceptor {
    /// Creates an acceptor that remembers no votes. `max_clock_skew` is the maximum difference between the wall clocks
    /// of the instances.
    pub fn new(now: Clocks, max_clock_skew: Millis) -> Self {
        Self {
            started_at: now.monotonic,
            max_clock_skew,
            leases: BTreeMap::new(),
        }
    }

    /// The state kept for a lease, if any.
    pub fn state(&self, lease: LeaseId) -> Option<&AcceptorState> {
        self.leases.get(&lease)
    }

    /// The number of leases that the acceptor keeps.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether the acceptor keeps no lease.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// How much longer the acceptor abstains from votes on leases with this interval, so that votes from before a
    /// restart have expired by then.
    pub fn remaining_abstention(&self, now: Clocks, interval: Millis) -> Millis {
        let votes_expire_after = interval + interval / LATE_HOLDER_DIVISOR + self.max_clock_skew;
        (self.started_at + votes_expire_after).saturating_sub(now.monotonic)
    }

    /// Handles a proposer's message and returns the response, if there is one. `alive` holds the instances that this
    /// instance believes to be alive.
    pub fn handle_message(
        &mut self,
        now: Clocks,
        message: &Message,
        alive: &BTreeSet<InstanceId>,
    ) -> Option<Message> {
        match *message {
            Message::Prepare {
                lease,
                ballot,
                interval,
                pre_vote,
            } => {
                let request = Request {
                    lease,
                    ballot,
                    interval,
                };
                Some(self.answer_prepare(now, request, pre_vote, alive))
            }
            Message::Accept {
                lease,
                ballot,
                term,
                interval,
            } => {
                let request = Request {
                    lease,
                    ballot,
                    interval,
                };
                Some(self.answer_accept(now, request, term))
            }
            Message::Release { lease, ballot } => {
                self.release_lease(lease, ballot);
                None
            }
            _ => None,
        }
    }

    fn answer_prepare(
        &mut self,
        now: Clocks,
        request: Request,
        pre_vote: bool,
        alive: &BTreeSet<InstanceId>,
    ) -> Message {
        let Request {
            lease,
            ballot,
            interval,
        } = request;
        let abstention = self.remaining_abstention(now, interval);
        if abstention > 0 {
            return request.reject_without_state(RejectReason::Abstaining, abstention);
        }
        let is_known = self.leases.contains_key(&lease);
        if !is_known && !self.ensure_capacity(now) {
            return request.reject_without_state(RejectReason::AtCapacity, interval);
        }
        let initial_state = AcceptorState::without_memory(now, interval);
        let state = self.leases.get(&lease).unwrap_or(&initial_state);
        // The ballot of a pre-vote may be low, because its sender may not know the ballots of other proposers yet.
        if ballot < state.promised && !pre_vote {
            let retry_after = interval / RETRY_DIVISOR;
            return request.reject(RejectReason::BallotTooLow, state, retry_after);
        }
        let holder = state.promised.proposer;
        let on_time_remaining = state.late_from().saturating_sub(now.monotonic);
        let is_absent = !alive.contains(&InstanceId(holder));
        // A proposer that fails after its request, or that cannot receive this response, must not take the lease from a
        // healthy holder.
        if holder != ballot.proposer && !state.is_released && !is_absent && on_time_remaining > 0 {
            return request.reject(RejectReason::LeaseHeld, state, on_time_remaining);
        }
        let promise = Message::Promise {
            lease,
            ballot,
            highest_term: state.highest_term,
            accepted_ballot: state.accepted_ballot,
            accepted_ago: state
                .accepted_at
                .map(|accepted_at| now.monotonic.saturating_sub(accepted_at)),
            previous_promise: state.promised,
        };
        if !pre_vote {
            let state = self.leases.entry(lease).or_insert(initial_state);
            state.record_promise(now, ballot, interval);
        }
        promise
    }

    fn answer_accept(&mut self, now: Clocks, request: Request, term: u64) -> Message {
        let Request {
            lease,
            ballot,
            interval,
        } = request;
        let abstention = self.remaining_abstention(now, interval);
        if abstention > 0 {
            return request.reject_without_state(RejectReason::Abstaining, abstention);
        }
        // Before a restart this acceptor may have promised a higher ballot for the lease. The proposer has to prepare
        // first, and learns from the promise the term that stands for the forgotten ones.
        let Some(state) = self.leases.get_mut(&lease) else {
            return request.reject_without_state(RejectReason::NoPromise, 0);
        };
        if ballot < state.promised {
            let retry_after = interval / RETRY_DIVISOR;
            return request.reject(RejectReason::BallotTooLow, state, retry_after);
        }
        // A repeated proposal keeps the time of the first vote.
        if !state.is_repeated_proposal(ballot, term) {
            let earliest = state.accepted_at.map_or(0, |accepted_at| {
                accepted_at + interval - interval / EARLY_TERM_DIVISOR
            });
            let too_early_by = earliest.saturating_sub(now.monotonic);
            if term <= state.highest_term || too_early_by > 0 {
                return request.reject(RejectReason::TermTooEarly, state, too_early_by);
            }
            state.highest_term = term;
            state.accepted_at = Some(now.monotonic);
        }
        state.accepted_ballot = ballot;
        state.record_promise(now, ballot, interval);
        Message::Accepted {
            lease,
            ballot,
            term,
        }
    }

    fn release_lease(&mut self, lease: LeaseId, ballot: Ballot) {
        if let Some(state) = self.leases.get_mut(&lease)
            && state.promised == ballot
        {
            state.is_released = true;
        }
    }

    /// Returns whether another lease can be kept. At the limit, evicts idle leases first.
    fn ensure_capacity(&mut self, now: Clocks) -> bool {
        if self.leases.len() >= MAX_LEASES {
            self.leases.retain(|_, state| {
                let idle = now.monotonic.saturating_sub(state.last_change_at);
                idle < EVICT_AFTER_MS.max(state.interval * EVICT_AFTER_INTERVALS)
            });
        }
        self.leases.len() < MAX_LEASES
    }
}

/// The fields that all requests of a proposer have in common.
#[derive(Clone, Copy)]
struct Request {
    lease: LeaseId,
    ballot: Ballot,
    interval: Millis,
}

impl Request {
    fn reject(self, reason: RejectReason, state: &AcceptorState, retry_after: Millis) -> Message {
        Message::Rejected {
            lease: self.lease,
            ballot: self.ballot,
            reason,
            promised: state.promised,
            highest_term: state.highest_term,
            retry_after,
        }
    }

    /// A rejection without any of the acceptor's state.
    fn reject_without_state(self, reason: RejectReason, retry_after: Millis) -> Message {
        Message::Rejected {
            lease: self.lease,
            ballot: self.ballot,
            reason,
            promised: Ballot::default(),
            highest_term: 0,
            retry_after,
        }
    }
}
