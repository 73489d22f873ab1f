//! The driver of a replacement: the older process holds a Unix socket under `$TMPDIR`, the newer one comes to it,
//! takes over what is known, takes the clients, and then, when the older one is told to leave, its connections.

use crate::api::UpdateKind;
use crate::discovery::endpoint_list::EndpointList;
use crate::invariants;
use crate::proxy::client::{serve, serve_transferred};
use crate::proxy::client_reader::ClientReader;
use crate::runtime::{Runtime, duration};
use crate::transfer::{ConnectionSender, Snapshot, TransferredConnection};
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::{Frame, VERSION};
use spanspur_hot_restart::link::{ReceivedFrame, Receiver, Sender, link};
use spanspur_hot_restart::predecessor::{Command, Input, PredecessorState, SuccessorId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The other process answers within this, or there is none.
const ANSWER: Duration = Duration::from_secs(1);
/// News that wait for the other process.
const MAX_NEWS: usize = 256;
/// Successors at a time: one comes, one may be stuck, and one replaces that.
const MAX_SUCCESSORS: usize = 4;
/// How often the other process hears what clients hold here.
const HELD_EVERY: Duration = Duration::from_millis(50);
/// What a process holds besides its clients: standard streams, the runtime's own, listeners, discovery, calls.
const FIXED: usize = 20;

/// Where processes of this balancer meet, and how far that has come.
pub struct HotRestart {
    runtime: Rc<Runtime>,
    path: PathBuf,
    stage: RefCell<PredecessorState>,
    givings: RefCell<HashMap<SuccessorId, Rc<ConnectionSender>>>,
}

/// The process before this one, which still serves.
pub struct Predecessor {
    sender: Sender,
    receiver: Receiver,
    news: mpsc::Receiver<Frame>,
    /// The version of the list that was taken over, if it is this discovery's.
    pub revision: Option<u64>,
}

impl HotRestart {
    /// The meeting place at this path.
    pub fn new(runtime: Rc<Runtime>, path: &Path) -> Rc<Self> {
        Rc::new(Self {
            runtime,
            path: path.to_owned(),
            stage: RefCell::default(),
            givings: RefCell::default(),
        })
    }

    /// Goes to the process that serves now, and takes over what it knows. `None` if there is none that can be
    /// understood: then this one begins on its own.
    pub async fn meet(&self) -> Option<Predecessor> {
        let stream = match UnixStream::connect(&self.path).await {
            Ok(stream) => stream,
            Err(e) => {
                tracing::info!(error = %e, "no process serves this balancer yet");
                return None;
            }
        };
        let (sender, mut receiver) = link(stream);
        let said = async {
            sender.send(&Frame::Hello { version: VERSION }, &[]).await?;
            receiver.next().await
        };
        let known = match timeout(ANSWER, said).await {
            Ok(Ok(Some(ReceivedFrame {
                frame:
                    Frame::State {
                        version: VERSION,
                        snapshot,
                    },
                ..
            }))) => snapshot,
            Ok(Ok(Some(ReceivedFrame {
                frame: Frame::State { version, .. },
                ..
            }))) => {
                tracing::warn!(
                    version,
                    ours = VERSION,
                    "the process before speaks another version"
                );
                return None;
            }
            odd => {
                tracing::warn!(?odd, "the process before does not answer as one");
                return None;
            }
        };
        let known: Snapshot = postcard::from_bytes(&known)
            .inspect_err(
                |e| tracing::warn!(error = %e, "what the process before knows cannot be read"),
            )
            .ok()?;
        let runtime = &self.runtime;
        tracing::info!(
            revision = known.revision,
            servers = known.endpoints.len(),
            emptied = known.lameduck,
            "goes on from the process before"
        );
        match MaintenanceSet::parse(known.maintenance.as_bytes()) {
            Ok(outs) => runtime.merge_maintenance(&outs),
            Err(what) => tracing::warn!(%what, "which servers are out cannot be read"),
        }
        runtime.lifecycle.set_lameduck(known.lameduck);
        let revision =
            (known.discovery == runtime.process_config().discovery).then_some(known.revision);
        let (link, news) = mpsc::channel(MAX_NEWS);
        runtime.peer_processes.add(link);
        runtime.restore(known);
        Some(Predecessor {
            sender,
            receiver,
            news,
            revision,
        })
    }

    /// From here on this process takes the clients, and the next one comes to it.
    pub async fn ready(self: &Rc<Self>, predecessor: Option<Predecessor>) {
        match self.bind() {
            Ok(listener) => drop(spawn_local(self.clone().accept(listener))),
            Err(e) => {
                invariants::count("no process can replace this one without moving its clients");
                tracing::warn!(path = %self.path.display(), error = %e, "nobody can meet here");
            }
        }
        let Some(predecessor) = predecessor else {
            return;
        };
        let Predecessor {
            sender,
            mut receiver,
            news,
            ..
        } = predecessor;
        if sender.send(&Frame::Ready, &[]).await.is_err() {
            tracing::warn!("the process before has gone");
        }
        let runtime = self.runtime.clone();
        spawn_local(async move {
            let read = async {
                while let Ok(Some(ReceivedFrame {
                    frame,
                    descriptors: beside,
                })) = receiver.next().await
                {
                    match frame {
                        Frame::Connection {
                            number,
                            payload: what,
                        } => {
                            let taken = take(&runtime, &what, beside);
                            if sender
                                .send(
                                    &Frame::Acknowledge {
                                        number,
                                        taken_over: taken,
                                    },
                                    &[],
                                )
                                .await
                                .is_err()
                            {
                                return;
                            }
                        }
                        frame => hear(&runtime, frame),
                    }
                }
            };
            tokio::select! {
                () = read => {}
                () = write(&sender, news, || runtime.connection_limit.held()) => {}
            }
            runtime.peer_processes.set_descriptors(0);
            tracing::info!(
                standing = runtime.established_requests().len(),
                "the process before has gone"
            );
        });
    }

    /// Put in place by its name, so that whoever comes finds the old place or this one.
    fn bind(&self) -> io::Result<UnixListener> {
        let fresh = self
            .path
            .with_extension(format!("sock{}", std::process::id()));
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        // Whoever comes here is given the clients: the owner's processes only.
        std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&fresh, &self.path)?;
        Ok(listener)
    }

    async fn accept(self: Rc<Self>, listener: UnixListener) {
        for number in (0..).map(SuccessorId) {
            match listener.accept().await {
                Ok((stream, _)) if self.givings.borrow().len() < MAX_SUCCESSORS => {
                    spawn_local(self.clone().successor(stream, number));
                }
                Ok(_) => invariants::count("too many processes come to replace this one"),
                Err(e) => {
                    tracing::warn!(error = %e, "a process that replaces this one is not accepted");
                    sleep(HELD_EVERY).await;
                }
            }
        }
    }

    /// The part of the older process.
    async fn successor(self: Rc<Self>, stream: UnixStream, number: SuccessorId) {
        let runtime = &self.runtime;
        let (sender, mut receiver) = link(stream);
        let Ok(Ok(Some(ReceivedFrame {
            frame: Frame::Hello { version },
            ..
        }))) = timeout(ANSWER, receiver.next()).await
        else {
            return invariants::count("one that comes to replace this process says nothing");
        };
        let (link, news) = mpsc::channel(MAX_NEWS);
        let known = match version {
            VERSION => postcard::to_stdvec(&runtime.snapshot()).unwrap_or_default(),
            // Understood by all versions: there is no going on from this one.
            _ => Vec::new(),
        };
        runtime.peer_processes.add(link);
        if sender
            .send(
                &Frame::State {
                    version: VERSION,
                    snapshot: known,
                },
                &[],
            )
            .await
            .is_err()
            || version != VERSION
        {
            return tracing::warn!(
                version,
                ours = VERSION,
                "no process that can go on from this one"
            );
        }
        let giving = ConnectionSender::new(sender);
        self.givings.borrow_mut().insert(number, giving.clone());
        let read = async {
            while let Ok(Some(ReceivedFrame { frame, .. })) = receiver.next().await {
                match frame {
                    Frame::Ready => self.hear(Input::SuccessorReady(number)),
                    Frame::Acknowledge {
                        number,
                        taken_over: taken,
                    } => giving.acknowledge(number, taken),
                    frame => hear(runtime, frame),
                }
            }
        };
        let held = || {
            runtime
                .connection_limit
                .held()
                .saturating_sub(giving.descriptors_in_transit())
        };
        tokio::select! {
            () = read => {}
            () = write(giving.link(), news, held) => {}
        }
        giving.close();
        self.givings.borrow_mut().remove(&number);
        // One that came and went beside another says nothing of what that one holds.
        if self.givings.borrow().is_empty() {
            runtime.peer_processes.set_descriptors(0);
        }
        self.hear(Input::SuccessorGone(number));
    }

    /// Carries out what the stage says.
    pub fn hear(&self, input: Input) {
        let Some(command) = self.stage.borrow_mut().handle(input) else {
            return;
        };
        let runtime = &self.runtime;
        tracing::info!(
            ?input,
            ?command,
            established = runtime.established_requests().len(),
            "hot restart"
        );
        let (handed, giving) = match command {
            Command::StopAccepting => (true, None),
            Command::TransferTo(number) => (true, self.givings.borrow().get(&number).cloned()),
            Command::ResumeAccepting => (false, None),
        };
        runtime.set_clients_handed_over(handed);
        runtime.peer_processes.set_successor(giving);
    }
}

