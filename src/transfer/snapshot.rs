//! The state of a process from which its successor continues.

use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a process, sent to its successor.
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The discovery service that the endpoint list comes from.
    pub discovery: SocketAddr,
    /// Revision of the endpoint list.
    pub revision: u64,
    /// The listed endpoints as announced by discovery, each with the address at which this process reaches it.
    pub endpoints: Vec<ListedEndpoint>,
    /// The balancer, encoded with postcard; empty if it could not be encoded.
    pub balancer: Vec<u8>,
    /// The servers under maintenance, in the format of the maintenance file.
    pub maintenance: String,
    /// Whether the balancer is in draining mode.
    pub draining: bool,
}

impl Snapshot {
    /// Converts the snapshot to a complete endpoint list.
    pub fn into_endpoint_list(self) -> EndpointList {
        EndpointList {
            revision: self.revision,
            complete: true,
            endpoints: self.endpoints,
            unusable: None,
        }
    }
}
