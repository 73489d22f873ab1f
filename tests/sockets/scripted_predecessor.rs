//! The older process of a hot restart, scripted by the test.

use crate::peers::Backend;
use spanspur::api::{Endpoint, EndpointState, ServerId};
use spanspur::discovery::endpoint_list::ListedEndpoint;
use spanspur::transfer::{Snapshot, TransferredConnection};
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::{Receiver, Sender, link};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixListener;
use tokio::runtime::Runtime;

/// The hot restart socket of a scripted predecessor, and the state that it sends.
pub struct PredecessorSocket {
    listener: UnixListener,
    discovery: SocketAddr,
    endpoints: Vec<ListedEndpoint>,
}

/// A link to a process in the role of its predecessor. It grants every claim of a request id, as if it had not seen that
/// the id is in use.
pub struct ScriptedPredecessor {
    event_loop: Runtime,
    sender: Sender,
    receiver: Receiver,
}

impl PredecessorSocket {
    /// Listens for a process. Its endpoint list has this backend.
    pub fn new(listener: UnixListener, discovery: SocketAddr, backend: &Backend) -> Self {
        let endpoint = Endpoint {
            id: ServerId::of(backend.id),
            zone: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: 0.0,
            cell: 0,
        };
        let address = backend.address();
        Self {
            listener,
            discovery,
            endpoints: vec![ListedEndpoint { endpoint, address }],
        }
    }

    /// Accepts a process and sends it the state.
    pub fn accept(self) -> ScriptedPredecessor {
        let (stream, _) = self.listener.accept().expect("a process");
        stream.set_nonblocking(true).expect("settable");
        let event_loop = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("an event loop");
        let stream = event_loop.block_on(async { tokio::net::UnixStream::from_std(stream) });
        let (sender, receiver) = link(stream.expect("a stream"));
        let mut predecessor = ScriptedPredecessor {
            event_loop,
            sender,
            receiver,
        };
        let version = predecessor.receive(|frame| match frame {
            Frame::Hello { version } => Some(*version),
            _ => None,
        });
        let snapshot = Snapshot {
            discovery: self.discovery,
            revision: 1,
            endpoints: self.endpoints,
            balancer: Vec::new(),
            maintenance: MaintenanceSet::default().to_text(),
            draining: false,
        };
        let snapshot = postcard::to_stdvec(&snapshot).expect("encoded");
        predecessor.send(&Frame::State { version, snapshot });
        predecessor
    }
}

impl ScriptedPredecessor {
    pub fn send(&self, frame: &Frame) {
        self.send_with(frame, &[]);
    }

    fn send_with(&self, frame: &Frame, descriptors: &[BorrowedFd<'_>]) {
        let sent = self
            .event_loop
            .block_on(self.sender.send(frame, descriptors));
        sent.expect("sent");
    }

    /// Receives frames and grants claims, until `select` returns what the test needs of a frame.
    pub fn receive<T>(&mut self, select: impl Fn(&Frame) -> Option<T>) -> T {
        loop {
            let received = self.event_loop.block_on(self.receiver.next());
            let frame = received.expect("a frame").expect("the link is open").frame;
            if let Frame::ClaimRequestId { number, .. } = frame {
                let granted = true;
                self.send(&Frame::RequestIdDecision { number, granted });
            }
            if let Some(selected) = select(&frame) {
                return selected;
            }
        }
    }

    /// Transfers a connection with these streams, and returns whether the process has taken it over.
    pub fn transfer(
        &mut self,
        number: u64,
        connection: TransferredConnection,
        streams: &[TcpStream],
    ) -> bool {
        for stream in streams {
            stream.set_nonblocking(true).expect("settable");
        }
        let payload = postcard::to_stdvec(&connection).expect("encoded");
        let descriptors: Vec<_> = streams.iter().map(AsFd::as_fd).collect();
        self.send_with(&Frame::Connection { number, payload }, &descriptors);
        self.receive(|frame| match frame {
            Frame::Acknowledge {
                number: acknowledged,
                taken_over,
            } => (*acknowledged == number).then_some(*taken_over),
            _ => None,
        })
    }
}
