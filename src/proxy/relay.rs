//! Standing connections: lines pass both ways until one side ends, the backend falls silent, or the client is
//! told to move.

use crate::api::{AttemptEnded, Event, Outcome, Request, RequestId, ServerId};
use crate::invariants;
use crate::lifecycle::hot_restart::TransferredConnection;
use crate::protocol::client::{MAX_LINE, Said};
use crate::proxy::attempt::Backend;
use crate::runtime::{Command, Runtime, duration};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

/// A backend that has left a line unanswered for so long is gone without a sign. Clients send a line every 2 s
/// and the connection has to end within 7 s: this leaves a second for our own delays.
const SILENCE: Duration = Duration::from_secs(4);
/// When one side has ended, the other gets this long to end too.
const LINGER: Duration = Duration::from_secs(3);
/// A backend that has said its last word gets this long to end, where the client would have to move.
const LAST_WORD: Duration = Duration::from_secs(1);
/// Lines sent and not answered are remembered up to this number.
const MAX_ASKED: usize = 64;

/// What a step of a flow did.
#[derive(PartialEq)]
enum Step {
    Read,
    Wrote,
    End,
}

/// Which side of a flow broke.
enum Broken {
    From,
    To,
}

/// One direction: whole lines are passed on, so that MOVE can come between any two of them.
struct Flow {
    buf: Vec<u8>,
    /// Whole lines at the start of the buffer, not written yet.
    ready: usize,
    /// Read so far and searched for the ends of lines.
    lines: Vec<usize>,
    ended: bool,
    /// The end has been passed on.
    shut: bool,
}

impl Flow {
    fn new(rest: Vec<u8>) -> Self {
        let mut flow = Self {
            buf: rest,
            ready: 0,
            lines: Vec::new(),
            ended: false,
            shut: false,
        };
        flow.find_lines(0);
        flow
    }

    fn find_lines(&mut self, from: usize) {
        let fresh = self.buf[from..].iter().enumerate();
        self.lines.extend(
            fresh
                .filter(|(_, b)| **b == b'\n')
                .map(|(at, _)| from + at + 1),
        );
        self.ready = self.lines.last().copied().unwrap_or(self.ready);
    }

