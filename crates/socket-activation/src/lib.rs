//! Takes a listening socket that the process has inherited by the number of its descriptor. The standard library
//! has no safe way to own a number, so the one line that does stands here alone, behind its checks.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::io;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use thiserror::Error;

/// Why a descriptor is no inherited listening socket.
#[derive(Debug, Error)]
pub enum InheritedSocketError {
    /// Nothing is open under this number.
    #[error("descriptor {fd} is not open")]
    NotOpen {
        /// The number of the descriptor.
        fd: RawFd,
        /// Why the descriptor could not be looked up.
        source: io::Error,
    },
    /// Something other than a socket is open.
    #[error("descriptor {fd} is not a socket: {}", target.display())]
    NotASocket {
        /// The number of the descriptor.
        fd: RawFd,
        /// What is open instead.
        target: PathBuf,
    },
    /// The socket does not listen for stream connections.
    #[error("descriptor {fd} is a socket that does not listen for connections")]
    NotListening {
        /// The number of the descriptor.
        fd: RawFd,
    },
}

/// Takes ownership of the inherited listening socket with this number. To be called once for a number, before the
/// process has opened anything itself: the number of a closed descriptor would be given to something else.
pub fn take_listening_socket(fd: RawFd) -> Result<Socket, InheritedSocketError> {
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|source| InheritedSocketError::NotOpen { fd, source })?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritedSocketError::NotASocket { fd, target });
    }
    #[allow(
        unsafe_code,
        reason = "a number from the environment is owned here and nowhere else"
    )]
    // SAFETY: the descriptor is open, as was just checked, and nothing in this process owns it: it was inherited.
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
