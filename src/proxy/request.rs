//! A req: a client's connection from its first line to its one final answer.

use crate::api::{AttemptEnded, Event, Outcome, Request, ServerId, Time};
use crate::invariants;
use crate::lifecycle::hot_restart::{self, TransferredConnection};
use crate::protocol::client::{Lines, MAX_LINE, OpenRequest};
use crate::proxy::attempt::{Backend, Kind, fetch};
use crate::proxy::connection_limit::ConnectionPermit;
use crate::proxy::relay::{EstablishedConnection, discard, relay, resume, say_last};
use crate::runtime::{Command, RequestRegistration, Runtime};
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// A client says what it wants within this time from its coming, however it spreads its words: some take 2 s, and
/// who says nothing has to be gone after 3 s.
const FIRST_LINE: Duration = Duration::from_millis(2500);
/// A front that has asked may ask again within this.
const FRONT: Duration = Duration::from_secs(10);
/// The client's wait runs from its sending: the line's way here and the answer's way back come off.
const MARGIN: Time = 0.02;
/// How often a start that is not complete is looked at again.
const NOT_READY: Duration = Duration::from_millis(20);
/// Pause before an open connection is asked for again at its own backend.
const AGAIN: Duration = Duration::from_millis(100);
/// A connection that is open at a backend already is given up after this.
const REOPEN: Time = 40.0;
/// A server that the list does not name by then is not coming.
const UNLISTED: Time = 1.0;
/// What a client that is turned away may still say is read for so long, or, where there is no room to wait, so often.
const LAST_WORDS: Duration = Duration::from_millis(250);
const LAST_READS: usize = 16;
/// Without a time to come again.
const BUSY: &str = "BUSY\r\n";

#[cfg(test)]
mod tests;

/// Serves one connection of a client, to its end.
pub async fn serve(
    runtime: Rc<Runtime>,
    client: TcpStream,
    mut place: ConnectionPermit,
    mut reader: Reader,
) {
    // Lines are short and waited for: none is held back for more to come.
    let _ = client.set_nodelay(true);
    let mut keep = false;
    let mut ending = runtime.exiting.subscribe();
    let first = loop {
        tokio::select! {
            biased;
            first = reader.first_line(&runtime, &client) => break first,
            () = place.evicted() => return turn_away(&runtime, &client).await,
            // Its first line may be on its way just now: it is answered before it is read.
            Ok(_) = ending.wait_for(|ending| *ending) => break First::Late,
            giving = hot_restart::giving(&runtime), if !keep => {
                let left = (reader.end - Instant::now()).as_secs_f64();
                let handed = TransferredConnection::Reading(reader.lines.read(), left);
                if giving.give(handed, &[client.as_fd()]).await {
                    return;
                }
                keep = true;
            }
        }
    };
    let asked = reader.counted.is_none();
    drop(reader);
    let opened = match first {
        First::Left => return,
        // A front that hears BUSY would send nobody here; at the end of its connection it asks again on another one.
        First::Late if asked => Opened::Answer(String::new()),
        First::Late => {
            invariants::count("a client says nothing in its time");
            refused(0)
        }
        First::OpenRequest(opening) => {
            if !place.serve(runtime.descriptor_limit()) {
                return turn_away(&runtime, &client).await;
            }
            open(&runtime, &client, opening).await
        }
        First::Unread(what) => unread(what),
    };
    let answer = match opened {
        Opened::Left => return,
        Opened::Stands(registration, stands, backend, commands) => {
            relay(runtime, stands, client, backend, commands).await;
            return drop(registration);
        }
        Opened::Answer(line) => line,
    };
    // What is left is the client's to end.
    place.idle();
    let _owed = Counted::new(&runtime, |runtime| &runtime.clients_with_pending_close);
    tokio::select! {
        () = say_last(&client, answer.as_bytes()) => {}
        () = place.evicted() => {}
    }
}

/// One that is owed something: who leaves waits for it.
struct Counted(Rc<Runtime>, fn(&Runtime) -> &Cell<usize>);

impl Counted {
    fn new(runtime: &Rc<Runtime>, counter: fn(&Runtime) -> &Cell<usize>) -> Self {
        counter(runtime).set(counter(runtime).get() + 1);
        Self(runtime.clone(), counter)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let counter = (self.1)(&self.0);
        counter.set(counter.get() - 1);
    }
}

