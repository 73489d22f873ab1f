//! Detects that the client of an established connection has gone while its lines wait for the backend. The end of the
//! client is behind these lines, so it is not read before they are forwarded.

use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Interval at which a relay checks for the departure of its client while lines of it wait for the backend.
pub const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time from the detection of a close for which the client's lines are still forwarded. With the interval, nothing of a
/// client begins later than 0.1 s after it has gone.
const FORWARD_TIME: Duration = Duration::from_millis(50);

/// What a check for the departure of a client has found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Departure {
    /// The client may send more, or closed its side a moment ago: its lines are forwarded.
    Forward,
    /// The client has closed its side: lines that are not begun yet are dropped.
    DropLines,
    /// The client has reset the connection.
    Reset,
}

/// Checks for the departure of one client.
#[derive(Default)]
pub struct DepartureDetector {
    /// When it was detected that the client has closed its side.
    closed_at: Option<Instant>,
}

impl DepartureDetector {
    /// Checks whether the client has gone. `is_end_forwarded` tells whether the sending side to the client is shut down
    /// here, so that a close by the client cannot be told from a reset.
    pub fn check(&mut self, client: &TcpStream, is_end_forwarded: bool) -> Departure {
        match peer_state(client) {
            PeerState::Open => return Departure::Forward,
            PeerState::Reset if !is_end_forwarded => return Departure::Reset,
            PeerState::Reset | PeerState::Closed => {}
        }
        let closed_at = *self.closed_at.get_or_insert_with(Instant::now);
        match closed_at.elapsed() >= FORWARD_TIME {
            true => Departure::DropLines,
            false => Departure::Forward,
        }
    }
}

/// How far the peer's end of a connection has come, as the event loop knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerState {
    /// The peer may send more.
    Open,
    /// The peer has closed its sending side, perhaps behind bytes that are unread.
    Closed,
    /// The connection was reset.
    Reset,
}

/// Returns the state of the peer without reading what it has sent. A connection whose sending side is shut down here counts
/// as reset once the peer has closed as well.
fn peer_state(stream: &TcpStream) -> PeerState {
    let ready = pin!(stream.ready(Interest::READABLE | Interest::WRITABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) if ready.is_write_closed() => PeerState::Reset,
        Poll::Ready(Ok(ready)) if ready.is_read_closed() => PeerState::Closed,
        Poll::Ready(Err(_)) => PeerState::Reset,
        _ => PeerState::Open,
    }
}
