//! Migrates established connections gradually, so that their clients do not reconnect to the other balancers at once.

use crate::api::RequestId;
use crate::runtime::{Command, Runtime};
use spanspur_admin::drain_schedule::DrainSchedule;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Interval between calls of [`Migrator::migrate_due`].
pub const MIGRATION_INTERVAL: Duration = Duration::from_millis(20);

/// Migrates each established connection once, according to a schedule.
pub struct Migrator {
    runtime: Rc<Runtime>,
    schedule: DrainSchedule,
    migrated: HashSet<RequestId>,
}

impl Migrator {
    /// Creates a migrator that has not migrated any connection.
    pub fn new(runtime: Rc<Runtime>, schedule: DrainSchedule) -> Self {
        let migrated = HashSet::new();
        Self {
            runtime,
            schedule,
            migrated,
        }
    }

    /// Migrates the connections that are due; to be called every [`MIGRATION_INTERVAL`]. Returns the number of
    /// established connections that are still to be migrated.
    pub fn migrate_due(&mut self) -> usize {
        let mut remaining = self.runtime.established_requests();
        remaining.retain(|id| !self.migrated.contains(id));
        let count = remaining.len();
        let interval = MIGRATION_INTERVAL.as_secs_f64();
        let due = self.schedule.due(self.runtime.now(), interval, count);
        for id in remaining.into_iter().take(due) {
            self.migrated.insert(id);
            self.runtime.send_command(id, Command::Migrate);
        }
        count - due
    }
}
