//! The signals of the process: SIGHUP takes over the configuration as it is now, SIGTERM ends it.

use crate::cli::Serve;
use crate::cluster::{ClusterMember, ListFollower};
use crate::config::{LoadReason, ProcessConfig};
use crate::lifecycle::startup::read_operator;
use crate::runtime::Runtime;
use spanspur_operator_config::Operator;
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
    pub async fn serve(mut self, mut reload: Reload) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => reload.carry_out(),
            }
        }
    }
}

/// What SIGHUP takes over, and from where.
pub struct Reload {
    runtime: Rc<Runtime>,
    discovery: watch::Sender<SocketAddr>,
    serve: Serve,
    operator: Operator,
    shared: Option<Rc<ClusterMember>>,
    followed: Option<Rc<ListFollower>>,
}

impl Reload {
    /// What runs now.
    pub fn new(
        runtime: Rc<Runtime>,
        discovery: watch::Sender<SocketAddr>,
        serve: Serve,
        operator: Operator,
        shared: Option<Rc<ClusterMember>>,
        followed: Option<Rc<ListFollower>>,
    ) -> Self {
        Self {
            runtime,
            discovery,
            serve,
            operator,
            shared,
            followed,
        }
    }

    /// All or nothing: a file that cannot be read or is wrong must not take the old state with it, nor the other
    /// file's news.
    fn carry_out(&mut self) {
        let (node, operator) = match self.read() {
            Ok(both) => both,
            Err(what) => return tracing::error!(what, "not reloaded, all stays as it was"),
        };
        tracing::info!(discovery = %node.discovery, "reloaded");
        // First the place, then the module's wish to watch it.
        self.discovery
            .send_if_modified(|at| std::mem::replace(at, node.discovery) != node.discovery);
        self.runtime.apply_config(node);
        if let Some(shared) = &self.shared {
            shared.configure(operator.clone());
        }
        if let (Some(followed), Some(follow)) = (&self.followed, &operator.follow) {
            followed.configure(follow);
        }
        self.operator = operator;
    }

    fn read(&self) -> Result<(ProcessConfig, Operator), String> {
        let node = ProcessConfig::from_env(LoadReason::Reload)
            .and_then(|node| node.replace(&self.runtime.process_config()))?;
        let operator = read_operator(&self.serve)?;
        let faults = self.operator.fixed(&operator);
        match faults.is_empty() {
            true => Ok((node, operator)),
            false => Err(spanspur_operator_config::sentence(&faults)),
        }
    }
}
