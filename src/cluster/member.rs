//! This instance as a member of its cluster.

use super::endpoint_list::{EndpointListTask, SharedEndpointList};
use super::error::ClusterError;
use super::health_check::{HealthCheckResult, HealthCheckTask};
use super::list_distributor::ListDistributor;
use super::{derive_keys, new_identity, score_instance, serve_control_socket};
use crate::api::{self, Event, ServerId};
use crate::runtime::Runtime;
use spanspur_cluster::control::{self, QueryHandler};
use spanspur_cluster::{Cluster, ClusterHandle, LeaseTask, NodeConfig};
use spanspur_leases::GossipEntry;
use spanspur_leases::ranking::Ranking;
use spanspur_membership::ProbeTiming;
use spanspur_operator_config::{Cluster as ClusterSettings, OperatorConfig};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// How long a server that fails its health check is ejected, in check intervals. A later result replaces the ejection.
const EJECTION_INTERVALS: f64 = 2.25;

/// This instance as a member of its cluster.
pub struct ClusterMember {
    runtime: Rc<Runtime>,
    handle: ClusterHandle,
    name: Rc<str>,
    operator: RefCell<OperatorConfig>,
    endpoint_list: Rc<SharedEndpointList>,
    distributor: Option<Rc<ListDistributor>>,
    /// The number of dropped updates when an entry was last distributed. If more were dropped since then, the whole
    /// gossip store is distributed again.
    dropped_updates: Cell<u64>,
    /// The servers with a health check, by the key of the result.
    checked_servers: RefCell<BTreeMap<u64, ServerId>>,
}

impl ClusterMember {
    /// Joins the cluster of the operator's file; `None` if the file has no section `cluster`.
    ///
    /// # Errors
    ///
    /// If the instance has no name, or a socket cannot be opened.
    pub async fn start(
        runtime: &Rc<Runtime>,
        operator: &OperatorConfig,
    ) -> Result<Option<Rc<Self>>, ClusterError> {
        let Some(cluster) = &operator.cluster else {
            return Ok(None);
        };
        let name = instance_name(runtime, cluster)?;
        let config = node_config(runtime, cluster, &name);
        let started = Cluster::start(config).await;
        let (handle, updates) = started.map_err(|source| ClusterError::Listen {
            section: "cluster",
            address: cluster.listen,
            source,
        })?;
        let distributor = match &operator.distribute {
            Some(settings) => Some(ListDistributor::start(settings, &name, &cluster.keys).await?),
            None => None,
        };
        if let Some(control) = &operator.control {
            let handler = answer_queries(handle.clone(), distributor.clone());
            serve_control_socket(handler, &control.socket)?;
        }
        tracing::info!(instance = name, address = %cluster.listen, "cluster joined");
        let member = Rc::new(Self {
            runtime: runtime.clone(),
            endpoint_list: Rc::new(shared_endpoint_list(handle.clone(), distributor.clone())),
            handle,
            distributor,
            dropped_updates: Cell::new(0),
            name: name.into(),
            operator: RefCell::new(operator.clone()),
            checked_servers: RefCell::default(),
        });
        spawn_local(member.clone().apply_updates(updates));
        spawn_local(member.clone().follow_endpoints());
        Ok(Some(member))
    }

    /// The endpoint list that the instances share.
    pub fn endpoint_list(&self) -> Rc<SharedEndpointList> {
        self.endpoint_list.clone()
    }

    /// Applies the settings that can change at run time: keys, seeds and duties. The caller has validated them.
    pub fn configure(&self, operator: OperatorConfig) {
        if let Some(cluster) = &operator.cluster {
            self.handle
                .rekey(derive_keys(&cluster.keys), cluster.seeds.clone());
            if let (Some(distributor), Some(settings)) = (&self.distributor, &operator.distribute) {
                distributor.configure(settings, &cluster.keys);
            }
        }
        self.operator.replace(operator);
        self.register_tasks();
    }

    /// Stops publishing the endpoint list, releases all leases and leaves the cluster before the process ends.
    pub fn leave(&self) {
        self.endpoint_list.stop();
        self.handle.leave();
    }

    /// Registers the tasks anew whenever the endpoint list changes.
    async fn follow_endpoints(self: Rc<Self>) {
        let mut endpoints = self.runtime.subscribe_endpoints();
        loop {
            self.register_tasks();
            if endpoints.changed().await.is_err() {
                return;
            }
        }
    }

    fn register_tasks(&self) {
        if self.runtime.lifecycle.is_shutting_down() {
            return;
        }
        let operator = self.operator.borrow();
        let mut tasks: Vec<Rc<dyn LeaseTask>> = Vec::new();
        let mut checked_servers = BTreeMap::new();
        for task in self.health_check_tasks(&operator) {
            checked_servers.insert(task.result_key(), task.server);
            tasks.push(Rc::new(task));
        }
        let list = operator.duties.list.as_ref();
        self.endpoint_list
            .configure(list.map(|list| list.max_age_ms));
        if let Some(settings) = list {
            tasks.push(Rc::new(EndpointListTask {
                interval_ms: settings.every_ms,
                list: self.endpoint_list.clone(),
            }));
        }
        // Drops the results of servers that are no longer checked.
        let list = &self.endpoint_list;
        self.handle.with_node(|node, _| {
            node.gossip_store_mut().retain(|entry| {
                checked_servers.contains_key(&entry.key) || list.is_list_entry(entry)
            });
        });
        self.checked_servers.replace(checked_servers);
        drop(operator);
        self.handle.set_tasks(tasks);
    }

