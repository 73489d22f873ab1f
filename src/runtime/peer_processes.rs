//! The other processes of this balancer, which run beside this one during a hot restart.

use crate::transfer::ConnectionSender;
use spanspur_hot_restart::frame::Frame;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Links to the other processes, and what is known of them.
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
    /// Adds a process: broadcast frames go into its queue from here on.
    pub fn add(&self, link: mpsc::Sender<Frame>) {
        self.links.borrow_mut().push(link);
    }

    /// Sends a frame to all other processes. One whose queue is full or closed is dropped.
    pub fn broadcast(&self, frame: impl Fn() -> Frame) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| link.try_send(frame()).is_ok());
    }

    /// The descriptors that another process of this balancer holds.
    pub fn descriptors(&self) -> usize {
        self.descriptors.get()
    }

    /// Sets the descriptors that another process of this balancer holds.
    pub fn set_descriptors(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
    }

    /// The process that takes over the established connections once this one shuts down.
    pub fn successor(&self) -> Option<Rc<ConnectionSender>> {
        self.successor.borrow().clone()
    }

    /// Whether there is such a process.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Sets the process that takes over.
    pub fn set_successor(&self, successor: Option<Rc<ConnectionSender>>) {
        self.successor.send_replace(successor);
    }

    /// Waits until there is a process that takes over.
    pub async fn wait_for_successor(&self) -> Rc<ConnectionSender> {
        let mut successor = self.successor.subscribe();
        match successor.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(successor)) => successor.clone(),
            _ => std::future::pending().await,
        }
    }
}
