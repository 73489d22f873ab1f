//! Limits the descriptors that clients hold. When they run out, clients that have not sent their request, or have their
//! final response already, are evicted for the others, the one that has waited longest first.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Descriptors reserved for what is not a client's or its backend's, and for those that are being closed.
const RESERVED_DESCRIPTORS: usize = 40;
/// Of these, how many may be used by rejected clients that may still be sending.
const MAX_LINGERING: usize = 8;
/// Descriptors of an idle client: its own.
const IDLE_DESCRIPTORS: usize = 1;
/// Descriptors of a client in service: its own and its backend's.
const SERVICE_DESCRIPTORS: usize = 2;

/// The descriptors held by clients.
#[derive(Default)]
pub struct ConnectionLimit {
    held: Cell<usize>,
    lingering: Cell<usize>,
    /// Idle clients in the order in which they became idle; a closed channel is a client that is idle no longer.
    evictable: RefCell<VecDeque<oneshot::Sender<()>>>,
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
    /// Resolves when the client is evicted; `None` while the client is in service.
    eviction: Option<oneshot::Receiver<()>>,
}

impl ConnectionLimit {
    /// A permit for a client that has sent nothing yet, in a process that may hold so many descriptors; `None` if
    /// clients in service hold all that are not reserved.
    pub fn acquire_for_client(
        self: &Rc<Self>,
        descriptor_limit: usize,
    ) -> Option<ConnectionPermit> {
        self.acquire(client_descriptors(descriptor_limit))
    }

    /// A permit for an idle connection, among at most so many descriptors; `None` if none of them can be had.
    pub fn acquire(self: &Rc<Self>, limit: usize) -> Option<ConnectionPermit> {
        let mut permit = ConnectionPermit {
            limit: self.clone(),
            held: 0,
            eviction: None,
        };
        permit.grow_to(IDLE_DESCRIPTORS, limit).then(|| {
            permit.become_idle();
            permit
        })
    }

    /// A permit for an idle client that another process of this balancer transferred, whatever the limit.
    pub fn admit_idle(self: &Rc<Self>) -> ConnectionPermit {
        let mut permit = self.admit(IDLE_DESCRIPTORS);
        permit.become_idle();
        permit
    }

    /// A permit for a client in service that another process of this balancer transferred, whatever the limit.
    pub fn admit_in_service(self: &Rc<Self>) -> ConnectionPermit {
        self.admit(SERVICE_DESCRIPTORS)
    }

    fn admit(self: &Rc<Self>, held: usize) -> ConnectionPermit {
        self.held.set(self.held.get() + held);
        ConnectionPermit {
            limit: self.clone(),
            held,
            eviction: None,
        }
    }

    /// A reserved descriptor for a rejected client; `None` if too many are in use.
    pub fn acquire_for_lingering(&self) -> Option<LingerPermit<'_>> {
        let lingering = &self.lingering;
        (lingering.get() < MAX_LINGERING).then(|| {
            lingering.set(lingering.get() + 1);
            LingerPermit(lingering)
        })
    }

    /// The number of descriptors held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Evicts the client that has been idle longest; `false` if none is idle. Its descriptor is closed a moment later:
    /// the reserved ones cover that time.
    fn evict_one(&self) -> bool {
        let mut evictable = self.evictable.borrow_mut();
        while let Some(client) = evictable.pop_front() {
            if client.send(()).is_ok() {
                return true;
            }
        }
        false
    }
}

impl ConnectionPermit {
    /// Extends the permit to a client in service, which is not evicted; `false` if there are no descriptors for it.
    pub fn acquire_for_service(&mut self, descriptor_limit: usize) -> bool {
        self.eviction = None;
        self.grow_to(SERVICE_DESCRIPTORS, client_descriptors(descriptor_limit))
    }

    /// Reduces the permit to an idle client, which may be evicted.
    pub fn become_idle(&mut self) {
        let held = &self.limit.held;
        held.set(held.get() - (self.held - IDLE_DESCRIPTORS));
        self.held = IDLE_DESCRIPTORS;
        let (evict, eviction) = oneshot::channel();
        self.eviction = Some(eviction);
        let mut evictable = self.limit.evictable.borrow_mut();
        while evictable.front().is_some_and(oneshot::Sender::is_closed) {
            evictable.pop_front();
        }
        evictable.push_back(evict);
    }

    /// Waits until the client is evicted.
    pub async fn evicted(&mut self) {
        match &mut self.eviction {
            Some(eviction) => drop(eviction.await),
            None => std::future::pending().await,
        }
    }

    fn grow_to(&mut self, wanted: usize, limit: usize) -> bool {
        let additional = wanted.saturating_sub(self.held);
        if self.limit.held.get() + additional > limit && !self.limit.evict_one() {
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

/// Of the descriptors that the process may hold, those for clients: at least one client can be served.
fn client_descriptors(descriptor_limit: usize) -> usize {
    descriptor_limit
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(SERVICE_DESCRIPTORS)
}
