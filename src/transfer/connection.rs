//! A client connection as another process continues it. The descriptors travel beside it.

use crate::api::{Request, ServerId};
use serde::{Deserialize, Serialize};

/// A transferred client connection.
#[derive(Serialize, Deserialize)]
pub enum TransferredConnection {
    /// An established connection, with the descriptors of the client and of the backend.
    Established(EstablishedConnection),
    /// A client that has not completed its request line, with its descriptor: the bytes received so far, and the
    /// seconds left to receive the rest.
    AwaitingRequest(Vec<u8>, f64),
}

/// A connection established at a backend.
#[derive(Debug, Serialize, Deserialize)]
pub struct EstablishedConnection {
    /// The client's request.
    pub request: Request,
    /// The server that serves it.
    pub server: ServerId,
    /// Number of the attempt that established it.
    pub attempt: u32,
    /// Bytes read from the client and not yet written to the backend.
    pub to_backend: Vec<u8>,
    /// Bytes read from the backend and not yet written to the client.
    pub to_client: Vec<u8>,
    /// For each line that the backend has not answered yet: seconds since it was sent.
    pub unanswered_ages: Vec<f64>,
    /// Seconds since the backend was last heard.
    pub backend_silent_for: f64,
    /// Lines read from the client and not yet written completely.
    pub unsent_lines: usize,
    /// Whether the backend has reported a figure on this connection.
    pub has_reported: bool,
}

impl EstablishedConnection {
    /// A connection that has just been established, with nothing in its buffers.
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
