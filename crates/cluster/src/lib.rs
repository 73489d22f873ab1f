//! A cluster of balancers: one datagram socket on which instances know of each other, divide duties and share what
//! came of them, and a control socket for whoever asks how things stand.
//!
//! | part | holds |
//! | --- | --- |
//! | [`node`] | membership, duties and board of one instance joined: datagrams in, datagrams and permits out; no I/O |
//! | [`driver`] | the socket, the clock and the performers: carries out what the node says |
//! | [`control`] | one line asked, one line of JSON answered, over a Unix socket |
//! | [`hook`] | how a part of the program registers a duty of its own |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod driver;
pub mod hook;
pub mod node;

pub use driver::{Cluster, Handle};
pub use hook::{Duty, Outcome};
pub use node::{Effect, Node, Setup};
