//! The protocols of clients and stream servers, and of the simulator. They translate between the wire and the types of
//! [`crate::api`] and make no balancing decisions.

pub mod client;
mod request_id;
pub mod simulator;
