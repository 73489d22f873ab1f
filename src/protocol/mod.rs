//! The protocols at the edge. Each maps its own names to the terms of [`crate::api`] once; neither decides anything.

pub mod client;
mod request_id;
pub mod simulator;
