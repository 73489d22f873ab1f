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
    /// The connections that have been told to migrate and have not ended yet.
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

    /// Migrates the connections that are due; to be called every [`MIGRATION_INTERVAL`].
    pub fn migrate_due(&mut self) {
        let remaining = self.not_migrated();
        let interval = MIGRATION_INTERVAL.as_secs_f64();
        let due = self
            .schedule
            .due(self.runtime.now(), interval, remaining.len());
        self.migrate(&remaining[..due]);
    }

    /// Migrates all connections that are established now, whatever the schedule.
    pub fn migrate_all(&mut self) {
        let remaining = self.not_migrated();
        self.migrate(&remaining);
    }

    /// The number of established connections that have not been told to migrate.
    pub fn remaining(&mut self) -> usize {
        self.not_migrated().len()
    }

    /// Returns the established connections that have not been told to migrate, and forgets those that have ended: clients
    /// may come and go for as long as a drain lasts, and an id may come again.
    fn not_migrated(&mut self) -> Vec<RequestId> {
        let established: HashSet<RequestId> =
            self.runtime.established_requests().into_iter().collect();
        self.migrated.retain(|id| established.contains(id));
        established.difference(&self.migrated).copied().collect()
    }

    fn migrate(&mut self, connections: &[RequestId]) {
        for id in connections {
            self.migrated.insert(*id);
            self.runtime.send_command(*id, Command::Migrate);
        }
    }
}
