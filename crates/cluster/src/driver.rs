//! Carries a node's effects out: one datagram socket, one clock, one task for each duty under way.

use crate::hook::{Duty, Work};
use crate::node::{Effect, Node, Notice, Setup};
pub use crate::port::Traffic;
use crate::port::{self, Endpoint, Port};
use spanspur_leases::GossipEntry;
use spanspur_leases::{Clocks, LeaseGrant, Millis};
use spanspur_membership::Keys;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Duties done at the same time. Each may hold a descriptor, and those come out of the few that the balancer keeps
/// for itself; more wait, as long as their grants hold.
const MAX_PERFORMING: usize = 16;
/// News that waits for whoever is interested in it.
const MAX_NEWS: usize = 16_384;

struct Shared {
    node: RefCell<Node>,
    duties: RefCell<BTreeMap<String, Rc<dyn Duty>>>,
    work: Work,
    port: Port,
    performing: Semaphore,
    news: mpsc::Sender<GossipEntry>,
    /// News that found no room.
    news_dropped: Cell<u64>,
}

/// A running instance of a cluster.
pub struct Cluster;

/// What the rest of the program holds of it.
#[derive(Clone)]
pub struct Handle(Rc<Shared>);

impl Cluster {
    /// Opens the socket and starts the instance on the current `LocalSet`. News of other instances' results comes
    /// out of the receiver.
    pub async fn start(setup: Setup) -> io::Result<(Handle, mpsc::Receiver<GossipEntry>)> {
        let port = Port::open(setup.me.address).await?;
        let work = Work {
            origin: port.origin(),
        };
        let (news, fresh) = mpsc::channel(MAX_NEWS);
        let shared = Rc::new(Shared {
            node: RefCell::new(Node::new(now_of(work), setup)),
            duties: RefCell::default(),
            work,
            port,
            performing: Semaphore::new(MAX_PERFORMING),
            news,
            news_dropped: Cell::new(0),
        });
        let handle = Handle(shared);
        spawn_local(port::run(handle.clone()));
        Ok((handle, fresh))
    }
}

fn now_of(work: Work) -> Clocks {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Clocks {
        monotonic: work.now(),
        wall: unix.unwrap_or_default().as_millis() as Millis,
    }
}

impl Handle {
    /// Takes the duties over that are to be done from now on: new ones begin, missing ones are given back.
    pub fn duties(&self, duties: Vec<Rc<dyn Duty>>) {
        let named: BTreeMap<String, Rc<dyn Duty>> =
            duties.into_iter().map(|duty| (duty.name(), duty)).collect();
        let every = named.iter().map(|(n, duty)| (n.clone(), duty.every_ms()));
        let every: BTreeMap<String, Millis> = every.collect();
        self.0.duties.replace(named);
        self.with(|node, now| node.configure(now, &every));
    }

    /// Takes other keys and seeds over.
    pub fn rekey(&self, keys: Keys, seeds: Vec<SocketAddr>) {
        self.with(|node, _| node.rekey(keys, seeds));
    }

    /// Puts results on the board.
    pub fn publish(&self, entries: Vec<GossipEntry>) {
        self.with(|node, now| node.publish(now, entries));
    }

    /// Gives all duties back and says farewell to the others.
    pub fn leave(&self) {
        self.with(|node, now| node.leave(now));
    }

    /// The clock of the grants.
    pub fn work(&self) -> Work {
        self.0.work
    }

    /// What went over the socket.
    pub fn traffic(&self) -> Traffic {
        self.0.port.traffic()
    }

    /// News dropped since nobody took it; it is on the board all the same.
    pub fn news_dropped(&self) -> u64 {
        self.0.news_dropped.get()
    }

    /// Looks at the node, or changes it, and carries out what comes of that.
    pub fn with<T>(&self, change: impl FnOnce(&mut Node, Clocks) -> T) -> T {
        let now = now_of(self.0.work);
        let result = change(&mut self.0.node.borrow_mut(), now);
        self.carry_out();
        self.0.port.touch();
        result
    }

