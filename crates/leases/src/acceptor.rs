//! An acceptor of Paxos (Lamport, 'Paxos Made Simple', 2001, section 2.2): for each lease the ballot that it has
//! promised and the last term that it voted for.
//!
//! It has two more rules. A term is voted for only if the previous one is old enough, so that two terms never overlap
//! whoever proposes them. And a lease whose holder is on time is not promised to another instance.
//!
//! An acceptor keeps nothing over a restart. Until the votes that it may have forgotten have expired it abstains;
//! after that the Unix time in milliseconds stands for the terms that it has forgotten. Terms count up by one, far
//! slower than milliseconds pass, so that it lies above them all while clocks differ by less than `max_clock_skew`.

use crate::{Ballot, Clocks, InstanceId, LeaseId, Message, Millis, RejectReason};
use std::collections::{BTreeMap, BTreeSet};

/// Leases that an acceptor keeps at most.
pub const MAX_LEASES: usize = 65_536;
/// A lease without requests for so many of its intervals, and for [`FORGET_AFTER_MS`], may be forgotten.
const FORGET_INTERVALS: u64 = 8;
/// See [`FORGET_INTERVALS`].
const FORGET_AFTER_MS: Millis = 3_600_000;
/// A term may start this share of an interval early, since messages take different times.
pub const EARLY_SHARE: u64 = 8;
/// A holder is on time until this share of an interval after its term was due.
pub const LATE_SHARE: u64 = 4;
/// A new holder is on time for at least this share of an interval.
const GRACE_SHARE: u64 = 8;
/// A proposer whose ballot was too low may retry after this share of an interval.
const RETRY_SHARE: u64 = 8;

/// What an acceptor keeps for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// Lower ballots are rejected.
    pub promised: Ballot,
    /// The highest term voted for.
    pub highest_term: u64,
    /// The ballot it was voted for with; the lowest for a number that only stands for what was forgotten.
    pub accepted_ballot: Ballot,
    /// When it was voted for; `None` where only a promise was given.
    pub accepted_at: Option<Millis>,
    /// The lease's interval.
    pub interval: Millis,
    /// The holder has released the lease.
    pub is_released: bool,
    last_change: Millis,
}

impl AcceptorState {
    /// Nothing is remembered: the Unix time stands for the terms that were forgotten.
    fn forgotten(now: Clocks, interval: Millis) -> Self {
        Self {
            promised: Ballot::default(),
            highest_term: now.wall,
            accepted_ballot: Ballot::default(),
            accepted_at: None,
            interval,
            is_released: true,
            last_change: now.monotonic,
        }
    }

    /// When the holder counts as late. A new holder has time to propose a term: two that take the lease from each
    /// other at once would both get nowhere.
    pub fn late_from(&self) -> Millis {
        let last_sign = self.accepted_at.unwrap_or(self.last_change);
        let late = last_sign + self.interval + self.interval / LATE_SHARE;
        late.max(self.last_change + self.interval / GRACE_SHARE)
    }

    fn record_promise(&mut self, now: Clocks, ballot: Ballot, interval: Millis) {
        self.promised = ballot;
        self.is_released = false;
        self.interval = interval;
        self.last_change = now.monotonic;
    }

    /// Whether the same proposer proposes the term voted for last, perhaps with a higher ballot.
    fn is_repeated_proposal(&self, ballot: Ballot, term: u64) -> bool {
        let accepted = self.accepted_ballot;
        self.highest_term == term
            && (accepted.proposer, accepted.incarnation) == (ballot.proposer, ballot.incarnation)
    }
}

/// All votes of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    started_at: Millis,
    max_clock_skew: Millis,
    leases: BTreeMap<LeaseId, AcceptorState>,
}

impl Acceptor {
    /// An acceptor that has forgotten whatever it may have voted for. `max_clock_skew`: how far wall clocks may
    /// differ.
    pub fn new(now: Clocks, max_clock_skew: Millis) -> Self {
        Self {
            started_at: now.monotonic,
            max_clock_skew,
            leases: BTreeMap::new(),
        }
    }

    /// What it keeps of a lease.
    pub fn state(&self, lease: LeaseId) -> Option<&AcceptorState> {
        self.leases.get(&lease)
    }

    /// The number of leases it keeps.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether it keeps no lease.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// How long it still abstains from votes on leases with this interval.
    pub fn remaining_abstention(&self, now: Clocks, interval: Millis) -> Millis {
        let votes_expire_after = interval + interval / LATE_SHARE + self.max_clock_skew;
        (self.started_at + votes_expire_after).saturating_sub(now.monotonic)
    }

    /// Answers a proposer. `alive` are the instances that this one believes to be alive.
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
            return request.reject_blank(RejectReason::Abstaining, abstention);
        }
        let is_known = self.leases.contains_key(&lease);
        if !is_known && !self.make_room(now) {
            return request.reject_blank(RejectReason::AtCapacity, interval);
        }
        let forgotten = AcceptorState::forgotten(now, interval);
        let state = self.leases.get(&lease).unwrap_or(&forgotten);
        // A pre-vote's ballot may be low: its sender has not learned of the others' ballots yet.
        if ballot < state.promised && !pre_vote {
            let retry_after = interval / RETRY_SHARE;
            return request.reject(RejectReason::BallotTooLow, state, retry_after);
        }
        let holder = state.promised.proposer;
        let on_time_for = state.late_from().saturating_sub(now.monotonic);
        let is_absent = !alive.contains(&InstanceId(holder));
        // A proposer that falls silent, or cannot hear our answer, must not take a lease from a sound holder.
        if holder != ballot.proposer && !state.is_released && !is_absent && on_time_for > 0 {
            return request.reject(RejectReason::LeaseHeld, state, on_time_for);
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
            let state = self.leases.entry(lease).or_insert(forgotten);
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
            return request.reject_blank(RejectReason::Abstaining, abstention);
        }
        // It may have known the lease before a restart, with a higher ballot: the proposer prepares first, and
        // learns the term that stands for what was forgotten.
        let Some(state) = self.leases.get_mut(&lease) else {
            return request.reject_blank(RejectReason::NoPromise, 0);
        };
        if ballot < state.promised {
            let retry_after = interval / RETRY_SHARE;
            return request.reject(RejectReason::BallotTooLow, state, retry_after);
        }
        // For a repeated proposal the time of the first vote stands.
        if !state.is_repeated_proposal(ballot, term) {
            let earliest = state.accepted_at.map_or(0, |accepted_at| {
                accepted_at + interval - interval / EARLY_SHARE
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

    /// Whether another lease can be kept; forgets idle ones if it must.
    fn make_room(&mut self, now: Clocks) -> bool {
        if self.leases.len() >= MAX_LEASES {
            self.leases.retain(|_, state| {
                let idle = now.monotonic.saturating_sub(state.last_change);
                idle < FORGET_AFTER_MS.max(state.interval * FORGET_INTERVALS)
            });
        }
        self.leases.len() < MAX_LEASES
    }
}

/// What a proposer's requests have in common.
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

    /// A rejection that tells nothing of the acceptor's state.
    fn reject_blank(self, reason: RejectReason, retry_after: Millis) -> Message {
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
