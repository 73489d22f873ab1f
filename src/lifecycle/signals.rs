//! The signals of the process: SIGHUP reloads the configuration, SIGTERM ends the process.

use super::reload::Reload;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that are handled. None of them ends the process by itself any more, also not a SIGHUP after SIGTERM.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Keeps signals from here on until they are handled.
    ///
    /// # Errors
    /// If a handler cannot be registered.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Reloads at each SIGHUP; returns at SIGTERM.
    pub async fn reload_until_terminated(mut self, mut reload: Reload) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => reload.run(),
            }
        }
    }
}
