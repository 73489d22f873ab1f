//! Periodic leases granted by majority vote, and a replicated store that disseminates their results by gossip.
//!
//! A lease stands for a recurring task that one instance of a cluster carries out per interval. Each interval is a
//! *term* with a number that is never reused. A majority of the lease's voters decides by Paxos which instance wins a
//! term. The winner gets a [`LeaseGrant`] whose fencing token is the term's number.
//!
//! The crate has no sockets, clocks, threads or sources of randomness. The caller passes in time and messages, and
//! takes out messages and grants. [`LeaseManager`] is the entry point; `docs/design/duties.md` compares the design
//! alternatives.
//!
//! | module | holds |
//! | --- | --- |
//! | [`message`] | identifiers, ballots and the messages between proposers and acceptors |
//! | [`grant`] | the right to carry out a lease's task in one term; clocks |
//! | [`acceptor`] | a voter: its promises and votes, and when it abstains |
//! | [`proposer`] | a proposer of one lease, which collects promises and votes from a majority |
//! | [`ranking`] | the preferred instance and the voters of a lease |
//! | [`manager`] | all leases of an instance: timers, hand-over, take-over, batching of messages |
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
