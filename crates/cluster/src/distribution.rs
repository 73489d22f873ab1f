//! Drives both sides of the replication over sockets: a control instance's source, and a balancer's follower.

use crate::udp_endpoint::{self, DatagramHandler, UdpEndpoint};
use serde::{Deserialize, Serialize};
use spanspur_distribution::{
    Entry, Event, Follower, FollowerConfig, FollowerStatus, Millis, Output, Source, SourceConfig,
    SourceStatus,
};
use spanspur_membership::Keys;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The answer to the control request `changes`. The JSON names are read by tools and stay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesAnswer {
    /// The status of the side that was asked.
    #[serde(flatten)]
    pub status: ReplicationStatus,
    /// What was dropped, rejected and spent, and the traffic of the socket.
    pub counters: BTreeMap<String, u64>,
}

/// The status of one side of the replication.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicationStatus {
    /// A control instance.
    Source {
        /// Its status.
        status: SourceStatus,
        /// The most datagrams with rows that it sends in a second: `distribute.rate` of the operator's file.
        #[serde(rename = "rate")]
        datagrams_per_second: u32,
    },
    /// A balancer.
    Follower {
        /// Its status.
        status: FollowerStatus,
    },
}

/// A running source. Clones refer to the same source.
#[derive(Clone)]
pub struct SourceDriver(Rc<SourceTask>);

struct SourceTask {
    endpoint: UdpEndpoint,
    datagrams_per_second: u32,
    source: RefCell<Source>,
}

impl SourceDriver {
    /// Binds the socket at the configured address and serves followers on the current `LocalSet`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(config: SourceConfig) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(config.identity.address).await?;
        let driver = Self(Rc::new(SourceTask {
            datagrams_per_second: config.limits.datagrams_per_second,
            source: RefCell::new(Source::new(endpoint.now(), config)),
            endpoint,
        }));
        spawn_local(udp_endpoint::serve(driver.clone()));
        Ok(driver)
    }

    /// Takes entries from the cluster's gossip store; those that are not newer change nothing.
    pub fn publish(&self, entries: &[Entry]) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().publish(now, entries);
    }

    /// All that was published is all that exists, as of now.
    pub fn confirm_complete(&self) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().confirm_complete(now);
    }

    /// Replaces the cluster's keys.
    pub fn rekey(&self, keys: Keys) {
        self.0.source.borrow_mut().rekey(keys);
    }

    /// The answer to the control request `changes`.
    pub fn answer(&self) -> ChangesAnswer {
        let source = self.0.source.borrow();
        ChangesAnswer {
            status: ReplicationStatus::Source {
                status: source.status(self.0.endpoint.now()),
                datagrams_per_second: self.0.datagrams_per_second,
            },
            counters: all_counters(source.counters(), &self.0.endpoint),
        }
    }
}

impl DatagramHandler for SourceDriver {
    fn endpoint(&self) -> &UdpEndpoint {
        &self.0.endpoint
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().receive(now, from, bytes);
    }

    fn next_wake(&self) -> Millis {
        self.0.source.borrow().next_wake()
    }

    fn wake(&self) {
        self.0.source.borrow_mut().wake(self.0.endpoint.now());
    }

    fn apply_effects(&self) {
        let outputs = self.0.source.borrow_mut().take_outputs();
        for output in outputs {
            match output {
                Output::Datagram(to, bytes) => self.0.endpoint.send(to, &bytes),
                Output::Event(event) => log_event(event),
                // Only followers emit updates.
                Output::EntryUpdated(_) => {}
            }
        }
    }
}

/// Called after each turn with the entries that were updated, of most turns none, and the age of the data in
/// milliseconds, if it is known.
pub type UpdateHandler = Box<dyn Fn(&[Entry], Option<Millis>)>;

/// A running follower. Clones refer to the same follower.
#[derive(Clone)]
pub struct FollowerDriver(Rc<FollowerTask>);

struct FollowerTask {
    endpoint: UdpEndpoint,
    follower: RefCell<Follower>,
    on_update: UpdateHandler,
}

impl FollowerDriver {
    /// Binds the socket at the configured address, port 0 for any, and polls the sources on the current `LocalSet`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(mut config: FollowerConfig, on_update: UpdateHandler) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(config.identity.address).await?;
        config.identity.address = endpoint.address()?;
        let driver = Self(Rc::new(FollowerTask {
            follower: RefCell::new(Follower::new(endpoint.now(), config)),
            endpoint,
            on_update,
        }));
        spawn_local(udp_endpoint::serve(driver.clone()));
        Ok(driver)
    }

    /// Replaces the cluster's keys.
    pub fn rekey(&self, keys: Keys) {
        self.0.follower.borrow_mut().rekey(keys);
    }

    /// The answer to the control request `changes`.
    pub fn answer(&self) -> ChangesAnswer {
        let follower = self.0.follower.borrow();
        ChangesAnswer {
            status: ReplicationStatus::Follower {
                status: follower.status(self.0.endpoint.now()),
            },
            counters: all_counters(follower.counters(), &self.0.endpoint),
        }
    }
}

impl DatagramHandler for FollowerDriver {
    fn endpoint(&self) -> &UdpEndpoint {
        &self.0.endpoint
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.0.endpoint.now();
        self.0.follower.borrow_mut().receive(now, from, bytes);
    }

    fn next_wake(&self) -> Millis {
        self.0.follower.borrow().next_wake()
    }

    fn wake(&self) {
        self.0.follower.borrow_mut().wake(self.0.endpoint.now());
    }

    fn apply_effects(&self) {
        let outputs = self.0.follower.borrow_mut().take_outputs();
        let mut updated = Vec::new();
        for output in outputs {
            match output {
                Output::Datagram(to, bytes) => self.0.endpoint.send(to, &bytes),
                Output::Event(event) => log_event(event),
                Output::EntryUpdated(entry) => updated.push(entry),
            }
        }
        let data_age = self.0.follower.borrow().data_age(self.0.endpoint.now());
        (self.0.on_update)(&updated, data_age);
    }
}

/// The counters of one side, and those of its socket.
fn all_counters(own: BTreeMap<&'static str, u64>, endpoint: &UdpEndpoint) -> BTreeMap<String, u64> {
    let traffic = endpoint.traffic().named_counters();
    let all = own.into_iter().chain(traffic);
    all.map(|(name, count)| (name.to_owned(), count)).collect()
}

fn log_event(event: Event) {
    match event {
        Event::SourceDisconnected(source) => tracing::warn!(source, "source disconnected"),
        Event::SourceReconnected(source) => tracing::info!(source, "source reconnected"),
        Event::Disconnected(true) => {
            tracing::warn!("all sources disconnected, serving last known entries");
        }
        Event::Disconnected(false) => tracing::info!("reconnected to a source"),
        Event::Synchronized => tracing::info!("entries synchronized with a source"),
    }
}
