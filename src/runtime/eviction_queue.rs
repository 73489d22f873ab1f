//! The clients that may be evicted, in the order in which they are.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Why a client may be evicted. Clients of an earlier variant are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// The client has not sent its request, or has its final response.
    Idle,
    /// The client's request waits, and nothing is sent for it meanwhile.
    Waiting,
}

/// The place of a client in the queue: by priority, then in the order of joining.
type Position = (EvictionPriority, u64);

/// A queue of clients that may be evicted. It has one entry for each [`Evictable`] that has not been evicted, however
/// many have come and gone.
#[derive(Default)]
pub struct EvictionQueue {
    entries: RefCell<BTreeMap<Position, oneshot::Sender<()>>>,
    next_number: Cell<u64>,
}

/// Keeps a client in the queue until it is dropped.
pub struct Evictable {
    queue: Rc<EvictionQueue>,
    position: Position,
    eviction: oneshot::Receiver<()>,
}

impl EvictionQueue {
    /// Adds a client behind all others of its priority.
    pub fn join(self: &Rc<Self>, priority: EvictionPriority) -> Evictable {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let position = (priority, number);
        let (evict, eviction) = oneshot::channel();
        self.entries.borrow_mut().insert(position, evict);
        Evictable {
            queue: self.clone(),
            position,
            eviction,
        }
    }

    /// Evicts the first client. Returns `false` if the queue is empty.
    pub fn evict_first(&self) -> bool {
        let first = self.entries.borrow_mut().pop_first();
        first.is_some_and(|(_, evict)| evict.send(()).is_ok())
    }

    /// The number of clients in the queue.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether no client may be evicted.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }
}

impl Evictable {
    /// Waits until the client is evicted. Returns at once if it already was.
    pub async fn evicted(&mut self) {
        // A channel must not be polled again after its result.
        if !self.eviction.is_terminated() {
            let _ = (&mut self.eviction).await;
        }
    }
}

impl Drop for Evictable {
    fn drop(&mut self) {
        self.queue.entries.borrow_mut().remove(&self.position);
    }
}
