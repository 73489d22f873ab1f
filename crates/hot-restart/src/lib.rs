//! Hot restart: the protocol between a balancer process and its successor, over a Unix socket that the older process
//! listens on.
//!
//! [`frame`] defines the messages and their encoding, [`predecessor`] the state machine of the older process,
//! [`request_ids`] how the two processes agree on who serves a request id; none of them does I/O. [`link`] transmits frames and open descriptors. The balancer defines the payloads of frames.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frame;
pub mod link;
pub mod predecessor;
pub mod request_ids;
