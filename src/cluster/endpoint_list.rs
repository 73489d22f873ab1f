//! Discovery's endpoint list, watched by one instance for all. The holder of the lease `list` publishes each changed
//! endpoint and, several times within the maximum age of a confirmation, a heartbeat with a summary of the whole list.
//! The other instances apply the endpoints as they arrive. While heartbeats confirm that their lists are complete, they
//! do not poll discovery. Once the last confirmation is too old, they poll discovery themselves, from the confirmed
//! revision on.
//!
//! | module | holds |
//! | --- | --- |
//! | `publisher` | the lease holder's side, and the updates of this instance's own watch |
//! | `followed` | the side of a balancer outside the cluster |

mod followed;
mod publisher;
#[cfg(test)]
mod tests;

pub use publisher::EndpointListTask;

use super::gossip_entries::{
    EndpointEntry, ListEntry, ListSummary, ReplicatedList, hash_endpoints,
};
use crate::discovery::endpoint_list::EndpointList;
use publisher::Leadership;
use spanspur_leases::{GossipEntry, Millis};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A function that publishes entries to the other instances.
pub type Publish = Box<dyn Fn(Vec<GossipEntry>)>;

/// A revision of discovery's list, and a time at which it was current.
#[derive(Clone, Copy)]
struct Confirmation {
    revision: u64,
    at: Instant,
}

/// The endpoint list that instances share.
pub struct SharedEndpointList {
    publish: Publish,
    /// Whether balancers outside the cluster follow the list.
    has_followers: bool,
    /// The maximum age of a confirmation, in milliseconds; `None` while the task is disabled.
    max_age: Cell<Option<Millis>>,
    endpoints: RefCell<BTreeMap<u64, EndpointEntry>>,
    /// At a balancer outside the cluster: the list received from the sources.
    followed: RefCell<ReplicatedList>,
    /// The summary of the last heartbeat, until the list matches it.
    unconfirmed: Cell<Option<ListSummary>>,
    confirmation: Cell<Option<Confirmation>>,
    /// Notified when the list may have become confirmed or stale.
    changed: Notify,
    /// The last term in which this instance held the lease; see [`SharedEndpointList::is_leading`].
    leadership: Cell<Option<Leadership>>,
    /// The revision of the list: the last one that this instance polled from discovery or, if higher when it acquired
    /// the lease, that of the last confirmation. `None` if there is no list yet.
    own_revision: Cell<Option<u64>>,
    /// The last revision received from the discovery service that is watched now.
    discovery_revision: Cell<Option<u64>>,
    /// The last summary that was published for balancers outside the cluster.
    distributed_summary: Cell<Option<ListSummary>>,
    /// Whether discovery has never answered this process, and the last attempt failed.
    is_discovery_unreachable: Cell<bool>,
    is_stopped: Cell<bool>,
}

impl SharedEndpointList {
    /// Creates an empty list.
    pub fn new(publish: Publish, has_followers: bool) -> Self {
        Self {
            publish,
            has_followers,
            max_age: Cell::new(None),
            endpoints: RefCell::default(),
            followed: RefCell::default(),
            unconfirmed: Cell::new(None),
            confirmation: Cell::new(None),
            changed: Notify::new(),
            leadership: Cell::new(None),
            own_revision: Cell::new(None),
            discovery_revision: Cell::new(None),
            distributed_summary: Cell::new(None),
            is_discovery_unreachable: Cell::new(false),
            is_stopped: Cell::new(false),
        }
    }

    /// Creates an empty list that publishes nothing.
    pub fn read_only() -> Self {
        Self::new(Box::new(|_| {}), false)
    }

    /// Sets the maximum age of a confirmation, in milliseconds; `None` disables the task.
    pub fn configure(&self, max_age: Option<Millis>) {
        self.max_age.set(max_age);
        self.changed.notify_waiters();
    }

    /// Stops publishing.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Whether a gossiped entry belongs to the list.
    pub fn is_list_entry(&self, entry: &GossipEntry) -> bool {
        ListEntry::decode(entry).is_some()
    }

    /// Until when the list counts as current without polling discovery; `None` if it is not confirmed, its confirmation
    /// is too old, or this instance holds the lease.
    fn confirmed_until(&self) -> Option<Instant> {
        let max_age = Duration::from_millis(self.max_age.get()?);
        let until = self.confirmation.get()?.at + max_age;
        (until > Instant::now() && !self.is_leading()).then_some(until)
    }

    fn confirmed_revision(&self) -> Option<u64> {
        let confirmation = self.confirmation.get()?;
        Some(confirmation.revision)
    }

    /// Waits until another instance's watch confirms the list, so that this instance need not watch discovery.
    pub async fn wait_until_confirmed(&self) {
        loop {
            let changed = self.changed.notified();
            if self.confirmed_until().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the list is no longer confirmed, or this instance has to watch discovery itself. Returns the revision
    /// to poll from; `None` if the list was never confirmed.
    pub async fn wait_until_stale(&self) -> Option<u64> {
        loop {
            let changed = self.changed.notified();
            let Some(until) = self.confirmed_until() else {
                return self.confirmed_revision();
            };
            tokio::select! {
                () = sleep_until(until) => {}
                () = changed => {}
            }
        }
    }

    /// Applies a gossiped entry and returns the resulting change of the endpoints, if any.
    pub fn apply_entry(&self, entry: &GossipEntry) -> Option<EndpointList> {
        match ListEntry::decode(entry)? {
            ListEntry::Heartbeat(summary) => {
                // A holder's version is never 0, so such a heartbeat confirms nothing.
                let summary = Some(summary).filter(|_| entry.version > 0);
                self.unconfirmed.set(summary);
                self.confirm();
                None
            }
            // Meant for balancers outside the cluster.
            ListEntry::Summary(_) => None,
            ListEntry::Endpoint(endpoint) => {
                let listed = endpoint.to_listed();
                self.endpoints.borrow_mut().insert(endpoint.id, endpoint);
                self.confirm();
                Some(EndpointList {
                    endpoints: vec![listed],
                    ..EndpointList::default()
                })
            }
        }
    }

    /// Confirms the list if it matches the summary of the last heartbeat. Each heartbeat confirms only once, so that the
    /// confirmation ages from then on.
    fn confirm(&self) {
        let Some(summary) = self.unconfirmed.get() else {
            return;
        };
        if summary.hash != hash_endpoints(self.endpoints.borrow().values()) {
            return;
        }
        self.confirmation.set(Some(Confirmation {
            revision: summary.revision,
            at: Instant::now(),
        }));
        self.unconfirmed.set(None);
        self.changed.notify_waiters();
    }

    /// Records that another discovery service is watched from now on, whose revisions are independent of the last one's.
    pub fn reset_discovery_revision(&self) {
        self.discovery_revision.set(None);
    }

    /// Records that this instance failed to poll discovery.
    pub fn record_discovery_failure(&self) {
        let has_list = self.own_revision.get().is_some();
        self.is_discovery_unreachable.set(!has_list);
    }
}
