//! Hot restart: the driver of `spanspur-hot-restart`.
//!
//! A process listens on a Unix socket under `$TMPDIR`. A newer process of the same balancer connects to it, continues from
//! its snapshot, accepts the clients, and takes over its connections when the older process is told to shut down.

mod peer;
mod predecessor;
mod successor;

pub use successor::PredecessorLink;

use crate::runtime::Runtime;
use crate::transfer::ConnectionSender;
use spanspur_hot_restart::predecessor::{Command, Input, PredecessorState, SuccessorId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;

/// The part of this process in hot restarts: first as a successor, then as a predecessor.
pub struct HotRestart {
    runtime: Rc<Runtime>,
    socket_path: PathBuf,
    state: RefCell<PredecessorState>,
    /// The connected successors.
    successors: RefCell<HashMap<SuccessorId, Rc<ConnectionSender>>>,
}

impl HotRestart {
    /// Hot restarts over the Unix socket at this path.
    pub fn new(runtime: Rc<Runtime>, socket_path: PathBuf) -> Rc<Self> {
        Rc::new(Self {
            runtime,
            socket_path,
            state: RefCell::default(),
            successors: RefCell::default(),
        })
    }

    /// Connects to the process that serves now and continues from its state; `None` if there is none that it can
    /// continue from: then this process begins on its own.
    pub async fn connect_to_predecessor(&self) -> Option<PredecessorLink> {
        successor::connect(&self.runtime, &self.socket_path).await
    }

    /// Listens for the next successor, and notifies the predecessor that this process accepts the clients.
    pub async fn take_clients(self: &Rc<Self>, predecessor: Option<PredecessorLink>) {
        self.listen_for_successors();
        if let Some(predecessor) = predecessor {
            predecessor.take_clients(self.runtime.clone()).await;
        }
    }

    /// This process is told to shut down: a successor that is ready gets its connections.
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
            Command::ResumeAccepting => (false, None),
        };
        self.runtime.set_clients_handed_over(handed_over);
        self.runtime.peer_processes.set_successor(successor);
    }
}
