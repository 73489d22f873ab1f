//! What the staff does to a running balancer: the driver of `spanspur-admin`.

mod maintenance_store;
mod server;

use crate::lifecycle::graceful_shutdown::Migrator;
use crate::lifecycle::hot_restart::{HotRestart, Predecessor};
use crate::runtime::Runtime;
use spanspur_admin::drain_schedule::DrainSchedule;
use spanspur_hot_restart::predecessor::Input;
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
    succession: Option<Rc<HotRestart>>,
    predecessor: RefCell<Option<Predecessor>>,
}

impl Service {
    /// Takes up which backends are taken out, and what another process of this balancer knows; answers calls if
    /// there is an address for them.
    pub async fn start(runtime: &Rc<Runtime>, calls: Option<TcpListener>) -> Self {
        let node = runtime.process_config();
        let kept = Rc::new(maintenance_store::MaintenanceStore::open(&node.name));
        if let Some(outs) = kept.read() {
            let out: Vec<&str> = outs.names().collect();
            tracing::info!(out = out.join(" "), "stream servers that are taken out");
            runtime.merge_maintenance(&outs);
        }
        // Only where the platform holds the clients' socket can two processes take clients one after the other.
        let place = kept.beside("sock").filter(|_| node.accept_fd.is_some());
        let succession = place.map(|path| HotRestart::new(runtime.clone(), &path));
        let predecessor = match &succession {
            Some(succession) => succession.meet().await,
            None => None,
        };
        // The one before takes them until this one is ready.
        runtime.lifecycle.set_accepting(predecessor.is_none());
        if let Some(listener) = calls {
            spawn_local(server::run(runtime.clone(), listener, kept));
            spawn_local(lameduck(runtime.clone()));
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
    pub async fn takes_clients(&self, runtime: &Runtime) {
        let predecessor = self.predecessor.take();
        if let Some(succession) = &self.succession {
            succession.ready(predecessor).await;
        }
        runtime.lifecycle.set_accepting(true);
    }

    /// This process is told to leave.
    pub fn leave(&self) {
        if let Some(succession) = &self.succession {
            succession.hear(Input::Shutdown);
        }
    }
}

/// Empties the balancer whenever the staff says so, until it says that it may take clients again.
async fn lameduck(runtime: Rc<Runtime>) {
    let mut on = runtime.lifecycle.subscribe_lameduck();
    loop {
        if on.wait_for(|on| *on).await.is_err() {
            return;
        }
        let now = runtime.now();
        let pace = DrainSchedule {
            start: now + ARRIVALS,
            deadline: now + EMPTY_BY,
        };
        tracing::info!(
            standing = runtime.established_requests().len(),
            "is emptied"
        );
        let mut mover = Migrator::new(runtime.clone(), pace);
        while *on.borrow_and_update() {
            mover.look(TICK);
            sleep(TICK).await;
        }
        tracing::info!(
            standing = runtime.established_requests().len(),
            "takes clients again"
        );
    }
}
