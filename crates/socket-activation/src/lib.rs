//! Takes over an inherited listening socket, identified by its descriptor number. The standard library has no safe way
//! to take ownership of a descriptor number, so the one unsafe line is isolated in this crate, after its checks.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::io;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use thiserror::Error;

/// Why a descriptor is not a listening socket.
#[derive(Debug, Error)]
pub enum InheritedSocketError {
    /// The descriptor is not open.
    #[error("descriptor {fd} is not open")]
    NotOpen {
        /// The descriptor number.
        fd: RawFd,
        /// Why the descriptor could not be read from `/proc/self/fd`.
        source: io::Error,
    },
    /// The descriptor is not a socket.
    #[error("descriptor {fd} is not a socket: {}", target.display())]
    NotASocket {
        /// The descriptor number.
        fd: RawFd,
        /// What the descriptor refers to.
        target: PathBuf,
    },
    /// The socket does not listen for stream connections.
    #[error("descriptor {fd} is a socket that does not listen for connections")]
    NotListening {
        /// The descriptor number.
        fd: RawFd,
    },
}

/// Takes ownership of the inherited listening socket with this descriptor number. Must be called at most once per
/// number, and before the process opens a descriptor itself: if the number is not open, the kernel could assign it to a
/// file of the process.
///
/// # Errors
/// If the descriptor is not open, not a socket, or not a listening stream socket. In the last case it is closed.
pub fn take_listening_socket(fd: RawFd) -> Result<Socket, InheritedSocketError> {
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|source| InheritedSocketError::NotOpen { fd, source })?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritedSocketError::NotASocket { fd, target });
    }
    #[allow(
        unsafe_code,
        reason = "the only place where a descriptor number from the environment becomes owned"
    )]
    // SAFETY: the check above shows that the descriptor is open, and it is inherited, so nothing in this process owns
    // it.
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    if is_listening_stream(&socket) {
        Ok(socket)
    } else {
        Err(InheritedSocketError::NotListening { fd })
    }
}

fn is_listening_stream(socket: &Socket) -> bool {
    let listens = socket.is_listener().unwrap_or(false);
    listens && socket.r#type().ok() == Some(Type::STREAM)
}
