//! The stream servers that are or were under maintenance. This state survives updates of the endpoint list, reloads and
//! restarts of the process. States of several processes of a balancer can be merged: the last change to each server
//! wins.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Limit on servers whose last change is kept.
pub const MAX_ENTRIES: usize = 4096;
/// Limit on ids of listed servers that are kept.
const MAX_LISTED: usize = 65_536;

/// The last change to one stream server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
// The name appears in error texts about an invalid file.
#[serde(rename = "Entry")]
pub struct MaintenanceEntry {
    /// Whether the server is under maintenance.
    #[serde(rename = "out")]
    pub under_maintenance: bool,
    /// When the server was last taken out for maintenance, Unix time.
    #[serde(rename = "taken")]
    pub detached_at: Time,
    /// When the change was made, Unix time.
    #[serde(rename = "at")]
    pub changed_at: Time,
}

/// State of a listed endpoint that overrides what the endpoint list says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOverride {
    /// Whether the endpoint counts as draining, whatever the list says.
    pub draining: bool,
    /// The time at which the endpoint counts as started, Unix time.
    pub started: Time,
}

/// Why a change is rejected. The text is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// No endpoint list has ever contained the server.
    #[error("no list has ever named this stream server")]
    NeverListed,
    /// [`MAX_ENTRIES`] servers are already under maintenance.
    #[error("too many stream servers are out")]
    TooMany,
}

/// A server with its last change.
#[derive(Clone, Copy, Debug)]
struct MaintainedServer {
    id: u64,
    entry: MaintenanceEntry,
}

/// The last change to each server that is or was under maintenance, and the ids of the servers that endpoint lists have
/// contained. An `id` is the hash that identifies a server in the balancer.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceSet {
    by_name: BTreeMap<String, MaintainedServer>,
    name_by_id: BTreeMap<u64, String>,
    listed: BTreeSet<u64>,
}

impl MaintenanceSet {
    /// Records that an endpoint list contains this server; ignored once the limit on recorded ids is reached.
    pub fn record_listed(&mut self, id: u64) {
        if self.listed.len() < MAX_LISTED {
            self.listed.insert(id);
        }
    }

    /// Takes a server out for maintenance. Returns `Ok(false)` if it is already under maintenance. If there is no space
    /// for another server, the one that was put back longest ago is removed.
    ///
    /// # Errors
    /// If no endpoint list has contained the server, or too many servers are under maintenance.
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

    /// Puts a server back into service. Returns `Ok(false)` if it is not under maintenance.
    ///
    /// # Errors
    /// If no endpoint list has contained the server.
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

    /// Returns the override of a listed endpoint that started at `started`. A server that was put back is assumed to
    /// have restarted during maintenance, but the list may still contain the old start time. Until the list contains
    /// the new one, or until the slow start window after the return has passed, the server counts as started at its
    /// return.
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

    /// Returns whether the server is under maintenance.
    pub fn is_under_maintenance(&self, id: u64) -> bool {
        self.entry(id).is_some_and(|entry| entry.under_maintenance)
    }

    /// Returns the names of the servers under maintenance.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let servers = self.by_name.iter();
        let under_maintenance = servers.filter(|(_, server)| server.entry.under_maintenance);
        under_maintenance.map(|(name, _)| name.as_str())
    }

    /// Merges the state of another process or of a file: the last change to each server wins. Further servers are
    /// ignored once [`MAX_ENTRIES`] are kept. Returns whether a change was added or replaced.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (name, MaintainedServer { id, entry }) in &other.by_name {
            let current = self.entry(*id);
            let newer = current.is_none_or(|current| current.changed_at < entry.changed_at);
            let has_space = self.by_name.len() < MAX_ENTRIES || self.by_name.contains_key(name);
            if newer && has_space {
                self.insert(name, *id, *entry);
                changed = true;
            }
        }
        other.listed.iter().for_each(|id| self.record_listed(*id));
        changed
    }

    /// Returns all servers with their last change, ordered by name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&str, u64, MaintenanceEntry)> {
        let servers = self.by_name.iter();
        servers.map(|(name, server)| (name.as_str(), server.id, server.entry))
    }

    /// Returns the ids of all servers that an endpoint list has contained, in ascending order.
    pub(crate) fn listed(&self) -> impl Iterator<Item = u64> {
        self.listed.iter().copied()
    }

    pub(crate) fn insert(&mut self, name: &str, id: u64, entry: MaintenanceEntry) {
        self.name_by_id.insert(id, name.to_owned());
        let server = MaintainedServer { id, entry };
        self.by_name.insert(name.to_owned(), server);
    }

    fn check_known(&self, id: u64) -> Result<(), MaintenanceError> {
        let known = self.listed.contains(&id) || self.name_by_id.contains_key(&id);
        known.then_some(()).ok_or(MaintenanceError::NeverListed)
    }

    fn entry(&self, id: u64) -> Option<MaintenanceEntry> {
        let name = self.name_by_id.get(&id)?;
        self.by_name.get(name).map(|server| server.entry)
    }

    /// Makes space by removing the server that was put back longest ago, whose entry matters least.
    fn remove_oldest_attached(&mut self) -> Result<(), MaintenanceError> {
        let servers = self.by_name.iter();
        let attached = servers.filter(|(_, server)| !server.entry.under_maintenance);
        let oldest = attached.min_by(|a, b| a.1.entry.changed_at.total_cmp(&b.1.entry.changed_at));
        let name = oldest.map(|(name, _)| name.clone());
        let name = name.ok_or(MaintenanceError::TooMany)?;
        if let Some(server) = self.by_name.remove(&name) {
            self.name_by_id.remove(&server.id);
        }
        Ok(())
    }
}
