//! Options of the connections to clients and backends.

use socket2::SockRef;
use std::io;
use tokio::net::TcpStream;

/// Size of the kernel's receive buffer and of its send buffer for each connection, in bytes; Linux doubles it for its own
/// data. Several of the longest lines fit, and a peer that does not read cannot make the kernel hold megabytes.
const KERNEL_BUFFER: usize = 64 * 1024;

/// Sets the options of a connection.
///
/// # Errors
/// If the socket is no longer connected.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    // Lines are short and latency-sensitive: disable Nagle's algorithm.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(KERNEL_BUFFER)?;
    socket.set_send_buffer_size(KERNEL_BUFFER)
}
