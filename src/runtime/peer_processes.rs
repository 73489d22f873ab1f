//! The other processes of this balancer, which run beside this one during a hot restart.

use crate::api::RequestId;
use crate::transfer::{ClaimedRequestId, ConnectionSender, RequestIdClaims};
use spanspur_hot_restart::frame::Frame;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The links to the other processes, their descriptor count and the successor.
pub struct PeerProcesses {
    links: RefCell<Vec<mpsc::Sender<Frame>>>,
    descriptors: Cell<usize>,
    successor: watch::Sender<Option<Rc<ConnectionSender>>>,
    /// The processes that serve clients beside this one.
    request_ids: RefCell<Vec<Rc<RequestIdClaims>>>,
}

impl Default for PeerProcesses {
    fn default() -> Self {
        Self {
            links: RefCell::default(),
            descriptors: Cell::new(0),
            successor: watch::Sender::new(None),
            request_ids: RefCell::default(),
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

    /// Adds a process that has to be asked before a request is served here.
    pub fn add_request_ids(&self, claims: Rc<RequestIdClaims>) {
        self.request_ids.borrow_mut().push(claims);
    }

    /// Removes a process whose link has ended. Its claims without an answer are granted.
    pub fn remove_request_ids(&self, claims: &Rc<RequestIdClaims>) {
        claims.close();
        let mut request_ids = self.request_ids.borrow_mut();
        request_ids.retain(|other| !Rc::ptr_eq(other, claims));
    }

    /// Whether other processes have to be asked before a request is served here.
    pub fn shares_request_ids(&self) -> bool {
        !self.request_ids.borrow().is_empty()
    }

    /// Claims a request id for this process, until `deadline` at the latest. Returns `None` if another process of this balancer serves a request with the
    /// id. The claims are to be held until the request is registered.
    pub async fn claim_request_id(
        &self,
        id: RequestId,
        deadline: Instant,
    ) -> Option<Vec<ClaimedRequestId>> {
        let processes = self.request_ids.borrow().clone();
        let mut claimed = Vec::with_capacity(processes.len());
        for process in processes {
            claimed.push(process.claim(id, deadline).await?);
        }
        Some(claimed)
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
