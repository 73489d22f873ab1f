//! Drives both sides of the distribution on their sockets: a control instance's source and a balancer's follower.

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

/// The answer to the control socket's query `changes`. The JSON names are read by operators' tools.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesAnswer {
    /// The status of the source or follower that answers.
    #[serde(flatten)]
    pub status: ReplicationStatus,
    /// The counters of the source or follower, and the traffic of its socket.
    pub counters: BTreeMap<String, u64>,
}

/// The status of one side of the distribution: a source or a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicationStatus {
    /// The answer of a control instance.
    Source {
        /// The source's status.
        status: SourceStatus,
        /// Maximum number of datagrams with entries that the source sends per second: `distribute.rate` of the
        /// operator's file.
        #[serde(rename = "rate")]
        datagrams_per_second: u32,
    },
    /// The answer of a balancer outside the cluster.
    Follower {
        /// The follower's status.
        status: FollowerStatus,
    },
}

/// A running source. Clones refer to the same source.
#[derive(Clone)]
pub struct SourceDriver(Rc<SourceState>);

struct SourceState {
    endpoint: UdpEndpoint,
    datagrams_per_second: u32,
    source: RefCell<Source>,
}

impl SourceDriver {
    /// Binds the socket at the configured address and serves followers on the current `LocalSet`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(config: SourceConfig) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(config.identity.address).await?;
        let driver = Self(Rc::new(SourceState {
            datagrams_per_second: config.limits.datagrams_per_second,
            source: RefCell::new(Source::new(endpoint.now(), config)),
            endpoint,
        }));
        spawn_local(udp_endpoint::serve(driver.clone()));
        Ok(driver)
    }

    /// Publishes entries of the cluster's gossip store to the followers. Entries that are not newer than the source's
    /// are ignored.
    pub fn publish(&self, entries: &[Entry]) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().publish(now, entries);
    }

    /// Confirms that the published entries are complete as of now.
    pub fn confirm_complete(&self) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().confirm_complete(now);
    }

    /// Replaces the keys that authenticate datagrams between source and followers.
    pub fn rekey(&self, keys: Keys) {
        self.0.source.borrow_mut().rekey(keys);
    }

    /// The answer to the control socket's query `changes`.
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

/// Called after each iteration of the loop with the entries that were updated, usually none, and the age of the data in
/// milliseconds, if known.
pub type UpdateHandler = Box<dyn Fn(&[Entry], Option<Millis>)>;

/// A running follower. Clones refer to the same follower.
#[derive(Clone)]
pub struct FollowerDriver(Rc<FollowerState>);

struct FollowerState {
    endpoint: UdpEndpoint,
    follower: RefCell<Follower>,
    on_update: UpdateHandler,
}

impl FollowerDriver {
    /// Binds the socket at the configured address, where port 0 selects any free port, and polls the sources on the
    /// current `LocalSet`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(mut config: FollowerConfig, on_update: UpdateHandler) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(config.identity.address).await?;
        config.identity.address = endpoint.address()?;
        let driver = Self(Rc::new(FollowerState {
            follower: RefCell::new(Follower::new(endpoint.now(), config)),
            endpoint,
            on_update,
        }));
        spawn_local(udp_endpoint::serve(driver.clone()));
        Ok(driver)
    }

    /// Replaces the keys that authenticate datagrams between source and followers.
    pub fn rekey(&self, keys: Keys) {
        self.0.follower.borrow_mut().rekey(keys);
    }

    /// The answer to the control socket's query `changes`.
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

/// The counters of a source or follower, and those of its socket.
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
