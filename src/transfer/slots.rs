//! Limits how many connections are in transit to the successor at a time. The descriptors of a connection in transit are
//! held by both processes, and its lines wait until the successor has taken it over.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Slots for connections in transit.
pub struct TransferSlots {
    free: Cell<usize>,
    freed: Notify,
    closed: Cell<bool>,
}

/// Holds a slot until it is dropped.
pub struct TransferSlot(Rc<TransferSlots>);

impl Drop for TransferSlot {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        self.0.freed.notify_one();
    }
}

impl TransferSlots {
    /// Creates this number of slots.
    pub fn new(slots: usize) -> Rc<Self> {
        Rc::new(Self {
            free: Cell::new(slots),
            freed: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Takes a slot. Returns `None` if none is free or the slots are closed.
    pub fn try_acquire(self: &Rc<Self>) -> Option<TransferSlot> {
        let free = self.free().checked_sub(1)?;
        self.free.set(free);
        Some(TransferSlot(self.clone()))
    }

    /// Takes a slot as soon as one is free. Cancel safe.
    pub async fn acquire(self: &Rc<Self>) -> TransferSlot {
        loop {
            if let Some(slot) = self.try_acquire() {
                return slot;
            }
            self.freed.notified().await;
        }
    }

    /// The number of free slots; 0 once the slots are closed.
    pub fn free(&self) -> usize {
        match self.closed.get() {
            true => 0,
            false => self.free.get(),
        }
    }

    /// Waits until a slot has been released since the last call.
    pub async fn released(&self) {
        self.freed.notified().await;
    }

    /// Gives out no more slots. Those that are held stay valid.
    pub fn close(&self) {
        self.closed.set(true);
    }
}
