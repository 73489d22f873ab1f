//! A proposer of one lease. The promises of a majority of acceptors give the proposer the right to propose terms (Paxos
//! phase 1). The proposer then proposes term after term and wins each by the votes of a majority (phase 2). While a
//! proposer holds the lease, a term costs one round of messages.
//!
//! Why no term is won twice: let proposer A win term `t` with ballot `a`, and let proposer B have the promises of a
//! majority for a ballot `b > a`. The majority that voted for `t` and the majority that promised `b` share an
//! acceptor. That acceptor voted for `t` before it promised `b`, because after the promise it rejects ballot `a`. The
//! acceptor's promise therefore reported to B a highest term of at least `t`. B proposes only terms above the highest
//! reported one.
//!
//! A proposal may be rejected by acceptors that have promised a higher ballot. The proposer then takes a still higher
//! ballot and proposes the same term again, so that one lagging acceptor does not make a valid term fail. The proposer
//! may repeat the term in two cases. Either no acceptor of the majority that promised the new ballot reports a vote
//! for that term or a higher one. Or that term is the highest one reported, and the highest ballot with which an
//! acceptor of that majority voted for the term was this proposer's own. This is the rule of Paxos for an instance
//! with a single value; here the value is the identity of the holder.

use crate::{Ballot, Message, Millis, RejectReason};
use std::collections::BTreeMap;

/// The state of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No attempt is in progress.
    Idle,
    /// The proposer has asked whether a majority would promise the proposer's ballot. A prepare request makes
    /// acceptors reject the holder's ballot. A proposer that cannot win, because a majority knows that the holder is
    /// on time, must not send one (the pre-vote of Raft; Ongaro, 2014, section 9.6).
    PreVote,
    /// The proposer has asked for promises.
    Preparing,
    /// The proposer has the promises of a majority and waits until the next term is due.
    Holding,
    /// The proposer has proposed a term and waits for votes.
    Proposing,
}

/// The effect of a response on the proposer's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No decision yet.
    Pending,
    /// A majority would give its promises.
    PreVoteWon,
    /// A majority has promised.
    Prepared {
        /// The age of the most recent vote that the majority reported; `None` if none of them remembers a vote.
        accepted_ago: Option<Millis>,
    },
    /// The proposed term is won.
    TermWon,
    /// This attempt can no longer reach a majority.
    Failed {
        /// The time after which another attempt may succeed.
        retry_after: Millis,
    },
}

/// An acceptor's response to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Vote {
    Granted { accepted_ago: Option<Millis> },
    Rejected { retry_after: Millis },
}

/// A proposed term and the time of its first proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The term.
    pub term: u64,
    /// When the term was first proposed. A repeated proposal keeps this time.
    pub proposed_at: Millis,
}

/// A term that an acceptor has voted for, and the ballot of that vote. Ordered by term, then by ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct AcceptedTerm {
    term: u64,
    ballot: Ballot,
}

/// A proposer of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The current phase.
    pub phase: Phase,
    /// The ballot for which the proposer has or requests promises.
    pub ballot: Ballot,
    /// The term proposed last.
    pub term: u64,
    /// When the current attempt began: the start of the pre-vote or preparation, or the first proposal of the term.
    pub started_at: Millis,
    /// Another proposer that may hold the lease, as reported by a rejection.
    pub known_holder: Option<u64>,
    /// Whether an acceptor has promised a higher ballot. A new ballot regains that acceptor.
    pub is_preempted: bool,
    votes: BTreeMap<u64, Vote>,
    highest_round: u64,
    /// The highest term that any acceptor has reported as taken. The value may rise during a proposal.
    highest_term: u64,
    /// The highest vote that the promises for the current ballot reported.
    highest_accepted: AcceptedTerm,
    /// A term that was proposed but not won.
    unresolved: Option<Proposal>,
}

impl Proposer {
    /// Creates an idle proposer.
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

    /// Starts to request promises for a ballot that is higher than any ballot seen.
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

    /// Starts a pre-vote. The ballot of a pre-vote is not used for anything else.
    pub fn start_pre_vote(&mut self, now: Millis, proposer: u64, incarnation: u64) {
        self.start_prepare(now, proposer, incarnation);
        self.phase = Phase::PreVote;
    }

    /// The proposal that was not won and that may be repeated under the current ballot.
    pub fn resumable_proposal(&self) -> Option<Proposal> {
        let accepted = self.highest_accepted;
        let is_own = (accepted.ballot.proposer, accepted.ballot.incarnation)
            == (self.ballot.proposer, self.ballot.incarnation);
        self.unresolved.filter(|proposal| {
            accepted.term < proposal.term || (accepted.term == proposal.term && is_own)
        })
    }

    /// Starts to propose a term: the unresolved one, with the time of its first proposal, or else the next one.
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

    /// Drops the unresolved term, which is not proposed again.
    pub fn abandon_proposal(&mut self) {
        self.unresolved = None;
    }

    /// Stops proposing.
    pub fn become_idle(&mut self) {
        self.phase = Phase::Idle;
        self.votes.clear();
    }

    /// Whether an acceptor has responded to the current request.
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

    /// Records a promise. It counts as a vote only while the proposer requests promises. A later promise, which comes
    /// from an acceptor that had forgotten the lease, only raises the next term.
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
        // The majority's votes are complete; of a late rejection only the preemption matters.
        if self.phase == Phase::Holding {
            return None;
        }
        let names_holder = matches!(reason, RejectReason::LeaseHeld | RejectReason::BallotTooLow);
        if promised.proposer != self.ballot.proposer && names_holder {
            self.known_holder = Some(promised.proposer);
        }
        self.highest_term = self.highest_term.max(highest_term);
        // The lease manager requests the acceptor's promise next, so the acceptor may still vote.
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

    /// Completes the current phase after a majority has granted the request.
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

    /// The time after which a majority may grant the request: the longest wait among the acceptors that are ready
    /// first. Requires at least one rejection, which every failed attempt has: without a rejection, a majority is still
    /// within reach.
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
