//! Identifiers, ballots, and the messages between proposers and acceptors.
//!
//! The messages are encoded with postcard, which identifies a field by its position and a variant by its index, so
//! neither may be reordered.

use crate::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a lease: the XXH3 hash of its name, the same at every instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// Identifies an instance: the XXH3 hash of its name, which stays the same across restarts.
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

/// A Paxos ballot, under which a proposer proposes terms of a lease. A higher ballot takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Increases with each attempt to acquire the lease.
    pub round: u64,
    /// The proposer's [`InstanceId`].
    pub proposer: u64,
    /// The proposer's incarnation. A restarted proposer has forgotten its ballots, and the incarnation keeps it from
    /// using a ballot twice.
    pub incarnation: u64,
}

/// Why an acceptor rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The acceptor has restarted and may have forgotten votes that are still in force.
    Abstaining,
    /// Another instance holds the lease and is on time.
    LeaseHeld,
    /// The acceptor has promised a higher ballot.
    BallotTooLow,
    /// The previous term is too recent, or the acceptor has voted for this term or a higher one already.
    TermTooEarly,
    /// The acceptor has reached its maximum number of leases.
    AtCapacity,
    /// The acceptor remembers no promise for the lease, so the proposer has to prepare first.
    NoPromise,
}

/// A message between proposers and acceptors about one lease. One datagram may carry many messages.
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
        /// If set, the acceptor only answers whether it would give the promise, and keeps its state unchanged.
        pre_vote: bool,
    },
    /// Promises to reject lower ballots from now on (phase 1b).
    Promise {
        /// The lease.
        lease: LeaseId,
        /// The ballot promised.
        ballot: Ballot,
        /// The highest term that the acceptor knows to be taken.
        highest_term: u64,
        /// How long ago the acceptor voted for `highest_term`; `None` if it remembers no vote.
        accepted_ago: Option<Millis>,
        /// The ballot under which `highest_term` was proposed.
        accepted_ballot: Ballot,
        /// The ballot that the acceptor had promised before this one.
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
        /// The reason.
        reason: RejectReason,
        /// The ballot that the acceptor has promised.
        promised: Ballot,
        /// The highest term that the acceptor knows to be taken.
        highest_term: u64,
        /// The time after which the reason may no longer apply.
        retry_after: Millis,
    },
    /// The holder releases the lease.
    Release {
        /// The lease.
        lease: LeaseId,
        /// The ballot under which the lease was held.
        ballot: Ballot,
    },
    /// Asks the holder to hand the lease over to the sender, which is the lease's preferred instance.
    RequestHandover {
        /// The lease.
        lease: LeaseId,
    },
}