    /// Writes what is ready, else reads more: the buffer never holds more than one read. Safe to drop halfway.
    async fn step(&mut self, from: &TcpStream, to: &TcpStream) -> Result<Step, Broken> {
        loop {
            if self.ready > 0 {
                to.writable().await.map_err(|_| Broken::To)?;
                match to.try_write(&self.buf[..self.ready]) {
                    Ok(n) => {
                        self.buf.drain(..n);
                        self.ready -= n;
                        return Ok(Step::Wrote);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                    Err(_) => return Err(Broken::To),
                }
            }
            if self.ended {
                if !self.shut {
                    self.shut = true;
                    let _ = SockRef::from(to).shutdown(Shutdown::Write);
                    return Ok(Step::End);
                }
                return std::future::pending().await;
            }
            // A line that never ends costs its own connection, not our memory.
            if self.buf.len() >= MAX_LINE {
                invariants::count("a line of a standing connection is too long");
                return Err(Broken::From);
            }
            from.readable().await.map_err(|_| Broken::From)?;
            let mut chunk = [0; MAX_LINE];
            let room = MAX_LINE - self.buf.len();
            match from.try_read(&mut chunk[..room]) {
                Ok(0) => {
                    // What is left without an end goes on as it is.
                    self.ended = true;
                    self.ready = self.buf.len();
                }
                Ok(n) => {
                    let start = self.buf.len();
                    self.buf.extend_from_slice(&chunk[..n]);
                    self.find_lines(start);
                    return Ok(Step::Read);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Err(Broken::From),
            }
        }
    }

    /// Takes the fresh lines' places in the buffer.
    fn fresh(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.lines)
    }

    /// Ends the flow with a last line, after the whole lines that are on their way.
    fn finish_with(&mut self, line: &[u8]) {
        self.buf.truncate(self.ready);
        self.buf.extend_from_slice(line);
        self.ready = self.buf.len();
        self.ended = true;
    }
}

/// Closes with a reset, as the other side did.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A standing connection, as another process of this balancer can go on with it.
#[derive(Debug, Serialize, Deserialize)]
pub struct EstablishedConnection {
    /// What the client asked for.
    pub request: Request,
    /// Where it stands.
    pub server: ServerId,
    attempt: u32,
    /// Bytes read and not written, up to the backend and down to the client.
    up: Vec<u8>,
    down: Vec<u8>,
    /// How many seconds ago each line was sent that is not answered yet, and the backend was heard.
    asked: Vec<f64>,
    heard: f64,
    pending_asks: usize,
    reported: bool,
}

impl EstablishedConnection {
    /// One that stands since now.
    pub fn new(request: Request, server: ServerId, attempt: u32) -> Self {
        Self {
            request,
            server,
            attempt,
            up: Vec::new(),
            down: Vec::new(),
            asked: Vec::new(),
            heard: 0.0,
            pending_asks: 0,
            reported: false,
        }
    }
}

/// One standing connection.
struct Relay {
    runtime: Rc<Runtime>,
    request: Request,
    id: RequestId,
    server: ServerId,
    attempt: u32,
    /// When the lines were sent that the backend has not answered yet.
    asked: VecDeque<Instant>,
    /// Lines read from the client that are not written yet.
    pending_asks: usize,
    /// The backend has been heard or asked last then, as far as silence goes.
    heard: Instant,
    /// How the backend said that it ends the connection.
    last_word: Option<Outcome>,
    /// The module knows that it is over.
    told: bool,
    /// The backend has reported a figure on the connection.
    reported: bool,
}

/// Passes lines between a client and its backend until the connection is over. What is only needed to begin is gone
/// by then: an `async fn` would hold it for as long as the connection stands.
pub fn relay(
    runtime: Rc<Runtime>,
    mut stands: Box<EstablishedConnection>,
    client: TcpStream,
    backend: Backend,
    commands: UnboundedReceiver<Command>,
) -> impl Future<Output = ()> {
    stands.down = [backend.answer.as_bytes(), b"\r\n", &backend.rest].concat();
    let mut relay = Relay::new(runtime, &stands);
    let (up, mut down) = (Flow::new(Vec::new()), Flow::new(stands.down));
    // The first line is the answer, not a reply to a line.
    let lines = down.fresh();
    relay.backend_said(&down.buf, &lines, 1);
    pass(relay, up, down, client, backend.stream, commands)
}

/// Goes on with a connection that stood at another process.
pub fn resume(
    runtime: Rc<Runtime>,
    stands: EstablishedConnection,
    client: TcpStream,
    backend: TcpStream,
    commands: UnboundedReceiver<Command>,
) -> impl Future<Output = ()> {
    let relay = Relay::new(runtime, &stands);
    let (mut up, mut down) = (Flow::new(stands.up), Flow::new(stands.down));
    // The other process has heard these lines.
    drop((up.fresh(), down.fresh()));
    pass(relay, up, down, client, backend, commands)
}

#[expect(
    clippy::manual_async_fn,
    reason = "an `async fn` holds its arguments twice"
)]
fn pass(
    mut relay: Relay,
    mut up: Flow,
    mut down: Flow,
    client: TcpStream,
    backend: TcpStream,
    mut commands: UnboundedReceiver<Command>,
) -> impl Future<Output = ()> {
    async move {
        // The end of one side; from then on the other has its time to end too.
        let mut linger: Option<Instant> = None;
        let mut up_dead = false;
        loop {
            let wake = linger.unwrap_or_else(|| relay.watch_until(&down));
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    // Its backend has said its last word, or has ended, maybe in the middle of a line: that goes on in kind.
                    Some(Command::Migrate) if relay.last_word.is_some() || down.ended => {
                        relay.over(relay.last_word.unwrap_or(Outcome::Reset));
                        linger.get_or_insert_with(|| Instant::now() + LAST_WORD);
                    }
                    Some(Command::Migrate) if !relay.told => {
                        relay.over(Outcome::Cancelled);
                        leave(&mut down, &backend, &mut linger);
                        up_dead = true;
                    }
                    // The module may have asked to move what has just ended.
                    Some(Command::Migrate) => {}
                    Some(Command::Transfer) => {
                        // What is about to end, ends here.
                        let whole = linger.is_none() && !up.ended && !down.ended;
                        if whole && Box::pin(relay.given(&up, &down, &client, &backend)).await {
                            return relay.gone();
                        }
                    }
                    Some(command) => {
                        invariants::holds(false, "a standing connection gets no command but to move");
                        tracing::warn!(?command, "for a standing connection");
                    }
                    None => return,
                },
                step = down.step(&backend, &client) => match step {
                    Ok(Step::Read) => {
                        let lines = down.fresh();
                        relay.backend_said(&down.buf, &lines, 0);
                    }
                    Ok(Step::Wrote) => {}
                    Ok(Step::End) => {
                        relay.over(relay.last_word.unwrap_or(Outcome::Reset));
                        if up.shut {
                            return;
                        }
                        linger.get_or_insert_with(|| Instant::now() + LINGER);
                    }
                    Err(Broken::From) if relay.last_word.is_some() || relay.told => {
                        // After its last word or ours, the manner of the end says nothing more.
                        down.ended = true;
                        down.ready = down.buf.len();
                    }
                    Err(Broken::From) => {
                        relay.over(Outcome::Reset);
                        return reset(&client);
                    }
                    Err(Broken::To) => {
                        relay.gone();
                        return reset(&backend);
                    }
                },
                step = up.step(&client, &backend), if !up_dead => match step {
                    Ok(Step::Read) => relay.pending_asks += up.fresh().len(),
                    Ok(Step::Wrote) => {
                        if up.ready == 0 {
                            relay.asked_all();
                        }
                    }
                    Ok(Step::End) => {
                        relay.gone();
                        if down.shut {
                            return;
                        }
                        linger.get_or_insert_with(|| Instant::now() + LINGER);
                    }
                    Err(Broken::From) => {
                        relay.gone();
                        return reset(&backend);
                    }
                    // The other direction tells how the backend ended; it may hold lines to pass on still.
                    Err(Broken::To) => up_dead = true,
                },
                // After a move or the backend's end, all that the client can still do is to end its side.
                end = discard(&client), if up_dead && down.shut => return end,
                () = sleep_until(wake) => {
                    if linger.is_some() {
                        return;
                    }
                    if relay.silent(&down) {
                        // The client can go elsewhere at once; the connection is not coming back.
                        invariants::count("a backend fell silent");
                        relay.over(Outcome::Reset);
                        leave(&mut down, &backend, &mut linger);
                        up_dead = true;
                    }
                }
            }
        }
    }
}

