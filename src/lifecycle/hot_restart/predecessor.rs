//! The older process: listens for successors and sends them its state, updates and connections.

use super::HotRestart;
use super::peer::{
    HELLO_TIMEOUT, MAX_QUEUED_REQUEST_IDS, MAX_QUEUED_UPDATES, OWN_DESCRIPTORS, apply_update,
    send_updates,
};
use crate::invariants;
use crate::transfer::{ConnectionSender, RequestIdClaims};
use spanspur_hot_restart::frame::{Frame, MIN_VERSION, REQUEST_ID_VERSION, VERSION};
use spanspur_hot_restart::link::{LinkError, ReceivedFrame, Receiver, link};
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
        let is_supported = (MIN_VERSION..=VERSION).contains(&version);
        let (queue, updates) = mpsc::channel(MAX_QUEUED_UPDATES);
        let state = match is_supported {
            true => self.state(version),
            false => refusal(),
        };
        if is_supported {
            self.runtime.peer_processes.add(queue);
        }
        if sender.send(&state, &[]).await.is_err() || !is_supported {
            return tracing::warn!(
                version,
                oldest = MIN_VERSION,
                newest = VERSION,
                "successor not served: no common protocol version, or the link failed"
            );
        }
        let (claims, claim_frames) = mpsc::channel(MAX_QUEUED_REQUEST_IDS);
        let request_ids = RequestIdClaims::new(Role::Predecessor, claims);
        self.make_room_for_successor();
        let transfers = ConnectionSender::new(sender);
        self.successors.borrow_mut().insert(id, transfers.clone());
        let held_descriptors = || {
            let held = self.runtime.connection_limit.held();
            held.saturating_sub(transfers.descriptors_in_transit())
        };
        let peer = Successor {
            id,
            version,
            transfers: transfers.clone(),
            request_ids: request_ids.clone(),
        };
        let ended = tokio::select! {
            ended = self.receive(&peer, receiver) => ended,
            ended = send_updates(transfers.link(), claim_frames, updates, held_descriptors) => ended,
        };
        if let Err(error) = ended {
            tracing::warn!(%error, ?id, "link to successor failed");
        }
        self.runtime.peer_processes.remove_request_ids(&request_ids);
        self.remove_successor(id, &transfers);
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

    fn state(&self, version: u32) -> Frame {
        let snapshot = postcard::to_stdvec(&self.runtime.snapshot()).unwrap_or_default();
        Frame::State { version, snapshot }
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

    fn remove_successor(&self, id: SuccessorId, transfers: &ConnectionSender) {
        transfers.close();
        self.successors.borrow_mut().remove(&id);
        // The count is reset with the last successor only: another one may still hold descriptors.
        if self.successors.borrow().is_empty() {
            self.runtime.peer_processes.set_descriptors(0);
        }
        self.handle(Input::SuccessorGone(id));
    }
}

/// Returns the response to a successor of another version. The empty snapshot is a refusal in any version.
fn refusal() -> Frame {
    Frame::State {
        version: VERSION,
        snapshot: Vec::new(),
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
