//! Final responses that the balancer gives itself, without a backend.

use crate::invariants;
use crate::protocol::client::MAX_LINE;
use crate::proxy::closing::discard;
use crate::runtime::Runtime;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The line that rejects without a Retry-After.
pub const BUSY: &str = "BUSY\r\n";
/// The line that fails a request.
const ERROR: &str = "ERR\r\n";
/// A client that is rejected for want of descriptors may still send for this long.
const REJECTED_LINGER: Duration = Duration::from_millis(250);
/// Where no descriptor is left for lingering: how often the client's bytes are read instead.
const REJECTED_READS: usize = 16;

/// A final response of the balancer's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalResponse {
    /// Rejected; the client may retry after so many milliseconds (0: no advice).
    Rejected {
        /// Milliseconds until a retry.
        retry_after: u64,
    },
    /// Failed.
    Failed,
    /// No line: the connection is closed.
    Close,
}

impl LocalResponse {
    /// Its line on the wire.
    pub fn line(self) -> String {
        match self {
            Self::Rejected { retry_after: 0 } => BUSY.to_owned(),
            Self::Rejected { retry_after } => format!("BUSY {retry_after}\r\n"),
            Self::Failed => ERROR.to_owned(),
            Self::Close => String::new(),
        }
    }
}

/// Rejects a client for want of descriptors. Closing over unread bytes would reset the connection and could take the
/// response with it: what the client has sent is read, and for a moment what it still sends, if a descriptor is left.
pub async fn reject_for_descriptors(runtime: &Runtime, client: &TcpStream) {
    invariants::count("client rejected for want of descriptors");
    let _ = client.set_nodelay(true);
    let _ = SockRef::from(client).send(BUSY.as_bytes());
    let _ = SockRef::from(client).shutdown(Shutdown::Write);
    let Some(_permit) = runtime.connection_limit.acquire_for_lingering() else {
        return read_received(client);
    };
    let _ = timeout(REJECTED_LINGER, discard(client)).await;
}

/// Reads what the client has sent, without waiting. Asks the kernel, which may know of more than the event loop does.
fn read_received(client: &TcpStream) {
    for _ in 0..REJECTED_READS {
        let read = SockRef::from(client).recv(&mut [MaybeUninit::uninit(); MAX_LINE]);
        if !read.is_ok_and(|received| received > 0) {
            return;
        }
    }
}
