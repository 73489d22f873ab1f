//! The requests served by this process, each with its command queue.

use super::departed_requests::DepartedRequests;
use crate::api::{RequestId, ServerId, Time};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A command for the task that serves a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt at this server, with this deadline.
    StartAttempt(ServerId, Time),
    /// Reject the request with a local response that carries a Retry-After in milliseconds (0: none).
    Reject(u64),
    /// Fail the request with a local response.
    Fail,
    /// Cancel the attempt with this number.
    CancelAttempt(u32),
    /// Ask the client of the established connection to reconnect elsewhere.
    Migrate,
    /// Transfer the established connection to the successor of this process.
    Transfer,
}

struct RegisteredRequest {
    commands: mpsc::UnboundedSender<Command>,
    established: bool,
}

/// Registry of the requests served by this process.
#[derive(Default)]
pub struct RequestRegistry {
    requests: RefCell<HashMap<RequestId, RegisteredRequest>>,
    departed: RefCell<DepartedRequests>,
}

/// Keeps a request registered until it is dropped.
pub struct RequestRegistration {
    registry: Rc<RequestRegistry>,
    id: RequestId,
}

impl Drop for RequestRegistration {
    fn drop(&mut self) {
        self.registry.requests.borrow_mut().remove(&self.id);
    }
}

impl RequestRegistry {
    /// Registers a request. Returns `None` if the id is in use, or if it may have executed for a client that has left.
    pub fn register(
        self: &Rc<Self>,
        id: RequestId,
    ) -> Option<(RequestRegistration, mpsc::UnboundedReceiver<Command>)> {
        if self.contains(id) {
            return None;
        }
        let mut requests = self.requests.borrow_mut();
        let (commands, queue) = mpsc::unbounded_channel();
        let established = false;
        requests.insert(
            id,
            RegisteredRequest {
                commands,
                established,
            },
        );
        let registration = RequestRegistration {
            registry: self.clone(),
            id,
        };
        Some((registration, queue))
    }

    /// Whether the id is in use, or may have executed for a client that has left.
    pub fn contains(&self, id: RequestId) -> bool {
        let has_departed = || self.departed.borrow_mut().contains(Instant::now(), id);
        self.requests.borrow().contains_key(&id) || has_departed()
    }

    /// Remembers that a request may have executed and that its client has left, so that it is not served again.
    pub fn remember_departed(&self, id: RequestId) {
        self.departed.borrow_mut().remember(Instant::now(), id);
    }

    /// Marks a request's connection as established.
    pub fn mark_established(&self, id: RequestId) {
        if let Some(request) = self.requests.borrow_mut().get_mut(&id) {
            request.established = true;
        }
    }

    /// The requests whose connection is established.
    pub fn established(&self) -> Vec<RequestId> {
        self.ids(true)
    }

    /// The requests that wait for their response.
    pub fn pending(&self) -> Vec<RequestId> {
        self.ids(false)
    }

    fn ids(&self, established: bool) -> Vec<RequestId> {
        let requests = self.requests.borrow();
        let matching = requests
            .iter()
            .filter(|(_, request)| request.established == established);
        matching.map(|(id, _)| *id).collect()
    }

    /// Queues a command for a request. A command for a request that has just ended is dropped.
    pub fn send_command(&self, id: RequestId, command: Command) {
        if let Some(request) = self.requests.borrow().get(&id) {
            let _ = request.commands.send(command);
        }
    }
}
