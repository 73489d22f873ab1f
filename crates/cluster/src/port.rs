//! A datagram socket with a clock, and the loop that serves whatever lives on it without I/O of its own.

use spanspur_leases::Millis;
use spanspur_membership::authentication::MAX_DATAGRAM;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Datagrams taken in one turn, so that a flood of them leaves the balancer its own.
const BATCH: usize = 64;
/// The longest sleep; what has no timer of its own is looked at this often.
const LONGEST_SLEEP: Millis = 60_000;

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
    /// Datagrams that the socket did not take.
    pub unsent: u64,
}

impl Traffic {
    /// Each figure with its name in counters.
    pub fn named(self) -> [(&'static str, u64); 5] {
        [
            ("sent", self.sent),
            ("sent-bytes", self.sent_bytes),
            ("received", self.received),
            ("received-bytes", self.received_bytes),
            ("unsent", self.unsent),
        ]
    }
}

/// A socket, and the clock of what lives on it.
pub struct Port {
    socket: UdpSocket,
    origin: Instant,
    changed: Notify,
    traffic: Cell<Traffic>,
}

/// What lives on a port: it is told of datagrams and of its timer, and carries out what comes of them.
pub trait Endpoint {
    /// Its port.
    fn port(&self) -> &Port;
    /// Takes a datagram.
    fn receive(&self, from: SocketAddr, bytes: &[u8]);
    /// When [`Endpoint::wake`] is due, on the port's clock.
    fn next_wake(&self) -> Millis;
    /// Carries out what has fallen due.
    fn wake(&self);
    /// Carries out what all this has brought about; called once a turn.
    fn carry_out(&self);
}

impl Port {
    /// Opens a socket. Fails where the address is taken or not of this machine.
    pub async fn open(at: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(at).await?,
            origin: Instant::now(),
            changed: Notify::new(),
            traffic: Cell::default(),
        })
    }

    /// Where it takes datagrams.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The clock's origin.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// Milliseconds on a monotonic clock, which goes on while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// What went over the socket.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Something was changed from outside, and with it the next timer.
    pub fn touch(&self) {
        self.changed.notify_one();
    }

    /// Sends a datagram, if the socket takes it at once.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let sent = self.socket.try_send_to(bytes, to);
        self.count(|traffic| match sent {
            Ok(n) => {
                traffic.sent += 1;
                traffic.sent_bytes += n as u64;
            }
            // Lost like any other: all that matters is asked again.
            Err(_) => traffic.unsent += 1,
        });
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

/// Serves an endpoint for as long as the process runs.
pub async fn run(endpoint: impl Endpoint) {
    let port = endpoint.port();
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let wake = endpoint.next_wake().min(port.now() + LONGEST_SLEEP);
        let wake = port.origin + Duration::from_millis(wake);
        tokio::select! {
            ready = port.socket.readable() => if ready.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            },
            () = sleep_until(wake.into()) => {}
            () = port.changed.notified() => {}
        }
        for _ in 0..BATCH {
            let Ok((size, from)) = port.socket.try_recv_from(&mut buffer) else {
                break;
            };
            port.count(|traffic| {
                traffic.received += 1;
                traffic.received_bytes += size as u64;
            });
            endpoint.receive(from, &buffer[..size]);
        }
        if endpoint.next_wake() <= port.now() {
            endpoint.wake();
        }
        endpoint.carry_out();
        tokio::task::yield_now().await;
    }
}
