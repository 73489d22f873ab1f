//! What balancers of one cluster do for each other: probes and the watch on discovery, each done by one instance.
//! All of it is off unless the operator's file has the section `cluster`. Balancers outside the cluster follow it for
//! the list: that is off unless the file has `distribute` there and `follow` here.

mod distribution;
mod endpoint_list;
mod health_check;
mod rows;
#[cfg(test)]
#[path = "../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

pub use distribution::Followed;
pub use endpoint_list::ListNews;

use crate::api::{Event, ServerId};
use crate::runtime::Runtime;
use crate::{api, score};
use distribution::Distribution;
use endpoint_list::ListDuty;
use health_check::{ProbeDuty, Probed};
use spanspur_cluster::control;
use spanspur_cluster::{Cluster, ClusterHandle, LeaseTask, NodeConfig};
use spanspur_leases::GossipEntry;
use spanspur_leases::ranking::Ranking;
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use spanspur_operator_config::Operator;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A server that no probe reaches is left alone for so many periods, unless the next probes say otherwise.
const HOLDS_PERIODS: f64 = 2.25;

/// This instance's part in the cluster.
pub struct Shared {
    runtime: Rc<Runtime>,
    handle: ClusterHandle,
    name: Rc<str>,
    operator: RefCell<Operator>,
    news: Rc<ListNews>,
    distribution: Option<Rc<Distribution>>,
    /// News that found no room so far: after more of them the whole board is looked through.
    dropped: Cell<u64>,
    /// The servers that are probed, by their key on the board.
    probed: RefCell<BTreeMap<u64, ServerId>>,
}

impl Shared {
    /// Joins the cluster that the operator's file names; `None` if it names none.
    pub async fn start(
        runtime: &Rc<Runtime>,
        operator: &Operator,
    ) -> Result<Option<Rc<Self>>, String> {
        let Some(cluster) = &operator.cluster else {
            return Ok(None);
        };
        let node = runtime.process_config();
        let name = cluster.name.clone().unwrap_or_else(|| node.name.clone());
        if name.is_empty() {
            return Err("cluster.name: is missing, and the balancer has no name either".into());
        }
        if !cluster.voters.contains(&name) {
            tracing::warn!(
                name,
                "this instance is not among cluster.voters: it votes on no duty"
            );
        }
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let setup = NodeConfig {
            identity: Identity {
                name: name.clone(),
                address: cluster.listen,
                incarnation: unix.unwrap_or_default().as_millis() as u64,
                refutations: 0,
            },
            keys: keys(&cluster.keys),
            seeds: cluster.seeds.clone(),
            voters: cluster.voters.clone(),
            max_clock_skew: cluster.clock_skew_ms,
            probe_timing: ProbeTiming {
                probe_interval: Duration::from_millis(cluster.pace.probe_ms),
                ack_timeout: Duration::from_millis(cluster.pace.answer_ms),
                suspicion_timeout: Duration::from_millis(cluster.pace.suspicion_ms),
            },
            ranking: Ranking(score_of),
            random_seed: node.seed ^ api::Key::of("cluster").0,
        };
        let started = Cluster::start(setup).await;
        let (handle, fresh) =
            started.map_err(|e| format!("cluster.listen: {}: {e}", cluster.listen))?;
        let distribution = match &operator.distribute {
            Some(settings) => Some(Distribution::start(settings, &name, &cluster.keys).await?),
            None => None,
        };
        if let Some(control) = &operator.control {
            let (of_cluster, of_changes) = (
                control::answer_questions(handle.clone()),
                distribution.clone(),
            );
            let answers = Rc::new(move |question: &str| match (question, &of_changes) {
                ("changes", Some(distribution)) => Some(control::to_json(&distribution.answer())),
                _ => of_cluster(question),
            });
            control::serve(answers, &control.socket)
                .map_err(|e| format!("control.socket: {}: {e}", control.socket.display()))?;
        }
        tracing::info!(instance = name, address = %cluster.listen, "joins its cluster");
        let (board, passes_on) = (handle.clone(), distribution.clone());
        let publish = Box::new(move |entries: Vec<GossipEntry>| {
            if let Some(distribution) = &passes_on {
                entries.iter().for_each(|entry| distribution.take(entry));
            }
            board.publish(entries);
        });
        let shared = Rc::new(Self {
            runtime: runtime.clone(),
            news: Rc::new(ListNews::new(publish, distribution.is_some())),
            handle,
            distribution,
            dropped: Cell::new(0),
            name: name.into(),
            operator: RefCell::new(operator.clone()),
            probed: RefCell::default(),
        });
        spawn_local(shared.clone().take_news(fresh));
        spawn_local(shared.clone().follow_list());
        Ok(Some(shared))
    }

