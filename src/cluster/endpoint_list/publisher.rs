//! The lease holder's side of the shared list: what its watch on discovery brings, it publishes.

use super::SharedEndpointList;
use crate::cluster::gossip_entries::{
    EndpointEntry, LEASE_NAME, ListEntry, ListSummary, hash_endpoints,
};
use crate::discovery::endpoint_list::EndpointList;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskResult};
use spanspur_leases::{LeaseGrant, Millis};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Heartbeats within the age that a confirmation may have.
const HEARTBEATS_PER_MAX_AGE: u64 = 4;
/// Bits of a version that count entries within one term; the term stands above them.
const STEP_BITS: u32 = 20;
/// This instance counts as the holder for this share of an interval longer than one: the next grant comes when the
/// interval is over, and until then no other instance can have one.
const LEADERSHIP_MARGIN_SHARE: u64 = 8;

/// This instance's time as the holder of the lease.
#[derive(Clone, Copy)]
pub(super) struct Leadership {
    term: u64,
    /// The last version's number within the term.
    step: u64,
    ends_at: Instant,
}

impl Leadership {
    fn next_version(&mut self) -> u64 {
        self.step = (self.step + 1).min((1 << STEP_BITS) - 1);
        self.term << STEP_BITS | self.step
    }
}

impl SharedEndpointList {
    /// Whether this instance holds the lease.
    pub(super) fn is_leading(&self) -> bool {
        let leadership = self.leadership.get();
        leadership.is_some_and(|leadership| Instant::now() < leadership.ends_at)
            && !self.is_stopped.get()
    }

    /// Records what this instance's own watch on discovery has brought, and publishes it if this instance leads.
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
        // There may be nobody left who could publish these removals: all control instances were replaced, say.
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

    /// Marks the endpoints that are missing in a complete list as removed, and returns them.
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

    /// Takes over what is new or different, and returns it.
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
        if self.has_followers && self.distributed.replace(Some(summary)) != Some(summary) {
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

    /// Leads for a term: publishes all endpoints if this instance did not lead before, then heartbeats.
    async fn lead_term(self: Rc<Self>, grant: LeaseGrant, interval: Millis) {
        let term = grant.fencing_token;
        if !self.begin_term(term, interval) {
            tracing::info!(term, "list lease held: publishing the endpoint list");
            let all = self.endpoints.borrow().values().cloned().collect();
            self.distributed.set(None);
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
        let duration = Duration::from_millis(interval + interval / LEADERSHIP_MARGIN_SHARE);
        self.leadership.set(Some(Leadership {
            term,
            step: previous.map_or(0, |previous| previous.step),
            ends_at: Instant::now() + duration,
        }));
        self.changed.notify_waiters();
        // What was confirmed while another instance watched counts from here on as seen here.
        let seen = self.own_revision.get().max(self.confirmed_revision());
        self.own_revision.set(seen);
        was_leading
    }
}

/// The lease task to watch discovery for all.
pub struct EndpointListTask {
    /// Its interval in milliseconds.
    pub interval_ms: Millis,
    /// The list that it publishes.
    pub list: Rc<SharedEndpointList>,
}

impl LeaseTask for EndpointListTask {
    fn name(&self) -> String {
        LEASE_NAME.into()
    }

    fn interval_ms(&self) -> Millis {
        self.interval_ms
    }

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult {
        let (list, interval) = (self.list.clone(), self.interval_ms);
        Box::pin(async move {
            if clock.is_valid(&grant) {
                // It outlives the grant by design: polling changes nothing at discovery, and the versions of what is
                // published carry the term, so that a later term's entries replace these.
                spawn_local(list.lead_term(grant, interval));
            }
            Vec::new()
        })
    }
}
