//! A control instance's end of the distribution: passes the cluster's endpoint list on to balancers outside it.

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

/// The burst is the rate of this share of a second.
const BURST_SHARE: u32 = 10;

/// Passes the list on.
pub struct ListDistributor {
    distributor: SourceDriver,
    /// What was passed on, to tell whether it is the whole list.
    distributed: RefCell<ReplicatedList>,
}

impl ListDistributor {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// If the socket cannot be opened.
    pub async fn start(
        settings: &Distribute,
        name: &str,
        cluster_secrets: &[String],
    ) -> Result<Rc<Self>, ClusterError> {
        let setup = SourceConfig {
            identity: new_identity(name, settings.listen),
            keys: derive_keys(secrets(settings, cluster_secrets)),
            limits: Limits {
                datagrams_per_second: settings.rate,
                // One whole answer at least.
                burst: (settings.rate / BURST_SHARE).max(u32::from(MAX_WINDOW)),
                ..Limits::default()
            },
            seed: api::Key::of(name).0,
        };
        let distributor = SourceDriver::start(setup).await;
        let distributor = distributor.map_err(|source| ClusterError::Listen {
            section: "distribute",
            address: settings.listen,
            source,
        })?;
        Ok(Rc::new(Self {
            distributor,
            distributed: RefCell::default(),
        }))
    }

    /// Replaces the keys.
    pub fn configure(&self, settings: &Distribute, cluster_secrets: &[String]) {
        let keys = derive_keys(secrets(settings, cluster_secrets));
        self.distributor.rekey(keys);
    }

    /// Passes an entry of the gossip store on.
    pub fn publish(&self, entry: &GossipEntry) {
        match ListEntry::decode(entry) {
            Some(ListEntry::Heartbeat(summary)) => self.confirm(summary),
            Some(ListEntry::Summary(_) | ListEntry::Endpoint(_)) => {
                self.distributed.borrow_mut().apply_entry(entry);
                self.distributor.publish(std::slice::from_ref(entry));
            }
            None => {}
        }
    }

    /// Tells the followers that the list is up to date, if the holder's summary matches what was passed on.
    fn confirm(&self, summary: ListSummary) {
        if self.distributed.borrow_mut().complete_summary() == Some(summary) {
            self.distributor.confirm_complete();
        }
    }

    /// The answer to `changes`.
    pub fn status(&self) -> ChangesAnswer {
        self.distributor.answer()
    }
}

/// The section's own secrets, or the cluster's.
fn secrets<'a>(settings: &'a Distribute, cluster_secrets: &'a [String]) -> &'a [String] {
    match settings.keys.is_empty() {
        true => cluster_secrets,
        false => &settings.keys,
    }
}
