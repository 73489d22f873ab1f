//! The listening socket: bound by this process, or inherited through socket activation.

use socket2::Socket;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Creates a listening socket that is bound to this address.
///
/// # Errors
/// If the socket cannot be created, bound or made to listen.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart at the same address must not wait for old connections in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Uses an inherited listening socket. `configured` is the address that the socket is expected to listen at; a
/// different address is logged and used nevertheless.
///
/// # Errors
/// If the socket cannot be made non-blocking or registered with the event loop.
pub fn inherited(socket: Socket, configured: SocketAddr) -> io::Result<TcpListener> {
    let bound = socket
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket());
    if bound != Some(configured) {
        tracing::warn!(?bound, %configured, "inherited socket does not listen at the address of key 'listen'");
    }
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}
