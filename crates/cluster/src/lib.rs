//! A cluster of balancers: one datagram socket on which instances know of each other, divide duties and share what
//! came of them, and a control socket for whoever asks how things stand.
//!
//! | part | holds |
//! | --- | --- |
//! | [`node`] | membership, duties and board of one instance joined: datagrams in, datagrams and permits out; no I/O |
//! | [`port`] | a datagram socket with a clock, and the loop that serves what lives on it |
//! | [`driver`] | the performers and the news: carries out what the node says |
//! | [`distribution`] | both ends of the distribution on their sockets |
//! | [`control`] | one line asked, one line of JSON answered, over a Unix socket |
//! | [`hook`] | how a part of the program registers a duty of its own |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod distribution;
pub mod driver;
pub mod hook;
pub mod node;
pub mod port;

pub use driver::{Cluster, Handle};
pub use hook::{Duty, Outcome};
pub use node::{Effect, Node, Setup};
