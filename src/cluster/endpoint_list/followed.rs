//! The list at a balancer outside the cluster, as received from the sources that it follows.

use super::{Confirmation, SharedEndpointList};
use crate::cluster::gossip_entries::EndpointEntry;
use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use spanspur_leases::{GossipEntry, Millis};
use std::time::Duration;
use tokio::time::Instant;

impl SharedEndpointList {
    /// Applies entries received from the sources; `age` is the maximum age of their list, in milliseconds. Returns the
    /// whole list when it becomes trusted, and only changes after that.
    ///
    /// The followed list is trusted while it is complete, recent enough, and not behind what discovery itself has sent
    /// this balancer: a source that was cut off for an hour must not undo newer changes. If discovery has never answered
    /// and still does not, an old list is better than none and is applied without trust.
    pub fn apply_followed(
        &self,
        entries: &[GossipEntry],
        age: Option<Millis>,
    ) -> Option<EndpointList> {
        let was_trusted = self.confirmed_until().is_some();
        let updated = self.merge_followed(entries);
        self.confirm_followed(age);
        let is_trusted = self.confirmed_until().is_some();
        if is_trusted && !was_trusted {
            return Some(self.adopt_followed());
        }
        let changes = match (is_trusted, self.is_discovery_unreachable.get()) {
            (true, _) => updated,
            (false, true) => self.differing_followed(),
            (false, false) => Vec::new(),
        };
        if changes.is_empty() {
            return None;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.extend(changes.iter().map(|entry| (entry.id, entry.clone())));
        Some(EndpointList {
            revision: self.confirmed_revision().unwrap_or(0),
            complete: false,
            endpoints: to_listed(changes.iter()),
            unusable: None,
        })
    }

    fn merge_followed(&self, entries: &[GossipEntry]) -> Vec<EndpointEntry> {
        let mut followed = self.followed.borrow_mut();
        let entries = entries.iter();
        entries
            .filter_map(|entry| followed.apply_entry(entry))
            .collect()
    }

    /// Confirms the followed list as of the time that its age gives, if it may be trusted.
    fn confirm_followed(&self, age: Option<Millis>) {
        let mut followed = self.followed.borrow_mut();
        let (Some(summary), Some(age)) = (followed.complete_summary(), age) else {
            return;
        };
        let known_revision = self.discovery_revision.get();
        if known_revision.is_some_and(|known| summary.revision < known) {
            return;
        }
        if followed.endpoints().all(EndpointEntry::is_removed) {
            return;
        }
        let Some(as_of) = Instant::now().checked_sub(Duration::from_millis(age)) else {
            return;
        };
        let last = self.confirmation.get();
        if last.is_none_or(|last| last.at < as_of) {
            self.confirmation.set(Some(Confirmation {
                revision: summary.revision,
                at: as_of,
            }));
        }
    }

    /// Replaces the list with the followed one, and returns it without removed endpoints.
    fn adopt_followed(&self) -> EndpointList {
        let followed = self.followed.borrow();
        let mut endpoints = self.endpoints.borrow_mut();
        *endpoints = followed
            .endpoints()
            .map(|entry| (entry.id, entry.clone()))
            .collect();
        self.changed.notify_waiters();
        EndpointList {
            revision: self.confirmed_revision().unwrap_or(0),
            complete: true,
            endpoints: to_listed(endpoints.values().filter(|entry| !entry.is_removed())),
            unusable: None,
        }
    }

    /// The followed endpoints that are missing in the list or differ from it.
    fn differing_followed(&self) -> Vec<EndpointEntry> {
        let endpoints = self.endpoints.borrow();
        let followed = self.followed.borrow();
        let differs = |entry: &&EndpointEntry| endpoints.get(&entry.id) != Some(*entry);
        followed.endpoints().filter(differs).cloned().collect()
    }
}

fn to_listed<'a>(entries: impl Iterator<Item = &'a EndpointEntry>) -> Vec<ListedEndpoint> {
    entries.map(EndpointEntry::to_listed).collect()
}