/// Tells the client to go elsewhere, between two lines, and ends both sides: the backend's at once, so that it
/// does not carry the connection for as long as the client takes to leave.
fn leave(down: &mut Flow, backend: &TcpStream, linger: &mut Option<Instant>) {
    down.finish_with(b"MOVE\r\n");
    let _ = SockRef::from(backend).shutdown(Shutdown::Both);
    *linger = Some(Instant::now() + LINGER);
}

/// Reads and drops until the end: closing with unread bytes would turn the end into a reset and could take
/// the last line with it.
pub async fn discard(stream: &TcpStream) {
    while stream.readable().await.is_ok() {
        // Large, for whoever sends on and on. Named here: in the head of the match it would live over the await.
        let read = stream.try_read(&mut [0; 16 * 1024]);
        match read {
            Ok(0) => return,
            // Who sends on and on does not keep the others waiting.
            Ok(_) => yield_now().await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Writes a last line and ends the stream in command.
pub async fn say_last(stream: &TcpStream, line: &[u8]) {
    let write = async {
        let mut left = line;
        while !left.is_empty() && stream.writable().await.is_ok() {
            match stream.try_write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        discard(stream).await;
    };
    let _ = timeout(LINGER, write).await;
}

impl Relay {
    fn new(runtime: Rc<Runtime>, stands: &EstablishedConnection) -> Self {
        let now = Instant::now();
        let ago = |age: &f64| now.checked_sub(duration(*age)).unwrap_or(now);
        Self {
            runtime,
            request: stands.request,
            id: stands.request.id,
            server: stands.server,
            attempt: stands.attempt,
            asked: stands.asked.iter().take(MAX_ASKED).map(ago).collect(),
            pending_asks: stands.pending_asks,
            heard: ago(&stands.heard),
            last_word: None,
            told: false,
            reported: stands.reported,
        }
    }

    /// Gives the connection to the process that takes this one's place: whether that one has it now.
    async fn given(&self, up: &Flow, down: &Flow, client: &TcpStream, backend: &TcpStream) -> bool {
        let giving = self.runtime.successor.borrow().clone();
        let Some(giving) = giving.filter(|_| !self.told && self.last_word.is_none()) else {
            return false;
        };
        let age = |at: &Instant| at.elapsed().as_secs_f64();
        let stands = EstablishedConnection {
            request: self.request,
            server: self.server,
            attempt: self.attempt,
            up: up.buf.clone(),
            down: down.buf.clone(),
            asked: self.asked.iter().map(age).collect(),
            heard: age(&self.heard),
            pending_asks: self.pending_asks,
            reported: self.reported,
        };
        let beside = [client.as_fd(), backend.as_fd()];
        giving
            .give(TransferredConnection::Standing(stands), &beside)
            .await
    }

    /// Lines of the backend, which end at `ends` in the buffer; the first `skip` are not part of the talk.
    fn backend_said(&mut self, buf: &[u8], ends: &[usize], skip: usize) {
        self.heard = Instant::now();
        let mut start = 0;
        for (at, end) in ends.iter().enumerate() {
            let line = &buf[start..*end];
            start = *end;
            if at < skip {
                continue;
            }
            tracing::trace!(
                req = %self.id,
                server = %self.server,
                line = %String::from_utf8_lossy(line),
                asked_ago = ?self.asked.front().map(Instant::elapsed),
                "a backend said"
            );
            match Said::parse(line) {
                Said::Load(figure) => {
                    let first = !std::mem::replace(&mut self.reported, true);
                    self.runtime
                        .report_figure(self.id, self.server, figure, first);
                }
                Said::Bye => self.last_word = Some(Outcome::Success),
                Said::Move => self.last_word = Some(Outcome::Cancelled),
                Said::Reply => {
                    if let Some(asked) = self.asked.pop_front() {
                        let took = self.heard - asked;
                        self.runtime
                            .report_message_time(self.server, took.as_secs_f64());
                    }
                }
            }
        }
    }

    /// All lines read from the client are on their way to the backend.
    fn asked_all(&mut self) {
        let now = Instant::now();
        if self.asked.is_empty() {
            self.heard = now;
        }
        for _ in 0..std::mem::take(&mut self.pending_asks) {
            if self.asked.len() < MAX_ASKED {
                self.asked.push_back(now);
            }
        }
    }

    /// Until when nothing has to be looked at if nothing comes.
    fn watch_until(&self, down: &Flow) -> Instant {
        let far = Instant::now() + Duration::from_secs(3600);
        if self.asked.is_empty() || down.ready > 0 {
            far
        } else {
            self.heard + SILENCE
        }
    }

    /// A line is unanswered for too long, and it is not our client that holds the backend up.
    fn silent(&self, down: &Flow) -> bool {
        !self.asked.is_empty() && down.ready == 0 && self.heard.elapsed() >= SILENCE
    }

    /// The backend's side is over: the module hears it once.
    fn over(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.told, true) {
            tracing::debug!(req = %self.id, server = %self.server, ?outcome, "is over");
            let (id, server, attempt) = (self.id, self.server, self.attempt);
            self.runtime.handle_event(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                server,
                outcome,
                is_final: true,
            }));
        }
    }

    /// The client has left.
    fn gone(&mut self) {
        if !std::mem::replace(&mut self.told, true) {
            tracing::debug!(req = %self.id, server = %self.server, "the client left");
            self.runtime
                .handle_event(Event::ClientDisconnected(self.id));
        }
    }
}
