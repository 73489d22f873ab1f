//! Takes a listening socket that the process has inherited by the number of its descriptor. The standard library
//! has no safe way to own a number, so the one line that does stands here alone, behind its checks.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The inherited socket with this number. To be called once for a number, before the process has opened anything
/// itself: a number that was closed would be given to something else. The error says what is there instead.
pub fn listening(fd: RawFd) -> Result<Socket, String> {
    let what = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    let what = what.map_err(|_| format!("descriptor {fd} is not open"))?;
    if !what.to_string_lossy().starts_with("socket:") {
        return Err(format!(
            "descriptor {fd} is not a socket: {}",
            what.display()
        ));
    }
    #[allow(
        unsafe_code,
        reason = "a number from the environment is owned here and nowhere else"
    )]
    // SAFETY: the descriptor is open, as was just seen, and nothing in this process owns it: it came with the start.
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let listens = socket.is_listener().unwrap_or(false);
    if !listens || socket.r#type().ok() != Some(Type::STREAM) {
        return Err(format!(
            "descriptor {fd} is a socket that does not listen for connections"
        ));
    }
    Ok(socket)
}
