//! Graceful shutdown after SIGTERM: serves clients that still arrive, migrates established connections or transfers
//! them to the successor, sends every request its final response, and lets the process exit.

use super::hot_restart::HotRestart;
use super::migration::{MIGRATION_INTERVAL, Migrator};
use crate::api::{Event, RequestId};
use crate::invariants;
use crate::runtime::{Command, Runtime, duration};
use spanspur_admin::drain_schedule::DrainSchedule;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which new clients are awaited and none is migrated. Clients may arrive for up to 0.4 s after SIGTERM, and
/// one that is migrated earlier could be sent back here.
const ARRIVAL_TIME: Duration = Duration::from_millis(450);
/// Migrations are spread over this time, so that the clients do not reconnect to the other balancers all at once.
const MIGRATION_TIME: Duration = Duration::from_millis(1000);
/// Cap on the longest client wait. SIGKILL follows SIGTERM no earlier than the capped wait plus [`KILL_GRACE`].
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(3);
/// Grace period before SIGKILL, added to the longest client wait.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which the final responses are sent.
const FINAL_RESPONSES_BEFORE_KILL: Duration = Duration::from_millis(450);
/// Time before SIGKILL at which the process stops waiting for requests.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(250);
/// Time for clients that have received their final response to close their side. Exiting with unread bytes would reset
/// the connection.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Consecutive ticks without a client after which none is expected any more. At the first such tick, a client may still
/// be waiting in the accept queue.
const IDLE_TICKS: u32 = 2;

/// Shuts down gracefully; returns when the process may exit.
pub async fn run(runtime: Rc<Runtime>, hot_restart: Option<&HotRestart>) {
    runtime.lifecycle.set_shutting_down();
    if let Some(hot_restart) = hot_restart {
        hot_restart.begin_shutdown();
    }
    tracing::info!(
        established = runtime.established_requests().len(),
        "graceful shutdown"
    );
    let mut shutdown = GracefulShutdown::new(runtime);
    shutdown.finish_requests().await;
    shutdown.wait_for_clients_to_close().await;
    if shutdown.not_migrated > 0 {
        invariants::count("established connections at the exit");
    }
}

struct GracefulShutdown {
    runtime: Rc<Runtime>,
    arrivals_end: Instant,
    /// The earliest time at which SIGKILL may arrive.
    kill: Instant,
    migrator: Migrator,
    /// Established connections that had not been told to migrate at the last tick.
    not_migrated: usize,
    /// Requests whose connection has been offered to the successor.
    offered: HashSet<RequestId>,
    idle_ticks: u32,
}

impl GracefulShutdown {
    fn new(runtime: Rc<Runtime>) -> Self {
        let start = Instant::now();
        let longest_wait = duration(runtime.process_config().max_client_wait);
        let migration_start = runtime.now() + ARRIVAL_TIME.as_secs_f64();
        let schedule = DrainSchedule {
            start: migration_start,
            deadline: migration_start + MIGRATION_TIME.as_secs_f64(),
        };
        Self {
            arrivals_end: start + ARRIVAL_TIME,
            kill: start + longest_wait.min(MAX_CLIENT_WAIT) + KILL_GRACE,
            migrator: Migrator::new(runtime.clone(), schedule),
            not_migrated: 0,
            offered: HashSet::new(),
            idle_ticks: 0,
            runtime,
        }
    }

    /// Serves, migrates and transfers connections until no client is left or SIGKILL is near.
    async fn finish_requests(&mut self) {
        while Instant::now() < self.kill - EXIT_BEFORE_KILL {
            sleep(MIGRATION_INTERVAL).await;
            let now = Instant::now();
            if self.runtime.peer_processes.has_successor() {
                // The successor takes over the established connections, and no client arrives here any more.
                self.transfer_established();
            } else if now < self.arrivals_end {
                continue;
            } else {
                self.not_migrated = self.migrator.migrate_due();
            }
            if self.is_finished() {
                return;
            }
            if now >= self.kill - FINAL_RESPONSES_BEFORE_KILL {
                self.send_final_responses();
            }
        }
    }

    fn transfer_established(&mut self) {
        for id in self.runtime.established_requests() {
            if self.offered.insert(id) {
                self.runtime.send_command(id, Command::Transfer);
            }
        }
    }

    /// Returns whether no client is left and none can arrive.
    fn is_finished(&mut self) -> bool {
        let idle = self.is_idle();
        self.idle_ticks = if idle { self.idle_ticks + 1 } else { 0 };
        // Once a successor accepts the clients, this process accepts none.
        self.idle_ticks >= IDLE_TICKS || (idle && self.runtime.peer_processes.has_successor())
    }

    /// Returns whether no client is served. A client that has not sent its request yet still has time to do so and must
    /// get a response.
    fn is_idle(&self) -> bool {
        self.runtime.established_requests().is_empty()
            && self.runtime.pending_requests().is_empty()
            && self.runtime.lifecycle.clients_without_request.count() == 0
    }

    /// Ends all pending requests. The balancer rejects a request if a retry by the client does no harm, and fails it
    /// otherwise.
    fn send_final_responses(&self) {
        for id in self.runtime.pending_requests() {
            self.runtime.handle_event(Event::ShutdownDeadline(id));
        }
        self.runtime.lifecycle.set_exiting();
    }

    async fn wait_for_clients_to_close(&self) {
        let clients = &self.runtime.lifecycle.clients_with_pending_close;
        let end = (Instant::now() + CLOSE_TIME).min(self.kill - EXIT_BEFORE_KILL / 2);
        if clients.count() > 0 {
            tracing::info!(
                clients = clients.count(),
                "waiting for answered clients to close"
            );
        }
        while clients.count() > 0 && Instant::now() < end {
            sleep(MIGRATION_INTERVAL).await;
        }
    }
}
