//! The lease holder's side of the shared list: publishes the updates of its watch on discovery.

use super::SharedEndpointList;
use crate::cluster::gossip_entries::{
    EndpointEntry, LEASE_NAME, ListEntry, ListSummary, hash_endpoints,
};
use crate::discovery::endpoint_list::EndpointList;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskFuture};
use spanspur_leases::{LeaseGrant, Millis};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Number of heartbeats within the maximum age of a confirmation.
const HEARTBEATS_PER_MAX_AGE: u64 = 4;
/// Number of low bits of a version that hold the sequence number within a term. The higher bits hold the term.
const SEQUENCE_BITS: u32 = 20;
/// Leadership lasts longer than the interval by the interval divided by this: the next grant arrives when the interval
/// ends, and until then no other instance can get a grant.
const LEADERSHIP_MARGIN_DIVISOR: u64 = 8;

/// A term in which this instance holds the lease.
#[derive(Clone, Copy)]
pub(super) struct Leadership {
    term: u64,
    /// The sequence number of the last version within the term.
    sequence: u64,
    ends_at: Instant,
}

impl Leadership {
    fn next_version(&mut self) -> u64 {
        // Saturates, so that the sequence number never reaches into the bits of the term.
        self.sequence = (self.sequence + 1).min((1 << SEQUENCE_BITS) - 1);
        self.term << SEQUENCE_BITS | self.sequence
    }
}

impl SharedEndpointList {
    /// Whether this instance holds the lease.
    pub(super) fn is_leading(&self) -> bool {
        let leadership = self.leadership.get();
        leadership.is_some_and(|leadership| Instant::now() < leadership.ends_at)
            && !self.is_stopped.get()
    }

    /// Records an update of this instance's own watch on discovery, and publishes it if this instance holds the lease.
    pub fn record_discovered(&self, list: &EndpointList) {
        let listed: BTreeMap<u64, EndpointEntry> = list
            .endpoints
            .iter()
            .map(|listed| (listed.endpoint.id.0, EndpointEntry::new(listed)))
            .collect();
        let mut changed = Vec::new();
        if list.complete {
            changed.extend(self.remove_unlisted(&listed));
        }
        // The followed list drops these endpoints as well. Its sources may never publish their removal, for example if
        // all control instances were replaced.
        let mut followed = self.followed.borrow_mut();
        followed.mark_removed(|id| match listed.get(&id) {
            Some(entry) => entry.is_removed(),
            None => list.complete,
        });
        drop(followed);
        changed.extend(self.merge_listed(listed));
        self.own_revision.set(Some(list.revision));
        self.discovery_revision.set(Some(list.revision));
        self.is_discovery_unreachable.set(false);
        if self.is_leading() {
            self.publish_entries(changed);
        }
    }

    /// Marks endpoints that are missing in a complete list as removed, and returns them.
    fn remove_unlisted(&self, listed: &BTreeMap<u64, EndpointEntry>) -> Vec<EndpointEntry> {
        let mut endpoints = self.endpoints.borrow_mut();
        let unlisted = endpoints
            .values_mut()
            .filter(|entry| !listed.contains_key(&entry.id) && !entry.is_removed());
        unlisted
            .map(|entry| {
                entry.mark_removed();
                entry.clone()
            })
            .collect()
    }

    /// Adds or replaces endpoints that are new or different, and returns them.
    fn merge_listed(&self, listed: BTreeMap<u64, EndpointEntry>) -> Vec<EndpointEntry> {
        let mut endpoints = self.endpoints.borrow_mut();
        let mut changed = Vec::new();
        for (id, entry) in listed {
            if endpoints.get(&id) != Some(&entry) {
                changed.push(entry.clone());
                endpoints.insert(id, entry);
            }
        }
        changed
    }

    /// Publishes endpoints, and a heartbeat with a summary of the whole list.
    fn publish_entries(&self, endpoints: Vec<EndpointEntry>) {
        let (Some(mut leadership), Some(revision)) =
            (self.leadership.get(), self.own_revision.get())
        else {
            return;
        };
        if !self.is_leading() {
            return;
        }
        let summary = ListSummary {
            revision,
            hash: hash_endpoints(self.endpoints.borrow().values()),
        };
        let mut entries: Vec<ListEntry> = endpoints.into_iter().map(ListEntry::Endpoint).collect();
        if self.has_followers && self.distributed_summary.replace(Some(summary)) != Some(summary) {
            entries.push(ListEntry::Summary(summary));
        }
        entries.push(ListEntry::Heartbeat(summary));
        let encoded = entries
            .iter()
            .map(|entry| entry.encode(leadership.next_version()))
            .collect();
        self.leadership.set(Some(leadership));
        (self.publish)(encoded);
    }

    /// Leads for a term: publishes all endpoints if this instance did not lead before, and then regular heartbeats.
    async fn lead_term(self: Rc<Self>, grant: LeaseGrant, interval: Millis) {
        let term = grant.fencing_token;
        if !self.begin_term(term, interval) {
            tracing::info!(term, "list lease held: publishing the endpoint list");
            let all = self.endpoints.borrow().values().cloned().collect();
            self.distributed_summary.set(None);
            self.publish_entries(all);
        }
        while let Some(max_age) = self.max_age.get() {
            sleep(Duration::from_millis(max_age / HEARTBEATS_PER_MAX_AGE)).await;
            let leadership = self.leadership.get();
            let is_current = leadership.is_some_and(|leadership| leadership.term == term);
            if !is_current || !self.is_leading() {
                return;
            }
            self.publish_entries(Vec::new());
        }
    }

    /// Begins a term and returns whether this instance led before.
    fn begin_term(&self, term: u64, interval: Millis) -> bool {
        let was_leading = self.is_leading();
        let previous = self.leadership.get();
        let previous = previous.filter(|previous| previous.term == term);
        let duration = Duration::from_millis(interval + interval / LEADERSHIP_MARGIN_DIVISOR);
        self.leadership.set(Some(Leadership {
            term,
            sequence: previous.map_or(0, |previous| previous.sequence),
            ends_at: Instant::now() + duration,
        }));
        self.changed.notify_waiters();
        // This instance continues from the revision that was confirmed while another instance watched.
        let latest = self.own_revision.get().max(self.confirmed_revision());
        self.own_revision.set(latest);
        was_leading
    }
}

/// The lease task that watches discovery for all instances.
pub struct EndpointListTask {
    /// The interval of the lease in milliseconds.
    pub interval_ms: Millis,
    /// The list that the task publishes.
    pub list: Rc<SharedEndpointList>,
}

impl LeaseTask for EndpointListTask {
    fn name(&self) -> String {
        LEASE_NAME.into()
    }

    fn interval_ms(&self) -> Millis {
        self.interval_ms
    }

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskFuture {
        let (list, interval) = (self.list.clone(), self.interval_ms);
        Box::pin(async move {
            if clock.is_valid(&grant) {
                // This deliberately outlives the grant. Polling changes nothing at discovery, and the versions of the
                // published entries contain the term, so that entries of a later term replace them.
                spawn_local(list.lead_term(grant, interval));
            }
            Vec::new()
        })
    }
}
