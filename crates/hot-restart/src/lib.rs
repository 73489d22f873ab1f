//! Hot restart: a process of a balancer and the one that replaces it talk over a Unix socket that the older one holds.
//!
//! [`frame`] defines the messages and their encoding, [`predecessor`] what the older process does when; both without
//! I/O. [`link`] carries frames and open descriptors. The payloads of frames belong to the balancer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frame;
pub mod link;
pub mod predecessor;
