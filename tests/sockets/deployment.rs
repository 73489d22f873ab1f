//! Processes of one balancer that inherit the same listening socket, as the platform starts them.

use crate::peers::*;
use crate::scripted_predecessor::PredecessorSocket;
use spanspur_hot_restart::frame::{Frame, encode};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::Arc;

/// What the processes of one balancer share: the address, the inherited listening socket, the folder, discovery and the
/// cached endpoints.
pub struct Deployment {
    pub address: SocketAddr,
    pub listener: TcpListener,
    pub folder: Arc<Folder>,
    pub discovery: Discovery,
    pub cached: Vec<String>,
}

impl Deployment {
    /// A deployment with these cached endpoints and no process.
    pub fn new(backends: &[&Backend]) -> Self {
        let listener = listen_at_free_port();
        let address = listener.local_addr().expect("bound");
        let mut folder = Folder::new(address);
        folder.settings = folder
            .settings
            .replace(LENIENT_MESSAGE_AIM.0, LENIENT_MESSAGE_AIM.1);
        Self {
            address,
            listener,
            folder: Arc::new(folder),
            discovery: Discovery::new(),
            cached: backends
                .iter()
                .map(|backend| backend.endpoint("SERVING"))
                .collect(),
        }
    }

    /// Starts a process beside those that are running, and waits until it is ready.
    #[track_caller]
    pub fn start(&self) -> Balancer {
        let [_, admin_address] = free_ports();
        let folder = self.folder.clone();
        let inherited = Some(&self.listener);
        let process = Balancer::spawn(
            folder,
            self.address,
            admin_address,
            inherited,
            self.discovery.address,
            &self.cached,
        );
        wait_until(|| TcpStream::connect(admin_address).is_ok());
        wait_until(|| process.admin_request("/_ready", "").0 == 200);
        process
    }

    /// Replaces a process as the platform does: the old process receives SIGTERM once the new one is ready.
    pub fn replace(&self, old: Balancer) -> Balancer {
        let new = self.start();
        old.signal("-TERM");
        assert_eq!(old.wait_for_exit(), Some(0));
        new
    }

    /// The socket on which the newest process listens for its successor.
    pub fn hot_restart_socket(&self) -> PathBuf {
        self.folder.path.join("spanspur-n0.sock")
    }

    /// Listens on the hot restart socket in the role of the running process. Its endpoint list has this backend.
    pub fn listen_as_predecessor(&self, backend: &Backend) -> PredecessorSocket {
        let listener = UnixListener::bind(self.hot_restart_socket()).expect("a free path");
        PredecessorSocket::new(listener, self.discovery.address, backend)
    }

    /// Connects to the hot restart socket in the role of a successor and sends these frames.
    pub fn connect_as_successor(&self, frames: &[Frame]) -> UnixStream {
        let mut stream =
            UnixStream::connect(self.hot_restart_socket()).expect("the process listens");
        for frame in frames {
            stream
                .write_all(&encode(frame, 0).expect("small"))
                .expect("sent");
        }
        stream
    }
}
