//! Identifiers, ballots, and the messages between proposers and acceptors.
//!
//! The messages travel as postcard, which knows fields by their place and variants by their number: neither may be
//! reordered.

use crate::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A lease, identified alike at every instance by the XXH3 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// An instance, identified by the XXH3 hash of its name; the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl LeaseId {
    /// The id of the lease with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl InstanceId {
    /// The id of the instance with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A Paxos ballot: a proposer's right to propose terms of a lease. A higher one takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Grows with each attempt to take a lease over.
    pub round: u64,
    /// The proposer's [`InstanceId`].
    pub proposer: u64,
    /// The proposer's incarnation. A restarted proposer has forgotten its ballots and must not use one twice.
    pub incarnation: u64,
}

/// Why an acceptor rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// It has restarted and may have forgotten votes that are still in force.
    Abstaining,
    /// Another instance holds the lease and is on time.
    LeaseHeld,
    /// It has promised a higher ballot.
    BallotTooLow,
    /// The previous term is too young, or the term's number has been voted for already.
    TermTooEarly,
    /// It keeps no more leases.
    AtCapacity,
    /// It remembers no promise for the lease: the proposer has to prepare first.
    NoPromise,
}

/// What proposers and acceptors exchange about one lease. Many travel in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a promise (phase 1a).
    Prepare {
        /// The lease.
        lease: LeaseId,
        /// The ballot to be promised.
        ballot: Ballot,
        /// The lease's interval.
        interval: Millis,
        /// Only asks whether a promise would be given; the acceptor's state does not change.
        pre_vote: bool,
    },
    /// Promises to accept no lower ballot from now on (phase 1b).
    Promise {
        /// The lease.
        lease: LeaseId,
        /// The ballot promised.
        ballot: Ballot,
        /// The highest term that the acceptor knows to be taken.
        highest_term: u64,
        /// How long ago it voted for that term; `None` where it remembers no vote.
        accepted_ago: Option<Millis>,
        /// The ballot with which that term was proposed.
        accepted_ballot: Ballot,
        /// The ballot promised before this one.
        previous_promise: Ballot,
    },
    /// Proposes a term (phase 2a).
    Accept {
        /// The lease.
        lease: LeaseId,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The term proposed, which becomes the fencing token.
        term: u64,
        /// The lease's interval.
        interval: Millis,
    },
    /// Votes for a proposed term (phase 2b).
    Accepted {
        /// The lease.
        lease: LeaseId,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The term voted for.
        term: u64,
    },
    /// Rejects a [`Message::Prepare`] or [`Message::Accept`].
    Rejected {
        /// The lease.
        lease: LeaseId,
        /// The ballot of the request.
        ballot: Ballot,
        /// Why.
        reason: RejectReason,
        /// The ballot that the acceptor has promised.
        promised: Ballot,
        /// The highest term that it knows to be taken.
        highest_term: u64,
        /// The reason may no longer apply after this time.
        retry_after: Millis,
    },
    /// The holder releases the lease.
    Release {
        /// The lease.
        lease: LeaseId,
        /// The ballot under which it was held.
        ballot: Ballot,
    },
    /// Asks the holder to hand the lease over to the sender, which is preferred for it.
    RequestHandover {
        /// The lease.
        lease: LeaseId,
    },
}
