//! One proposer of one lease: first the right to propose terms, from a majority's promises (Paxos phase 1); then term
//! after term, each from a majority's votes (phase 2). While it holds the lease a term costs one round of messages.
//!
//! Why no term is won twice: let A win term `t` with ballot `a`, and B hold ballot `b > a`. The two majorities share
//! an acceptor. It voted for `t` before it promised `b`, for after that it rejects `a`; so its promise told B a
//! highest term of `t` or more, and B proposes only higher ones.
//!
//! A proposer whose proposal met acceptors that had promised more takes a higher ballot and proposes the same term
//! again, so that a sound term is not lost to an acceptor that lags. It may if none of a majority has voted for that
//! term, or if the highest ballot that any of them voted for it with was this proposer's own: the rule of Paxos for an
//! instance with one value, here the identity of the holder.

use crate::{Ballot, Message, Millis, RejectReason};
use std::collections::BTreeMap;

/// The state of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It proposes nothing.
    Idle,
    /// It has asked whether it would get the promises. A proposer that cannot win, since a majority knows the holder
    /// to be on time, must not make acceptors reject that holder (Raft's pre-vote; Ongaro, 2014, section 9.6).
    PreVote,
    /// It has asked for promises.
    Preparing,
    /// It has the promises and waits for the next term.
    Holding,
    /// It has proposed a term.
    Proposing,
}

/// What a response has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing yet.
    Pending,
    /// A majority would give its promises.
    PreVoteWon,
    /// A majority has promised.
    Prepared {
        /// The age of the youngest vote that any of them reported.
        accepted_ago: Option<Millis>,
    },
    /// The proposed term is won.
    TermWon,
    /// A majority is out of reach for this attempt.
    Failed {
        /// Another attempt may be worth it after this time.
        retry_after: Millis,
    },
}

/// An acceptor's answer to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Vote {
    Granted { accepted_ago: Option<Millis> },
    Rejected { retry_after: Millis },
}

/// A term that was proposed, and when it was proposed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The term.
    pub term: u64,
    /// When it was proposed first.
    pub proposed_at: Millis,
}

/// A term that an acceptor voted for, and the ballot of that vote. Ordered by term, then by ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct AcceptedTerm {
    term: u64,
    ballot: Ballot,
}

/// A proposer of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// Its state.
    pub phase: Phase,
    /// The ballot that it holds promises for, or asks promises for.
    pub ballot: Ballot,
    /// The term proposed, or the last one.
    pub term: u64,
    /// When it prepared or proposed.
    pub started_at: Millis,
    /// Another proposer, with a higher ballot, that may hold the lease.
    pub known_holder: Option<u64>,
    /// An acceptor has promised a higher ballot: a new ballot wins it back.
    pub is_preempted: bool,
    votes: BTreeMap<u64, Vote>,
    highest_round: u64,
    /// Terms up to this one are taken; it may rise during a proposal.
    highest_term: u64,
    /// The highest vote that the promises reported.
    highest_accepted: AcceptedTerm,
    /// A term that was proposed and not won.
    unresolved: Option<Proposal>,
}

impl Proposer {
    /// A proposer that holds nothing.
    pub fn new() -> Self {
        Self {
            phase: Phase::Idle,
            ballot: Ballot::default(),
            term: 0,
            started_at: 0,
            known_holder: None,
            is_preempted: false,
            votes: BTreeMap::new(),
            highest_round: 0,
            highest_term: 0,
            highest_accepted: AcceptedTerm::default(),
            unresolved: None,
        }
    }

    /// Begins to ask for promises, with a ballot higher than any seen.
    pub fn start_prepare(&mut self, now: Millis, proposer: u64, incarnation: u64) {
        self.ballot = Ballot {
            round: self.ballot.round.max(self.highest_round) + 1,
            proposer,
            incarnation,
        };
        self.phase = Phase::Preparing;
        self.started_at = now;
        self.is_preempted = false;
        self.highest_accepted = AcceptedTerm::default();
        self.votes.clear();
    }

    /// Begins a pre-vote. Its ballot is used for nothing else.
    pub fn start_pre_vote(&mut self, now: Millis, proposer: u64, incarnation: u64) {
        self.start_prepare(now, proposer, incarnation);
        self.phase = Phase::PreVote;
    }

    /// The proposal that was not won and may be repeated.
    pub fn resumable_proposal(&self) -> Option<Proposal> {
        let accepted = self.highest_accepted;
        let is_own = (accepted.ballot.proposer, accepted.ballot.incarnation)
            == (self.ballot.proposer, self.ballot.incarnation);
        self.unresolved.filter(|proposal| {
            accepted.term < proposal.term || (accepted.term == proposal.term && is_own)
        })
    }

    /// Proposes a term: the unresolved one, as of when it was proposed first, or else the next.
    pub fn propose_term(&mut self, now: Millis) {
        let proposal = self.resumable_proposal().unwrap_or(Proposal {
            term: self.term.max(self.highest_term) + 1,
            proposed_at: now,
        });
        self.term = proposal.term;
        self.started_at = proposal.proposed_at;
        self.unresolved = Some(proposal);
        self.phase = Phase::Proposing;
        self.votes.clear();
    }

