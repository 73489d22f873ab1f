//! Relays an established connection: lines pass both ways until one side ends, the backend falls silent, or the client
//! is asked to migrate.

use crate::api::Outcome;
use crate::invariants;
use crate::proxy::attempt::Backend;
use crate::proxy::closing::{CLOSE_TIMEOUT, close_with_reset, discard};
use crate::proxy::direction::{Direction, FailedSide, Step};
use crate::proxy::session::Session;
use crate::runtime::{Command, Runtime};
use crate::transfer::{EstablishedConnection, TransferredConnection};
use socket2::SockRef;
use std::future::Future;
use std::net::Shutdown;
use std::ops::ControlFlow;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

/// A backend that has announced the end of the connection has this long to close, where the client is to migrate.
const ANNOUNCED_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Wake-up of a connection that waits for nothing in particular.
const IDLE_WAKE_UP: Duration = Duration::from_secs(3600);
/// The line that asks a client to connect elsewhere.
const MIGRATE_LINE: &[u8] = b"MOVE\r\n";

/// An established connection.
struct Relay {
    session: Session,
    client: TcpStream,
    backend: TcpStream,
    to_backend: Direction,
    to_client: Direction,
    /// One side has ended: when the connection is closed if the other does not end before.
    close_at: Option<Instant>,
    /// Nothing is passed to the backend any more.
    to_backend_stopped: bool,
}

/// Whether the relay goes on after an event.
type Flow = ControlFlow<()>;
const CONTINUE: Flow = ControlFlow::Continue(());
const CLOSE: Flow = ControlFlow::Break(());

/// Relays a connection that a backend has just accepted, until it is over. What is needed only to begin is dropped before
/// the future begins: an `async fn` would hold it for as long as the connection stands.
pub fn relay(
    runtime: Rc<Runtime>,
    connection: Box<EstablishedConnection>,
    client: TcpStream,
    backend: Backend,
    commands: UnboundedReceiver<Command>,
) -> impl Future<Output = ()> {
    let received = [backend.response.as_bytes(), b"\r\n", &backend.rest].concat();
    let mut relay = Relay::new(runtime, &connection, client, backend.stream);
    relay.to_client = Direction::new(received);
    // The first line accepts the request; it is no reply to a line.
    relay.handle_backend_lines(1);
    relay.run(commands)
}

/// Relays a connection that was established at another process, until it is over.
pub fn resume(
    runtime: Rc<Runtime>,
    connection: EstablishedConnection,
    client: TcpStream,
    backend: TcpStream,
    commands: UnboundedReceiver<Command>,
) -> impl Future<Output = ()> {
    let mut relay = Relay::new(runtime, &connection, client, backend);
    relay.to_backend = Direction::new(connection.to_backend);
    relay.to_client = Direction::new(connection.to_client);
    // The other process has handled these lines.
    relay.to_backend.take_line_ends();
    relay.to_client.take_line_ends();
    relay.run(commands)
}

impl Relay {
    /// With nothing in the buffers.
    fn new(
        runtime: Rc<Runtime>,
        connection: &EstablishedConnection,
        client: TcpStream,
        backend: TcpStream,
    ) -> Self {
        Self {
            session: Session::new(runtime, connection),
            client,
            backend,
            to_backend: Direction::new(Vec::new()),
            to_client: Direction::new(Vec::new()),
            close_at: None,
            to_backend_stopped: false,
        }
    }

