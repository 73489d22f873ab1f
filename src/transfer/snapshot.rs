//! The state from which a newer process continues.

use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a process, sent to its successor.
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The discovery service that the endpoint list comes from.
    pub discovery: SocketAddr,
    /// Revision of the endpoint list.
    pub revision: u64,
    /// The listed endpoints as discovery names them, each with the address at which this process reaches it.
    pub endpoints: Vec<ListedEndpoint>,
    /// The balancer, encoded with postcard; empty if it could not be encoded.
    pub balancer: Vec<u8>,
    /// Servers under maintenance, in the format of the maintenance file.
    pub maintenance: String,
    /// Whether the balancer is in draining mode.
    pub draining: bool,
}

impl Snapshot {
    /// The complete endpoint list that it holds.
    pub fn into_endpoint_list(self) -> EndpointList {
        EndpointList {
            revision: self.revision,
            complete: true,
            endpoints: self.endpoints,
            unusable: None,
        }
    }
}
