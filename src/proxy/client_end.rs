//! How a client ends its request before the response: by leaving, or by breaking the protocol.

use crate::protocol::client::LineReader;
use crate::proxy::client_reader::MalformedRequest;
use crate::proxy::local_response::LocalResponse;
use crate::proxy::request::RequestEnd;
use tokio::net::TcpStream;

/// How a client ends its request before the response.
#[derive(Clone, Copy, PartialEq)]
pub enum ClientEnd {
    /// It breaks the protocol by sending data.
    SentData,
    /// It has closed its side. It may have closed its sending side only, and still wait for the response.
    Closed,
    /// The connection has failed.
    Failed,
}

impl ClientEnd {
    /// How the request ends. `may_have_executed` tells whether a retry by the client could execute it again.
    pub fn request_end(self, may_have_executed: bool) -> RequestEnd {
        match self {
            Self::SentData => RequestEnd::Response(MalformedRequest::DataBeforeResponse.respond()),
            Self::Closed if may_have_executed => RequestEnd::Response(LocalResponse::Failed),
            Self::Closed => RequestEnd::Response(LocalResponse::Rejected { retry_after: 0 }),
            Self::Failed => RequestEnd::Disconnected,
        }
    }
}

/// Waits until the client ends its request.
pub async fn wait_for_client_end(client: &TcpStream) -> ClientEnd {
    match LineReader::default().read_more(client).await {
        Ok(true) => ClientEnd::SentData,
        Ok(false) => ClientEnd::Closed,
        Err(_) => ClientEnd::Failed,
    }
}
