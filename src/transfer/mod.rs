//! What one process of a balancer exchanges with another during a hot restart: its state, its client connections, updates
//! of the endpoint list, and claims of request ids.
//!
//! All payloads are encoded with postcard, which identifies fields by position and enum variants by number. The order
//! and the types of the fields are part of the format between versions.

pub mod connection;
pub mod request_id_claims;
pub mod sender;
pub mod slots;
pub mod snapshot;

pub use connection::{EstablishedConnection, TransferredConnection};
pub use request_id_claims::{ClaimedRequestId, RequestIdClaims};
pub use sender::ConnectionSender;
pub use snapshot::Snapshot;

use crate::discovery::endpoint_list::EndpointList;
use spanspur_hot_restart::frame::Frame;

/// Returns the frame that notifies another process of an update of the endpoint list.
pub fn list_update_frame(list: &EndpointList) -> Frame {
    Frame::EndpointList(postcard::to_stdvec(list).unwrap_or_default())
}
