//! Closes connections, and detects that the peer has closed its side.

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Time for one side to close after the other side has closed.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes that [`discard`] reads at once.
const DISCARD_CHUNK: usize = 16 * 1024;

/// Reads and drops bytes until the peer closes. Closing a socket with unread bytes would reset the connection, and the
/// peer could lose the last line sent to it.
pub async fn discard(stream: &TcpStream) {
    while stream.readable().await.is_ok() {
        // A separate statement: in the scrutinee of the match, the buffer would live across the await.
        let read = stream.try_read(&mut [0; DISCARD_CHUNK]);
        match read {
            Ok(0) => return,
            // A peer that sends without pause must not starve the other tasks.
            Ok(_) => yield_now().await,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Writes a last line, shuts down the sending side and waits up to [`CLOSE_TIMEOUT`] for the peer to close.
pub async fn send_and_close(stream: &TcpStream, line: &[u8]) {
    let close = async {
        if write_all(stream, line).await.is_ok() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Write);
            discard(stream).await;
        }
    };
    let _ = timeout(CLOSE_TIMEOUT, close).await;
}

async fn write_all(stream: &TcpStream, mut line: &[u8]) -> io::Result<()> {
    while !line.is_empty() && stream.writable().await.is_ok() {
        match stream.try_write(line) {
            Ok(written) => line = &line[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Sets the socket to reset the connection when it is closed, to propagate the reset of the other side. Does not close
/// it.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Whether the peer has closed or reset its side. A close is not detected while received bytes are unread. Asks the
/// kernel, which may know before the event loop does.
pub fn has_disconnected(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(received) => received == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
