//! Discovery's endpoint list, watched by one instance for all. The holder of the lease `list` publishes each changed
//! endpoint, and several times a second a heartbeat with a summary of the whole list. The others apply endpoints as
//! they come; while a heartbeat confirms all that they have, they need not poll discovery. Once the last confirmation
//! is too old they poll it themselves, from the revision that was confirmed.
//!
//! | module | holds |
//! | --- | --- |
//! | `publisher` | the lease holder's side, and what this instance's own watch brings |
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

/// Publishes entries to the other instances.
pub type Publish = Box<dyn Fn(Vec<GossipEntry>)>;

/// A revision of discovery's list, and when it was the current one.
#[derive(Clone, Copy)]
struct Confirmation {
    revision: u64,
    at: Instant,
}

/// The endpoint list as instances share it.
pub struct SharedEndpointList {
    publish: Publish,
    /// Whether balancers outside the cluster get the list as well.
    has_followers: bool,
    /// How old a confirmation may be; `None` while the task is switched off.
    max_age: Cell<Option<Millis>>,
    endpoints: RefCell<BTreeMap<u64, EndpointEntry>>,
    /// At a balancer outside the cluster: the list as its sources have brought it.
    followed: RefCell<ReplicatedList>,
    /// The last heartbeat's summary, until it has confirmed the list.
    unconfirmed: Cell<Option<ListSummary>>,
    confirmation: Cell<Option<Confirmation>>,
    changed: Notify,
    /// While this instance holds the lease.
    leadership: Cell<Option<Leadership>>,
    /// The revision of the list that this instance has got from a watch; `None` if it has no list yet.
    own_revision: Cell<Option<u64>>,
    /// The revision that the discovery that is watched now has sent last.
    discovery_revision: Cell<Option<u64>>,
    /// The summary that was distributed last.
    distributed: Cell<Option<ListSummary>>,
    /// Discovery has never answered this process, and the last attempt has failed.
    is_discovery_unreachable: Cell<bool>,
    is_stopped: Cell<bool>,
}

impl SharedEndpointList {
    /// An empty list.
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
            distributed: Cell::new(None),
            is_discovery_unreachable: Cell::new(false),
            is_stopped: Cell::new(false),
        }
    }

    /// An empty list that publishes nothing.
    pub fn read_only() -> Self {
        Self::new(Box::new(|_| {}), false)
    }

    /// Sets how old a confirmation may be, in milliseconds; `None` switches the task off.
    pub fn configure(&self, max_age: Option<Millis>) {
        self.max_age.set(max_age);
        self.changed.notify_waiters();
    }

    /// Publishes nothing any more.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Whether a gossiped entry is one of the list.
    pub fn is_list_entry(&self, entry: &GossipEntry) -> bool {
        ListEntry::decode(entry).is_some()
    }

    /// Until when the list counts as up to date by another instance's watch; `None` if it does not.
    fn confirmed_until(&self) -> Option<Instant> {
        let max_age = Duration::from_millis(self.max_age.get()?);
        let until = self.confirmation.get()?.at + max_age;
        (until > Instant::now() && !self.is_leading()).then_some(until)
    }

    fn confirmed_revision(&self) -> Option<u64> {
        let confirmation = self.confirmation.get()?;
        Some(confirmation.revision)
    }

    /// Returns once another instance's watch makes an own one needless.
    pub async fn wait_until_confirmed(&self) {
        loop {
            let changed = self.changed.notified();
            if self.confirmed_until().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns once the list is not confirmed any more, or this instance has to watch discovery itself: the revision to
    /// poll from.
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

    /// Applies a gossiped entry and returns what it changes in the list.
    pub fn apply_entry(&self, entry: &GossipEntry) -> Option<EndpointList> {
        match ListEntry::decode(entry)? {
            ListEntry::Heartbeat(summary) => {
                // Version 0 is no holder's: it confirms nothing.
                let summary = Some(summary).filter(|_| entry.version > 0);
                self.unconfirmed.set(summary);
                self.confirm();
                None
            }
            // For balancers outside the cluster.
            ListEntry::Summary(_) => None,
            ListEntry::Endpoint(endpoint) => {
                let listed = (endpoint.to_endpoint(), endpoint.address);
                self.endpoints.borrow_mut().insert(endpoint.id, endpoint);
                self.confirm();
                Some(EndpointList {
                    members: vec![listed],
                    ..EndpointList::default()
                })
            }
        }
    }

    /// Confirms the list if the last heartbeat's summary matches it. A heartbeat confirms once: it ages from then on.
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

    /// Another discovery is watched from here on; it counts its revisions on its own.
    pub fn reset_discovery_revision(&self) {
        self.discovery_revision.set(None);
    }

    /// This instance's own watch has failed.
    pub fn record_discovery_failure(&self) {
        let has_list = self.own_revision.get().is_some();
        self.is_discovery_unreachable.set(!has_list);
    }
}
