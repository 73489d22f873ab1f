//! Sends connections to the successor and waits for its acknowledgements.

use super::connection::TransferredConnection;
use super::slots::TransferSlots;
use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::Sender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::os::fd::BorrowedFd;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Established connections that may be in transit at a time.
const ESTABLISHED_SLOTS: usize = 4;
/// Clients without a request that may be in transit at a time.
const IDLE_SLOTS: usize = 2;

/// Transfers connections over the link to the successor.
pub struct ConnectionSender {
    link: Sender,
    /// Connections that are sent and not yet acknowledged, by number.
    unacknowledged: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    descriptors_in_transit: Cell<usize>,
    next_number: Cell<u64>,
    closed: Cell<bool>,
    /// Slots for established connections.
    pub established_slots: Rc<TransferSlots>,
    /// Slots for clients without a request, apart, so that a crowd of them does not delay established connections.
    pub idle_slots: Rc<TransferSlots>,
}

/// Counts the descriptors of a connection in transit until it is dropped.
struct InTransit<'a> {
    count: &'a Cell<usize>,
    descriptors: usize,
}

impl<'a> InTransit<'a> {
    fn new(count: &'a Cell<usize>, descriptors: usize) -> Self {
        count.set(count.get() + descriptors);
        Self { count, descriptors }
    }
}

impl Drop for InTransit<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - self.descriptors);
    }
}

impl ConnectionSender {
    /// Creates a sender for this link.
    pub fn new(link: Sender) -> Rc<Self> {
        Rc::new(Self {
            link,
            unacknowledged: RefCell::default(),
            descriptors_in_transit: Cell::new(0),
            next_number: Cell::new(0),
            closed: Cell::new(false),
            established_slots: TransferSlots::new(ESTABLISHED_SLOTS),
            idle_slots: TransferSlots::new(IDLE_SLOTS),
        })
    }

    /// The link itself, for frames other than connections.
    pub fn link(&self) -> &Sender {
        &self.link
    }

    /// Transfers a connection. Returns `true` if the successor has taken it over, else the connection stays with this
    /// process. Waits for the acknowledgement or the end of the link. The future must not be dropped before it
    /// completes: the successor may take the connection over although this process still serves it. A connection that
    /// was taken over must release its permit before anything is awaited, as it is in transit no more.
    pub async fn transfer(
        &self,
        connection: TransferredConnection,
        descriptors: &[BorrowedFd<'_>],
    ) -> bool {
        let Ok(encoded) = postcard::to_stdvec(&connection) else {
            return false;
        };
        let turn = self.link.turn().await;
        if self.closed.get() {
            return false;
        }
        // From here on a report of descriptors that follows on the link leaves the connection out.
        let _in_transit = InTransit::new(&self.descriptors_in_transit, descriptors.len());
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (acknowledge, acknowledged) = oneshot::channel();
        self.unacknowledged.borrow_mut().insert(number, acknowledge);
        let frame = Frame::Connection {
            number,
            payload: encoded,
        };
        if let Err(error) = turn.send(&frame, descriptors).await {
            tracing::warn!(%error, "connection transfer failed");
            self.unacknowledged.borrow_mut().remove(&number);
            return false;
        }
        acknowledged.await.unwrap_or(false)
    }

    /// The number of descriptors of the connections that are sent and still hold a permit here. The successor counts these
    /// descriptors as its own.
    pub fn descriptors_in_transit(&self) -> usize {
        self.descriptors_in_transit.get()
    }

    /// Handles the successor's acknowledgement of a connection. `taken_over` tells whether the successor has taken the
    /// connection over.
    pub fn acknowledge(&self, number: u64, taken_over: bool) {
        if let Some(waiting) = self.unacknowledged.borrow_mut().remove(&number) {
            let _ = waiting.send(taken_over);
        }
    }

    /// Starts no more transfers; those in transit continue.
    pub fn stop_transfers(&self) {
        self.established_slots.close();
        self.idle_slots.close();
    }

    /// Ends all transfers. Connections that are not acknowledged stay with this process.
    pub fn close(&self) {
        self.closed.set(true);
        self.unacknowledged.borrow_mut().clear();
    }
}
