//! Takes a snapshot of the process for its successor, and restores the predecessor's snapshot.

use super::Runtime;
use crate::api::{Event, UpdateKind};
use crate::transfer::Snapshot;
use std::rc::Rc;

impl Runtime {
    /// Takes a snapshot of the state from which a successor continues.
    pub fn snapshot(&self) -> Snapshot {
        let endpoints = self.endpoints.borrow();
        let balancer = &self.balancer.borrow().balancer;
        Snapshot {
            discovery: self.process_config().discovery,
            revision: endpoints.revision(),
            endpoints: endpoints.announced(),
            balancer: postcard::to_stdvec(balancer).unwrap_or_default(),
            maintenance: endpoints.maintenance().to_text(),
            draining: self.lifecycle.is_draining(),
        }
    }

    /// Restores the balancer and the endpoint list of the predecessor. If the balancer cannot be decoded, the current
    /// one is kept.
    pub fn restore(self: &Rc<Self>, snapshot: Snapshot) {
        match postcard::from_bytes(&snapshot.balancer) {
            Ok(balancer) => self.balancer.borrow_mut().balancer = balancer,
            Err(error) => tracing::warn!(%error, "cannot decode the predecessor's balancer state"),
        }
        self.handle_event(Event::ConfigChanged(self.process_config().config.clone()));
        self.update_endpoints(UpdateKind::Full, snapshot.into_endpoint_list());
    }
}