    /// Discovery's list, as it goes from one instance to the others.
    pub fn news(&self) -> Rc<ListNews> {
        self.news.clone()
    }

    /// Takes the operator's settings over, which were checked before.
    pub fn configure(&self, operator: Operator) {
        if let Some(cluster) = &operator.cluster {
            self.handle
                .rekey(keys(&cluster.keys), cluster.seeds.clone());
            if let (Some(distribution), Some(settings)) = (&self.distribution, &operator.distribute)
            {
                distribution.configure(settings, &cluster.keys);
            }
        }
        self.operator.replace(operator);
        self.register();
    }

    /// Gives all duties back: the process leaves.
    pub fn leave(&self) {
        self.news.stop();
        self.handle.leave();
    }

    /// The duties follow the list of servers.
    async fn follow_list(self: Rc<Self>) {
        loop {
            self.register();
            self.runtime.endpoints_changed.notified().await;
        }
    }

    fn register(&self) {
        if self.runtime.shutting_down.get() {
            return;
        }
        let operator = self.operator.borrow();
        let mut duties: Vec<Rc<dyn LeaseTask>> = Vec::new();
        let mut probed = BTreeMap::new();
        if let Some(settings) = &operator.duties.probe {
            for (server, address) in self.runtime.endpoint_addresses() {
                let duty = ProbeDuty {
                    server,
                    address,
                    settings: settings.clone(),
                    instance: self.name.clone(),
                    handle: self.handle.clone(),
                };
                probed.insert(duty.key(), server);
                duties.push(Rc::new(duty));
            }
        }
        let list = operator.duties.list.as_ref();
        self.news.configure(list.map(|l| l.max_age_ms));
        if let Some(settings) = list {
            duties.push(Rc::new(ListDuty {
                every_ms: settings.every_ms,
                news: self.news.clone(),
            }));
        }
        // Servers that are gone leave nothing behind.
        let news = &self.news;
        self.handle.with_node(|node, _| {
            node.gossip_store_mut()
                .retain(|e| probed.contains_key(&e.key) || news.is_ours(e));
        });
        self.probed.replace(probed);
        drop(operator);
        self.handle.set_tasks(duties);
    }

    /// What other instances have found, and this one itself, goes into the decisions.
    async fn take_news(self: Rc<Self>, mut fresh: mpsc::Receiver<GossipEntry>) {
        while let Some(entry) = fresh.recv().await {
            if self.news.is_ours(&entry) {
                self.distribute(&entry);
                // A head confirms what is known and changes nothing.
                if let Some(list) = self.news.take(&entry) {
                    self.runtime.update_endpoints(api::UpdateKind::Delta, list);
                }
                continue;
            }
            let server = self.probed.borrow().get(&entry.key).copied();
            if let (Some(server), Ok(probed)) = (server, Probed::read(&entry.value)) {
                self.probe_told(server, probed);
            }
        }
    }

    /// Passes an entry of the list on to balancers outside the cluster.
    fn distribute(&self, entry: &GossipEntry) {
        let Some(distribution) = &self.distribution else {
            return;
        };
        let dropped = self.handle.dropped_updates();
        if self.dropped.replace(dropped) != dropped {
            let board: Vec<GossipEntry> = self
                .handle
                .with_node(|node, _| node.gossip_store().iter().cloned().collect());
            board.iter().for_each(|entry| distribution.take(entry));
        }
        distribution.take(entry);
    }

    fn probe_told(&self, server: ServerId, probed: Probed) {
        let every = match &self.operator.borrow().duties.probe {
            Some(probe) => probe.every_ms as f64 / 1000.0,
            None => return,
        };
        tracing::debug!(%server, ?probed, "probed");
        let shut = probed
            .is_down()
            .then(|| self.runtime.now() + every * HOLDS_PERIODS);
        self.runtime
            .handle_event(Event::HealthChecked(server, shut));
        if let Probed::Answered { ms } | Probed::Slow { ms } = probed {
            self.runtime
                .report_message_time(server, f64::from(ms) / 1000.0);
        }
    }
}

/// The score by which instances rank, for a duty or a follower.
fn score_of(of: u64, instance: u64) -> f64 {
    score(api::Key(of), ServerId(instance), 1.0)
}

fn keys(secrets: &[String]) -> Keys {
    Keys(secrets.iter().map(|s| Key::new(s.as_bytes())).collect())
}
