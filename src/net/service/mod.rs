//! What the staff does to a running balancer: the driver of `spanspur-service`.

mod calls;
pub mod handover;
mod kept;
pub mod listener;

use super::drain::Mover;
use super::host::Host;
use handover::{Predecessor, Succession};
use spanspur_handover::stage::Heard;
use spanspur_service::pace::Pace;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The front asks ten times a second and stops 0.2 s after a no: a client moved before that could come back here.
const ARRIVALS: f64 = 0.4;
/// By then all have to be moved at the latest 4 s after the call: this leaves half a second for who comes late.
const EMPTY_BY: f64 = 3.5;
/// How often the rest is looked at.
const TICK: Duration = Duration::from_millis(20);

/// The staff's part of this process.
pub struct Service {
    succession: Option<Rc<Succession>>,
    predecessor: RefCell<Option<Predecessor>>,
}

impl Service {
    /// Takes up which backends are taken out, and what another process of this balancer knows; answers calls if
    /// there is an address for them.
    pub async fn start(host: &Rc<Host>, calls: Option<TcpListener>) -> Self {
        let node = host.node();
        let kept = Rc::new(kept::Kept::open(&node.name));
        if let Some(outs) = kept.read() {
            let out: Vec<&str> = outs.out().collect();
            tracing::info!(out = out.join(" "), "stream servers that are taken out");
            host.take_outs(&outs);
        }
        // Only where the platform holds the clients' socket can two processes take clients one after the other.
        let place = kept.beside("sock").filter(|_| node.accept_fd.is_some());
        let succession = place.map(|path| Succession::new(host.clone(), &path));
        let predecessor = match &succession {
            Some(succession) => succession.meet().await,
            None => None,
        };
        // The one before takes them until this one is ready.
        host.accepting.send_replace(predecessor.is_none());
        if let Some(listener) = calls {
            spawn_local(calls::run(host.clone(), listener, kept));
            spawn_local(lameduck(host.clone()));
        }
        Self {
            succession,
            predecessor: RefCell::new(predecessor),
        }
    }

    /// The version of the list that was taken over from the process before.
    pub fn resumed(&self) -> Option<Option<u64>> {
        self.predecessor
            .borrow()
            .as_ref()
            .map(|before| before.revision)
    }

    /// All is set up: this process takes clients.
    pub async fn takes_clients(&self, host: &Host) {
        let predecessor = self.predecessor.take();
        if let Some(succession) = &self.succession {
            succession.ready(predecessor).await;
        }
        host.accepting.send_replace(true);
    }

    /// This process is told to leave.
    pub fn leave(&self) {
        if let Some(succession) = &self.succession {
            succession.hear(Heard::Leave);
        }
    }
}

/// Empties the balancer whenever the staff says so, until it says that it may take clients again.
async fn lameduck(host: Rc<Host>) {
    let mut on = host.lameduck.subscribe();
    loop {
        if on.wait_for(|on| *on).await.is_err() {
            return;
        }
        let now = host.now();
        let pace = Pace {
            from: now + ARRIVALS,
            until: now + EMPTY_BY,
        };
        tracing::info!(standing = host.reqs(true).len(), "is emptied");
        let mut mover = Mover::new(host.clone(), pace);
        while *on.borrow_and_update() {
            mover.look(TICK);
            sleep(TICK).await;
        }
        tracing::info!(standing = host.reqs(true).len(), "takes clients again");
    }
}
