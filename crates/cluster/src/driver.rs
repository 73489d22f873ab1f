//! Carries out a node's effects with one UDP socket, one clock and one asynchronous task per grant.

use crate::lease_task::{GrantClock, LeaseTask};
use crate::node::{Effect, Node, NodeConfig, Notice};
pub use crate::udp_endpoint::Traffic;
use crate::udp_endpoint::{self, DatagramHandler, UdpEndpoint};
use spanspur_leases::{Clocks, GossipEntry, LeaseGrant, Millis};
use spanspur_membership::Keys;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum number of tasks that run at the same time. Each may hold a file descriptor, and these are taken from the few
/// that the balancer reserves for itself. Further tasks wait while their grants are valid.
const MAX_RUNNING_TASKS: usize = 16;
/// Maximum number of updated entries queued for the receiver.
const MAX_QUEUED_UPDATES: usize = 16_384;

struct ClusterState {
    node: RefCell<Node>,
    tasks: RefCell<BTreeMap<String, Rc<dyn LeaseTask>>>,
    clock: GrantClock,
    endpoint: UdpEndpoint,
    task_permits: Semaphore,
    updates: mpsc::Sender<GossipEntry>,
    dropped_updates: Cell<u64>,
}

/// Starts instances of a cluster.
pub struct Cluster;

/// A running instance of a cluster.
#[derive(Clone)]
pub struct ClusterHandle(Rc<ClusterState>);

impl Cluster {
    /// Opens the socket and starts the instance on the current `LocalSet`. The returned receiver gets every entry that
    /// is new in the gossip store, except updates dropped while its queue is full
    /// ([`ClusterHandle::dropped_updates`]).
    ///
    /// # Errors
    ///
    /// If the address is in use or does not belong to this machine.
    pub async fn start(
        config: NodeConfig,
    ) -> io::Result<(ClusterHandle, mpsc::Receiver<GossipEntry>)> {
        let endpoint = UdpEndpoint::open(config.identity.address).await?;
        let clock = GrantClock {
            origin: endpoint.origin(),
        };
        let (updates, receiver) = mpsc::channel(MAX_QUEUED_UPDATES);
        let state = Rc::new(ClusterState {
            node: RefCell::new(Node::new(read_clocks(clock), config)),
            tasks: RefCell::default(),
            clock,
            endpoint,
            task_permits: Semaphore::new(MAX_RUNNING_TASKS),
            updates,
            dropped_updates: Cell::new(0),
        });
        let handle = ClusterHandle(state);
        spawn_local(udp_endpoint::serve(handle.clone()));
        Ok((handle, receiver))
    }
}

fn read_clocks(clock: GrantClock) -> Clocks {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Clocks {
        monotonic: clock.now(),
        wall: unix.unwrap_or_default().as_millis() as Millis,
    }
}

/// The outcome of a grant.
struct TaskOutcome {
    /// Whether the task was started before its grant expired.
    in_time: bool,
    /// The entries to be published.
    entries: Vec<GossipEntry>,
}

impl ClusterHandle {
    /// Replaces the tasks. Leases of added tasks are created, and leases of removed tasks are released.
    pub fn set_tasks(&self, tasks: Vec<Rc<dyn LeaseTask>>) {
        let tasks: BTreeMap<String, Rc<dyn LeaseTask>> =
            tasks.into_iter().map(|task| (task.name(), task)).collect();
        let intervals: BTreeMap<String, Millis> = tasks
            .iter()
            .map(|(name, task)| (name.clone(), task.interval_ms()))
            .collect();
        self.0.tasks.replace(tasks);
        self.with_node(|node, now| node.configure(now, &intervals));
    }

    /// Replaces the cluster's keys and the seeds.
    pub fn rekey(&self, keys: Keys, seeds: Vec<SocketAddr>) {
        self.with_node(|node, _| node.rekey(keys, seeds));
    }

    /// Publishes entries to the gossip stores of all instances.
    pub fn publish(&self, entries: Vec<GossipEntry>) {
        self.with_node(|node, now| node.publish(now, entries));
    }

    /// Releases all leases and leaves the cluster.
    pub fn leave(&self) {
        self.with_node(|node, now| node.leave(now));
    }

    /// The clock on which grants expire.
    pub fn clock(&self) -> GrantClock {
        self.0.clock
    }

    /// The traffic of the socket so far.
    pub fn traffic(&self) -> Traffic {
        self.0.endpoint.traffic()
    }

    /// The number of updates that were dropped because the receiver's queue was full. The gossip store has their entries
    /// nevertheless.
    pub fn dropped_updates(&self) -> u64 {
        self.0.dropped_updates.get()
    }

    /// Reads or changes the node, and carries out the resulting effects.
    pub fn with_node<T>(&self, change: impl FnOnce(&mut Node, Clocks) -> T) -> T {
        let now = read_clocks(self.0.clock);
        let result = change(&mut self.0.node.borrow_mut(), now);
        self.apply_effects();
        self.0.endpoint.reschedule();
        result
    }

