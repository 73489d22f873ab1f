//! The driver of a replacement: the older process holds a Unix socket under `$TMPDIR`, the newer one comes to it,
//! takes over what is known, takes the clients, and then, when the older one is told to leave, its connections.

use crate::api::{Endpoint, UpdateKind};
use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use crate::invariants;
use crate::proxy::relay::EstablishedConnection;
use crate::proxy::request;
use crate::runtime::{Runtime, duration};
use serde::{Deserialize, Serialize};
use spanspur_admin::outs::Outs;
use spanspur_hot_restart::frame::{Frame, MAX_DESCRIPTORS, VERSION};
use spanspur_hot_restart::link::{Receiver, Sender, link};
use spanspur_hot_restart::stage::{Does, Heard, Stage};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
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

/// What the newer process goes on from.
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Whose list it is.
    pub discovery: SocketAddr,
    /// The list, as discovery tells it.
    pub revision: u64,
    /// Its endpoints, each with the address at which this process reaches it.
    pub members: Vec<(Endpoint, SocketAddr)>,
    /// What the module has learnt.
    pub module: Vec<u8>,
    /// The file of those that are taken out.
    pub outs: String,
    /// The balancer is being emptied.
    pub lameduck: bool,
}

impl Snapshot {
    /// Its list.
    pub fn list(self) -> EndpointList {
        EndpointList {
            revision: self.revision,
            complete: true,
            endpoints: self
                .members
                .into_iter()
                .map(|(endpoint, address)| ListedEndpoint { endpoint, address })
                .collect(),
            unusable: None,
        }
    }
}

/// A connection that goes over.
#[derive(Serialize, Deserialize)]
pub enum TransferredConnection {
    /// A client's and its backend's.
    Standing(EstablishedConnection),
    /// A client's that has said so much, and has so many seconds left to say the rest.
    Reading(Vec<u8>, f64),
}

/// News of the list for the other process.
pub fn news(list: &EndpointList) -> Frame {
    Frame::List(postcard::to_stdvec(list).unwrap_or_default())
}

/// Waits until there is a process that takes over what is open here.
pub async fn giving(runtime: &Runtime) -> Rc<ConnectionSender> {
    let mut giving = runtime.successor.subscribe();
    match giving.wait_for(Option::is_some).await.as_deref() {
        Ok(Some(giving)) => giving.clone(),
        _ => std::future::pending().await,
    }
}

/// Gives connections away, each until the other process has it or has gone.
pub struct ConnectionSender {
    sender: Sender,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next: Cell<u64>,
    closed: Cell<bool>,
}

impl ConnectionSender {
    fn new(sender: Sender) -> Rc<Self> {
        Rc::new(Self {
            sender,
            waiting: RefCell::default(),
            next: Cell::new(0),
            closed: Cell::new(false),
        })
    }

    /// Whether the other process has it. Where it has not, all goes on here; there is no third way, so nothing but
    /// its word or its end is waited for. Not to be dropped halfway.
    pub async fn give(&self, what: TransferredConnection, descriptors: &[BorrowedFd<'_>]) -> bool {
        let Ok(what) = postcard::to_stdvec(&what) else {
            return false;
        };
        if self.closed.get() {
            return false;
        }
        let number = self.next.replace(self.next.get() + 1);
        let (taken, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, taken);
        let frame = Frame::Connection(number, what);
        if let Err(e) = self.sender.send(&frame, descriptors).await {
            tracing::warn!(error = %e, "a connection could not be given away");
            self.waiting.borrow_mut().remove(&number);
            return false;
        }
        answer.await.unwrap_or(false)
    }

    /// Descriptors of connections that are on their way: the other process counts them.
    fn on_its_way(&self) -> usize {
        self.waiting.borrow().len() * MAX_DESCRIPTORS
    }

    fn taken(&self, number: u64, taken: bool) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&number) {
            let _ = waits.send(taken);
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.waiting.borrow_mut().clear();
    }
}

