//! Relays an established connection: forwards lines in both directions until one side ends, the backend stops
//! responding, or the client is asked to migrate.

use crate::api::Outcome;
use crate::invariants;
use crate::proxy::attempt::Backend;
use crate::proxy::closing::{CLOSE_TIMEOUT, discard, reset_on_close};
use crate::proxy::departure::{DEPARTURE_CHECK_INTERVAL, Departure, DepartureDetector};
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
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Time from the command to migrate the client within which a backend that has announced or begun to end the connection
/// has to close it.
const ANNOUNCED_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Wake-up interval of a connection without a pending timeout.
const IDLE_WAKE_UP: Duration = Duration::from_secs(3600);
/// Number of steps after which a relay lets the other tasks run, even if it could go on. One step moves at most
/// [`MAX_LINE`](crate::protocol::client::MAX_LINE) bytes.
const STEPS_PER_TURN: u32 = 4;
/// The line that asks a client to connect elsewhere.
const MIGRATE_LINE: &[u8] = b"MOVE\r\n";

/// An established connection.
struct Relay {
    session: Session,
    client: TcpStream,
    backend: TcpStream,
    to_backend: Direction,
    to_client: Direction,
    /// When the connection is closed at the latest; `None` until one side ends or the balancer ends the connection.
    close_at: Option<Instant>,
    /// Nothing more is forwarded to the backend.
    to_backend_stopped: bool,
    departure: DepartureDetector,
}

/// Whether the relay goes on after an event.
type Flow = ControlFlow<()>;
const CONTINUE: Flow = ControlFlow::Continue(());
const CLOSE: Flow = ControlFlow::Break(());

/// Relays a connection that a backend has just accepted, until it ends. Arguments that are only needed for the setup
/// are dropped before the future is returned: an `async fn` would hold them for the lifetime of the connection.
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
    // The first line accepts the request; it is not a reply to a line of the client.
    relay.handle_backend_lines(1);
    relay.run(commands)
}

/// Relays a connection that was established by another process, until it ends.
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
    // The other process has already handled the buffered lines.
    relay.to_backend.take_line_ends();
    relay.to_client.take_line_ends();
    relay.run(commands)
}