/// What comes before a request.
enum First {
    /// A line that asks for a connection.
    OpenRequest(Box<OpenRequest>),
    /// Something else.
    Unread(&'static str),
    /// Too little in its time.
    Late,
    /// The client has gone.
    Left,
}

/// Goes on with a connection that stood at another process of this balancer.
pub async fn go_on(
    runtime: Rc<Runtime>,
    stands: EstablishedConnection,
    client: TcpStream,
    backend: TcpStream,
    place: ConnectionPermit,
) {
    let (request, server) = (stands.request, stands.server);
    let Some((registration, commands)) = runtime.register_request(request.id) else {
        invariants::count("a connection that was handed over is here already");
        return;
    };
    runtime.handle_event(Event::AlreadyEstablished { request, server });
    runtime.mark_established(request.id);
    resume(runtime, stands, client, backend, commands).await;
    drop((registration, place));
}

/// What comes of a first line.
enum Opened {
    Stands(
        RequestRegistration,
        Box<EstablishedConnection>,
        Backend,
        UnboundedReceiver<Command>,
    ),
    /// Synthetic answer.
    Answer(String),
    /// The client has gone, and nothing is owed.
    Left,
}

fn failed() -> Opened {
    Opened::Answer("ERR\r\n".to_owned())
}

/// Come again, in so many milliseconds if there are any.
fn refused(ms: u64) -> Opened {
    Opened::Answer(match ms {
        0 => BUSY.to_owned(),
        ms => format!("BUSY {ms}\r\n"),
    })
}

/// A first line that cannot be read costs this connection and nothing else.
fn unread(what: &str) -> Opened {
    invariants::count("a client's first line cannot be read");
    tracing::debug!(what, "a first line is not read");
    failed()
}

/// Turns a client away for want of room. Closing over unread bytes would reset the connection and could take the
/// answer with it: what it has said is read, and of what it says at this instant as much as room is left to wait for.
pub async fn turn_away(runtime: &Runtime, client: &TcpStream) {
    invariants::count("a client is turned away for want of descriptors");
    let _ = client.set_nodelay(true);
    let _ = SockRef::from(client).send(BUSY.as_bytes());
    let _ = SockRef::from(client).shutdown(Shutdown::Write);
    let Some(_place) = runtime.connection_limit.linger() else {
        // Not waited for, only read, past what the runtime knows: the spare descriptors are taken.
        for _ in 0..LAST_READS {
            let read = SockRef::from(client).recv(&mut [MaybeUninit::uninit(); MAX_LINE]);
            if !read.is_ok_and(|n| n > 0) {
                break;
            }
        }
        return;
    };
    let _ = timeout(LAST_WORDS, discard(client)).await;
}

/// Whether the client has ended or broken its side, seen past what the runtime knows: nothing is sent for one that
/// has gone.
fn has_left(client: &TcpStream) -> bool {
    match SockRef::from(client).peek(&mut [MaybeUninit::uninit()]) {
        Ok(said) => said == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// What a client has said so far, before it has asked for a connection.
pub struct Reader {
    lines: Lines,
    end: Instant,
    counted: Option<Counted>,
}

impl Reader {
    /// Nothing said yet.
    pub fn new(runtime: &Rc<Runtime>) -> Self {
        Self::after(runtime, Vec::new(), FIRST_LINE)
    }

    /// These bytes said to another process of this balancer, and so much time left.
    pub fn after(runtime: &Rc<Runtime>, said: Vec<u8>, left: Duration) -> Self {
        Self {
            lines: Lines::from(said),
            end: Instant::now() + left,
            counted: Some(Counted::new(runtime, |runtime| {
                &runtime.clients_without_request
            })),
        }
    }

    /// The first line that asks for a connection. All that a client sends before its answer has to be one line: who
    /// sends more does not speak this protocol. Safe to drop halfway.
    async fn first_line(&mut self, runtime: &Rc<Runtime>, client: &TcpStream) -> First {
        loop {
            let line = match timeout_at(self.end, self.lines.next(client)).await {
                Ok(Ok(Some(line))) if self.lines.is_empty() => line,
                Ok(Ok(Some(_))) => return First::Unread("more than one line"),
                Ok(Err(e)) if e.kind() == ErrorKind::Other => {
                    return First::Unread("not a line of text");
                }
                Ok(_) => return First::Left,
                Err(_) => return First::Late,
            };
            if line != "PING" {
                let node = runtime.process_config();
                return match OpenRequest::parse(&line, &node.classes, node.groups) {
                    Ok(opening) => First::OpenRequest(Box::new(opening)),
                    Err(what) => First::Unread(what),
                };
            }
            // The front sends clients from the answer on, so it has to wait until a server is known.
            while !runtime.is_ready() && !*runtime.lameduck.borrow() {
                sleep(NOT_READY).await;
            }
            let answer = match *runtime.lameduck.borrow() {
                true => BUSY,
                false => "PONG\r\n",
            };
            if client.try_write(answer.as_bytes()).is_err() {
                return First::Left;
            }
            // The front is nobody who waits for an answer of ours.
            self.counted.take();
            self.end = Instant::now() + FRONT;
        }
    }
}

async fn open(runtime: &Rc<Runtime>, client: &TcpStream, mut opening: Box<OpenRequest>) -> Opened {
    // Nobody is kept longer than its class waits, whatever it says; an open connection has longer.
    let longest = match opening.at {
        Some(_) => REOPEN,
        None => runtime.process_config().longest_wait,
    };
    let request = &mut opening.request;
    request.deadline = runtime.now() + opening.wait.min(longest) - MARGIN;
    let (id, due) = (request.id, request.deadline);
    let Some((registration, mut commands)) = runtime.register_request(id) else {
        return unread("the id is in use");
    };
    if let Some(server) = opening.at {
        let backend = tokio::select! {
            backend = reopen(runtime, &opening, server) => backend,
            early = speaks(client) => return early,
        };
        let Some(backend) = backend else {
            return failed();
        };
        tracing::debug!(req = %id, server = %server, group = ?opening.request.group, "is open");
        runtime.handle_event(Event::AlreadyEstablished {
            request: opening.request,
            server,
        });
        runtime.mark_established(id);
        let stands = Box::new(EstablishedConnection::new(opening.request, server, 0));
        return Opened::Stands(registration, stands, backend, commands);
    }
    let Request {
        class,
        group,
        is_reconnect: returned,
        ..
    } = opening.request;
    tracing::debug!(req = %id, class, ?group, is_reconnect = returned, wait = opening.wait, "request received");
    runtime.handle_event(Event::Request(opening.request));
    let mut attempt = 0;
    // Nothing here waits past the deadline; if something does, the client is still owed its answer.
    let mut overdue = pin!(sleep_until(runtime.instant(due + MARGIN)));
    loop {
        // Who has gone comes first: no attempt begins for it.
        let command = tokio::select! {
            biased;
            early = speaks(client) => {
                runtime.handle_event(Event::ClientDisconnected(id));
                return early;
            }
            command = commands.recv() => command,
            () = &mut overdue => {
                invariants::holds(false, "the module answers before the deadline");
                runtime.handle_event(Event::ClientDisconnected(id));
                Some(Command::Fail)
            }
        };
        let (server, until) = match command {
            Some(Command::StartAttempt(server, until)) => (server, until),
            Some(Command::Reject(ms)) => return refused(ms),
            Some(Command::Fail) => return failed(),
            // What has been called off or moved is over already.
            Some(Command::CancelAttempt(_) | Command::Migrate | Command::Transfer) => continue,
            None => return Opened::Left,
        };
        let line = |ms| (!has_left(client)).then(|| opening.for_backend(ms));
        // Leaving this select closes the attempt's connection, whatever it was doing.
        let ended = tokio::select! {
            biased;
            early = speaks(client) => {
                runtime.handle_event(Event::ClientDisconnected(id));
                return early;
            }
            command = called_off(&mut commands, attempt) => match command {
                Some(Command::Reject(ms)) => return refused(ms),
                Some(Command::Fail) => return failed(),
                _ => Err(Outcome::Cancelled),
            },
            ended = fetch(runtime, server, Kind::New, until.min(due), line) => ended,
        };
        if ended.is_err() && has_left(client) {
            runtime.handle_event(Event::ClientDisconnected(id));
            return Opened::Left;
        }
        match ended {
            Ok(backend) => {
                tracing::debug!(req = %id, server = %server, attempt, "stands");
                runtime.handle_event(Event::Established { id, server });
                runtime.mark_established(id);
                let stands = Box::new(EstablishedConnection::new(opening.request, server, attempt));
                return Opened::Stands(registration, stands, backend, commands);
            }
            Err(outcome) => {
                tracing::debug!(req = %id, server = %server, attempt, ?outcome, "an attempt has ended");
                runtime.handle_event(Event::AttemptEnded(AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome,
                    is_final: false,
                }));
                attempt += 1;
            }
        }
    }
}

/// Waits for an command that ends the attempt that is out: it is called off, or the process leaves.
async fn called_off(commands: &mut UnboundedReceiver<Command>, attempt: u32) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::CancelAttempt(n)) if n != attempt => {}
            Some(Command::StartAttempt(..)) => {
                // Two attempts of one request are never out at once.
                invariants::holds(false, "an attempt is sent while one is out");
            }
            Some(Command::Migrate | Command::Transfer) => {}
            command => return command,
        }
    }
}

