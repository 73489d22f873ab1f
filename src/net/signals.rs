//! The signals of the process: SIGHUP takes over the configuration as it is now, SIGTERM ends it.

use super::host::Host;
use spanspur::config::{Node, When};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// The signals that are listened to. From the first one on none ends the process by itself, also not a SIGHUP
/// that comes after SIGTERM.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// From here on signals are kept until they are looked at.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Carries out each SIGHUP; returns at SIGTERM.
    pub async fn serve(mut self, host: &Rc<Host>, discovery: &watch::Sender<SocketAddr>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => reload(host, discovery),
            }
        }
    }
}

/// All or nothing: a file that cannot be read or is wrong must not take the old state with it.
fn reload(host: &Rc<Host>, discovery: &watch::Sender<SocketAddr>) {
    let read = Node::from_env(When::Reload).and_then(|node| node.replace(&host.node()));
    match read {
        Ok(node) => {
            log::info!("reloaded: discovery is at {}", node.discovery);
            // First the place, then the module's wish to watch it.
            discovery
                .send_if_modified(|at| std::mem::replace(at, node.discovery) != node.discovery);
            host.configure(node);
        }
        Err(what) => log::error!("not reloaded, all stays as it was: {what}"),
    }
}
