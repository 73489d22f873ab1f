//! The data path: a client's connection from its first line to its end.

pub mod attempt;
pub mod connection_limit;
pub mod latency_tracker;
pub mod listener;
pub mod relay;
pub mod request;