/// Waits until the client ends or breaks its side, or speaks before its turn.
async fn speaks(client: &TcpStream) -> Opened {
    match Lines::default().fill(client).await {
        Ok(true) => unread("more before the answer"),
        _ => Opened::Left,
    }
}

/// Opens a connection again at the backend that it is open at: no decision, so no outcome for the module.
async fn reopen(runtime: &Runtime, opening: &OpenRequest, server: ServerId) -> Option<Backend> {
    let due = opening.request.deadline;
    let listed_by = runtime.now() + UNLISTED;
    loop {
        let outcome = match fetch(runtime, server, Kind::Again, due, |ms| {
            Some(opening.for_backend(ms))
        })
        .await
        {
            Ok(backend) => return Some(backend),
            Err(outcome) => outcome,
        };
        tracing::warn!(
            req = %opening.request.id,
            server = %server,
            ?outcome,
            "is not open there"
        );
        // The backend's own word stands; a server that nobody knows is not worth the whole wait.
        let said = matches!(
            outcome,
            Outcome::Error | Outcome::Rejected | Outcome::Cancelled
        );
        let unknown = outcome == Outcome::NotSent && runtime.now() >= listed_by;
        if said || unknown || runtime.now() >= due {
            return None;
        }
        sleep(AGAIN).await;
    }
}
