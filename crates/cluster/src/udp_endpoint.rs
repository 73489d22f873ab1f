//! A UDP socket with a clock, and the loop that drives a state machine without I/O on it.

use spanspur_leases::Millis;
use spanspur_membership::authentication::MAX_DATAGRAM;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Maximum number of datagrams handled in one iteration of the loop, so that a flood of them leaves time for the
/// balancer's other work.
const MAX_BATCH: usize = 64;
/// Maximum time that the loop sleeps, in milliseconds, even if no timer is due.
const MAX_SLEEP_MS: Millis = 60_000;
/// How long the loop pauses after an error of the socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The traffic of a socket.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams dropped because the socket did not accept them at once.
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

/// A UDP socket, and the clock of the state machine that is driven on it.
pub struct UdpEndpoint {
    socket: UdpSocket,
    origin: Instant,
    /// Notified when the handler's timer may have changed outside the loop.
    timer_changed: Notify,
    traffic: Cell<Traffic>,
}

/// A state machine driven on an endpoint. It handles datagrams and its timer, and applies the resulting effects.
pub trait DatagramHandler {
    /// The endpoint.
    fn endpoint(&self) -> &UdpEndpoint;
    /// Handles a received datagram.
    fn receive(&self, from: SocketAddr, bytes: &[u8]);
    /// The time on the endpoint's clock, in milliseconds, at which [`DatagramHandler::wake`] is due.
    fn next_wake(&self) -> Millis;
    /// Handles expired timers.
    fn wake(&self);
    /// Applies the effects of the datagrams and timers handled; called once per iteration of the loop.
    fn apply_effects(&self);
}

impl UdpEndpoint {
    /// Binds a socket to an address.
    ///
    /// # Errors
    ///
    /// If the address is in use or does not belong to this machine.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            origin: Instant::now(),
            timer_changed: Notify::new(),
            traffic: Cell::default(),
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// If the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The origin of the clock.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// The time since the origin in milliseconds, on a monotonic clock that advances while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// The traffic of the socket so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Makes the loop read the handler's timer again, after a change from outside the loop.
    pub fn reschedule(&self) {
        self.timer_changed.notify_one();
    }

    /// Sends a datagram if the socket accepts it at once, and drops it otherwise.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let sent = self.socket.try_send_to(bytes, to);
        self.count(|traffic| match sent {
            Ok(n) => {
                traffic.sent += 1;
                traffic.sent_bytes += n as u64;
            }
            // A dropped datagram is like one lost on the network: the protocols repeat what is needed.
            Err(_) => traffic.unsent += 1,
        });
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

/// Drives a handler on its endpoint. Never returns.
pub async fn serve(handler: impl DatagramHandler) {
    let endpoint = handler.endpoint();
    // The extra byte tells a datagram of the maximum size from a larger one, which would otherwise be cut to that size.
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let wake = handler.next_wake().min(endpoint.now() + MAX_SLEEP_MS);
        let wake = endpoint.origin + Duration::from_millis(wake);
        tokio::select! {
            ready = endpoint.socket.readable() => if ready.is_err() {
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            },
            () = sleep_until(wake.into()) => {}
            () = endpoint.timer_changed.notified() => {}
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
