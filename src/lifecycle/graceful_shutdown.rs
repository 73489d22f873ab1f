//! Graceful shutdown after SIGTERM: serves clients that still arrive, migrates established connections or transfers
//! them to the successor, sends every request its final response, and lets the process exit.

use super::hot_restart::HotRestart;
use super::migration::{MIGRATION_INTERVAL, Migrator};
use super::shutdown_schedule::ShutdownSchedule;
use crate::api::{Event, RequestId};
use crate::invariants;
use crate::runtime::{Command, Runtime, duration};
use crate::transfer::ConnectionSender;
use spanspur_admin::drain_schedule::DrainSchedule;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time for clients that have received their last line to close their side.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Consecutive ticks without a client after which none is expected any more. At the first such tick, a client may still
/// be waiting in the accept queue.
const IDLE_TICKS: u32 = 2;

/// Shuts down gracefully; returns when the process may exit.
pub async fn run(runtime: Rc<Runtime>, hot_restart: Option<&HotRestart>) {
    let longest_wait = duration(runtime.process_config().max_client_wait);
    let schedule = ShutdownSchedule::new(longest_wait);
    runtime.lifecycle.set_shutting_down();
    if let Some(hot_restart) = hot_restart {
        hot_restart.begin_shutdown();
    }
    tracing::info!(
        established = runtime.established_requests().len(),
        migrate_within_s = schedule.migration_deadline.as_secs_f64(),
        exit_within_s = schedule.latest_exit.as_secs_f64(),
        "graceful shutdown"
    );
    let mut shutdown = GracefulShutdown::new(runtime, schedule);
    shutdown.finish_requests().await;
    shutdown.wait_for_clients_to_close().await;
    if shutdown.migrator.remaining() > 0 {
        invariants::count("established connections at the exit");
    }
}

struct GracefulShutdown {
    runtime: Rc<Runtime>,
    start: Instant,
    schedule: ShutdownSchedule,
    /// Whether the platform holds the listening socket, so that it stays open after the exit.
    listener_is_shared: bool,
    migrator: Migrator,
    idle_ticks: u32,
}

impl GracefulShutdown {
    fn new(runtime: Rc<Runtime>, schedule: ShutdownSchedule) -> Self {
        let now = runtime.now();
        let migrations = DrainSchedule {
            start: now + schedule.arrivals_end.as_secs_f64(),
            deadline: now + schedule.migration_deadline.as_secs_f64(),
        };
        Self {
            start: Instant::now(),
            schedule,
            listener_is_shared: runtime.process_config().accept_fd.is_some(),
            migrator: Migrator::new(runtime.clone(), migrations),
            idle_ticks: 0,
            runtime,
        }
    }

    /// Whether this step of the schedule is due.
    fn is_due(&self, step: Duration) -> bool {
        self.start.elapsed() >= step
    }

    /// Serves, migrates and transfers connections until no client is left or the exit is due.
    async fn finish_requests(&mut self) {
        while !self.is_due(self.schedule.exit) {
            sleep(MIGRATION_INTERVAL).await;
            if self.is_due(self.schedule.final_responses) {
                self.end_everything();
            } else if let Some(successor) = self.runtime.peer_processes.successor() {
                // The successor takes over the established connections, and no client arrives here any more.
                self.transfer_established(&successor).await;
            } else {
                self.migrator.migrate_due();
            }
            if self.is_finished() {
                return;
            }
        }
    }

    /// Transfers the established connections, as many at a time as there are slots, until all have been tried once. One
    /// that the successor refuses is tried again at the next call.
    async fn transfer_established(&self, successor: &ConnectionSender) {
        let slots = &successor.established_slots;
        let mut remaining: VecDeque<RequestId> = self.runtime.established_requests().into();
        loop {
            for id in remaining.drain(..slots.free().min(remaining.len())) {
                self.runtime.send_command(id, Command::Transfer);
            }
            if remaining.is_empty() || self.is_due(self.schedule.final_responses) {
                return;
            }
            // Bounded, as the successor may hang.
            if timeout(MIGRATION_INTERVAL, slots.released()).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether no client is left and none can arrive.
    fn is_finished(&mut self) -> bool {
        let idle = self.is_idle();
        // Once a successor accepts the clients, this process accepts none.
        if self.runtime.peer_processes.has_successor() {
            return idle;
        }
        let is_idle_tick = idle && self.is_due(self.schedule.arrivals_end);
        self.idle_ticks = if is_idle_tick { self.idle_ticks + 1 } else { 0 };
        self.idle_ticks >= IDLE_TICKS
    }

    /// Returns whether no client is served. A client that has not sent its request yet still has time to do so and must
    /// get a response.
    fn is_idle(&self) -> bool {
        self.runtime.established_requests().is_empty()
            && self.runtime.pending_requests().is_empty()
            && self.runtime.lifecycle.clients_without_request.count() == 0
    }

    /// Sends every client that is still here its last line: MOVE on established connections, else a final response. The
    /// balancer rejects a pending request if a retry by the client does no harm, and fails it otherwise.
    fn end_everything(&mut self) {
        for id in self.runtime.pending_requests() {
            self.runtime.handle_event(Event::ShutdownDeadline(id));
        }
        self.runtime.lifecycle.set_exiting();
        if self.listener_is_shared {
            // Clients that arrive now wait in the queue of the listening socket for the next process.
            self.runtime.lifecycle.set_accepting(false);
        }
        if let Some(successor) = self.runtime.peer_processes.successor() {
            successor.stop_transfers();
        }
        self.migrator.migrate_all();
    }

    /// Waits for the clients that have received their last line to close their side, and ends those that are found only
    /// now. Exiting with unread bytes would reset a connection.
    async fn wait_for_clients_to_close(&mut self) {
        let clients = self.connected_clients();
        if clients > 0 {
            tracing::info!(clients, "waiting for answered clients to close");
        }
        let end = self.start.elapsed() + CLOSE_TIME;
        let end = end.min(self.schedule.latest_exit);
        while self.connected_clients() > 0 && !self.is_due(end) {
            self.end_everything();
            sleep(MIGRATION_INTERVAL).await;
        }
    }

    /// The number of clients that are still connected.
    fn connected_clients(&self) -> usize {
        let lifecycle = &self.runtime.lifecycle;
        lifecycle.clients_with_pending_close.count()
            + lifecycle.clients_without_request.count()
            + self.runtime.established_requests().len()
            + self.runtime.pending_requests().len()
    }
}