/// Where processes of this balancer meet, and how far that has come.
pub struct HotRestart {
    runtime: Rc<Runtime>,
    path: PathBuf,
    stage: RefCell<Stage>,
    givings: RefCell<HashMap<u64, Rc<ConnectionSender>>>,
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
            sender.send(&Frame::Hello(VERSION), &[]).await?;
            receiver.next().await
        };
        let known = match timeout(ANSWER, said).await {
            Ok(Ok(Some((Frame::State(VERSION, known), _)))) => known,
            Ok(Ok(Some((Frame::State(version, _), _)))) => {
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
            servers = known.members.len(),
            emptied = known.lameduck,
            "goes on from the process before"
        );
        match Outs::read(known.outs.as_bytes()) {
            Ok(outs) => runtime.merge_maintenance(&outs),
            Err(what) => tracing::warn!(what, "which servers are out cannot be read"),
        }
        runtime.lameduck.send_replace(known.lameduck);
        let revision =
            (known.discovery == runtime.process_config().discovery).then_some(known.revision);
        let (link, news) = mpsc::channel(MAX_NEWS);
        runtime.add_peer_process(link);
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
                while let Ok(Some((frame, beside))) = receiver.next().await {
                    match frame {
                        Frame::Connection(number, what) => {
                            let taken = take(&runtime, &what, beside);
                            if sender
                                .send(&Frame::Taken(number, taken), &[])
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
            runtime.peer_process_descriptors.set(0);
            tracing::info!(
                standing = runtime.request_ids(true).len(),
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
        for number in 0.. {
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
    async fn successor(self: Rc<Self>, stream: UnixStream, number: u64) {
        let runtime = &self.runtime;
        let (sender, mut receiver) = link(stream);
        let Ok(Ok(Some((Frame::Hello(version), _)))) = timeout(ANSWER, receiver.next()).await
        else {
            return invariants::count("one that comes to replace this process says nothing");
        };
        let (link, news) = mpsc::channel(MAX_NEWS);
        let known = match version {
            VERSION => postcard::to_stdvec(&runtime.snapshot()).unwrap_or_default(),
            // Understood by all versions: there is no going on from this one.
            _ => Vec::new(),
        };
        runtime.add_peer_process(link);
        if sender
            .send(&Frame::State(VERSION, known), &[])
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
            while let Ok(Some((frame, _))) = receiver.next().await {
                match frame {
                    Frame::Ready => self.hear(Heard::Ready(number)),
                    Frame::Taken(number, taken) => giving.taken(number, taken),
                    frame => hear(runtime, frame),
                }
            }
        };
        let held = || {
            runtime
                .connection_limit
                .held()
                .saturating_sub(giving.on_its_way())
        };
        tokio::select! {
            () = read => {}
            () = write(&giving.sender, news, held) => {}
        }
        giving.close();
        self.givings.borrow_mut().remove(&number);
        // One that came and went beside another says nothing of what that one holds.
        if self.givings.borrow().is_empty() {
            runtime.peer_process_descriptors.set(0);
        }
        self.hear(Heard::Gone(number));
    }

    /// Carries out what the stage says.
    pub fn hear(&self, heard: Heard) {
        let does = self.stage.borrow_mut().hear(heard);
        let runtime = &self.runtime;
        if does != Does::Nothing {
            tracing::info!(
                ?heard,
                ?does,
                standing = runtime.request_ids(true).len(),
                "replacement"
            );
        }
        let (handed, giving) = match does {
            Does::Nothing => return,
            Does::StopAccepting => (true, None),
            Does::Give(number) => (true, self.givings.borrow().get(&number).cloned()),
            Does::TakeBack => (false, None),
        };
        runtime.set_clients_handed_over(handed);
        runtime.successor.send_replace(giving);
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
            () = sleep(pause) => Some(Frame::Held(held() as u32)),
        };
        let Some(frame) = frame else { return };
        if let Frame::Held(held) = frame
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
        Frame::Held(held) => runtime.peer_process_descriptors.set(held as usize + FIXED),
        Frame::List(list) => match postcard::from_bytes::<EndpointList>(&list) {
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
        Frame::Outs(text) => match Outs::read(text.as_bytes()) {
            Ok(outs) => runtime.merge_maintenance(&outs),
            Err(what) => tracing::warn!(what, "news of servers taken out cannot be read"),
        },
        Frame::Lameduck(on) => {
            runtime
                .lameduck
                .send_if_modified(|was| std::mem::replace(was, on) != on);
        }
        _ => invariants::count("a frame that is none of this process's business"),
    }
}

/// Goes on with a connection from the process before; whether it can.
fn take(runtime: &Rc<Runtime>, what: &[u8], beside: Vec<OwnedFd>) -> bool {
    let stream = |fd: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(fd)).ok();
    // They were counted there until now.
    let others = runtime.peer_process_descriptors.get();
    runtime
        .peer_process_descriptors
        .set(others.saturating_sub(beside.len()));
    let mut streams = beside.into_iter().map_while(stream);
    let taken = match postcard::from_bytes(what) {
        Ok(TransferredConnection::Standing(stands)) => {
            let (client, backend) = (streams.next(), streams.next());
            let both = client.zip(backend);
            both.map(|(client, backend)| {
                let place = runtime.connection_limit.take(true);
                start(request::go_on(
                    runtime.clone(),
                    stands,
                    client,
                    backend,
                    place,
                ));
            })
        }
        Ok(TransferredConnection::Reading(said, left)) => streams.next().map(|client| {
            let place = runtime.connection_limit.take(false);
            let reader = request::Reader::after(runtime, said, duration(left));
            start(request::serve(runtime.clone(), client, place, reader));
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
