//! The newer process: connects to its predecessor, restores its state, and takes over its connections.

use super::peer::{
    HELLO_TIMEOUT, MAX_QUEUED_REQUEST_IDS, MAX_QUEUED_UPDATES, apply_update, send_updates,
};
use super::take_over::take_over;
use crate::runtime::Runtime;
use crate::transfer::{RequestIdClaims, Snapshot};
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::{Frame, MIN_VERSION, REQUEST_ID_VERSION, VERSION};
use spanspur_hot_restart::link::{LinkError, ReceivedFrame, Receiver, Sender, link};
use spanspur_hot_restart::request_ids::Role;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

/// Timeout for the predecessor's first report of its descriptors. Until then all are taken to be the predecessor's.
const DESCRIPTOR_COUNT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the state of a predecessor cannot be taken over.
#[derive(Debug, Error)]
enum PredecessorError {
    /// No process listens on the socket.
    #[error(transparent)]
    NotRunning(io::Error),
    /// The predecessor did not respond in time.
    #[error("no response in time")]
    TimedOut,
    /// The link failed.
    #[error("the link failed: {0}")]
    Link(#[from] LinkError),
    /// The link was closed without a response.
    #[error("the link was closed before a response")]
    Closed,
    /// The first frame is not [`Frame::State`].
    #[error("expected the state, received another frame")]
    UnexpectedFrame,
    /// The predecessor does not speak the protocol version that it was asked for.
    #[error("protocol version {theirs}, expected {MIN_VERSION} to {VERSION}")]
    OtherVersion {
        /// The predecessor's version.
        theirs: u32,
    },
    /// The snapshot cannot be decoded.
    #[error("invalid snapshot: {0}")]
    InvalidSnapshot(#[from] postcard::Error),
}

/// The link to the older process, which still serves its connections.
pub struct PredecessorLink {
    sender: Sender,
    receiver: Receiver,
    updates: mpsc::Receiver<Frame>,
    request_ids: Rc<RequestIdClaims>,
    /// Claims of request ids and decisions, to be sent.
    claim_frames: mpsc::Receiver<Frame>,
    /// Revision from which to watch discovery: that of the restored endpoint list, or `None` if the predecessor used
    /// another discovery address.
    pub revision: Option<u64>,
}

/// Connects to the older process, if one is running, and restores its state.
pub async fn connect(runtime: &Rc<Runtime>, socket_path: &Path) -> Option<PredecessorLink> {
    match request_state(socket_path).await {
        Ok(predecessor) => Some(restore_state(runtime, predecessor)),
        Err(error @ PredecessorError::NotRunning(_)) => {
            tracing::info!(%error, "no predecessor is running");
            None
        }
        Err(error) => {
            tracing::warn!(%error, "cannot continue from the predecessor");
            None
        }
    }
}

/// The predecessor's response.
struct Predecessor {
    sender: Sender,
    receiver: Receiver,
    /// The protocol version of the link.
    version: u32,
    snapshot: Snapshot,
}

/// Requests the state in the newest protocol version, and if the predecessor is an older build, in its version.
async fn request_state(socket_path: &Path) -> Result<Predecessor, PredecessorError> {
    match request_state_in(socket_path, VERSION).await {
        Err(PredecessorError::OtherVersion { theirs })
            if (MIN_VERSION..VERSION).contains(&theirs) =>
        {
            request_state_in(socket_path, theirs).await
        }
        result => result,
    }
}

async fn request_state_in(
    socket_path: &Path,
    version: u32,
) -> Result<Predecessor, PredecessorError> {
    let stream = UnixStream::connect(socket_path).await;
    let (sender, mut receiver) = link(stream.map_err(PredecessorError::NotRunning)?);
    let response = async {
        sender.send(&Frame::Hello { version }, &[]).await?;
        receiver.next().await
    };
    let response = timeout(HELLO_TIMEOUT, response).await;
    let response = response.map_err(|_| PredecessorError::TimedOut)??;
    match response.ok_or(PredecessorError::Closed)?.frame {
        Frame::State {
            version: theirs,
            snapshot,
        } if theirs == version => Ok(Predecessor {
            sender,
            receiver,
            version,
            snapshot: postcard::from_bytes(&snapshot)?,
        }),
        Frame::State {
            version: theirs, ..
        } => Err(PredecessorError::OtherVersion { theirs }),
        _ => Err(PredecessorError::UnexpectedFrame),
    }
}

fn restore_state(runtime: &Rc<Runtime>, predecessor: Predecessor) -> PredecessorLink {
    let Predecessor {
        sender,
        receiver,
        version,
        snapshot,
    } = predecessor;
    tracing::info!(
        version,
        revision = snapshot.revision,
        endpoints = snapshot.endpoints.len(),
        draining = snapshot.draining,
        "continuing from predecessor"
    );
    match MaintenanceSet::parse(snapshot.maintenance.as_bytes()) {
        Ok(maintenance) => runtime.merge_maintenance(&maintenance),
        Err(error) => tracing::warn!(%error, "invalid maintenance state from the predecessor"),
    }
    runtime.lifecycle.set_draining(snapshot.draining);
    let same_discovery = snapshot.discovery == runtime.process_config().discovery;
    let revision = same_discovery.then_some(snapshot.revision);
    let (queue, updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    runtime.peer_processes.add(queue);
    let (claims, claim_frames) = mpsc::channel(MAX_QUEUED_REQUEST_IDS);
    let request_ids = RequestIdClaims::new(Role::Successor, claims);
    if version >= REQUEST_ID_VERSION {
        let request_ids = request_ids.clone();
        runtime.peer_processes.add_request_ids(request_ids);
    }
    // Replaced by the predecessor's first report.
    let all_descriptors = runtime.process_config().max_descriptors;
    runtime.peer_processes.set_descriptors(all_descriptors);
    runtime.restore(snapshot);
    PredecessorLink {
        sender,
        receiver,
        updates,
        request_ids,
        claim_frames,
        revision,
    }
}

impl PredecessorLink {
    /// Notifies the predecessor that this process is ready to accept clients, and starts taking over its connections. This
    /// process may not accept clients before it knows how many descriptors the predecessor holds.
    pub async fn notify_ready(mut self, runtime: Rc<Runtime>) {
        let count = self.receive_descriptor_count(&runtime);
        if timeout(DESCRIPTOR_COUNT_TIMEOUT, count).await.is_err() {
            tracing::warn!("the predecessor has not reported its descriptors");
        }
        if self.sender.send(&Frame::Ready, &[]).await.is_err() {
            tracing::warn!("link to predecessor closed before this process was ready");
        }
        spawn_local(self.serve(runtime));
    }

    /// Applies updates until the predecessor has reported its descriptors, or the link has ended.
    async fn receive_descriptor_count(&mut self, runtime: &Rc<Runtime>) {
        while let Ok(Some(ReceivedFrame { frame, .. })) = self.receiver.next().await {
            let is_count = matches!(frame, Frame::HeldDescriptors(_));
            apply_update(runtime, &self.request_ids, frame);
            if is_count {
                return;
            }
        }
    }

    async fn serve(self, runtime: Rc<Runtime>) {
        let Self {
            sender,
            receiver,
            updates,
            request_ids,
            claim_frames,
            ..
        } = self;
        let held_descriptors = || runtime.connection_limit.held();
        let ended = tokio::select! {
            ended = receive(&runtime, &sender, &request_ids, receiver) => ended,
            ended = send_updates(&sender, claim_frames, updates, held_descriptors) => ended,
        };
        runtime.peer_processes.remove_request_ids(&request_ids);
        runtime.peer_processes.set_descriptors(0);
        let established = runtime.established_requests().len();
        match ended {
            Err(error) if !error.is_disconnect() => {
                tracing::warn!(%error, established, "link to predecessor failed");
            }
            // A predecessor that exits may still have been about to read.
            _ => tracing::info!(established, "link to predecessor closed"),
        }
    }
}

/// Takes over connections and applies updates until the predecessor closes the link.
async fn receive(
    runtime: &Rc<Runtime>,
    sender: &Sender,
    request_ids: &RequestIdClaims,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    while let Some(ReceivedFrame { frame, descriptors }) = receiver.next().await? {
        let Frame::Connection { number, payload } = frame else {
            apply_update(runtime, request_ids, frame);
            continue;
        };
        let taken_over = take_over(runtime, &payload, descriptors);
        let acknowledgement = Frame::Acknowledge { number, taken_over };
        sender.send(&acknowledgement, &[]).await?;
        // Lets evicted clients close before the next connection is received.
        yield_now().await;
    }
    Ok(())
}