/// Sends news, and what clients hold here, until the link breaks.
async fn write(sender: &Sender, mut news: mpsc::Receiver<Frame>, held: impl Fn() -> usize) {
    let mut told = None;
    loop {
        let pause = if told.is_none() {
            Duration::ZERO
        } else {
            HELD_EVERY
        };
        let frame = tokio::select! {
            biased;
            frame = news.recv() => frame,
            () = sleep(pause) => Some(Frame::HeldDescriptors(held() as u32)),
        };
        let Some(frame) = frame else { return };
        if let Frame::HeldDescriptors(held) = frame
            && told.replace(held) == Some(held)
        {
            continue;
        }
        if sender.send(&frame, &[]).await.is_err() {
            return;
        }
    }
}

/// News from another process of this balancer.
fn hear(runtime: &Rc<Runtime>, frame: Frame) {
    match frame {
        Frame::HeldDescriptors(held) => runtime
            .peer_processes
            .set_descriptors(held as usize + FIXED),
        Frame::EndpointList(list) => match postcard::from_bytes::<EndpointList>(&list) {
            // Each watches by itself: what came here first is not undone by what the other heard before.
            Ok(list) if list.revision > runtime.list_revision() => {
                let kind = if list.complete {
                    UpdateKind::Full
                } else {
                    UpdateKind::Delta
                };
                runtime.update_endpoints(kind, list);
            }
            Ok(_) => {}
            Err(e) => tracing::warn!(error = %e, "news of the list cannot be read"),
        },
        Frame::Maintenance(text) => match MaintenanceSet::parse(text.as_bytes()) {
            Ok(outs) => runtime.merge_maintenance(&outs),
            Err(what) => tracing::warn!(%what, "news of servers taken out cannot be read"),
        },
        Frame::Draining(on) => {
            runtime.lifecycle.set_lameduck(on);
        }
        _ => invariants::count("a frame that is none of this process's business"),
    }
}

