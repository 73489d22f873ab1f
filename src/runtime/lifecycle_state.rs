//! The lifecycle state of the process, and counters of the clients that its shutdown waits for.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Counts clients that are in the same state, and that shutdown waits for.
#[derive(Default)]
pub struct ClientCounter(Rc<Cell<usize>>);

impl ClientCounter {
    /// The number of clients currently counted.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one client until the guard is dropped.
    pub fn count_client(&self) -> CountedClient {
        self.0.set(self.0.get() + 1);
        CountedClient(self.0.clone())
    }
}

/// Counts one client until it is dropped.
pub struct CountedClient(Rc<Cell<usize>>);

impl Drop for CountedClient {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The lifecycle state of the process: flags that tasks set and others read or subscribe to, and counters of the
/// clients that shutdown waits for.
pub struct LifecycleState {
    discovery_answered: Cell<bool>,
    accepting: watch::Sender<bool>,
    draining: watch::Sender<bool>,
    draining_requested_here: Cell<bool>,
    shutting_down: Cell<bool>,
    exiting: watch::Sender<bool>,
    /// Clients whose request has not been received yet.
    pub clients_without_request: ClientCounter,
    /// Clients with a final response that have not closed their side yet.
    pub clients_with_pending_close: ClientCounter,
}

impl Default for LifecycleState {
    fn default() -> Self {
        Self {
            discovery_answered: Cell::new(false),
            accepting: watch::Sender::new(true),
            draining: watch::Sender::new(false),
            draining_requested_here: Cell::new(false),
            shutting_down: Cell::new(false),
            exiting: watch::Sender::new(false),
            clients_without_request: ClientCounter::default(),
            clients_with_pending_close: ClientCounter::default(),
        }
    }
}

impl LifecycleState {
    /// Records that this process has received an endpoint list, from discovery, its agent or the distribution.
    pub fn set_discovery_answered(&self) {
        self.discovery_answered.set(true);
    }

    /// Whether this process has received an endpoint list, from discovery, its agent or the distribution.
    pub fn has_discovery_answered(&self) -> bool {
        self.discovery_answered.get()
    }

    /// Sets whether clients are accepted.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Whether clients are accepted.
    pub fn is_accepting(&self) -> bool {
        *self.accepting.borrow()
    }

    /// Subscribes to changes of whether clients are accepted.
    pub fn subscribe_accepting(&self) -> watch::Receiver<bool> {
        self.accepting.subscribe()
    }

    /// Sets or clears draining mode, in which front proxies are told not to send clients. Returns whether the mode has
    /// changed.
    pub fn set_draining(&self, draining: bool) -> bool {
        let replace = |current: &mut bool| std::mem::replace(current, draining) != draining;
        self.draining.send_if_modified(replace)
    }

    /// Whether the balancer is in draining mode.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Subscribes to changes of draining mode.
    pub fn subscribe_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Sets whether draining mode was requested at this process. A process that has taken over draining mode from its
    /// predecessor still reports that it is ready.
    pub fn set_draining_requested_here(&self, requested: bool) {
        self.draining_requested_here.set(requested);
    }

    /// Whether draining mode was requested at this process.
    pub fn is_draining_requested_here(&self) -> bool {
        self.draining_requested_here.get()
    }

    /// Records that the process was asked to stop.
    pub fn set_shutting_down(&self) {
        self.shutting_down.set(true);
    }

    /// Whether the process was asked to stop.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Records that the process is about to exit. Clients without a request get their response now.
    pub fn set_exiting(&self) {
        self.exiting.send_replace(true);
    }

    /// Whether the process is about to exit.
    pub fn is_exiting(&self) -> bool {
        *self.exiting.borrow()
    }

    /// Waits until the process is about to exit.
    pub async fn wait_until_exiting(&self) {
        // The sender lives as long as this state.
        let _ = self.exiting.subscribe().wait_for(|exiting| *exiting).await;
    }
}
