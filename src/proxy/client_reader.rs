//! Reads the lines that a client sends up to its request, including the probes of a front proxy.

use crate::invariants;
use crate::protocol::client::{LineError, LineReader, OpenRequest, OpenRequestError};
use crate::proxy::local_response::{BUSY, LocalResponse};
use crate::runtime::Runtime;
use crate::runtime::lifecycle_state::CountedClient;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Time from connecting within which a client has to send its request line. Some clients take 2 s, and the connection
/// of a client that sends nothing has to be closed within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from the response to a probe within which the front proxy has to send its next line.
const FRONT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which readiness is checked while a front proxy waits for the response to its probe.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);
/// The probe line of a front proxy.
const PROBE: &str = "PING";
/// The response to a probe while the balancer is not draining.
const PROBE_RESPONSE: &str = "PONG\r\n";

/// Why the bytes received from a client are not a valid request.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum MalformedRequest {
    /// The request line is followed by more bytes.
    #[error("more than one line")]
    MultipleLines,
    /// The bytes are not a line of plain text terminated by CRLF, or the line is too long.
    #[error("not a line of plain text, or too long")]
    NotText,
    /// The line does not follow the protocol.
    #[error(transparent)]
    InvalidLine(#[from] OpenRequestError),
    /// Another request of this balancer has the same id, or had it when its client left.
    #[error("the request id is in use or may have executed")]
    IdInUse,
    /// The request reopens a connection at a server that is not listed, with a wait longer than such a request has.
    #[error("the server is not listed, and the wait is too long")]
    ReopenWaitTooLong,
    /// The client sent more bytes while the request was waiting for its response.
    #[error("data received before the response")]
    DataBeforeResponse,
}

impl MalformedRequest {
    /// Counts and logs the malformed request, and returns the response to it. Only this connection is affected.
    pub fn respond(self) -> LocalResponse {
        invariants::count("malformed request");
        tracing::debug!(reason = %self, "malformed request");
        LocalResponse::Failed
    }
}

/// Result of reading a client's first line other than a probe.
pub enum FirstLine {
    /// A valid request.
    Request(Box<OpenRequest>),
    /// Bytes that are not a valid request.
    Malformed(MalformedRequest),
    /// No complete line arrived in time.
    TimedOut,
    /// The client disconnected before completing a line.
    Disconnected,
}

/// Reads a client's lines up to its request.
pub struct ClientReader {
    lines: LineReader,
    deadline: Instant,
    /// Counts the client among those that shutdown waits for because they have not sent a request yet; `None` once a
    /// probe has identified the client as a front proxy.
    awaiting_request: Option<CountedClient>,
}

impl ClientReader {
    /// Creates the reader of a client that has just connected.
    pub fn new(runtime: &Runtime) -> Self {
        Self::resume(runtime, Vec::new(), REQUEST_TIMEOUT)
    }

    /// Creates the reader of a client transferred from another process of this balancer, which had received the bytes
    /// `received`; `time_left` remains until the deadline.
    pub fn resume(runtime: &Runtime, received: Vec<u8>, time_left: Duration) -> Self {
        let awaiting_request = runtime.lifecycle.clients_without_request.count_client();
        Self {
            lines: LineReader::from(received),
            deadline: Instant::now() + time_left,
            awaiting_request: Some(awaiting_request),
        }
    }

    /// The bytes that are received and not consumed yet.
    pub fn received(&self) -> Vec<u8> {
        self.lines.buffered()
    }

    /// Seconds left until the deadline; 0 once it has passed.
    pub fn time_left(&self) -> f64 {
        (self.deadline - Instant::now()).as_secs_f64()
    }

    /// Whether the client is a front proxy, as shown by a probe that this reader has responded to. A probe from before
    /// a transfer does not count.
    pub fn is_front(&self) -> bool {
        self.awaiting_request.is_none()
    }

    /// Reads the first line other than a probe, and responds to probes. A client that sends more than one line at a
    /// time has sent a malformed request. If the future is dropped, received bytes are kept, except a probe that is
    /// waiting for its response.
    pub async fn first_line(&mut self, runtime: &Runtime, client: &TcpStream) -> FirstLine {
        loop {
            let line = match timeout_at(self.deadline, self.lines.next_line(client)).await {
                Ok(Ok(Some(line))) if self.lines.is_empty() => line,
                Ok(Ok(Some(_))) => return FirstLine::Malformed(MalformedRequest::MultipleLines),
                Ok(Err(LineError::TooLong | LineError::NotPlainText)) => {
                    return FirstLine::Malformed(MalformedRequest::NotText);
                }
                Ok(_) => return FirstLine::Disconnected,
                Err(_) => return FirstLine::TimedOut,
            };
            if line != PROBE {
                return parse_request(runtime, &line);
            }
            wait_until_ready(runtime).await;
            if client.try_write(probe_response(runtime)).is_err() {
                return FirstLine::Disconnected;
            }
            self.awaiting_request.take();
            self.deadline = Instant::now() + FRONT_TIMEOUT;
        }
    }
}

fn parse_request(runtime: &Runtime, line: &str) -> FirstLine {
    let config = runtime.process_config();
    match OpenRequest::parse(line, &config.class_names, config.groups_enabled) {
        Ok(request) => FirstLine::Request(Box::new(request)),
        Err(reason) => FirstLine::Malformed(MalformedRequest::InvalidLine(reason)),
    }
}

/// Delays the response to a probe until requests can be decided, because a front proxy starts to send clients as soon
/// as its probe is answered. In draining mode, the probe is refused without delay.
async fn wait_until_ready(runtime: &Runtime) {
    while !runtime.is_ready() && !runtime.lifecycle.is_draining() {
        sleep(READINESS_INTERVAL).await;
    }
}

fn probe_response(runtime: &Runtime) -> &'static [u8] {
    let line = match runtime.lifecycle.is_draining() {
        true => BUSY,
        false => PROBE_RESPONSE,
    };
    line.as_bytes()
}
