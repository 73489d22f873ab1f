//! Asks another process of this balancer whether a request id is in use there, and answers its questions.

use crate::api::RequestId;
use crate::invariants;
use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::request_ids::{ClaimTable, Role};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Maximum time for the other process to decide a claim. A process that hangs must not keep its successor from serving, so a
/// claim without an answer counts as granted.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);

/// The claims of request ids on the link to another process.
pub struct RequestIdClaims {
    table: RefCell<ClaimTable>,
    /// Frames to the other process.
    frames: mpsc::Sender<Frame>,
    /// Claims without an answer, by number.
    undecided: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// Whether the other process has answered since the last timeout. No claim waits for one that has not.
    is_responsive: Cell<bool>,
}

/// A claim that the other process has not denied. To be held until the request is registered.
pub struct ClaimedRequestId {
    claims: Rc<RequestIdClaims>,
    id: RequestId,
}

impl Drop for ClaimedRequestId {
    fn drop(&mut self) {
        self.claims.table.borrow_mut().end(self.id.0);
    }
}

impl RequestIdClaims {
    /// Creates the claims of a process with this role. `frames` takes the frames to the other process.
    pub fn new(role: Role, frames: mpsc::Sender<Frame>) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::new(ClaimTable::new(role)),
            frames,
            undecided: RefCell::default(),
            is_responsive: Cell::new(true),
        })
    }

    /// Claims a request id, and waits for the decision until `deadline` at the latest. Returns `None` if the id is in use in
    /// the other process, or is being claimed for another request of this one.
    pub async fn claim(
        self: &Rc<Self>,
        id: RequestId,
        deadline: Instant,
    ) -> Option<ClaimedRequestId> {
        let number = self.table.borrow_mut().begin(id.0)?;
        let claimed = ClaimedRequestId {
            claims: self.clone(),
            id,
        };
        let (decide, decision) = oneshot::channel();
        self.undecided.borrow_mut().insert(number, decide);
        let sent = self
            .frames
            .try_send(Frame::ClaimRequestId { number, id: id.0 });
        if sent.is_ok() && self.is_responsive.get() {
            let decision_deadline = Instant::now() + DECISION_TIMEOUT;
            let decided = timeout_at(deadline.min(decision_deadline), decision).await;
            // A request with little time left shows nothing about the other process.
            if decided.is_err() && decision_deadline <= deadline {
                invariants::count("claim of a request id was not answered");
                self.is_responsive.set(false);
            }
            // If the link has ended, there is no other process any more.
            if decided == Ok(Ok(false)) {
                return None;
            }
        }
        self.undecided.borrow_mut().remove(&number);
        Some(claimed)
    }

    /// Handles the other process's decision of a claim.
    pub fn handle_decision(&self, number: u64, granted: bool) {
        self.is_responsive.set(true);
        if granted {
            self.table.borrow_mut().record_grant(number);
        }
        if let Some(waiting) = self.undecided.borrow_mut().remove(&number) {
            let _ = waiting.send(granted);
        }
    }

    /// Answers a claim of the other process. `registered_here` tells whether this process serves a request with the id.
    pub fn answer(&self, number: u64, id: RequestId, registered_here: bool) {
        let granted = self.table.borrow().decide(id.0, registered_here);
        // A decision that finds no room in the queue is missed, like that of a process that hangs.
        let _ = self
            .frames
            .try_send(Frame::RequestIdDecision { number, granted });
    }

    /// Ends all claims without an answer, as the link has ended.
    pub fn close(&self) {
        self.undecided.borrow_mut().clear();
    }
}
