//! Errors that end the process at its start, or keep a reload from being carried out. Their texts go to the log.

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
    /// The file has faults.
    #[error("{}: {faults}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All of its faults.
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
    /// The inherited descriptor is no listening socket.
    #[error("BALANCER_ACCEPT_FD: {0}")]
    InheritedSocket(#[from] InheritedSocketError),
    /// The inherited socket cannot be accepted from.
    #[error("BALANCER_ACCEPT_FD: {0}")]
    InheritedListener(#[source] io::Error),
    /// The clients' address cannot be listened at.
    #[error("key 'listen': {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be listened at.
        source: io::Error,
    },
    /// The admin address cannot be listened at.
    #[error("key 'operator': {0}")]
    AdminListen(#[source] io::Error),
    /// The event loop cannot be created.
    #[error("no runtime: {0}")]
    EventLoop(#[source] io::Error),
    /// Signals cannot be handled.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The cluster or the distribution of lists cannot be started.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
}

/// Why a reload is not carried out.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The operator's file changes what is fixed while the process runs.
    #[error(transparent)]
    FixedSettings(Faults),
}