    fn health_check_tasks(&self, operator: &OperatorConfig) -> Vec<HealthCheckTask> {
        let Some(settings) = &operator.duties.probe else {
            return Vec::new();
        };
        let endpoints = self.runtime.endpoint_addresses().into_iter();
        endpoints
            .map(|(server, address)| HealthCheckTask {
                server,
                address,
                settings: settings.clone(),
                instance: self.name.clone(),
                handle: self.handle.clone(),
            })
            .collect()
    }

    /// Applies the results of all instances, this one included, to the balancer.
    async fn apply_updates(self: Rc<Self>, mut updates: mpsc::Receiver<GossipEntry>) {
        while let Some(entry) = updates.recv().await {
            if self.endpoint_list.is_list_entry(&entry) {
                self.distribute(&entry);
                // Heartbeats and summaries change no endpoint.
                if let Some(list) = self.endpoint_list.apply_entry(&entry) {
                    self.runtime.update_endpoints(api::UpdateKind::Delta, list);
                }
                continue;
            }
            let server = self.checked_servers.borrow().get(&entry.key).copied();
            if let (Some(server), Ok(result)) = (server, HealthCheckResult::decode(&entry.value)) {
                self.apply_health_check(server, result);
            }
        }
    }

    /// Distributes an entry of the list to balancers outside the cluster.
    fn distribute(&self, entry: &GossipEntry) {
        let Some(distributor) = &self.distributor else {
            return;
        };
        let dropped = self.handle.dropped_updates();
        if self.dropped_updates.replace(dropped) != dropped {
            let entries: Vec<GossipEntry> = self
                .handle
                .with_node(|node, _| node.gossip_store().iter().cloned().collect());
            entries.iter().for_each(|entry| distributor.publish(entry));
        }
        distributor.publish(entry);
    }

    fn apply_health_check(&self, server: ServerId, result: HealthCheckResult) {
        let interval = match &self.operator.borrow().duties.probe {
            Some(settings) => settings.every_ms as f64 / 1000.0,
            None => return,
        };
        tracing::debug!(%server, ?result, "health check result");
        let ejected_until = result
            .is_unhealthy()
            .then(|| self.runtime.now() + interval * EJECTION_INTERVALS);
        self.runtime.handle_event(Event::HealthChecked {
            server,
            ejected_until,
        });
        if let HealthCheckResult::Answered { ms } | HealthCheckResult::Slow { ms } = result {
            self.runtime
                .report_message_time(server, f64::from(ms) / 1000.0);
        }
    }
}

fn instance_name(runtime: &Runtime, cluster: &ClusterSettings) -> Result<String, ClusterError> {
    let default = || runtime.process_config().name.clone();
    let name = cluster.name.clone().unwrap_or_else(default);
    if name.is_empty() {
        return Err(ClusterError::NameMissing { section: "cluster" });
    }
    if !cluster.voters.contains(&name) {
        tracing::warn!(name, "not in cluster.voters: no vote on any lease");
    }
    Ok(name)
}

fn node_config(runtime: &Runtime, cluster: &ClusterSettings, name: &str) -> NodeConfig {
    NodeConfig {
        identity: new_identity(name, cluster.listen),
        keys: derive_keys(&cluster.keys),
        seeds: cluster.seeds.clone(),
        voters: cluster.voters.clone(),
        max_clock_skew: cluster.clock_skew_ms,
        probe_timing: ProbeTiming {
            probe_interval: Duration::from_millis(cluster.pace.probe_ms),
            ack_timeout: Duration::from_millis(cluster.pace.answer_ms),
            suspicion_timeout: Duration::from_millis(cluster.pace.suspicion_ms),
        },
        ranking: Ranking(score_instance),
        random_seed: runtime.process_config().seed ^ api::Key::of("cluster").0,
    }
}

/// Returns the handler of queries about the cluster and, at a control instance, about the distribution.
fn answer_queries(handle: ClusterHandle, distributor: Option<Rc<ListDistributor>>) -> QueryHandler {
    let answer_cluster_query = control::answer_queries(handle);
    Rc::new(move |query: &str| match (query, &distributor) {
        ("changes", Some(distributor)) => Some(control::to_json(&distributor.status())),
        _ => answer_cluster_query(query),
    })
}

/// Creates the shared list, which publishes to the cluster and, at a control instance, to balancers outside the
/// cluster.
fn shared_endpoint_list(
    handle: ClusterHandle,
    distributor: Option<Rc<ListDistributor>>,
) -> SharedEndpointList {
    let has_followers = distributor.is_some();
    let publish = move |entries: Vec<GossipEntry>| {
        if let Some(distributor) = &distributor {
            entries.iter().for_each(|entry| distributor.publish(entry));
        }
        handle.publish(entries);
    };
    SharedEndpointList::new(Box::new(publish), has_followers)
}
