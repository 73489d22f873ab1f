//! A single attempt at one backend, from connecting to the backend's first line.

use crate::api::{Outcome, ServerId, Time};
use crate::protocol::client::{LineReader, check_first_answer};
use crate::proxy::socket_options;
use crate::runtime::{Runtime, duration};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Minimum time left for a request to be sent to a backend. The request line states the time left in whole
/// milliseconds, and less than one would read as 0.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// A backend that has accepted the request.
pub struct Backend {
    /// The connection to the backend.
    pub stream: TcpStream,
    /// The backend's first line, without the line terminator.
    pub response: String,
    /// Bytes received after the first line.
    pub rest: Vec<u8>,
}

/// The kind of request that an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptKind {
    /// A new request. It is only sent to a server that accepts new requests.
    New,
    /// A request that reopens a connection at the backend that it is established at.
    Reopen,
}

/// Why an attempt failed.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The endpoint list does not contain the server.
    #[error("the server is not listed")]
    NotListed,
    /// The connection was not established in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection could not be established.
    #[error("connecting failed: {0}")]
    Connect(#[source] io::Error),
    /// No time was left by the time the connection was established.
    #[error("no time left to send the request")]
    NoTimeLeft,
    /// The server had stopped accepting new requests by the time the connection was established.
    #[error("the server no longer accepts new requests")]
    NotAccepting,
    /// The client had disconnected by the time the connection was established.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The request could not be sent.
    #[error("sending the request failed: {0}")]
    Send(#[source] io::Error),
    /// No response came in time.
    #[error("no response in time")]
    ResponseTimeout,
    /// The backend closed the connection, or sent bytes that are not a valid line.
    #[error("the connection ended without a valid response line")]
    NoResponse,
    /// The backend's response does not accept the request.
    #[error("the backend did not accept the request: {0:?}")]
    NotAccepted(Outcome),
    /// The balancer cancelled the attempt.
    #[error("attempt cancelled")]
    Cancelled,
}

impl AttemptError {
    /// The outcome that is reported to the balancer.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotListed | Self::NoTimeLeft | Self::NotAccepting | Self::ClientDisconnected => {
                Outcome::NotSent
            }
            Self::ConnectTimeout | Self::Connect(_) | Self::Send(_) => Outcome::ConnectFailed,
            Self::ResponseTimeout => Outcome::Timeout,
            Self::NoResponse => Outcome::Reset,
            Self::NotAccepted(outcome) => *outcome,
            Self::Cancelled => Outcome::Cancelled,
        }
    }
}

/// Sends a request to a server and waits for its response, at most until the time `until`. `request_line` takes the
/// number of milliseconds left and returns the line to send, or `None` if the client has disconnected.
///
/// # Errors
/// If the request could not be sent, or the backend did not accept it in time. The connection to the backend is already
/// closed by then, so that the next attempt is the only one in flight.
pub async fn run(
    runtime: &Runtime,
    server: ServerId,
    kind: AttemptKind,
    until: Time,
    request_line: impl Fn(u64) -> Option<String>,
) -> Result<Backend, AttemptError> {
    let address = runtime
        .endpoint_address(server)
        .ok_or(AttemptError::NotListed)?;
    let deadline = runtime.instant(until);
    let mut stream = connect(runtime, address, deadline).await?;
    let time_left = check_still_allowed(runtime, server, kind, until)?;
    let line =
        request_line(time_left.as_millis() as u64).ok_or(AttemptError::ClientDisconnected)?;
    socket_options::configure(&stream).map_err(AttemptError::Send)?;
    stream
        .write_all(line.as_bytes())
        .await
        .map_err(AttemptError::Send)?;
    read_response(stream, deadline).await
}

async fn connect(
    runtime: &Runtime,
    address: SocketAddr,
    deadline: Instant,
) -> Result<TcpStream, AttemptError> {
    let connect_timeout = duration(runtime.process_config().config.connect_timeout);
    let deadline = deadline.min(Instant::now() + connect_timeout);
    timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| AttemptError::ConnectTimeout)?
        .map_err(AttemptError::Connect)
}

/// Repeats the checks whose result may have changed while connecting. Returns the time left.
fn check_still_allowed(
    runtime: &Runtime,
    server: ServerId,
    kind: AttemptKind,
    until: Time,
) -> Result<Duration, AttemptError> {
    let time_left = duration(until - runtime.now());
    if time_left < MIN_TIME_LEFT {
        return Err(AttemptError::NoTimeLeft);
    }
    if kind == AttemptKind::New && !runtime.accepts_new_requests(server) {
        return Err(AttemptError::NotAccepting);
    }
    Ok(time_left)
}

async fn read_response(stream: TcpStream, deadline: Instant) -> Result<Backend, AttemptError> {
    let mut lines = LineReader::default();
    let response = timeout_at(deadline, lines.next_line(&stream))
        .await
        .map_err(|_| AttemptError::ResponseTimeout)?;
    let Ok(Some(response)) = response else {
        return Err(AttemptError::NoResponse);
    };
    check_first_answer(&response).map_err(AttemptError::NotAccepted)?;
    Ok(Backend {
        stream,
        response,
        rest: lines.into_buffered(),
    })
}
