//! Limits the descriptors held by clients. When the descriptors run out, idle clients are evicted, the longest idle
//! first. A client is idle until it has sent its request, and again from its final response on. Clients whose request
//! waits without anything being sent for it follow after all idle ones.

use super::eviction_queue::{Evictable, EvictionPriority, EvictionQueue};
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors reserved for uses other than clients and their backends, and for connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 40;
/// Maximum number of reserved descriptors that rejected clients hold while their connections linger, so that what they
/// still send is read.
const MAX_LINGERING: usize = 8;
/// Descriptors of an idle client: that of the client.
const IDLE_DESCRIPTORS: usize = 1;
/// Descriptors of a client in service: those of the client and the backend.
const SERVICE_DESCRIPTORS: usize = 2;

/// Counts the descriptors held by clients and evicts idle clients when there are too many.
#[derive(Default)]
pub struct ConnectionLimit {
    held: Cell<usize>,
    lingering: Cell<usize>,
    evictable: Rc<EvictionQueue>,
}

/// Holds one of the reserved descriptors until it is dropped.
pub struct LingerPermit<'a>(&'a Cell<usize>);

impl Drop for LingerPermit<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Holds a client's descriptors until it is dropped.
pub struct ConnectionPermit {
    limit: Rc<ConnectionLimit>,
    held: usize,
    /// The client's place among those that may be evicted; `None` while the client is in service.
    evictable: Option<Evictable>,
}

impl ConnectionLimit {
    /// Acquires a permit for a client that has sent nothing yet, in a process that may hold `descriptor_limit`
    /// descriptors. Returns `None` if clients in service hold all descriptors that are not reserved.
    pub fn acquire_for_client(
        self: &Rc<Self>,
        descriptor_limit: usize,
    ) -> Option<ConnectionPermit> {
        self.acquire(client_descriptors(descriptor_limit))
    }

    /// Acquires a permit for an idle connection, if necessary by evicting another one to stay within `limit`
    /// descriptors. Returns `None` if the limit is reached and no connection is idle.
    pub fn acquire(self: &Rc<Self>, limit: usize) -> Option<ConnectionPermit> {
        let mut permit = ConnectionPermit {
            limit: self.clone(),
            held: 0,
            evictable: None,
        };
        permit.grow_to(IDLE_DESCRIPTORS, limit).then(|| {
            permit.become_idle();
            permit
        })
    }

    /// Creates a permit for an idle client transferred from another process of this balancer. Returns `None` at the limit:
    /// no client here is evicted for it.
    pub fn admit_idle(self: &Rc<Self>, descriptor_limit: usize) -> Option<ConnectionPermit> {
        if self.held.get() + IDLE_DESCRIPTORS > client_descriptors(descriptor_limit) {
            return None;
        }
        let mut permit = self.admit(IDLE_DESCRIPTORS);
        permit.become_idle();
        Some(permit)
    }

    /// Creates a permit for a client in service transferred from another process of this balancer. At the limit, idle
    /// clients are evicted for it; if there is none, it is admitted all the same, as it may not be lost.
    pub fn admit_in_service(self: &Rc<Self>, descriptor_limit: usize) -> ConnectionPermit {
        let permit = self.admit(SERVICE_DESCRIPTORS);
        self.evict_excess(descriptor_limit);
        permit
    }

    /// Evicts idle clients, the longest idle first, until the clients are within the limit or none is idle. To be called
    /// when the limit may have decreased.
    pub fn evict_excess(&self, descriptor_limit: usize) {
        let limit = client_descriptors(descriptor_limit);
        let excess = self.held.get().saturating_sub(limit);
        for _ in 0..excess {
            if !self.evictable.evict_first() {
                return;
            }
        }
    }

    fn admit(self: &Rc<Self>, held: usize) -> ConnectionPermit {
        self.held.set(self.held.get() + held);
        ConnectionPermit {
            limit: self.clone(),
            held,
            evictable: None,
        }
    }

    /// Acquires a reserved descriptor for the lingering connection of a rejected client. Returns `None` if all
    /// descriptors for this purpose are in use.
    pub fn acquire_for_lingering(&self) -> Option<LingerPermit<'_>> {
        let lingering = &self.lingering;
        (lingering.get() < MAX_LINGERING).then(|| {
            lingering.set(lingering.get() + 1);
            LingerPermit(lingering)
        })
    }

    /// The number of descriptors held by permits; those of lingering connections do not count.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// The number of clients that may be evicted.
    pub fn evictable(&self) -> usize {
        self.evictable.len()
    }
}

impl ConnectionPermit {
    /// Extends the permit to a client in service, which cannot be evicted. Evicts an idle client if necessary. Returns
    /// `false` if no descriptor is available; the client cannot be evicted then either.
    pub fn acquire_for_service(&mut self, descriptor_limit: usize) -> bool {
        self.become_unevictable();
        self.grow_to(SERVICE_DESCRIPTORS, client_descriptors(descriptor_limit))
    }

    /// Protects the client from eviction. Its descriptors stay the same.
    pub fn become_unevictable(&mut self) {
        self.evictable = None;
    }

    /// Reduces the permit to an idle client, which can be evicted.
    pub fn become_idle(&mut self) {
        self.become_evictable(EvictionPriority::Idle);
    }

    /// Reduces the permit to a client whose request waits without anything being sent for it. It can be evicted once no
    /// client is idle.
    pub fn become_waiting(&mut self) {
        self.become_evictable(EvictionPriority::Waiting);
    }

    fn become_evictable(&mut self, priority: EvictionPriority) {
        let held = &self.limit.held;
        held.set(held.get() - (self.held - IDLE_DESCRIPTORS));
        self.held = IDLE_DESCRIPTORS;
        self.evictable = Some(self.limit.evictable.join(priority));
    }

    /// Waits until the client is evicted. Returns at once if it already was.
    pub async fn evicted(&mut self) {
        match &mut self.evictable {
            Some(evictable) => evictable.evicted().await,
            None => std::future::pending().await,
        }
    }

    /// Evicts a client at the limit: its descriptor is closed shortly after, and until then the process may use one of the
    /// reserved descriptors instead.
    fn grow_to(&mut self, wanted: usize, limit: usize) -> bool {
        let additional = wanted.saturating_sub(self.held);
        if self.limit.held.get() + additional > limit && !self.limit.evictable.evict_first() {
            return false;
        }
        self.limit.held.set(self.limit.held.get() + additional);
        self.held += additional;
        true
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limit.held.set(self.limit.held.get() - self.held);
    }
}

/// Returns how many of the descriptors that the process may hold are available to clients: enough for at least one
/// client in service.
fn client_descriptors(descriptor_limit: usize) -> usize {
    descriptor_limit
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(SERVICE_DESCRIPTORS)
}
