//! The listening sockets: bound here, or inherited from the platform.

use socket2::Socket;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted: a crowd may come at once.
const BACKLOG: u32 = 1024;

/// Listens at this address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart under the same address must not wait for old connections to time out.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes the inherited socket as a listener; the error says what it is instead.
pub fn inherited(socket: Socket, address: SocketAddr) -> Result<TcpListener, String> {
    let at = socket.local_addr().ok().and_then(|at| at.as_socket());
    if at != Some(address) {
        tracing::warn!(?at, listen = %address, "the inherited socket listens elsewhere than key 'listen' says");
    }
    socket.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(socket.into()).map_err(|e| e.to_string())
}
