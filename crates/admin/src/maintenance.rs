//! The stream servers under maintenance, and those that came back from it: over updates of the endpoint list, reloads
//! and restarts of the process. Merged with what another process of the same balancer knows: the last change to each
//! server counts.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The most servers whose last change is kept.
pub const MAX_ENTRIES: usize = 4096;
/// The most ids of listed servers that are kept.
const MAX_LISTED: usize = 65_536;

/// The last change to one stream server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
// The name stands in error texts about a damaged file.
#[serde(rename = "Entry")]
pub struct MaintenanceEntry {
    /// Whether the server is under maintenance.
    #[serde(rename = "out")]
    pub under_maintenance: bool,
    /// When it was last taken out, Unix time.
    #[serde(rename = "taken")]
    pub detached_at: Time,
    /// When this change was made, Unix time.
    #[serde(rename = "at")]
    pub changed_at: Time,
}

/// How a listed endpoint differs from what its list says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOverride {
    /// It counts as draining, whatever the list says.
    pub draining: bool,
    /// When it counts as started, Unix time.
    pub started: Time,
}

/// Why a change is rejected. The text is for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// No endpoint list has ever named the server.
    #[error("no list has ever named this stream server")]
    NeverListed,
    /// [`MAX_ENTRIES`] servers are under maintenance.
    #[error("too many stream servers are out")]
    TooMany,
}

/// A server with its last change.
#[derive(Clone, Copy, Debug)]
struct MaintainedServer {
    id: u64,
    entry: MaintenanceEntry,
}

/// The servers under maintenance. An `id` is the hash by which the balancer knows a server.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceSet {
    by_name: BTreeMap<String, MaintainedServer>,
    names: BTreeMap<u64, String>,
    listed: BTreeSet<u64>,
}

impl MaintenanceSet {
    /// Records that an endpoint list has named this server.
    pub fn record_listed(&mut self, id: u64) {
        if self.listed.len() < MAX_LISTED {
            self.listed.insert(id);
        }
    }

    /// Takes a server out for maintenance. `Ok(false)` if it is out already.
    pub fn detach(&mut self, name: &str, id: u64, now: Time) -> Result<bool, MaintenanceError> {
        self.check_known(id)?;
        if self.is_under_maintenance(id) {
            return Ok(false);
        }
        if self.by_name.len() >= MAX_ENTRIES && !self.by_name.contains_key(name) {
            self.remove_oldest_attached()?;
        }
        let entry = MaintenanceEntry {
            under_maintenance: true,
            detached_at: now,
            changed_at: now,
        };
        self.insert(name, id, entry);
        Ok(true)
    }

    /// Puts a server back into service. `Ok(false)` if it is not under maintenance.
    pub fn attach(&mut self, name: &str, id: u64, now: Time) -> Result<bool, MaintenanceError> {
        self.check_known(id)?;
        let Some(entry) = self.entry(id).filter(|entry| entry.under_maintenance) else {
            return Ok(false);
        };
        let entry = MaintenanceEntry {
            under_maintenance: false,
            changed_at: now,
            ..entry
        };
        self.insert(name, id, entry);
        Ok(true)
    }

    /// The override of a listed endpoint that started at `started`. A server that was put back has restarted meanwhile,
    /// but its list may not name the new start yet: until it does, or until the server is warm for sure, it counts as
    /// started when it came back.
    pub fn override_for(
        &self,
        id: u64,
        started: Time,
        now: Time,
        slow_start_window: Time,
    ) -> EndpointOverride {
        let entry = self.entry(id);
        let draining = entry.is_some_and(|entry| entry.under_maintenance);
        let started = match entry {
            Some(entry)
                if !draining
                    && started < entry.detached_at
                    && now < entry.changed_at + slow_start_window =>
            {
                entry.changed_at
            }
            _ => started,
        };
        EndpointOverride { draining, started }
    }

    /// Whether the server is under maintenance.
    pub fn is_under_maintenance(&self, id: u64) -> bool {
        self.entry(id).is_some_and(|entry| entry.under_maintenance)
    }

    /// The names of the servers under maintenance.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let servers = self.by_name.iter();
        let under_maintenance = servers.filter(|(_, server)| server.entry.under_maintenance);
        under_maintenance.map(|(name, _)| name.as_str())
    }

    /// Merges in what another process, or its file, knows: the last change to each server counts. Whether anything
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (name, MaintainedServer { id, entry }) in &other.by_name {
            let own = self.entry(*id);
            let newer = own.is_none_or(|own| own.changed_at < entry.changed_at);
            let has_space = self.by_name.len() < MAX_ENTRIES || self.by_name.contains_key(name);
            if newer && has_space {
                self.insert(name, *id, *entry);
                changed = true;
            }
        }
        other.listed.iter().for_each(|id| self.record_listed(*id));
        changed
    }

    /// All servers with their last change, by name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&str, u64, MaintenanceEntry)> {
        let servers = self.by_name.iter();
        servers.map(|(name, server)| (name.as_str(), server.id, server.entry))
    }

    /// The ids of all servers that a list has named, in order.
    pub(crate) fn listed(&self) -> impl Iterator<Item = u64> {
        self.listed.iter().copied()
    }

    pub(crate) fn insert(&mut self, name: &str, id: u64, entry: MaintenanceEntry) {
        self.names.insert(id, name.to_owned());
        let server = MaintainedServer { id, entry };
        self.by_name.insert(name.to_owned(), server);
    }

    fn check_known(&self, id: u64) -> Result<(), MaintenanceError> {
        let known = self.listed.contains(&id) || self.names.contains_key(&id);
        known.then_some(()).ok_or(MaintenanceError::NeverListed)
    }

    fn entry(&self, id: u64) -> Option<MaintenanceEntry> {
        let name = self.names.get(&id)?;
        self.by_name.get(name).map(|server| server.entry)
    }

    /// Makes space: the server that came back longest ago matters least.
    fn remove_oldest_attached(&mut self) -> Result<(), MaintenanceError> {
        let servers = self.by_name.iter();
        let attached = servers.filter(|(_, server)| !server.entry.under_maintenance);
        let oldest = attached.min_by(|a, b| a.1.entry.changed_at.total_cmp(&b.1.entry.changed_at));
        let name = oldest.map(|(name, _)| name.clone());
        let name = name.ok_or(MaintenanceError::TooMany)?;
        if let Some(server) = self.by_name.remove(&name) {
            self.names.remove(&server.id);
        }
        Ok(())
    }
}
