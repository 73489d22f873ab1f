//! Handles a request, from its parsed line to an established connection or a final response.

use crate::api::{AttemptEnded, Event, Request, ServerId, Time};
use crate::invariants;
use crate::protocol::client::OpenRequest;
use crate::proxy::attempt::{self, AttemptError, AttemptKind, Backend};
use crate::proxy::client_end::{ClientEnd, wait_for_client_end};
use crate::proxy::client_reader::MalformedRequest;
use crate::proxy::closing::has_disconnected;
use crate::proxy::local_response::LocalResponse;
use crate::proxy::reopen::{MAX_REOPEN_WAIT, reopen};
use crate::runtime::connection_limit::ConnectionPermit;
use crate::runtime::{Command, RequestRegistration, Runtime};
use crate::transfer::EstablishedConnection;
use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Sleep, sleep_until};

/// Seconds by which the request's deadline precedes the end of the client's wait. Covers the time that the request line
/// took to arrive and that the response takes to return.
const DEADLINE_MARGIN: Time = 0.02;

/// A connection that has been opened for a request.
pub struct OpenedConnection {
    /// Keeps the request registered until it is dropped.
    pub registration: RequestRegistration,
    /// The state of the connection.
    pub connection: Box<EstablishedConnection>,
    /// The backend that accepted the request.
    pub backend: Backend,
    /// The queue of commands for the connection.
    pub commands: UnboundedReceiver<Command>,
}

/// How a request ends without a connection.
pub enum RequestEnd {
    /// With a response that the balancer generates.
    Response(LocalResponse),
    /// Without a response, because the connection to the client has failed.
    Disconnected,
    /// The client's descriptor is needed for another client, or was not available.
    Evicted,
}

/// Opens a connection for a request. `permit` is that of a client in service.
///
/// # Errors
/// Returns how the request ended if no connection could be opened.
pub async fn open(
    runtime: &Rc<Runtime>,
    client: &TcpStream,
    mut open_request: Box<OpenRequest>,
    permit: &mut ConnectionPermit,
) -> Result<OpenedConnection, RequestEnd> {
    open_request.request.deadline = deadline(runtime, &open_request);
    let request = open_request.request;
    let registered = runtime
        .claim_and_register_request(request.id, request.deadline)
        .await;
    let Some((registration, mut commands)) = registered else {
        return Err(malformed(MalformedRequest::IdInUse));
    };
    let (server, attempt, backend) = match open_request.established_server {
        Some(server) => {
            // Boxed: the branch is rarely taken.
            let reopened = reopen_established(runtime, client, &open_request, server, permit);
            (server, 0, Box::pin(reopened).await?)
        }
        None => open_new(runtime, client, &open_request, &mut commands).await?,
    };
    runtime.mark_established(request.id);
    Ok(OpenedConnection {
        registration,
        connection: Box::new(EstablishedConnection::new(request, server, attempt)),
        backend,
        commands,
    })
}

/// Returns the deadline of a request. The wait that the client asks for is limited to the longest wait of the
/// configured classes, or to [`MAX_REOPEN_WAIT`] for a connection that is reopened.
fn deadline(runtime: &Runtime, open_request: &OpenRequest) -> Time {
    let longest_wait = match open_request.established_server {
        Some(_) => MAX_REOPEN_WAIT,
        None => runtime.process_config().max_client_wait,
    };
    runtime.now() + open_request.wait.min(longest_wait) - DEADLINE_MARGIN
}

fn malformed(reason: MalformedRequest) -> RequestEnd {
    RequestEnd::Response(reason.respond())
}

/// Reopens a connection at the backend that it is established at.
async fn reopen_established(
    runtime: &Rc<Runtime>,
    client: &TcpStream,
    open_request: &OpenRequest,
    server: ServerId,
    permit: &mut ConnectionPermit,
) -> Result<Backend, RequestEnd> {
    let backend = tokio::select! {
        biased;
        end = wait_for_client_end(client) => return Err(end.request_end(true)),
        backend = reopen(runtime, client, open_request, server, permit) => backend?,
    };
    let request = open_request.request;
    tracing::debug!(request = %request.id, %server, group = ?request.group, "connection reopened");
    runtime.handle_event(Event::AlreadyEstablished { request, server });
    Ok(backend)
}

/// Opens a connection at a backend that the balancer chooses. Returns the server, the attempt number and the backend.
async fn open_new(
    runtime: &Rc<Runtime>,
    client: &TcpStream,
    open_request: &OpenRequest,
    commands: &mut UnboundedReceiver<Command>,
) -> Result<(ServerId, u32, Backend), RequestEnd> {
    let Request {
        id,
        class,
        group,
        is_reconnect,
        ..
    } = open_request.request;
    tracing::debug!(request = %id, class, ?group, is_reconnect, wait = open_request.wait, "request received");
    runtime.handle_event(Event::Request(open_request.request));
    let client_deadline = open_request.request.deadline + DEADLINE_MARGIN;
    let mut client_deadline = pin!(sleep_until(runtime.instant(client_deadline)));
    let mut pending = PendingRequest {
        runtime,
        client,
        open_request,
        commands,
        attempt: 0,
        may_have_executed: Cell::new(false),
    };
    loop {
        let (server, until) = pending.next_attempt(client_deadline.as_mut()).await?;
        match pending.run_attempt(server, until).await? {
            Ok(backend) => {
                let attempt = pending.attempt;
                tracing::debug!(request = %id, %server, attempt, "connection established");
                runtime.handle_event(Event::Established { id, server });
                return Ok((server, attempt, backend));
            }
            Err(error) => pending.end_attempt(server, &error),
        }
    }
}

