//! The state that another process needs to continue a client connection. The descriptors are sent alongside it.

use crate::api::{Request, ServerId};
use serde::{Deserialize, Serialize};

/// A transferred client connection.
#[derive(Serialize, Deserialize)]
pub enum TransferredConnection {
    /// An established connection, with the descriptors of the client and of the backend.
    Established(EstablishedConnection),
    /// A client that has not completed its request line, with the client's descriptor: the bytes received so far, and
    /// the seconds left to receive the rest.
    AwaitingRequest(Vec<u8>, f64),
}

/// The state of a connection established at a backend, apart from its sockets.
#[derive(Debug, Serialize, Deserialize)]
pub struct EstablishedConnection {
    /// The client's request.
    pub request: Request,
    /// The server that the connection is established at.
    pub server: ServerId,
    /// Number of the attempt that established the connection.
    pub attempt: u32,
    /// Bytes read from the client and not yet written to the backend.
    pub to_backend: Vec<u8>,
    /// Bytes read from the backend and not yet written to the client.
    pub to_client: Vec<u8>,
    /// For each line without a reply from the backend: seconds since the line was sent, oldest first.
    pub unanswered_ages: Vec<f64>,
    /// Seconds since the backend last sent anything, or since it was sent a line while it owed no reply, whichever is
    /// shorter.
    pub backend_silent_for: f64,
    /// Number of lines read from the client and not yet written completely.
    pub unsent_lines: usize,
    /// Whether the backend has sent a `LOAD` report on this connection.
    pub has_reported: bool,
}

impl EstablishedConnection {
    /// Creates the state of a connection that has just been established, with empty buffers.
    pub fn new(request: Request, server: ServerId, attempt: u32) -> Self {
        Self {
            request,
            server,
            attempt,
            to_backend: Vec::new(),
            to_client: Vec::new(),
            unanswered_ages: Vec::new(),
            backend_silent_for: 0.0,
            unsent_lines: 0,
            has_reported: false,
        }
    }
}
