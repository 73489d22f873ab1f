//! The listed endpoints, each with its state as announced by discovery, its effective state for the balancer and its
//! address.

use crate::api::{Endpoint, EndpointState, ServerId, Time, UpdateKind};
use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use spanspur_admin::maintenance::MaintenanceSet;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A listed endpoint.
struct DirectoryEntry {
    /// As announced by discovery.
    announced: Endpoint,
    /// As passed to the balancer, with the overrides applied.
    effective: Endpoint,
    address: SocketAddr,
}

/// The current time and the slow-start window, which together tell whether a server is warming up.
#[derive(Clone, Copy)]
pub struct SlowStartWindow {
    /// The current time.
    pub now: Time,
    /// Seconds after its start during which a server is warming up.
    pub length: Time,
}

/// What makes an endpoint's effective state differ from the announced one.
#[derive(Default)]
struct EndpointOverrides {
    maintenance: MaintenanceSet,
    /// Whether another process accepts the clients. The slow-start budget of servers that are warming up then belongs
    /// to that process alone.
    clients_handed_over: bool,
}

impl EndpointOverrides {
    /// Returns the effective endpoint. A server under maintenance is draining even if the list says it is ready.
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
            // If two processes both used the slow-start budget of a server, it would be spent twice.
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
    overrides: EndpointOverrides,
    revision: u64,
}

impl EndpointDirectory {
    /// Applies a list from discovery. Returns its endpoints with their effective state.
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
        self.overrides.maintenance.record_listed(announced.id.0);
        let effective = self.overrides.apply(announced, window);
        let overridden = effective.state != announced.state;
        tracing::debug!(endpoint = ?announced, overridden, %address, "endpoint update applied");
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

    /// Recomputes the effective state of all listed endpoints. Returns the endpoints whose effective state has changed.
    pub fn refresh(&mut self, window: SlowStartWindow) -> Vec<Endpoint> {
        let mut changed = Vec::new();
        for listed in self.listed.values_mut() {
            let effective = self.overrides.apply(listed.announced, window);
            let before = &listed.effective;
            if (effective.state, effective.started_at) != (before.state, before.started_at) {
                listed.effective = effective;
                changed.push(effective);
            }
        }
        changed
    }

    /// The revision of the list applied last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The servers under maintenance.
    pub fn maintenance(&self) -> &MaintenanceSet {
        &self.overrides.maintenance
    }

    /// Merges newer entries into the servers under maintenance. They take effect with [`Self::refresh`].
    pub fn merge_maintenance(&mut self, maintenance: &MaintenanceSet) {
        self.overrides.maintenance.merge(maintenance);
    }

    /// Sets whether another process accepts the clients. The change takes effect with [`Self::refresh`].
    pub fn set_clients_handed_over(&mut self, handed_over: bool) {
        self.overrides.clients_handed_over = handed_over;
    }

    /// The address of a listed server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.listed.get(&server).map(|entry| entry.address)
    }

    /// All listed servers with their addresses.
    pub fn addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        let listed = self.listed.iter();
        listed.map(|(id, entry)| (*id, entry.address)).collect()
    }

    /// All listed endpoints as announced by discovery, with their addresses.
    pub fn announced(&self) -> Vec<ListedEndpoint> {
        let entries = self.listed.values();
        let listed = entries.map(|entry| ListedEndpoint {
            endpoint: entry.announced,
            address: entry.address,
        });
        listed.collect()
    }

    /// Whether the server is listed and accepts new requests.
    pub fn accepts_new_requests(&self, server: ServerId) -> bool {
        let listed = self.listed.get(&server);
        listed.is_some_and(|entry| entry.effective.state == EndpointState::Ready)
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }
}