/// A request that waits for the balancer's decision, or for the attempt that the balancer has started.
struct PendingRequest<'a> {
    runtime: &'a Rc<Runtime>,
    client: &'a TcpStream,
    open_request: &'a OpenRequest,
    commands: &'a mut UnboundedReceiver<Command>,
    /// Number of the current attempt.
    attempt: u32,
    /// Whether the request has been sent to a server that has not shown that it did not execute it.
    may_have_executed: Cell<bool>,
}

impl PendingRequest<'_> {
    /// Waits for the command to start an attempt. Returns the attempt's server and deadline. A disconnect of the client
    /// takes precedence over commands, so that no attempt is started for a client that has left.
    async fn next_attempt(
        &mut self,
        mut client_deadline: Pin<&mut Sleep>,
    ) -> Result<(ServerId, Time), RequestEnd> {
        loop {
            let command = tokio::select! {
                biased;
                end = wait_for_client_end(self.client) => return Err(self.end_by_client(end)),
                command = self.commands.recv() => command,
                () = &mut client_deadline => {
                    // The balancer has not decided the request in time, but the client must still get a response.
                    invariants::holds(false, "requests are decided before their deadline");
                    self.release();
                    Some(Command::Fail)
                }
            };
            match command {
                Some(Command::StartAttempt(server, until)) => return Ok((server, until)),
                Some(Command::Reject(retry_after)) => return Err(rejected(retry_after)),
                Some(Command::Fail) => return Err(failed()),
                // There is neither an attempt to cancel nor a connection to migrate or transfer.
                Some(Command::CancelAttempt(_) | Command::Migrate | Command::Transfer) => {}
                None => return Err(RequestEnd::Disconnected),
            }
        }
    }

    /// Runs an attempt, until `until` or the request's deadline, whichever comes first. Unless the attempt succeeds,
    /// its connection is closed on return, whatever its state.
    ///
    /// # Errors
    /// How the request ended, if it ended during the attempt. The inner result is that of the attempt.
    async fn run_attempt(
        &mut self,
        server: ServerId,
        until: Time,
    ) -> Result<Result<Backend, AttemptError>, RequestEnd> {
        let had_executed = self.may_have_executed.get();
        let request_line = |milliseconds| {
            if has_disconnected(self.client) {
                return None;
            }
            self.may_have_executed.set(true);
            Some(self.open_request.line_for_backend(milliseconds))
        };
        let until = until.min(self.open_request.request.deadline);
        // Boxed, so that its state does not take space in the future of an established connection.
        let attempt = Box::pin(attempt::run(
            self.runtime,
            server,
            AttemptKind::New,
            until,
            request_line,
        ));
        let attempted = tokio::select! {
            biased;
            end = wait_for_client_end(self.client) => return Err(self.end_by_client(end)),
            command = wait_for_attempt_end(self.commands, self.attempt) => match command {
                Some(Command::Reject(retry_after)) => return Err(rejected(retry_after)),
                Some(Command::Fail) => return Err(failed()),
                _ => Err(AttemptError::Cancelled),
            },
            attempted = attempt => attempted,
        };
        if let Err(error) = &attempted {
            let may_have_executed = error.outcome().may_have_executed();
            self.may_have_executed
                .set(had_executed || may_have_executed);
            if has_disconnected(self.client) {
                return Err(self.end_by_client(ClientEnd::Closed));
            }
        }
        Ok(attempted)
    }

    /// Reports the failure of the current attempt to the balancer.
    fn end_attempt(&mut self, server: ServerId, error: &AttemptError) {
        let (id, attempt, outcome) = (self.open_request.request.id, self.attempt, error.outcome());
        tracing::debug!(request = %id, %server, attempt, ?outcome, %error, "attempt failed");
        self.runtime.handle_event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            is_final: false,
        }));
        self.attempt += 1;
    }

    /// Ends the request because the client has ended its side or broken the protocol.
    fn end_by_client(&self, end: ClientEnd) -> RequestEnd {
        self.release();
        let may_have_executed = self.may_have_executed.get();
        if may_have_executed {
            let id = self.open_request.request.id;
            self.runtime.remember_departed(id);
        }
        end.request_end(may_have_executed)
    }

    /// Reports to the balancer that the client no longer waits for a response.
    fn release(&self) {
        let id = self.open_request.request.id;
        self.runtime.handle_event(Event::ClientDisconnected(id));
    }
}

fn failed() -> RequestEnd {
    RequestEnd::Response(LocalResponse::Failed)
}

fn rejected(retry_after: u64) -> RequestEnd {
    RequestEnd::Response(LocalResponse::Rejected { retry_after })
}

/// Waits for a command that ends the attempt in flight: a cancellation of the attempt, or a final response to the
/// request.
async fn wait_for_attempt_end(
    commands: &mut UnboundedReceiver<Command>,
    attempt: u32,
) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::CancelAttempt(number)) if number != attempt => {}
            Some(Command::StartAttempt(..)) => {
                invariants::holds(false, "a request has one attempt in flight at a time");
            }
            Some(Command::Migrate | Command::Transfer) => {}
            command => return command,
        }
    }
}
