//! The endpoint list as gossiped entries: one entry per endpoint, and summaries of the whole list.
//!
//! Instances of different versions exchange these keys and values: neither the hashed names nor the order of fields may
//! change.

use crate::api::{Endpoint, EndpointState, ServerId};
use crate::discovery::endpoint_list::ListedEndpoint;
use serde::{Deserialize, Serialize};
use spanspur_leases::{GossipEntry, LeaseId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// The name of the lease. The key of its holder's heartbeat is the hash of the same name.
pub const LEASE_NAME: &str = "list";
/// The name whose hash is the key of the summary for balancers outside the cluster. The summary is published when the
/// list or its publisher has changed.
const SUMMARY_NAME: &str = "list/head";
/// The first byte of the value of a heartbeat or summary.
const KIND_SUMMARY: u8 = 0;
/// The first byte of the value of an endpoint.
const KIND_ENDPOINT: u8 = 1;

/// An endpoint in its gossiped form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's id.
    pub id: u64,
    zone: u32,
    /// 0 ready, 1 draining, 2 removed.
    state: u8,
    weight: f64,
    started_at: f64,
    cell: u32,
    /// The address at which the endpoint accepts connections.
    pub address: SocketAddr,
}

/// A summary of the whole list, by which a recipient detects whether its list is complete.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListSummary {
    /// Discovery's revision of the list.
    pub revision: u64,
    /// The hash over all endpoints except removed ones, see [`hash_endpoints`].
    pub hash: u64,
}

/// A decoded entry of the list.
pub enum ListEntry {
    /// The summary of the holder's list, published regularly while the lease is held.
    Heartbeat(ListSummary),
    /// The summary of a changed list.
    Summary(ListSummary),
    /// The state of one endpoint.
    Endpoint(EndpointEntry),
}

impl ListEntry {
    /// Decodes an entry; `None` if the entry does not belong to the list.
    pub fn decode(entry: &GossipEntry) -> Option<Self> {
        let (kind, value) = entry.value.split_first()?;
        match *kind {
            KIND_SUMMARY if entry.key == key_of(LEASE_NAME) => {
                postcard::from_bytes(value).ok().map(Self::Heartbeat)
            }
            KIND_SUMMARY if entry.key == key_of(SUMMARY_NAME) => {
                postcard::from_bytes(value).ok().map(Self::Summary)
            }
            KIND_ENDPOINT => {
                let endpoint: EndpointEntry = postcard::from_bytes(value).ok()?;
                (endpoint.key() == entry.key).then_some(Self::Endpoint(endpoint))
            }
            _ => None,
        }
    }

    /// Encodes the entry with this version.
    pub fn encode(&self, version: u64) -> GossipEntry {
        let (key, kind, bytes) = match self {
            Self::Heartbeat(summary) => (
                key_of(LEASE_NAME),
                KIND_SUMMARY,
                postcard::to_stdvec(summary),
            ),
            Self::Summary(summary) => (
                key_of(SUMMARY_NAME),
                KIND_SUMMARY,
                postcard::to_stdvec(summary),
            ),
            Self::Endpoint(endpoint) => {
                (endpoint.key(), KIND_ENDPOINT, postcard::to_stdvec(endpoint))
            }
        };
        GossipEntry {
            key,
            version,
            // Encoding into memory does not fail for these types.
            value: [vec![kind], bytes.unwrap_or_default()].concat(),
        }
    }
}

/// Hashes a name in the same way as the ids of leases.
fn key_of(name: &str) -> u64 {
    LeaseId::of(name).0
}

impl EndpointEntry {
    /// Creates the entry of a listed endpoint.
    pub fn new(listed: &ListedEndpoint) -> Self {
        let endpoint = &listed.endpoint;
        Self {
            id: endpoint.id.0,
            zone: endpoint.zone,
            state: endpoint.state as u8,
            weight: endpoint.weight,
            started_at: endpoint.started_at,
            cell: endpoint.cell,
            address: listed.address,
        }
    }

