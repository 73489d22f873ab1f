//! The driver of a cluster of balancers: one UDP socket on which instances find each other, divide leases and share
//! results, and a control socket for the staff.
//!
//! | module | holds |
//! | --- | --- |
//! | [`node`] | membership, leases and gossip store of one instance joined, without I/O: datagrams in, effects out |
//! | [`udp_endpoint`] | a UDP socket with a clock, and the loop that serves what lives on it |
//! | [`driver`] | carries out a node's effects: datagrams, tasks, updates, log |
//! | [`lease_task`] | how a part of the program registers a task that one instance carries out per interval |
//! | [`distribution`] | both ends of the distribution on their sockets |
//! | [`control`] | the control socket: one line asked, one line of JSON answered |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod distribution;
pub mod driver;
pub mod lease_task;
pub mod node;
pub mod udp_endpoint;

pub use driver::{Cluster, ClusterHandle};
pub use lease_task::{GrantClock, LeaseTask, TaskResult};
pub use node::{Effect, Node, NodeConfig};
