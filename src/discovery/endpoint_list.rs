//! Discovery's form of the list of servers, as its answers and a node's file hold it.

use crate::api::*;
use crate::config::zone_of;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list, or the changes to one.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub revision: u64,
    /// It names every server; otherwise only what changed.
    pub complete: bool,
    /// The servers, each with the address at which this node reaches it.
    pub members: Vec<(Endpoint, SocketAddr)>,
    /// Entries left out because this node could not connect there: the first of them, to be logged.
    pub unusable: Option<String>,
}

#[derive(Deserialize)]
struct RawList {
    revision: u64,
    complete: bool,
    members: Vec<RawMember>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    locality: Option<String>,
    cell: Option<u32>,
    phase: String,
    size: Option<f64>,
    up_since_ms: Option<f64>,
}

impl EndpointList {
    /// Reads a JSON value in discovery's form.
    pub fn read(value: serde_json::Value) -> Result<Self, String> {
        let raw: RawList = serde_json::from_value(value).map_err(|e| e.to_string())?;
        let mut list = Self {
            revision: raw.revision,
            complete: raw.complete,
            ..Self::default()
        };
        for entry in raw.members {
            match entry.host_port.parse() {
                Ok(address) => list.members.push((entry.member(), address)),
                Err(_) => list.unusable = Some(format!("'{}' of {}", entry.host_port, entry.id)),
            }
        }
        Ok(list)
    }

    /// Reads the text of an answer.
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        Self::read(serde_json::from_slice(text).map_err(|e| e.to_string())?)
    }
}

impl RawMember {
    fn member(&self) -> Endpoint {
        let started = self.up_since_ms.unwrap_or(0.0) / 1000.0;
        Endpoint {
            // The id is the same at every balancer and so ranks alike there; the address is not.
            id: ServerId::of(&self.id),
            zone: zone_of(self.locality.as_deref()),
            state: match self.phase.as_str() {
                "SERVING" => EndpointState::Ready,
                "DELETED" => EndpointState::Removed,
                // A phase that is not known yet takes nothing new.
                _ => EndpointState::Draining,
            },
            weight: self.size.unwrap_or(1.0),
            started_at: if started.is_finite() {
                started.max(0.0)
            } else {
                0.0
            },
            cell: self.cell.unwrap_or(0),
        }
    }
}
