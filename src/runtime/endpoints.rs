//! Updates and queries of the endpoint list and of the servers under maintenance.

use super::Runtime;
use super::endpoint_directory::SlowStartWindow;
use crate::api::{Event, ServerId, UpdateKind};
use crate::discovery::endpoint_list::EndpointList;
use crate::transfer::list_update_frame;
use spanspur_admin::maintenance::MaintenanceSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

impl Runtime {
    /// Applies an endpoint list, first to the directory and then to the balancer, so that the address of every server
    /// that the balancer chooses is known.
    pub fn update_endpoints(self: &Rc<Self>, kind: UpdateKind, list: EndpointList) {
        if let Some(entry) = &list.unusable {
            tracing::warn!(entry, "unusable address in endpoint list");
        }
        let window = self.slow_start_window();
        let endpoints = self.endpoints.borrow_mut().apply(kind, list, window);
        self.handle_event(Event::EndpointsUpdated {
            kind,
            endpoints: endpoints.into(),
        });
        self.endpoints_changed.send_replace(());
    }

    /// Applies a list received from the control instances instead of discovery, and forwards it to the other processes
    /// of this balancer as if it had come from discovery.
    pub fn update_from_distribution(self: &Rc<Self>, list: EndpointList) {
        let kind = list.update_kind();
        tracing::debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.endpoints.len(),
            "endpoint list received from distribution"
        );
        self.lifecycle.set_discovery_answered();
        self.peer_processes.broadcast(|| list_update_frame(&list));
        self.update_endpoints(kind, list);
    }

    /// The servers under maintenance.
    pub fn maintenance(&self) -> MaintenanceSet {
        self.endpoints.borrow().maintenance().clone()
    }

    /// Merges newer entries into the servers under maintenance, and passes the endpoints whose state changes to the
    /// balancer.
    pub fn merge_maintenance(self: &Rc<Self>, maintenance: &MaintenanceSet) {
        self.endpoints.borrow_mut().merge_maintenance(maintenance);
        self.refresh_endpoints();
    }

    /// Sets whether another process accepts the clients. If so, this process stops accepting them, else it accepts them
    /// again.
    pub fn set_clients_handed_over(self: &Rc<Self>, handed_over: bool) {
        self.endpoints
            .borrow_mut()
            .set_clients_handed_over(handed_over);
        self.refresh_endpoints();
        self.lifecycle.set_accepting(!handed_over);
    }

    /// Recomputes the effective state of all endpoints, and passes those that changed to the balancer as an update.
    fn refresh_endpoints(self: &Rc<Self>) {
        let window = self.slow_start_window();
        let changed = self.endpoints.borrow_mut().refresh(window);
        if !changed.is_empty() {
            self.handle_event(Event::EndpointsUpdated {
                kind: UpdateKind::Delta,
                endpoints: changed.into(),
            });
            self.endpoints_changed.send_replace(());
        }
    }

    fn slow_start_window(&self) -> SlowStartWindow {
        SlowStartWindow {
            now: self.now(),
            length: self.process_config().config.slow_start_window,
        }
    }

    /// Subscribes to changes of the endpoint list and of the endpoints' effective states. A notification may come without
    /// a change.
    pub fn subscribe_endpoints(&self) -> watch::Receiver<()> {
        self.endpoints_changed.subscribe()
    }

    /// Waits until the server is listed.
    pub async fn wait_until_listed(&self, server: ServerId) {
        let is_listed = |_: &()| self.endpoint_address(server).is_some();
        // The sender lives as long as this runtime.
        let _ = self.subscribe_endpoints().wait_for(is_listed).await;
    }

    /// The revision of the endpoint list applied last.
    pub fn list_revision(&self) -> u64 {
        self.endpoints.borrow().revision()
    }

    /// The address of a listed server.
    pub fn endpoint_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.borrow().address(server)
    }

    /// All listed servers with their addresses.
    pub fn endpoint_addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        self.endpoints.borrow().addresses()
    }

    /// Whether the server is listed and accepts new requests.
    pub fn accepts_new_requests(&self, server: ServerId) -> bool {
        self.endpoints.borrow().accepts_new_requests(server)
    }
}
