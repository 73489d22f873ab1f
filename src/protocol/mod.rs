//! The protocols at the edge. Each maps its own names to the terms of the decisions once; neither decides anything.

pub mod client;
pub mod simulator;
