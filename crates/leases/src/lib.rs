//! Periodic leases by majority vote, and a gossiped store for their results.
//!
//! A lease is a recurring task that one instance of a cluster carries out per interval. Each interval is a *term*
//! with a number that never repeats, chosen by a majority of the lease's voters (Paxos). The winner gets a
//! [`LeaseGrant`] whose fencing token is the term's number. No sockets, clocks, threads or random sources in here:
//! time and messages come in, messages and grants go out. `docs/design/duties.md` weighs the options; start reading
//! at [`LeaseManager`].
//!
//! | module | holds |
//! | --- | --- |
//! | [`message`] | identifiers, ballots and the messages between proposers and acceptors |
//! | [`grant`] | the right to carry out a lease's task in one term; clocks |
//! | [`acceptor`] | a voter: what it has promised and accepted, when it abstains |
//! | [`proposer`] | one proposer of one lease: promises and acceptances counted up to a majority |
//! | [`ranking`] | which instance is preferred for a lease, and who votes on it |
//! | [`manager`] | all leases of an instance: timers, hand-over, take-over, batches |
//! | [`gossip_store`] | results that all instances share, disseminated when they change |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod acceptor;
pub mod gossip_store;
pub mod grant;
pub mod manager;
pub mod message;
pub mod proposer;
pub mod ranking;

pub use gossip_store::{GossipEntry, GossipMessage, GossipStore};
pub use grant::{Clocks, LeaseGrant, Millis};
pub use manager::{LeaseConfig, LeaseManager, LeaseStatus, Output};
pub use message::{Ballot, InstanceId, LeaseId, Message, RejectReason};
