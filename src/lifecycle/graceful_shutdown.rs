//! SIGTERM: serve what still arrives, answer all, move every standing connection, and leave.

use crate::admin::Service;
use crate::api::{Event, RequestId};
use crate::invariants;
use crate::runtime::{Command, Runtime, duration};
use spanspur_admin::drain_schedule::DrainSchedule;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// New connections arrive for up to 0.4 s more; a client moved before that could come back here.
const ARRIVALS: Duration = Duration::from_millis(450);
/// The clients are spread over this time, so that they do not fall on the other balancers in one wave.
const SPREAD: Duration = Duration::from_millis(1000);
/// SIGKILL comes no earlier than the longest wait, counted as this at most, and a grace after SIGTERM.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(700);
/// Before that, the last answers are given and written.
const ANSWER_BEFORE: Duration = Duration::from_millis(450);
const EXIT_BEFORE: Duration = Duration::from_millis(250);
/// Who has its answer gets this long to end its side: an exit over unread bytes resets the connection.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// How often the rest is looked at.
const TICK: Duration = Duration::from_millis(20);
/// Nothing is left once so many looks in a row have found nothing: a client may wait to be accepted at the first.
const EMPTY_LOOKS: u32 = 2;

/// Moves what stands, each connection once, at a pace.
pub struct Migrator {
    runtime: Rc<Runtime>,
    pace: DrainSchedule,
    moved: HashSet<RequestId>,
}

impl Migrator {
    /// Nothing is moved yet.
    pub fn new(runtime: Rc<Runtime>, pace: DrainSchedule) -> Self {
        let moved = HashSet::new();
        Self {
            runtime,
            pace,
            moved,
        }
    }

    /// Moves what is due where the next look comes after `tick`; returns how many stand that were not told.
    pub fn look(&mut self, tick: Duration) -> usize {
        let mut standing = self.runtime.established_requests();
        standing.retain(|id| !self.moved.contains(id));
        let left = standing.len();
        let count = self.pace.due(self.runtime.now(), tick.as_secs_f64(), left);
        for id in standing.into_iter().take(count) {
            self.moved.insert(id);
            self.runtime.send_command(id, Command::Migrate);
        }
        left - count
    }
}

/// Empties the process; returns when it may exit.
pub async fn run(runtime: Rc<Runtime>, service: &Service) {
    let longest_wait = duration(runtime.process_config().longest_wait);
    runtime.lifecycle.set_shutting_down();
    service.leave();
    tracing::info!(
        standing = runtime.established_requests().len(),
        "told to stop"
    );
    let start = Instant::now();
    let kill = start + longest_wait.min(LONGEST_WAIT) + GRACE;
    let from = runtime.now() + ARRIVALS.as_secs_f64();
    let until = from + SPREAD.as_secs_f64();
    let mut mover = Migrator::new(
        runtime.clone(),
        DrainSchedule {
            start: from,
            deadline: until,
        },
    );
    let mut left = 0;
    let mut offered = HashSet::new();
    let mut empty = 0;
    while Instant::now() < kill - EXIT_BEFORE {
        sleep(TICK).await;
        let now = Instant::now();
        if runtime.peer_processes.has_successor() {
            // Another process goes on with what stands, and nobody arrives here any more.
            for id in runtime.established_requests() {
                if offered.insert(id) {
                    runtime.send_command(id, Command::Transfer);
                }
            }
        } else if now < start + ARRIVALS {
            continue;
        } else {
            left = mover.look(TICK);
        }
        let waiting = runtime.pending_requests();
        // One that has not said yet what it wants may take its time, and is owed an answer then.
        let none = runtime.established_requests().is_empty()
            && waiting.is_empty()
            && runtime.lifecycle.clients_without_request.count() == 0;
        empty = if none { empty + 1 } else { 0 };
        // Where another process takes the clients, nobody is accepted here.
        if empty >= EMPTY_LOOKS || (none && runtime.peer_processes.has_successor()) {
            break;
        }
        if now >= kill - ANSWER_BEFORE {
            // Refused or failed, by what may have run: the module knows.
            let leave = |id| runtime.handle_event(Event::ShutdownDeadline(id));
            waiting.into_iter().for_each(leave);
            runtime.lifecycle.set_exiting();
        }
    }
    let end = (Instant::now() + LAST_WORDS).min(kill - EXIT_BEFORE / 2);
    if runtime.lifecycle.clients_with_pending_close.count() > 0 {
        tracing::info!(
            clients = runtime.lifecycle.clients_with_pending_close.count(),
            "waits for clients that have their answer to end"
        );
    }
    while runtime.lifecycle.clients_with_pending_close.count() > 0 && Instant::now() < end {
        sleep(TICK).await;
    }
    if left > 0 {
        invariants::count("connections that stood at the exit");
    }
}
