//! A control instance's side of the distribution: passes the cluster's endpoint list on to balancers outside the
//! cluster.

use super::error::ClusterError;
use super::gossip_entries::{ListEntry, ListSummary, ReplicatedList};
use super::{derive_keys, new_identity};
use crate::api;
use spanspur_cluster::distribution::{ChangesAnswer, SourceDriver};
use spanspur_distribution::messages::MAX_WINDOW;
use spanspur_distribution::{Limits, SourceConfig};
use spanspur_leases::GossipEntry;
use spanspur_operator_config::Distribute;
use std::cell::RefCell;
use std::rc::Rc;

/// The maximum burst is the number of datagrams per second divided by this.
const BURST_DIVISOR: u32 = 10;

/// Distributes the endpoint list to balancers outside the cluster.
pub struct ListDistributor {
    source: SourceDriver,
    /// The entries distributed so far, to detect when they are the complete list.
    distributed: RefCell<ReplicatedList>,
}

impl ListDistributor {
    /// Opens the socket and starts the distribution.
    ///
    /// # Errors
    ///
    /// If the socket cannot be opened.
    pub async fn start(
        settings: &Distribute,
        name: &str,
        cluster_secrets: &[String],
    ) -> Result<Rc<Self>, ClusterError> {
        let config = SourceConfig {
            identity: new_identity(name, settings.listen),
            keys: derive_keys(secrets(settings, cluster_secrets)),
            limits: Limits {
                datagrams_per_second: settings.rate,
                // At least one complete answer.
                burst: (settings.rate / BURST_DIVISOR).max(u32::from(MAX_WINDOW)),
                ..Limits::default()
            },
            seed: api::Key::of(name).0,
        };
        let started = SourceDriver::start(config).await;
        let source = started.map_err(|source| ClusterError::Listen {
            section: "distribute",
            address: settings.listen,
            source,
        })?;
        Ok(Rc::new(Self {
            source,
            distributed: RefCell::default(),
        }))
    }

    /// Replaces the keys: those of the section or, if it has none, the cluster's.
    pub fn configure(&self, settings: &Distribute, cluster_secrets: &[String]) {
        let keys = derive_keys(secrets(settings, cluster_secrets));
        self.source.rekey(keys);
    }

    /// Distributes an entry of the gossip store if it belongs to the list.
    pub fn publish(&self, entry: &GossipEntry) {
        match ListEntry::decode(entry) {
            Some(ListEntry::Heartbeat(summary)) => self.confirm(summary),
            Some(ListEntry::Summary(_) | ListEntry::Endpoint(_)) => {
                self.distributed.borrow_mut().apply_entry(entry);
                self.source.publish(std::slice::from_ref(entry));
            }
            None => {}
        }
    }

    /// Confirms to the followers that the list is current, if the holder's summary matches the distributed entries.
    fn confirm(&self, summary: ListSummary) {
        if self.distributed.borrow_mut().complete_summary() == Some(summary) {
            self.source.confirm_complete();
        }
    }

    /// The answer to the control socket's query `changes`.
    pub fn status(&self) -> ChangesAnswer {
        self.source.answer()
    }
}

/// The secrets of the section `distribute` or, if it has none, of the cluster.
fn secrets<'a>(settings: &'a Distribute, cluster_secrets: &'a [String]) -> &'a [String] {
    match settings.keys.is_empty() {
        true => cluster_secrets,
        false => &settings.keys,
    }
}