    fn queue_update(&self, entry: GossipEntry) {
        if self.0.updates.try_send(entry).is_err() {
            self.0.dropped_updates.set(self.dropped_updates() + 1);
        }
    }

    fn spawn_task(&self, grant: LeaseGrant) {
        let name = self.0.node.borrow().lease_name(grant.lease).to_owned();
        let Some(task) = self.0.tasks.borrow().get(&name).cloned() else {
            return;
        };
        let handle = self.clone();
        spawn_local(async move {
            let started_at = handle.0.clock.now();
            // The permit is held until the results are published.
            let permit = handle.acquire_permit(&grant).await;
            let outcome = match &permit {
                Some(_) => handle.run_task(&name, task.as_ref(), grant).await,
                None => handle.skip_task(&name, grant),
            };
            tracing::trace!(
                lease = name,
                term = grant.fencing_token,
                took_ms = handle.0.clock.now() - started_at,
                "lease task ended"
            );
            handle.with_node(|node, now| {
                node.record_completion(&grant, outcome.in_time);
                node.publish(now, outcome.entries.clone());
            });
            // The receiver gets this instance's own results as well.
            for entry in outcome.entries {
                handle.queue_update(entry);
            }
        });
    }

    /// Waits until another task may run; `None` if the grant expires first.
    async fn acquire_permit(&self, grant: &LeaseGrant) -> Option<SemaphorePermit<'_>> {
        let acquired = timeout(self.remaining(grant), self.0.task_permits.acquire()).await;
        let permit = acquired.ok()?.ok()?;
        self.0.clock.is_valid(grant).then_some(permit)
    }

    fn skip_task(&self, name: &str, grant: LeaseGrant) -> TaskOutcome {
        tracing::warn!(
            lease = name,
            term = grant.fencing_token,
            "lease task skipped: grant expired"
        );
        TaskOutcome {
            in_time: false,
            entries: Vec::new(),
        }
    }

    /// Runs a task until it ends or its grant expires.
    async fn run_task(&self, name: &str, task: &dyn LeaseTask, grant: LeaseGrant) -> TaskOutcome {
        let term = grant.fencing_token;
        tracing::debug!(lease = name, term, "lease task started");
        let result = timeout(self.remaining(&grant), task.run(grant, self.0.clock)).await;
        if result.is_err() {
            tracing::warn!(lease = name, term, "lease task cancelled: grant expired");
        }
        TaskOutcome {
            in_time: true,
            entries: result.unwrap_or_default(),
        }
    }

    /// The remaining validity of a grant.
    fn remaining(&self, grant: &LeaseGrant) -> Duration {
        Duration::from_millis(grant.valid_until.saturating_sub(self.0.clock.now()))
    }

    fn log_notice(&self, notice: Notice) {
        let node = self.0.node.borrow();
        match notice {
            Notice::MemberUp(member) => {
                tracing::info!(instance = member.name, address = %member.address, "cluster member up");
            }
            Notice::MemberDown(member) => {
                tracing::warn!(instance = member.name, address = %member.address, "cluster member down");
            }
            Notice::DownRefuted => {
                tracing::warn!("this instance was declared down by the cluster, refuted")
            }
            Notice::TermsMissed { lease, terms } => {
                tracing::warn!(lease = node.lease_name(lease), terms, "lease terms missed");
            }
            Notice::QuorumChanged { lease, is_lost } => {
                let lease = node.lease_name(lease);
                match is_lost {
                    true => tracing::warn!(lease, "lease quorum lost"),
                    false => tracing::info!(lease, "lease quorum restored"),
                }
            }
            Notice::HoldingChanged { lease, is_held } => {
                let lease = node.lease_name(lease);
                match is_held {
                    true => tracing::info!(lease, "lease acquired"),
                    false => tracing::debug!(lease, "lease no longer held"),
                }
            }
        }
    }
}

impl DatagramHandler for ClusterHandle {
    fn endpoint(&self) -> &UdpEndpoint {
        &self.0.endpoint
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = read_clocks(self.0.clock);
        self.0.node.borrow_mut().receive(now, from, bytes);
    }

    fn next_wake(&self) -> Millis {
        self.0.node.borrow().next_wake()
    }

    fn wake(&self) {
        let now = read_clocks(self.0.clock);
        self.0.node.borrow_mut().wake(now);
    }

    fn apply_effects(&self) {
        let effects = self.0.node.borrow_mut().take_effects();
        for effect in effects {
            match effect {
                Effect::Datagram(to, bytes) => self.0.endpoint.send(to, &bytes),
                Effect::Granted(grant) => self.spawn_task(grant),
                Effect::EntryUpdated(entry) => self.queue_update(entry),
                Effect::Notice(notice) => self.log_notice(notice),
            }
        }
    }
}
