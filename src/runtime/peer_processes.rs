//! The other processes of this balancer, which run beside this one during a hot restart.

use crate::transfer::ConnectionSender;
use spanspur_hot_restart::frame::Frame;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The links to the other processes, their descriptor count and the successor.
pub struct PeerProcesses {
    links: RefCell<Vec<mpsc::Sender<Frame>>>,
    descriptors: Cell<usize>,
    successor: watch::Sender<Option<Rc<ConnectionSender>>>,
}

impl Default for PeerProcesses {
    fn default() -> Self {
        Self {
            links: RefCell::default(),
            descriptors: Cell::new(0),
            successor: watch::Sender::new(None),
        }
    }
}

impl PeerProcesses {
    /// Adds a process, which receives all later broadcast frames through its queue.
    pub fn add(&self, link: mpsc::Sender<Frame>) {
        self.links.borrow_mut().push(link);
    }

    /// Sends a frame to all other processes. A process whose queue is full or closed is removed.
    pub fn broadcast(&self, frame: impl Fn() -> Frame) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| link.try_send(frame()).is_ok());
    }

    /// The number of descriptors that another process of this balancer holds.
    pub fn descriptors(&self) -> usize {
        self.descriptors.get()
    }

    /// Sets the number of descriptors that another process of this balancer holds.
    pub fn set_descriptors(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
    }

    /// The successor: the process that takes over the clients of this process, those without a request at once and
    /// established connections when this process shuts down.
    pub fn successor(&self) -> Option<Rc<ConnectionSender>> {
        self.successor.borrow().clone()
    }

    /// Whether there is a successor.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Sets or clears the successor.
    pub fn set_successor(&self, successor: Option<Rc<ConnectionSender>>) {
        self.successor.send_replace(successor);
    }

    /// Waits until there is a successor.
    pub async fn wait_for_successor(&self) -> Rc<ConnectionSender> {
        let mut successor = self.successor.subscribe();
        match successor.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(successor)) => successor.clone(),
            _ => std::future::pending().await,
        }
    }
}
