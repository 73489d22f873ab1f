//! What the staff does to a running balancer: the driver of `spanspur-service`.

mod calls;
mod kept;
pub mod listener;

use super::drain::Mover;
use super::host::Host;
use spanspur_service::pace::Pace;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The front asks ten times a second and stops 0.2 s after a no: a client moved before that could come back here.
const ARRIVALS: f64 = 0.4;
/// By then all have to be moved at the latest 4 s after the call: this leaves a second for their last lines.
const EMPTY_BY: f64 = 2.6;
/// How often the rest is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Takes up which backends are taken out, and answers calls if there is an address for them.
pub fn start(host: &Rc<Host>, listener: Option<TcpListener>) {
    let kept = Rc::new(kept::Kept::open(&host.node().name));
    if let Some(outs) = kept.read() {
        let out: Vec<&str> = outs.out().collect();
        tracing::info!(out = out.join(" "), "stream servers that are taken out");
        host.take_outs(&outs);
    }
    if let Some(listener) = listener {
        spawn_local(calls::run(host.clone(), listener, kept));
        spawn_local(lameduck(host.clone()));
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