    /// Converts the entry to an endpoint with its address, as discovery lists it.
    pub fn to_listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            endpoint: self.to_endpoint(),
            address: self.address,
        }
    }

    /// Converts the entry to an endpoint as the balancer uses it.
    pub fn to_endpoint(&self) -> Endpoint {
        Endpoint {
            id: ServerId(self.id),
            zone: self.zone,
            state: match self.state {
                0 => EndpointState::Ready,
                1 => EndpointState::Draining,
                _ => EndpointState::Removed,
            },
            weight: self.weight,
            started_at: self.started_at,
            cell: self.cell,
        }
    }

    /// Whether the endpoint is no longer listed.
    pub fn is_removed(&self) -> bool {
        self.to_endpoint().state == EndpointState::Removed
    }

    /// Marks the endpoint as no longer listed.
    pub fn mark_removed(&mut self) {
        self.state = EndpointState::Removed as u8;
    }

    fn key(&self) -> u64 {
        key_of(&format!("{LEASE_NAME}/{:016x}", self.id))
    }
}

/// The hash over all endpoints except removed ones, in the order given. The lossy conversion to UTF-8 is part of the
/// hash that instances of other versions compute, so it must not change.
pub fn hash_endpoints<'a>(endpoints: impl Iterator<Item = &'a EndpointEntry>) -> u64 {
    let listed = endpoints.filter(|endpoint| !endpoint.is_removed());
    let bytes = listed.flat_map(|endpoint| postcard::to_stdvec(endpoint).unwrap_or_default());
    key_of(&String::from_utf8_lossy(&bytes.collect::<Vec<u8>>()))
}

/// A value and the version of its entry.
struct Versioned<T> {
    version: u64,
    value: T,
}

/// The list as assembled from entries, and whether it is complete.
#[derive(Default)]
pub struct ReplicatedList {
    endpoints: BTreeMap<u64, Versioned<EndpointEntry>>,
    summary: Option<Versioned<ListSummary>>,
    /// Whether the endpoints match the summary; computed on demand and reset by each change.
    is_complete: Option<bool>,
}

impl ReplicatedList {
    /// Applies an entry unless one of the same or a higher version is known. Returns the endpoint if one was applied.
    pub fn apply_entry(&mut self, entry: &GossipEntry) -> Option<EndpointEntry> {
        match ListEntry::decode(entry)? {
            ListEntry::Heartbeat(_) => None,
            ListEntry::Summary(summary) => {
                self.apply_summary(entry.version, summary);
                None
            }
            ListEntry::Endpoint(endpoint) => self.apply_endpoint(entry.version, endpoint),
        }
    }

    fn apply_summary(&mut self, version: u64, summary: ListSummary) {
        let known = self.summary.as_ref();
        if known.is_none_or(|known| known.version < version) {
            let value = summary;
            self.summary = Some(Versioned { version, value });
            self.is_complete = None;
        }
    }

    fn apply_endpoint(&mut self, version: u64, endpoint: EndpointEntry) -> Option<EndpointEntry> {
        let known = self.endpoints.get(&endpoint.id);
        if known.is_some_and(|known| known.version >= version) {
            return None;
        }
        let value = endpoint.clone();
        self.endpoints
            .insert(endpoint.id, Versioned { version, value });
        self.is_complete = None;
        Some(endpoint)
    }

    /// The summary, if the endpoints match it.
    pub fn complete_summary(&mut self) -> Option<ListSummary> {
        let summary = self.summary.as_ref()?.value;
        let endpoints = self.endpoints.values().map(|known| &known.value);
        let is_complete = *self
            .is_complete
            .get_or_insert_with(|| hash_endpoints(endpoints) == summary.hash);
        is_complete.then_some(summary)
    }

    /// All endpoints, removed ones included, ordered by id.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values().map(|known| &known.value)
    }

    /// Marks endpoints as removed that discovery no longer lists. A later entry can list them again.
    pub fn mark_removed(&mut self, is_unlisted: impl Fn(u64) -> bool) {
        for (id, known) in &mut self.endpoints {
            if !known.value.is_removed() && is_unlisted(*id) {
                known.value.mark_removed();
                self.is_complete = None;
            }
        }
    }
}
