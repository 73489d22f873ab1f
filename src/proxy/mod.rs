//! The data path: a client's connection from its first line to its end.

pub mod attempt;
pub mod listener;
pub mod relay;
pub mod request;
