//! The listed endpoints: as discovery names them, as the balancer sees them, and their addresses.

use crate::api::{Endpoint, EndpointState, ServerId, Time, UpdateKind};
use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use spanspur_admin::maintenance::MaintenanceSet;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A listed endpoint.
struct DirectoryEntry {
    /// As discovery names it.
    announced: Endpoint,
    /// As the balancer sees it, after the mask of maintenance and hand-over.
    effective: Endpoint,
    address: SocketAddr,
}

/// When slow start ends for a server.
#[derive(Clone, Copy)]
pub struct SlowStartWindow {
    /// The current time.
    pub now: Time,
    /// Seconds after its start in which a server is warming up.
    pub length: Time,
}

/// What makes the balancer see an endpoint differently than discovery names it.
#[derive(Default)]
struct EndpointMask {
    maintenance: MaintenanceSet,
    /// Another process takes the clients: the slow-start budget of cold servers is its alone.
    clients_handed_over: bool,
}

impl EndpointMask {
    /// The endpoint as the balancer is to see it: a server under maintenance is draining, whatever its list says.
    fn apply(&self, announced: Endpoint, window: SlowStartWindow) -> Endpoint {
        let maintenance = self.maintenance.override_for(
            announced.id.0,
            announced.started_at,
            window.now,
            window.length,
        );
        let warming_up = maintenance.started > window.now - window.length;
        let state = match announced.state {
            EndpointState::Ready if maintenance.draining => EndpointState::Draining,
            // Two processes that both used a cold server's budget would use it twice.
            EndpointState::Ready if self.clients_handed_over && warming_up => {
                EndpointState::Draining
            }
            state => state,
        };
        Endpoint {
            state,
            started_at: maintenance.started,
            ..announced
        }
    }
}

/// All listed endpoints, and the servers under maintenance.
#[derive(Default)]
pub struct EndpointDirectory {
    listed: HashMap<ServerId, DirectoryEntry>,
    mask: EndpointMask,
    revision: u64,
}

impl EndpointDirectory {
    /// Applies a list from discovery. Returns its endpoints as the balancer is to see them.
    pub fn apply(
        &mut self,
        kind: UpdateKind,
        list: EndpointList,
        window: SlowStartWindow,
    ) -> Vec<Endpoint> {
        self.revision = list.revision;
        if kind != UpdateKind::Delta {
            self.listed.clear();
        }
        let mut effective = Vec::with_capacity(list.endpoints.len());
        for listed in list.endpoints {
            effective.push(self.apply_one(listed, window));
        }
        effective
    }

    fn apply_one(&mut self, listed: ListedEndpoint, window: SlowStartWindow) -> Endpoint {
        let ListedEndpoint {
            endpoint: announced,
            address,
        } = listed;
        self.mask.maintenance.record_listed(announced.id.0);
        let effective = self.mask.apply(announced, window);
        let masked = effective.state != announced.state;
        tracing::debug!(endpoint = ?announced, masked, %address, "endpoint listed");
        if announced.state == EndpointState::Removed {
            self.listed.remove(&announced.id);
        } else {
            let endpoint = DirectoryEntry {
                announced,
                effective,
                address,
            };
            self.listed.insert(announced.id, endpoint);
        }
        effective
    }

    /// Masks all listed endpoints anew. Returns those that the balancer sees differently now.
    pub fn refresh(&mut self, window: SlowStartWindow) -> Vec<Endpoint> {
        let mut changed = Vec::new();
        for listed in self.listed.values_mut() {
            let effective = self.mask.apply(listed.announced, window);
            let before = &listed.effective;
            if (effective.state, effective.started_at) != (before.state, before.started_at) {
                listed.effective = effective;
                changed.push(effective);
            }
        }
        changed
    }

    /// Revision of the list applied last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The servers under maintenance.
    pub fn maintenance(&self) -> &MaintenanceSet {
        &self.mask.maintenance
    }

    /// Merges in newer knowledge of the servers under maintenance; [`Self::refresh`] brings it into effect.
    pub fn merge_maintenance(&mut self, maintenance: &MaintenanceSet) {
        self.mask.maintenance.merge(maintenance);
    }

    /// Sets whether another process takes the clients; [`Self::refresh`] brings it into effect.
    pub fn set_clients_handed_over(&mut self, handed_over: bool) {
        self.mask.clients_handed_over = handed_over;
    }

    /// The address of a listed server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.listed.get(&server).map(|at| at.address)
    }

    /// All listed servers with their addresses.
    pub fn addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        let listed = self.listed.iter();
        listed.map(|(id, at)| (*id, at.address)).collect()
    }

    /// All listed endpoints as discovery names them, with their addresses.
    pub fn announced(&self) -> Vec<ListedEndpoint> {
        let entries = self.listed.values();
        let listed = entries.map(|entry| ListedEndpoint {
            endpoint: entry.announced,
            address: entry.address,
        });
        listed.collect()
    }

    /// Whether the server is listed and takes new requests.
    pub fn accepts_new_requests(&self, server: ServerId) -> bool {
        let listed = self.listed.get(&server);
        listed.is_some_and(|at| at.effective.state == EndpointState::Ready)
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }
}