    #[expect(
        clippy::manual_async_fn,
        reason = "an `async fn` holds its arguments twice"
    )]
    fn run(mut self, mut commands: UnboundedReceiver<Command>) -> impl Future<Output = ()> {
        async move {
            loop {
                let wake_up = self.wake_up();
                let flow = tokio::select! {
                    biased;
                    command = commands.recv() => match command {
                        Some(Command::Migrate) => self.migrate(),
                        // Boxed: it is rare, and its future large.
                        Some(Command::Transfer) => Box::pin(self.transfer()).await,
                        Some(command) => unexpected(command),
                        None => CLOSE,
                    },
                    step = self.to_client.step(&self.backend, &self.client) => self.handle_backend_step(step),
                    step = self.to_backend.step(&self.client, &self.backend), if !self.to_backend_stopped => {
                        self.handle_client_step(step)
                    }
                    // All that the client can still do is to close its side.
                    () = discard(&self.client), if self.waits_for_client() => CLOSE,
                    () = sleep_until(wake_up) => self.handle_wake_up(),
                };
                if flow.is_break() {
                    return;
                }
            }
        }
    }

    /// Handles the command to migrate the client.
    fn migrate(&mut self) -> Flow {
        if self.session.is_end_announced() || self.to_client.has_source_ended() {
            // The backend is about to end, or has ended, maybe within a line: the client sees that end.
            self.session.notify_backend_end();
            self.close_within(ANNOUNCED_END_TIMEOUT);
        } else if !self.session.is_end_notified() {
            self.session.notify_end(Outcome::Cancelled);
            self.send_client_elsewhere();
        }
        // Else the balancer has asked for a connection that has just ended.
        CONTINUE
    }

    /// Transfers the connection to the successor of this process, if it is not about to end.
    async fn transfer(&mut self) -> Flow {
        if self.is_ending() || !self.try_transfer().await {
            return CONTINUE;
        }
        self.session.notify_client_end();
        CLOSE
    }

    fn is_ending(&self) -> bool {
        self.close_at.is_some()
            || self.to_backend.has_source_ended()
            || self.to_client.has_source_ended()
            || self.session.is_end_notified()
            || self.session.is_end_announced()
    }

    /// Whether the successor has taken the connection over.
    async fn try_transfer(&self) -> bool {
        let Some(successor) = self.session.runtime().peer_processes.successor() else {
            return false;
        };
        let mut connection = self.session.save();
        connection.to_backend = self.to_backend.buffer().to_vec();
        connection.to_client = self.to_client.buffer().to_vec();
        let descriptors = [self.client.as_fd(), self.backend.as_fd()];
        let connection = TransferredConnection::Established(connection);
        successor.transfer(connection, &descriptors).await
    }

    /// Handles a step of the direction from the backend to the client.
    fn handle_backend_step(&mut self, step: Result<Step, FailedSide>) -> Flow {
        match step {
            Ok(Step::Read) => self.handle_backend_lines(0),
            Ok(Step::Wrote) => {}
            Ok(Step::Ended) => {
                self.session.notify_backend_end();
                return self.await_other_end(self.to_backend.is_end_passed_on());
            }
            // After an announced end, or one of our own, the manner of it says nothing more.
            Err(FailedSide::Source)
                if self.session.is_end_announced() || self.session.is_end_notified() =>
            {
                self.to_client.end_source();
            }
            Err(FailedSide::Source) => {
                self.session.notify_end(Outcome::Reset);
                close_with_reset(&self.client);
                return CLOSE;
            }
            Err(FailedSide::Destination) => return self.close_after_client(),
        }
        CONTINUE
    }

    /// Handles a step of the direction from the client to the backend.
    fn handle_client_step(&mut self, step: Result<Step, FailedSide>) -> Flow {
        match step {
            Ok(Step::Read) => {
                let lines = self.to_backend.take_line_ends().len();
                self.session.replies.record_client_lines(lines);
            }
            Ok(Step::Wrote) => {
                if !self.to_backend.has_unwritten_lines() {
                    self.session.replies.record_sent();
                }
            }
            Ok(Step::Ended) => {
                self.session.notify_client_end();
                return self.await_other_end(self.to_client.is_end_passed_on());
            }
            Err(FailedSide::Source) => return self.close_after_client(),
            // The other direction shows how the backend has ended; it may hold lines for the client still.
            Err(FailedSide::Destination) => self.to_backend_stopped = true,
        }
        CONTINUE
    }

    /// One side has ended: closes if the other has too, else waits for it.
    fn await_other_end(&mut self, other_ended: bool) -> Flow {
        if other_ended {
            return CLOSE;
        }
        self.close_within(CLOSE_TIMEOUT);
        CONTINUE
    }

    /// The client's side is broken: so is the backend's.
    fn close_after_client(&mut self) -> Flow {
        self.session.notify_client_end();
        close_with_reset(&self.backend);
        CLOSE
    }

    /// Whether only the client's closing is awaited.
    fn waits_for_client(&self) -> bool {
        self.to_backend_stopped && self.to_client.is_end_passed_on()
    }

    /// When the connection has to be looked at if nothing happens before.
    fn wake_up(&self) -> Instant {
        let silent_at = || {
            let silent_at = self.session.replies.silent_at();
            silent_at.filter(|_| !self.to_client.has_unwritten_lines())
        };
        let wake_up = self.close_at.or_else(silent_at);
        wake_up.unwrap_or_else(|| Instant::now() + IDLE_WAKE_UP)
    }

    fn handle_wake_up(&mut self) -> Flow {
        if self.close_at.is_some() {
            return CLOSE;
        }
        // Where lines wait for the client, it is the client that holds the backend up.
        if self.session.replies.is_silent() && !self.to_client.has_unwritten_lines() {
            invariants::count("backend fell silent");
            self.session.notify_end(Outcome::Reset);
            self.send_client_elsewhere();
        }
        CONTINUE
    }

    /// Asks the client to connect elsewhere and ends both sides: the backend's at once, so that it does not carry the
    /// connection for as long as the client takes to close.
    fn send_client_elsewhere(&mut self) {
        self.to_client.end_with(MIGRATE_LINE);
        let _ = SockRef::from(&self.backend).shutdown(Shutdown::Both);
        self.close_at = Some(Instant::now() + CLOSE_TIMEOUT);
        self.to_backend_stopped = true;
    }

    /// Closes the connection after this time at the latest, if no earlier time is set.
    fn close_within(&mut self, time: Duration) {
        self.close_at.get_or_insert_with(|| Instant::now() + time);
    }

    /// Handles the lines read from the backend; the first `skip` of them are neither replies nor reports.
    fn handle_backend_lines(&mut self, skip: usize) {
        self.session.replies.record_heard();
        let mut start = 0;
        for (number, end) in self.to_client.take_line_ends().into_iter().enumerate() {
            if number >= skip {
                let line = &self.to_client.buffer()[start..end];
                self.session.handle_backend_line(line);
            }
            start = end;
        }
    }
}

fn unexpected(command: Command) -> Flow {
    invariants::holds(
        false,
        "an established connection is only migrated or transferred",
    );
    tracing::warn!(?command, "unexpected command for an established connection");
    CONTINUE
}
