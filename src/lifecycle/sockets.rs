//! The listening sockets of the process.

use super::error::StartupError;
use crate::config::ProcessConfig;
use crate::proxy::listener;
use socket2::Socket;
use tokio::net::TcpListener;

/// Listening sockets for clients and for admin requests.
pub struct ListeningSockets {
    /// Accepts clients.
    pub clients: TcpListener,
    /// Accepts admin requests, if an admin address is configured.
    pub admin: Option<TcpListener>,
}

impl ListeningSockets {
    /// Binds the configured addresses. Clients are accepted on the inherited socket instead, if there is one.
    ///
    /// # Errors
    /// If an address cannot be bound or the inherited socket cannot be used.
    pub fn open(config: &ProcessConfig, inherited: Option<Socket>) -> Result<Self, StartupError> {
        let address = config.listen;
        let clients = match inherited {
            Some(socket) => {
                listener::inherited(socket, address).map_err(StartupError::InheritedListener)
            }
            None => {
                listener::bind(address).map_err(|source| StartupError::Listen { address, source })
            }
        }?;
        let admin = config.admin_address.map(listener::bind).transpose();
        Ok(Self {
            clients,
            admin: admin.map_err(StartupError::AdminListen)?,
        })
    }
}