    fn tell(&self, entry: GossipEntry) {
        if self.0.news.try_send(entry).is_err() {
            self.0.news_dropped.set(self.0.news_dropped.get() + 1);
        }
    }

    fn perform(&self, grant: LeaseGrant) {
        let name = self.0.node.borrow().duty_name(grant.lease).to_owned();
        let Some(duty) = self.0.duties.borrow().get(&name).cloned() else {
            return;
        };
        let handle = self.clone();
        spawn_local(async move {
            let work = handle.0.work;
            let start = work.now();
            let left = Duration::from_millis(grant.valid_until.saturating_sub(start));
            let place = timeout(left, handle.0.performing.acquire()).await;
            let in_time = matches!(place, Ok(Ok(_))) && work.holds(&grant);
            let mut result = Vec::new();
            if in_time {
                tracing::debug!(duty = name, period = grant.fencing_token, "performs");
                let left = Duration::from_millis(grant.valid_until.saturating_sub(work.now()));
                match timeout(left, duty.perform(grant, work)).await {
                    Ok(entries) => result = entries,
                    Err(_) => {
                        tracing::warn!(
                            duty = name,
                            period = grant.fencing_token,
                            "cut off: not done within its period"
                        );
                    }
                }
            } else {
                tracing::warn!(
                    duty = name,
                    period = grant.fencing_token,
                    "not performed: the grant has run out"
                );
            }
            let took = work.now() - start;
            tracing::trace!(
                duty = name,
                period = grant.fencing_token,
                took_ms = took,
                "performed"
            );
            handle.with(|node, now| {
                node.performed(&grant, in_time);
                node.publish(now, result.clone());
            });
            // What was found here counts here as well.
            for entry in result {
                handle.tell(entry);
            }
        });
    }

    fn log(&self, notice: Notice) {
        let node = self.0.node.borrow();
        match notice {
            Notice::Up(who) => {
                tracing::info!(instance = who.name, address = %who.address, "an instance is there");
            }
            Notice::Down(who) => {
                tracing::warn!(instance = who.name, address = %who.address, "an instance is gone");
            }
            Notice::Renewed => tracing::warn!("the others held this instance for gone"),
            Notice::Missed(duty, periods) => {
                tracing::warn!(
                    duty = node.duty_name(duty),
                    periods,
                    "periods passed undone"
                );
            }
            Notice::Minority(duty, true) => {
                tracing::warn!(
                    duty = node.duty_name(duty),
                    "no majority of its voters: not performed here"
                );
            }
            Notice::Minority(duty, false) => {
                tracing::info!(
                    duty = node.duty_name(duty),
                    "a majority of its voters again"
                );
            }
            Notice::Holds(duty, true) => {
                tracing::info!(duty = node.duty_name(duty), "the duty comes here");
            }
            Notice::Holds(duty, false) => {
                tracing::debug!(duty = node.duty_name(duty), "the duty is not here");
            }
        }
    }
}

impl Endpoint for Handle {
    fn port(&self) -> &Port {
        &self.0.port
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = now_of(self.0.work);
        self.0.node.borrow_mut().receive(now, from, bytes);
    }

    fn next_wake(&self) -> Millis {
        self.0.node.borrow().next_wake()
    }

    fn wake(&self) {
        self.0.node.borrow_mut().wake(now_of(self.0.work));
    }

    fn carry_out(&self) {
        let effects = self.0.node.borrow_mut().effects();
        for effect in effects {
            match effect {
                Effect::Datagram(to, bytes) => self.0.port.send(to, &bytes),
                Effect::Perform(grant) => self.perform(grant),
                Effect::News(entry) => self.tell(entry),
                Effect::Notice(notice) => self.log(notice),
            }
        }
    }
}
