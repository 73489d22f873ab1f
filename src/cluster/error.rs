//! Why this process cannot take part in a cluster.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the cluster's parts cannot start. The texts name the key of the operator's file.
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
        /// The system's reason.
        #[source]
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("control.socket: {}: {source}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// The system's reason.
        #[source]
        source: io::Error,
    },
}
