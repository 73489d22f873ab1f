//! Hot restart: drives the protocol of `spanspur-hot-restart`.
//!
//! A process listens on a Unix socket under `$TMPDIR`. A newer process of the same balancer connects to the socket,
//! restores the snapshot it receives and starts to accept clients. When the older process is told to shut down, it
//! transfers its connections to the newer one.

mod peer;
mod predecessor;
mod successor;
mod take_over;

pub use successor::PredecessorLink;

use crate::runtime::Runtime;
use crate::transfer::ConnectionSender;
use spanspur_hot_restart::predecessor::{Command, Input, PredecessorState, SuccessorId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;

/// Hot restarts of this process, which is first a successor and later a predecessor.
pub struct HotRestart {
    runtime: Rc<Runtime>,
    socket_path: PathBuf,
    state: RefCell<PredecessorState>,
    /// The connected successors.
    successors: RefCell<HashMap<SuccessorId, Rc<ConnectionSender>>>,
}

impl HotRestart {
    /// Creates the state for hot restarts over the Unix socket at `socket_path`.
    pub fn new(runtime: Rc<Runtime>, socket_path: PathBuf) -> Rc<Self> {
        Rc::new(Self {
            runtime,
            socket_path,
            state: RefCell::default(),
            successors: RefCell::default(),
        })
    }

    /// Connects to the running process and restores its state. Returns `None` if no process is running or its state
    /// cannot be restored: this process then starts without it.
    pub async fn connect_to_predecessor(&self) -> Option<PredecessorLink> {
        successor::connect(&self.runtime, &self.socket_path).await
    }

    /// Listens for the next successor, and notifies the predecessor that this process is ready to accept clients.
    pub async fn announce_ready(self: &Rc<Self>, predecessor: Option<PredecessorLink>) {
        self.listen_for_successors();
        if let Some(predecessor) = predecessor {
            predecessor.notify_ready(self.runtime.clone()).await;
        }
    }

    /// Starts the shutdown: connections are transferred to the successor that is ready, if any.
    pub fn begin_shutdown(&self) {
        self.handle(Input::Shutdown);
    }

    fn handle(&self, input: Input) {
        let Some(command) = self.state.borrow_mut().handle(input) else {
            return;
        };
        tracing::info!(
            ?input,
            ?command,
            established = self.runtime.established_requests().len(),
            "hot restart"
        );
        let (handed_over, successor) = match command {
            Command::StopAccepting => (true, None),
            Command::TransferTo(id) => (true, self.successors.borrow().get(&id).cloned()),
            // A process that is about to exit leaves new clients to the next one.
            Command::ResumeAccepting => (self.runtime.lifecycle.is_exiting(), None),
        };
        self.runtime.set_clients_handed_over(handed_over);
        self.runtime.peer_processes.set_successor(successor);
    }
}
