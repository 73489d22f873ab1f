//! Errors when a part of the cluster starts.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a part of the cluster cannot start. The messages name the key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// Neither the section nor the balancer has a name.
    #[error("{section}.name: is missing, and the balancer has no name either")]
    NameMissing {
        /// The section of the operator's file.
        section: &'static str,
    },
    /// A socket cannot be opened.
    #[error("{section}.listen: {address}: {source}")]
    Listen {
        /// The section of the operator's file.
        section: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("control.socket: {}: {source}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
}
