//! The driver of a cluster of balancers: one UDP socket over which instances find each other, distribute leases and
//! share results, and a control socket for operators.
//!
//! | module | holds |
//! | --- | --- |
//! | [`node`] | one instance without I/O, which combines membership, leases and gossip store |
//! | [`udp_endpoint`] | a UDP socket with a clock, and the loop that drives a state machine on it |
//! | [`driver`] | carries out a node's effects: sends datagrams, runs tasks, queues updates, logs events |
//! | [`lease_task`] | the interface of a task that one instance of the cluster runs per interval |
//! | [`distribution`] | the drivers of the distribution's source and follower |
//! | [`control`] | the control socket: a query of one line, an answer of one line of JSON |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod distribution;
pub mod driver;
pub mod lease_task;
pub mod node;
pub mod udp_endpoint;

pub use driver::{Cluster, ClusterHandle};
pub use lease_task::{GrantClock, LeaseTask, TaskFuture};
pub use node::{Effect, Node, NodeConfig};
