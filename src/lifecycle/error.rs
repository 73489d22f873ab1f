//! Errors that prevent the process from starting or a reload from being applied. Their texts are logged.

use crate::cluster::ClusterError;
use crate::config::ConfigError;
use spanspur_operator_config::Faults;
use spanspur_socket_activation::InheritedSocketError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not valid.
    #[error("{}: {faults}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All faults found.
        faults: Faults,
    },
}

/// Why the process cannot start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The inherited descriptor is not a listening socket.
    #[error("BALANCER_ACCEPT_FD: {0}")]
    InheritedSocket(#[from] InheritedSocketError),
    /// The inherited socket cannot be set up for accepting clients.
    #[error("BALANCER_ACCEPT_FD: {0}")]
    InheritedListener(#[source] io::Error),
    /// The client address cannot be bound.
    #[error("key 'listen': {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: io::Error,
    },
    /// The admin address cannot be bound.
    #[error("key 'operator': {0}")]
    AdminListen(#[source] io::Error),
    /// The event loop cannot be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The cluster or the distribution of the endpoint list cannot be started.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
}

/// Why a reload is rejected.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The operator's file changes settings that require a restart.
    #[error(transparent)]
    FixedSettings(Faults),
}
