//! Signal handling: SIGHUP reloads the configuration, SIGTERM starts the graceful shutdown.

use super::reload::Reload;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers for SIGHUP and SIGTERM. They replace the default actions: a SIGHUP after SIGTERM does not end the process.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Registers the handlers. Signals that arrive from now on are kept until [`Self::reload_until_terminated`] runs.
    ///
    /// # Errors
    /// If a handler cannot be registered.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Reloads on each SIGHUP; returns on SIGTERM.
    pub async fn reload_until_terminated(mut self, mut reload: Reload) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => reload.run(),
            }
        }
    }
}