impl Relay {
    /// Creates a relay with empty buffers.
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
            departure: DepartureDetector::default(),
        }
    }

    #[expect(
        clippy::manual_async_fn,
        reason = "an `async fn` holds its arguments twice"
    )]
    fn run(mut self, mut commands: UnboundedReceiver<Command>) -> impl Future<Output = ()> {
        async move {
            let mut steps: u32 = 0;
            loop {
                let wake_up = self.wake_up();
                let flow = tokio::select! {
                    biased;
                    command = commands.recv() => match command {
                        Some(Command::Migrate) => self.migrate(),
                        // Boxed: the branch is rarely taken and its future is large.
                        Some(Command::Transfer) => Box::pin(self.transfer()).await,
                        Some(command) => ignore_unexpected(command),
                        None => CLOSE,
                    },
                    step = self.to_client.step(&self.backend, &self.client) => self.handle_backend_step(step),
                    step = self.to_backend.step(&self.client, &self.backend), if !self.to_backend_stopped => {
                        self.handle_client_step(step)
                    }
                    // Both directions are done: wait for the client to close its side.
                    () = discard(&self.client), if self.awaits_client_close() => CLOSE,
                    () = sleep_until(wake_up) => self.handle_wake_up(),
                };
                if flow.is_break() {
                    return;
                }
                steps = steps.wrapping_add(1);
                if steps.is_multiple_of(STEPS_PER_TURN) {
                    yield_now().await;
                }
            }
        }
    }

    /// Handles the command to migrate the client.
    fn migrate(&mut self) -> Flow {
        if self.session.is_end_announced() || self.to_client.has_source_ended() {
            // The backend is about to end the connection or has ended it, possibly within a line. The client sees that
            // end, so no MOVE line is sent.
            self.session.notify_backend_end();
            self.close_within(ANNOUNCED_END_TIMEOUT);
        } else if !self.session.is_end_notified() {
            self.session.notify_end(Outcome::Cancelled);
            self.send_migrate_and_close();
        }
        // Otherwise the connection had already ended when the balancer asked for its migration.
        CONTINUE
    }

    /// Transfers the connection to the successor of this process, unless the connection is about to end or too many are in
    /// transit. Its lines wait meanwhile.
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

    /// Tries to transfer the connection. Returns whether the successor has taken it over.
    async fn try_transfer(&self) -> bool {
        let Some(successor) = self.session.runtime().peer_processes.successor() else {
            return false;
        };
        let Some(_slot) = successor.established_slots.try_acquire() else {
            return false;
        };
        let mut connection = self.session.save();
        connection.to_backend = self.to_backend.buffer().to_vec();
        connection.to_client = self.to_client.buffer().to_vec();
        let descriptors = [self.client.as_fd(), self.backend.as_fd()];
        let connection = TransferredConnection::Established(connection);
        successor.transfer(connection, &descriptors).await
    }

    /// Handles the result of a step in the direction from the backend to the client.
    fn handle_backend_step(&mut self, step: Result<Step, FailedSide>) -> Flow {
        match step {
            Ok(Step::Read) => self.handle_backend_lines(0),
            Ok(Step::Wrote) => {
                if !self.to_client.has_unwritten_lines() {
                    self.session.replies.record_delivered();
                }
            }
            Ok(Step::Ended) => {
                self.session.notify_backend_end();
                return self.await_other_end(self.to_backend.is_end_forwarded());
            }
            // The outcome is already known, because the backend has announced the end or the balancer has ended the
            // connection: treat the error as a regular end.
            Err(FailedSide::Source)
                if self.session.is_end_announced() || self.session.is_end_notified() =>
            {
                self.to_client.end_source();
            }
            Err(FailedSide::Source) => {
                self.session.notify_end(Outcome::Reset);
                reset_on_close(&self.client);
                return CLOSE;
            }
            Err(FailedSide::Destination) => return self.close_after_client(),
        }
        CONTINUE
    }

    /// Handles the result of a step in the direction from the client to the backend.
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
                return self.check_departure();
            }
            Ok(Step::Ended) => {
                self.session.notify_departure();
                return self.await_other_end(self.to_client.is_end_forwarded());
            }
            Err(FailedSide::Source) => return self.close_after_client(),
            // The other direction shows how the backend ended the connection, and may still hold lines for the client.
            Err(FailedSide::Destination) => self.to_backend_stopped = true,
        }
        CONTINUE
    }

    /// Whether lines of the client wait for the backend, and its end may be behind them.
    fn holds_back_client(&self) -> bool {
        !self.to_backend_stopped
            && !self.to_backend.has_source_ended()
            && self.to_backend.has_unwritten_lines()
    }

    /// Checks whether the client has gone behind lines that are not forwarded yet. Those lines are dropped shortly after,
    /// and at once if the connection was reset.
    fn check_departure(&mut self) -> Flow {
        if self.to_backend_stopped || self.to_backend.has_source_ended() {
            return CONTINUE;
        }
        let is_end_forwarded = self.to_client.is_end_forwarded();
        match self.departure.check(&self.client, is_end_forwarded) {
            Departure::Forward => {}
            Departure::DropLines => {
                invariants::count("lines of a departed client dropped");
                self.to_backend.end_after_current_line();
                self.close_within(CLOSE_TIMEOUT);
            }
            Departure::Reset => return self.close_after_client(),
        }
        CONTINUE
    }

    /// Handles the end of one side: closes the connection if the other side has ended too, else waits for that.
    fn await_other_end(&mut self, other_ended: bool) -> Flow {
        if other_ended {
            return CLOSE;
        }
        self.close_within(CLOSE_TIMEOUT);
        CONTINUE
    }

    /// Closes the connection after a failure of the client's side, and resets the backend's side.
    fn close_after_client(&mut self) -> Flow {
        self.session.notify_departure();
        reset_on_close(&self.backend);
        CLOSE
    }

    /// Whether all that remains is for the client to close its side.
    fn awaits_client_close(&self) -> bool {
        self.to_backend_stopped && self.to_client.is_end_forwarded()
    }

    /// When [`Self::handle_wake_up`] has to check the timeouts of the connection next.
    fn wake_up(&self) -> Instant {
        let silence_deadline = || {
            let silence_deadline = self.session.replies.silence_deadline();
            silence_deadline.filter(|_| !self.to_client.has_unwritten_lines())
        };
        let wake_up = self.close_at.or_else(silence_deadline);
        let wake_up = wake_up.unwrap_or_else(|| Instant::now() + IDLE_WAKE_UP);
        match self.holds_back_client() {
            true => wake_up.min(Instant::now() + DEPARTURE_CHECK_INTERVAL),
            false => wake_up,
        }
    }

    fn handle_wake_up(&mut self) -> Flow {
        let is_due = |close_at| Instant::now() >= close_at;
        if self.close_at.is_some_and(is_due) {
            return CLOSE;
        }
        if self.holds_back_client() && self.check_departure().is_break() {
            return CLOSE;
        }
        // While lines wait to be written to the client, nothing is read from the backend, so the silence is not the
        // backend's fault.
        if self.session.replies.is_silent() && !self.to_client.has_unwritten_lines() {
            invariants::count("backend fell silent");
            self.session.notify_end(Outcome::Reset);
            self.send_migrate_and_close();
        }
        CONTINUE
    }

    /// Asks the client to reconnect elsewhere and ends both sides. The backend's side is shut down at once, so that the
    /// connection does not load the backend until the client closes.
    fn send_migrate_and_close(&mut self) {
        self.to_client.end_with(MIGRATE_LINE);
        let _ = SockRef::from(&self.backend).shutdown(Shutdown::Both);
        self.close_at = Some(Instant::now() + CLOSE_TIMEOUT);
        self.to_backend_stopped = true;
    }

    /// Closes the connection after this time, unless a time to close is already set.
    fn close_within(&mut self, time: Duration) {
        self.close_at.get_or_insert_with(|| Instant::now() + time);
    }

    /// Handles the lines read from the backend, except the first `skip`, which are neither replies nor messages of the
    /// backend to the balancer.
    fn handle_backend_lines(&mut self, skip: usize) {
        self.session.replies.record_received();
        let mut start = 0;
        for (index, end) in self.to_client.take_line_ends().into_iter().enumerate() {
            if index >= skip {
                let line = &self.to_client.buffer()[start..end];
                self.session.handle_backend_line(line);
            }
            start = end;
        }
    }
}

fn ignore_unexpected(command: Command) -> Flow {
    invariants::holds(
        false,
        "an established connection is only migrated or transferred",
    );
    tracing::warn!(?command, "unexpected command for an established connection");
    CONTINUE
}
