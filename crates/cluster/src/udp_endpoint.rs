//! A UDP socket with a clock, and the loop that serves a state machine without I/O of its own on it.

use spanspur_leases::Millis;
use spanspur_membership::authentication::MAX_DATAGRAM;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Datagrams handled in one turn of the loop, so that a flood of them leaves time to the balancer.
const MAX_BATCH: usize = 64;
/// The longest sleep, also without a timer.
const MAX_SLEEP_MS: Millis = 60_000;
/// The pause after an error of the socket itself.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// What went over a socket.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams that the socket did not accept at once.
    pub unsent: u64,
}

impl Traffic {
    /// Each count with its counter's name.
    pub fn named_counters(self) -> [(&'static str, u64); 5] {
        [
            ("sent", self.sent),
            ("sent-bytes", self.sent_bytes),
            ("received", self.received),
            ("received-bytes", self.received_bytes),
            ("unsent", self.unsent),
        ]
    }
}

/// A UDP socket, and the clock of what is served on it.
pub struct UdpEndpoint {
    socket: UdpSocket,
    origin: Instant,
    changed: Notify,
    traffic: Cell<Traffic>,
}

/// A state machine served on an endpoint: it handles datagrams and its timer, and applies the effects.
pub trait DatagramHandler {
    /// Its endpoint.
    fn endpoint(&self) -> &UdpEndpoint;
    /// Handles a datagram.
    fn receive(&self, from: SocketAddr, bytes: &[u8]);
    /// When [`DatagramHandler::wake`] is due, on the endpoint's clock.
    fn next_wake(&self) -> Millis;
    /// Handles what has fallen due.
    fn wake(&self);
    /// Applies the effects of all this; called once a turn.
    fn apply_effects(&self);
}

impl UdpEndpoint {
    /// Opens a socket.
    ///
    /// # Errors
    ///
    /// If the address is taken or not of this machine.
    pub async fn open(at: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(at).await?,
            origin: Instant::now(),
            changed: Notify::new(),
            traffic: Cell::default(),
        })
    }

    /// The address at which it receives datagrams.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The clock's origin.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// Milliseconds on a monotonic clock, which advances while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// What went over the socket.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Makes the loop look at the timer again, after a change from outside.
    pub fn reschedule(&self) {
        self.changed.notify_one();
    }

    /// Sends a datagram, if the socket accepts it at once.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let sent = self.socket.try_send_to(bytes, to);
        self.count(|traffic| match sent {
            Ok(n) => {
                traffic.sent += 1;
                traffic.sent_bytes += n as u64;
            }
            // Lost like any other datagram: the protocols repeat what matters.
            Err(_) => traffic.unsent += 1,
        });
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

/// Serves a handler for as long as the process runs.
pub async fn serve(handler: impl DatagramHandler) {
    let endpoint = handler.endpoint();
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let wake = handler.next_wake().min(endpoint.now() + MAX_SLEEP_MS);
        let wake = endpoint.origin + Duration::from_millis(wake);
        tokio::select! {
            ready = endpoint.socket.readable() => if ready.is_err() {
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            },
            () = sleep_until(wake.into()) => {}
            () = endpoint.changed.notified() => {}
        }
        for _ in 0..MAX_BATCH {
            let Ok((size, from)) = endpoint.socket.try_recv_from(&mut buffer) else {
                break;
            };
            endpoint.count(|traffic| {
                traffic.received += 1;
                traffic.received_bytes += size as u64;
            });
            handler.receive(from, &buffer[..size]);
        }
        if handler.next_wake() <= endpoint.now() {
            handler.wake();
        }
        handler.apply_effects();
        tokio::task::yield_now().await;
    }
}
