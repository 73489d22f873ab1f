//! The endpoint list in discovery's form, as its answers and the configuration file hold it.

use super::zone::zone_id;
use crate::api::{Endpoint, EndpointState, ServerId, Time, UpdateKind};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The priority weight of an endpoint that gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A full endpoint list, or a delta to an earlier one.
///
/// It travels to the successor process in postcard, which knows fields by their place: their order and types stay.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    /// The list's version at discovery.
    pub revision: u64,
    /// It holds every endpoint; otherwise only those that changed.
    pub complete: bool,
    /// The endpoints of the list or the delta.
    pub endpoints: Vec<ListedEndpoint>,
    /// An entry that was skipped because its address cannot be used, the last one if there are several; for the log.
    pub unusable: Option<String>,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint, alike at every balancer.
    pub endpoint: Endpoint,
    /// The address at which this process reaches it.
    pub address: SocketAddr,
}

/// An endpoint list that cannot be read.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not JSON.
    #[error(transparent)]
    NotJson(serde_json::Error),
    /// A field is missing or has another type.
    #[error(transparent)]
    Malformed(serde_json::Error),
}

/// The list as discovery writes it. serde puts the names of these structs into its messages.
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
    /// How the balancer is to apply it.
    pub fn update_kind(&self) -> UpdateKind {
        match self.complete {
            true => UpdateKind::Full,
            false => UpdateKind::Delta,
        }
    }

    /// Reads a JSON value in discovery's form. Entries without a usable address are skipped.
    ///
    /// # Errors
    /// If a field is missing or has another type.
    pub fn from_json(value: serde_json::Value) -> Result<Self, EndpointListError> {
        let raw: RawList = serde_json::from_value(value).map_err(EndpointListError::Malformed)?;
        let mut list = Self {
            revision: raw.revision,
            complete: raw.complete,
            ..Self::default()
        };
        for entry in raw.members {
            match entry.host_port.parse() {
                Ok(address) => list.endpoints.push(entry.listed_at(address)),
                Err(_) => list.unusable = Some(format!("'{}' of {}", entry.host_port, entry.id)),
            }
        }
        Ok(list)
    }

    /// Reads the body of an answer.
    ///
    /// # Errors
    /// If it is not JSON, or as [`EndpointList::from_json`].
    pub fn parse(text: &[u8]) -> Result<Self, EndpointListError> {
        Self::from_json(serde_json::from_slice(text).map_err(EndpointListError::NotJson)?)
    }
}

impl RawMember {
    fn listed_at(&self, address: SocketAddr) -> ListedEndpoint {
        ListedEndpoint {
            endpoint: self.endpoint(),
            address,
        }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint {
            // All balancers rank by the id, which is the same everywhere; the address may differ between them.
            id: ServerId::of(&self.id),
            zone: zone_id(self.locality.as_deref()),
            state: self.state(),
            weight: self.size.unwrap_or(DEFAULT_WEIGHT),
            started_at: self.started(),
            cell: self.cell.unwrap_or(0),
        }
    }

    fn state(&self) -> EndpointState {
        match self.phase.as_str() {
            "SERVING" => EndpointState::Ready,
            "DELETED" => EndpointState::Removed,
            // A phase added by a later discovery must not get new connections.
            _ => EndpointState::Draining,
        }
    }

    /// When the endpoint started, in seconds; 0 (long ago) where discovery does not say.
    fn started(&self) -> Time {
        let started = self.up_since_ms.unwrap_or(0.0) / MILLISECONDS_PER_SECOND;
        if started.is_finite() {
            started.max(0.0)
        } else {
            0.0
        }
    }
}