    /// Gives up the unresolved term: it is too late to act in it.
    pub fn abandon_proposal(&mut self) {
        self.unresolved = None;
    }

    /// Stops proposing.
    pub fn become_idle(&mut self) {
        self.phase = Phase::Idle;
        self.votes.clear();
    }

    /// Whether this acceptor has answered the current request.
    pub fn has_vote_from(&self, acceptor: u64) -> bool {
        self.votes.contains_key(&acceptor)
    }

    /// Handles an acceptor's response; `voters` is the size of the voter set.
    pub fn handle_response(
        &mut self,
        acceptor: u64,
        response: &Message,
        voters: usize,
    ) -> Progress {
        let vote = match response {
            Message::Promise {
                ballot,
                highest_term,
                accepted_ago,
                accepted_ballot,
                previous_promise,
                ..
            } if *ballot == self.ballot => {
                self.highest_round = self.highest_round.max(previous_promise.round);
                let accepted = AcceptedTerm {
                    term: *highest_term,
                    ballot: *accepted_ballot,
                };
                self.record_promise(accepted, *accepted_ago)
            }
            Message::Accepted { ballot, term, .. }
                if self.phase == Phase::Proposing
                    && *ballot == self.ballot
                    && *term == self.term =>
            {
                Some(Vote::Granted { accepted_ago: None })
            }
            Message::Rejected {
                ballot,
                reason,
                promised,
                highest_term,
                retry_after,
                ..
            } if *ballot == self.ballot => {
                self.record_rejection(*reason, *promised, *highest_term, *retry_after)
            }
            _ => None,
        };
        let Some(vote) = vote else {
            return Progress::Pending;
        };
        self.votes.insert(acceptor, vote);
        self.count_votes(voters)
    }

    /// Learns from a promise. It counts as a vote only while promises are asked for: a late one, of an acceptor
    /// without memory, raises the next term.
    fn record_promise(
        &mut self,
        accepted: AcceptedTerm,
        accepted_ago: Option<Millis>,
    ) -> Option<Vote> {
        self.highest_term = self.highest_term.max(accepted.term);
        if !matches!(self.phase, Phase::Preparing | Phase::PreVote) {
            return None;
        }
        self.highest_accepted = self.highest_accepted.max(accepted);
        Some(Vote::Granted { accepted_ago })
    }

    fn record_rejection(
        &mut self,
        reason: RejectReason,
        promised: Ballot,
        highest_term: u64,
        retry_after: Millis,
    ) -> Option<Vote> {
        if self.phase == Phase::Idle {
            return None;
        }
        if promised > self.ballot {
            self.highest_round = self.highest_round.max(promised.round);
            self.is_preempted = true;
        }
        // After the majority's votes only the preemption matters.
        if self.phase == Phase::Holding {
            return None;
        }
        let names_holder = matches!(reason, RejectReason::LeaseHeld | RejectReason::BallotTooLow);
        if promised.proposer != self.ballot.proposer && names_holder {
            self.known_holder = Some(promised.proposer);
        }
        self.highest_term = self.highest_term.max(highest_term);
        // The acceptor is asked for its promise now, and may still grant.
        if reason == RejectReason::NoPromise {
            return None;
        }
        Some(Vote::Rejected { retry_after })
    }

    fn count_votes(&mut self, voters: usize) -> Progress {
        let majority = voters / 2 + 1;
        let granted = self.votes.values().filter(|vote| vote.is_granted()).count();
        if granted >= majority {
            return self.complete_phase();
        }
        let rejected = self.votes.len() - granted;
        if rejected + majority > voters {
            let retry_after = self.retry_after_majority(majority);
            self.become_idle();
            return Progress::Failed { retry_after };
        }
        Progress::Pending
    }

    /// A majority has granted what was asked for.
    fn complete_phase(&mut self) -> Progress {
        let progress = match self.phase {
            Phase::PreVote => Progress::PreVoteWon,
            Phase::Preparing => Progress::Prepared {
                accepted_ago: self.votes.values().filter_map(Vote::accepted_ago).min(),
            },
            _ => Progress::TermWon,
        };
        if progress == Progress::TermWon {
            self.abandon_proposal();
        }
        self.phase = Phase::Holding;
        self.votes.clear();
        progress
    }

    /// When a majority may grant again: the wait of the last of the majority that would be ready first.
    fn retry_after_majority(&self, majority: usize) -> Millis {
        let mut waits: Vec<Millis> = self.votes.values().filter_map(Vote::retry_after).collect();
        waits.sort_unstable();
        waits[(majority - 1).min(waits.len() - 1)]
    }
}

impl Vote {
    fn is_granted(&self) -> bool {
        matches!(self, Self::Granted { .. })
    }

    fn accepted_ago(&self) -> Option<Millis> {
        match self {
            Self::Granted { accepted_ago } => *accepted_ago,
            Self::Rejected { .. } => None,
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::Granted { .. } => None,
            Self::Rejected { retry_after } => Some(*retry_after),
        }
    }
}

impl Default for Proposer {
    fn default() -> Self {
        Self::new()
    }
}
