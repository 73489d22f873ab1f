//! The listening sockets of the process.

use super::error::StartupError;
use crate::config::ProcessConfig;
use crate::proxy::listener;
use socket2::Socket;
use tokio::net::TcpListener;

/// The listening sockets.
pub struct ListeningSockets {
    /// For clients.
    pub clients: TcpListener,
    /// For the staff, if there is an address for them.
    pub admin: Option<TcpListener>,
}

impl ListeningSockets {
    /// Listens at the configured addresses; for clients on the inherited socket, if there is one.
    ///
    /// # Errors
    /// If an address cannot be listened at.
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
