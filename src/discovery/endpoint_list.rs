//! The endpoint list in discovery's JSON format, which its responses and the configuration file use.

use super::zone::zone_id;
use crate::api::{Endpoint, EndpointState, ServerId, Time, UpdateKind};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The weight of an endpoint that has none in the list.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A full endpoint list, or a delta to an earlier one.
///
/// The successor process receives it in postcard, which identifies fields by position: their order and types are fixed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    /// The list's version at discovery.
    pub revision: u64,
    /// Whether the list holds every endpoint; otherwise it holds only those that changed.
    pub complete: bool,
    /// The endpoints of the list or the delta.
    pub endpoints: Vec<ListedEndpoint>,
    /// The address and the id of the last entry that was skipped because its address is invalid, as text for the log.
    pub unusable: Option<String>,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint, the same at every balancer.
    pub endpoint: Endpoint,
    /// The address at which this process reaches the endpoint.
    pub address: SocketAddr,
}

/// An endpoint list that cannot be parsed.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not JSON.
    #[error(transparent)]
    NotJson(serde_json::Error),
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Malformed(serde_json::Error),
}

/// The list as discovery writes it. Do not rename these structs: serde puts their names into its error texts.
#[derive(Deserialize)]
struct RawList {
    revision: u64,
    complete: bool,
    members: Vec<RawMember>,
}

/// An endpoint as discovery writes it.
#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    /// The endpoint's zone.
    locality: Option<String>,
    cell: Option<u32>,
    /// `SERVING`, `DELETED`, or another phase in which the endpoint drains.
    phase: String,
    /// The endpoint's weight.
    size: Option<f64>,
    /// When the endpoint started, in milliseconds since the Unix epoch.
    up_since_ms: Option<f64>,
}

impl EndpointList {
    /// Whether the balancer applies the list as a full list or as a delta.
    pub fn update_kind(&self) -> UpdateKind {
        match self.complete {
            true => UpdateKind::Full,
            false => UpdateKind::Delta,
        }
    }

    /// Converts a JSON value in discovery's format. Entries with an invalid address are skipped.
    ///
    /// # Errors
    /// If a field is missing or has the wrong type.
    pub fn from_json(value: serde_json::Value) -> Result<Self, EndpointListError> {
        let raw: RawList = serde_json::from_value(value).map_err(EndpointListError::Malformed)?;
        let mut list = Self {
            revision: raw.revision,
            complete: raw.complete,
            ..Self::default()
        };
        for entry in raw.members {
            match entry.host_port.parse() {
                Ok(address) => list.endpoints.push(entry.to_listed(address)),
                Err(_) => list.unusable = Some(format!("'{}' of {}", entry.host_port, entry.id)),
            }
        }
        Ok(list)
    }

    /// Parses the body of a response.
    ///
    /// # Errors
    /// If the body is not JSON; also see [`EndpointList::from_json`].
    pub fn parse(text: &[u8]) -> Result<Self, EndpointListError> {
        Self::from_json(serde_json::from_slice(text).map_err(EndpointListError::NotJson)?)
    }
}

impl RawMember {
    fn to_listed(&self, address: SocketAddr) -> ListedEndpoint {
        ListedEndpoint {
            endpoint: self.endpoint(),
            address,
        }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint {
            // All balancers rank by the id, which is the same at each; the address may differ between balancers.
            id: ServerId::of(&self.id),
            zone: zone_id(self.locality.as_deref()),
            state: self.state(),
            weight: self.size.unwrap_or(DEFAULT_WEIGHT),
            started_at: self.started_at(),
            cell: self.cell.unwrap_or(0),
        }
    }

    fn state(&self) -> EndpointState {
        match self.phase.as_str() {
            "SERVING" => EndpointState::Ready,
            "DELETED" => EndpointState::Removed,
            // An endpoint in a phase that a later version of discovery adds must not get new connections.
            _ => EndpointState::Draining,
        }
    }

    /// When the endpoint started, in seconds; 0 (long ago) if discovery does not give it.
    fn started_at(&self) -> Time {
        let started_at = self.up_since_ms.unwrap_or(0.0) / MILLISECONDS_PER_SECOND;
        if started_at.is_finite() {
            started_at.max(0.0)
        } else {
            0.0
        }
    }
}
