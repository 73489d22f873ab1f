//! A balancer's side of the distribution: follows the endpoint list of a cluster that the balancer is not a member of.

use super::endpoint_list::SharedEndpointList;
use super::error::ClusterError;
use super::{derive_keys, new_identity, score_instance, serve_control_socket};
use crate::api;
use crate::runtime::Runtime;
use spanspur_cluster::control;
use spanspur_cluster::distribution::FollowerDriver;
use spanspur_distribution::{FollowerConfig, Location, PollSchedule, SourceEndpoint};
use spanspur_leases::GossipEntry;
use spanspur_operator_config::{Follow, OperatorConfig};
use std::rc::Rc;

/// Follows the endpoint list of a cluster.
pub struct ListFollower {
    follower: FollowerDriver,
    endpoint_list: Rc<SharedEndpointList>,
}

impl ListFollower {
    /// Follows the sources of the operator's file; `None` if the file has no section `follow`.
    ///
    /// # Errors
    ///
    /// If the balancer has no name, or a socket cannot be opened.
    pub async fn start(
        runtime: &Rc<Runtime>,
        operator: &OperatorConfig,
    ) -> Result<Option<Rc<Self>>, ClusterError> {
        let Some(follow) = &operator.follow else {
            return Ok(None);
        };
        let config = follower_config(runtime, follow)?;
        let name = config.identity.name.clone();
        let endpoint_list = Rc::new(SharedEndpointList::read_only());
        endpoint_list.configure(Some(follow.max_age_ms));
        let (list, balancer) = (endpoint_list.clone(), runtime.clone());
        let apply = move |entries: &[GossipEntry], age| {
            if let Some(update) = list.apply_followed(entries, age) {
                balancer.update_from_distribution(update);
            }
        };
        let started = FollowerDriver::start(config, Box::new(apply)).await;
        let follower = started.map_err(|source| ClusterError::Listen {
            section: "follow",
            address: follow.listen,
            source,
        })?;
        let sources = follow.sources.len();
        tracing::info!(instance = name, sources, "distribution followed");
        if let Some(control) = &operator.control {
            let queried = follower.clone();
            let handler = Rc::new(move |query: &str| {
                (query == "changes").then(|| control::to_json(&queried.answer()))
            });
            serve_control_socket(handler, &control.socket)?;
        }
        Ok(Some(Rc::new(Self {
            follower,
            endpoint_list,
        })))
    }

    /// The endpoint list, as received from the sources.
    pub fn endpoint_list(&self) -> Rc<SharedEndpointList> {
        self.endpoint_list.clone()
    }

    /// Applies the settings that can change at run time: the keys and the maximum age. The caller has validated them.
    pub fn configure(&self, follow: &Follow) {
        self.follower.rekey(derive_keys(&follow.keys));
        self.endpoint_list.configure(Some(follow.max_age_ms));
    }
}

fn follower_config(runtime: &Runtime, follow: &Follow) -> Result<FollowerConfig, ClusterError> {
    let process = runtime.process_config();
    let name = follow.name.clone().unwrap_or_else(|| process.name.clone());
    if name.is_empty() {
        return Err(ClusterError::NameMissing { section: "follow" });
    }
    let sources = follow.sources.iter().map(|source| SourceEndpoint {
        name: source.name.clone(),
        address: source.address,
        location: hash_location(&source.zone, &source.region),
    });
    Ok(FollowerConfig {
        identity: new_identity(&name, follow.listen),
        location: hash_location(&follow.zone, &follow.region),
        sources: sources.collect(),
        keys: derive_keys(&follow.keys),
        score: score_instance,
        schedule: PollSchedule::default(),
        seed: process.seed ^ api::Key::of("follow").0,
    })
}

/// Hashes a zone and a region, which are only compared.
fn hash_location(zone: &str, region: &str) -> Location {
    Location {
        zone: api::Key::of(zone).0 as u32,
        region: api::Key::of(region).0 as u32,
    }
}
