//! The older process: listens for successors and sends them its state, updates and connections.

use super::HotRestart;
use super::peer::{
    HELLO_TIMEOUT, MAX_QUEUED_REQUEST_IDS, MAX_QUEUED_UPDATES, OWN_DESCRIPTORS, apply_update,
    send_updates,
};
use crate::invariants;
use crate::transfer::{ConnectionSender, RequestIdClaims};
use spanspur_hot_restart::frame::{Frame, MIN_VERSION, REQUEST_ID_VERSION, VERSION};
use spanspur_hot_restart::link::{LinkError, ReceivedFrame, Receiver, Sender, link};
use spanspur_hot_restart::predecessor::{Input, SuccessorId};
use spanspur_hot_restart::request_ids::Role;
use std::fs::{self, Permissions};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Limit on connected successors. Covers one that is starting, one that is stuck, and one started to replace the stuck
/// one.
const MAX_SUCCESSORS: usize = 4;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Permissions of the socket. Whoever connects receives the clients, so only the owner's processes may.
const SOCKET_MODE: u32 = 0o600;

/// A connected successor.
struct Successor {
    id: SuccessorId,
    /// The protocol version of the link.
    version: u32,
    transfers: Rc<ConnectionSender>,
    request_ids: Rc<RequestIdClaims>,
}

impl HotRestart {
    /// Starts listening for successors.
    pub(super) fn listen_for_successors(self: &Rc<Self>) {
        match self.bind() {
            Ok(listener) => drop(spawn_local(self.clone().accept_successors(listener))),
            Err(error) => {
                invariants::count("no successor can connect");
                let path = self.socket_path.display();
                tracing::warn!(%path, %error, "cannot bind the hot restart socket");
            }
        }
    }

    /// Binds a socket under a temporary name and renames it, so that a connecting process always finds a socket: the old
    /// one or the new one.
    fn bind(&self) -> io::Result<UnixListener> {
        let extension = format!("sock{}", std::process::id());
        let temporary = self.socket_path.with_extension(extension);
        let _ = fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        fs::set_permissions(&temporary, Permissions::from_mode(SOCKET_MODE))?;
        fs::rename(&temporary, &self.socket_path)?;
        Ok(listener)
    }

    async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        for id in (0..).map(SuccessorId) {
            match listener.accept().await {
                Ok((stream, _)) if self.successors.borrow().len() < MAX_SUCCESSORS => {
                    spawn_local(self.clone().serve_successor(stream, id));
                }
                Ok(_) => invariants::count("too many successors"),
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a successor");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_successor(self: Rc<Self>, stream: UnixStream, id: SuccessorId) {
        let (sender, mut receiver) = link(stream);
        let Some(version) = receive_hello(&mut receiver).await else {
            return invariants::count("successor without hello");
        };
        if !(MIN_VERSION..=VERSION).contains(&version) {
            return refuse(&sender, version).await;
        }
        let updates = match self.send_state(&sender, version).await {
            Ok(updates) => updates,
            Err(error) => return tracing::warn!(%error, "state not sent to successor"),
        };
        self.make_room_for_successor();
        let (claims, claim_frames) = mpsc::channel(MAX_QUEUED_REQUEST_IDS);
        let successor = Successor {
            id,
            version,
            transfers: ConnectionSender::new(sender),
            request_ids: RequestIdClaims::new(Role::Predecessor, claims),
        };
        let transfers = &successor.transfers;
        self.successors.borrow_mut().insert(id, transfers.clone());
        let held_descriptors = || {
            let held = self.runtime.connection_limit.held();
            held.saturating_sub(transfers.descriptors_in_transit())
        };
        let ended = tokio::select! {
            ended = self.receive(&successor, receiver) => ended,
            ended = send_updates(transfers.link(), claim_frames, updates, held_descriptors) => ended,
        };
        if let Err(error) = ended {
            tracing::warn!(%error, ?id, "link to successor failed");
        }
        self.remove_successor(&successor);
    }

    /// Sends the state to a successor. Returns the queue of the updates that follow it.
    async fn send_state(
        &self,
        sender: &Sender,
        version: u32,
    ) -> Result<mpsc::Receiver<Frame>, LinkError> {
        let (queue, updates) = mpsc::channel(MAX_QUEUED_UPDATES);
        self.runtime.peer_processes.add(queue);
        let snapshot = postcard::to_stdvec(&self.runtime.snapshot()).unwrap_or_default();
        let state = Frame::State { version, snapshot };
        sender.send(&state, &[]).await?;
        Ok(updates)
    }

    /// Evicts idle clients until there are descriptors for the successor's own needs. It reports what it holds itself once
    /// it accepts clients.
    fn make_room_for_successor(&self) {
        let processes = &self.runtime.peer_processes;
        let held = processes.descriptors().max(OWN_DESCRIPTORS);
        processes.set_descriptors(held);
        let limit = self.runtime.descriptor_limit();
        self.runtime.connection_limit.evict_excess(limit);
    }

    /// Handles the successor's frames until it closes the link.
    async fn receive(
        &self,
        successor: &Successor,
        mut receiver: Receiver,
    ) -> Result<(), LinkError> {
        while let Some(ReceivedFrame { frame, .. }) = receiver.next().await? {
            match frame {
                Frame::Ready => self.successor_ready(successor),
                Frame::Acknowledge { number, taken_over } => {
                    successor.transfers.acknowledge(number, taken_over);
                }
                update => apply_update(&self.runtime, &successor.request_ids, update),
            }
        }
        Ok(())
    }

    /// From now on the successor serves clients beside this process.
    fn successor_ready(&self, successor: &Successor) {
        if successor.version >= REQUEST_ID_VERSION {
            let request_ids = successor.request_ids.clone();
            self.runtime.peer_processes.add_request_ids(request_ids);
        }
        self.handle(Input::SuccessorReady(successor.id));
    }

    fn remove_successor(&self, successor: &Successor) {
        let processes = &self.runtime.peer_processes;
        processes.remove_request_ids(&successor.request_ids);
        successor.transfers.close();
        self.successors.borrow_mut().remove(&successor.id);
        // The count is reset with the last successor only: another one may still hold descriptors.
        if self.successors.borrow().is_empty() {
            processes.set_descriptors(0);
        }
        self.handle(Input::SuccessorGone(successor.id));
    }
}

/// Refuses a successor of another version. The empty snapshot is a refusal in any version.
async fn refuse(sender: &Sender, version: u32) {
    tracing::warn!(
        version,
        oldest = MIN_VERSION,
        newest = VERSION,
        "successor not served: no common protocol version"
    );
    let refusal = Frame::State {
        version: VERSION,
        snapshot: Vec::new(),
    };
    if let Err(error) = sender.send(&refusal, &[]).await {
        tracing::debug!(%error, "refusal not sent to successor");
    }
}

/// Returns the version of the successor, or `None` if its first frame is late or not [`Frame::Hello`].
async fn receive_hello(receiver: &mut Receiver) -> Option<u32> {
    let received = timeout(HELLO_TIMEOUT, receiver.next()).await;
    match received.ok()?.ok()??.frame {
        Frame::Hello { version } => Some(version),
        _ => None,
    }
}
