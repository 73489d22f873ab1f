//! The state of the process as a snapshot for its successor, and back.

use super::Runtime;
use crate::api::{Event, UpdateKind};
use crate::transfer::Snapshot;
use std::rc::Rc;

impl Runtime {
    /// The state from which a successor continues.
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

    /// Continues from the balancer and the endpoint list of the predecessor.
    pub fn restore(self: &Rc<Self>, snapshot: Snapshot) {
        match postcard::from_bytes(&snapshot.balancer) {
            Ok(balancer) => self.balancer.borrow_mut().balancer = balancer,
            Err(error) => tracing::warn!(%error, "unreadable balancer state of the predecessor"),
        }
        self.handle_event(Event::ConfigChanged(self.process_config().config.clone()));
        self.update_endpoints(UpdateKind::Full, snapshot.into_endpoint_list());
    }
}
