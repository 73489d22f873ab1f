//! Reads what a client sends before its final response: the request line, and the front's probes before it.

use crate::invariants;
use crate::protocol::client::{LineError, LineReader, OpenRequest, OpenRequestError};
use crate::proxy::local_response::{BUSY, LocalResponse};
use crate::runtime::Runtime;
use crate::runtime::lifecycle_state::CountedClient;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for a client to send its request line, from its connecting. Some take 2 s; the connection of one that sends
/// nothing has to be closed after 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for the front to send its next line, from the response to its last one.
const FRONT_TIMEOUT: Duration = Duration::from_secs(10);
/// How often readiness is checked while the front waits for it.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);
/// The front's probe, and the response of a balancer that takes clients.
const PROBE: &str = "PING";
const PROBE_RESPONSE: &str = "PONG\r\n";

/// Why a client's bytes are no request.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum MalformedRequest {
    /// More bytes after the request line.
    #[error("more than one line")]
    MultipleLines,
    /// Not a line of plain text that ends in CRLF, or too long for one.
    #[error("not a line of text")]
    NotText,
    /// The line does not follow the protocol.
    #[error(transparent)]
    InvalidLine(#[from] OpenRequestError),
    /// Another request of this process has the id.
    #[error("the id is in use")]
    IdInUse,
    /// More bytes while the request waits for its response.
    #[error("more before the answer")]
    DataBeforeResponse,
}

impl MalformedRequest {
    /// Counts and logs it; gives the response to it. It costs this connection and nothing else.
    pub fn respond(self) -> LocalResponse {
        invariants::count("malformed request");
        tracing::debug!(reason = %self, "malformed request");
        LocalResponse::Failed
    }
}

/// What a client sends first.
pub enum FirstLine {
    /// A request.
    Request(Box<OpenRequest>),
    /// Something else.
    Malformed(MalformedRequest),
    /// No complete line in time.
    TimedOut,
    /// Nothing: the client has disconnected.
    Disconnected,
}

/// Reads a client's lines up to its request.
pub struct ClientReader {
    lines: LineReader,
    deadline: Instant,
    /// Counts the client among those without a request; `None` once it has shown to be a front.
    counted: Option<CountedClient>,
}

impl ClientReader {
    /// For a client that has just connected.
    pub fn new(runtime: &Runtime) -> Self {
        Self::resume(runtime, Vec::new(), REQUEST_TIMEOUT)
    }

    /// For a client of which another process of this balancer has received these bytes, with so much time left.
    pub fn resume(runtime: &Runtime, received: Vec<u8>, time_left: Duration) -> Self {
        let counted = runtime.lifecycle.clients_without_request.count_client();
        Self {
            lines: LineReader::from(received),
            deadline: Instant::now() + time_left,
            counted: Some(counted),
        }
    }

    /// The bytes received and not consumed.
    pub fn received(&self) -> Vec<u8> {
        self.lines.buffered()
    }

    /// Seconds left until the deadline.
    pub fn time_left(&self) -> f64 {
        (self.deadline - Instant::now()).as_secs_f64()
    }

    /// Whether the client has sent a probe: it is a front, and waits for no response to a request.
    pub fn is_front(&self) -> bool {
        self.counted.is_none()
    }

    /// The first line other than a probe. It has to be all that the client sends before its response. Cancel safe.
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
            self.counted.take();
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

/// Waits until requests can be decided or are refused anyway: the front sends clients from the response on.
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