/// Goes on with a connection from the process before; whether it can.
fn take(runtime: &Rc<Runtime>, what: &[u8], beside: Vec<OwnedFd>) -> bool {
    let stream = |fd: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(fd)).ok();
    // They were counted there until now.
    let others = runtime.peer_processes.descriptors();
    runtime
        .peer_processes
        .set_descriptors(others.saturating_sub(beside.len()));
    let mut streams = beside.into_iter().map_while(stream);
    let taken = match postcard::from_bytes(what) {
        Ok(TransferredConnection::Established(stands)) => {
            let (client, backend) = (streams.next(), streams.next());
            let both = client.zip(backend);
            both.map(|(client, backend)| {
                let place = runtime.connection_limit.admit_in_service();
                start(serve_transferred(
                    runtime.clone(),
                    stands,
                    client,
                    backend,
                    place,
                ));
            })
        }
        Ok(TransferredConnection::AwaitingRequest(said, left)) => streams.next().map(|client| {
            let place = runtime.connection_limit.admit_idle();
            let reader = ClientReader::resume(runtime, said, duration(left));
            start(serve(runtime.clone(), client, place, reader));
        }),
        Err(e) => {
            tracing::warn!(error = %e, "a connection cannot be read");
            None
        }
    };
    taken.is_some() || {
        invariants::count("a connection could not be taken over");
        false
    }
}

fn start(serve: impl Future<Output = ()> + 'static) {
    drop(spawn_local(serve));
}
