//! Carries out what both ends of the distribution say: a control instance's source, and a balancer's follower.

use crate::udp_endpoint::{self, DatagramHandler, UdpEndpoint};
use serde::{Deserialize, Serialize};
use spanspur_distribution::{
    Effect, Entry, Follower, FollowerSetup, FollowerStatus, Millis, Notice, Source, SourceSetup,
    SourceStatus,
};
use spanspur_membership::Keys;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// What `changes` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesAnswer {
    /// Which end was asked, and how it stands.
    #[serde(flatten)]
    pub end: End,
    /// What was dropped or refused, what was spent, and what went over the socket.
    pub counters: BTreeMap<String, u64>,
}

/// An end of the distribution.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// A control instance, and the pieces a second that it gives at most.
    Source {
        /// How it stands.
        status: SourceStatus,
        /// See `distribute.rate` of the operator's file.
        rate: u32,
    },
    /// A balancer that follows.
    Follower {
        /// How it stands.
        status: FollowerStatus,
    },
}

/// A control instance's end, running.
#[derive(Clone)]
pub struct Distributor(Rc<Distributing>);

struct Distributing {
    endpoint: UdpEndpoint,
    rate: u32,
    source: RefCell<Source>,
}

impl Distributor {
    /// Opens the socket at the setup's address and serves followers on the current `LocalSet`. Fails where the
    /// address is taken or not of this machine.
    pub async fn start(setup: SourceSetup) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(setup.me.address).await?;
        let distributor = Self(Rc::new(Distributing {
            rate: setup.limits.pieces_per_second,
            source: RefCell::new(Source::new(endpoint.now(), setup)),
            endpoint,
        }));
        spawn_local(udp_endpoint::serve(distributor.clone()));
        Ok(distributor)
    }

    /// Takes what the cluster's board has; what is not newer changes nothing.
    pub fn publish(&self, entries: &[Entry]) {
        let now = self.0.endpoint.now();
        self.0.source.borrow_mut().publish(now, entries);
    }

    /// All that was published is all that there is, as of now.
    pub fn heard(&self) {
        self.0.source.borrow_mut().heard(self.0.endpoint.now());
    }

    /// Takes other keys over.
    pub fn rekey(&self, keys: Keys) {
        self.0.source.borrow_mut().rekey(keys);
    }

    /// How it stands.
    pub fn answer(&self) -> ChangesAnswer {
        let source = self.0.source.borrow();
        ChangesAnswer {
            end: End::Source {
                status: source.status(self.0.endpoint.now()),
                rate: self.0.rate,
            },
            counters: counters(source.counters(), &self.0.endpoint),
        }
    }
}

impl DatagramHandler for Distributor {
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
        let effects = self.0.source.borrow_mut().effects();
        for effect in effects {
            match effect {
                Effect::Datagram(to, bytes) => self.0.endpoint.send(to, &bytes),
                Effect::Notice(notice) => log(notice),
                // Only followers take entries.
                Effect::Changed(_) => {}
            }
        }
    }
}

/// Told after each turn: the entries that are new here, none of them often, and how old what is held is at most.
pub type Told = Box<dyn Fn(&[Entry], Option<Millis>)>;

/// A balancer's end, running.
#[derive(Clone)]
pub struct Following(Rc<FollowingAt>);

struct FollowingAt {
    endpoint: UdpEndpoint,
    follower: RefCell<Follower>,
    told: Told,
}

impl Following {
    /// Opens the socket at the setup's address, port 0 for any, and follows the sources on the current `LocalSet`.
    /// Fails where the address is taken or not of this machine.
    pub async fn start(mut setup: FollowerSetup, told: Told) -> io::Result<Self> {
        let endpoint = UdpEndpoint::open(setup.me.address).await?;
        setup.me.address = endpoint.address()?;
        let following = Self(Rc::new(FollowingAt {
            follower: RefCell::new(Follower::new(endpoint.now(), setup)),
            endpoint,
            told,
        }));
        spawn_local(udp_endpoint::serve(following.clone()));
        Ok(following)
    }

    /// Takes other keys over.
    pub fn rekey(&self, keys: Keys) {
        self.0.follower.borrow_mut().rekey(keys);
    }

    /// How it stands.
    pub fn answer(&self) -> ChangesAnswer {
        let follower = self.0.follower.borrow();
        ChangesAnswer {
            end: End::Follower {
                status: follower.status(self.0.endpoint.now()),
            },
            counters: counters(follower.counters(), &self.0.endpoint),
        }
    }
}

impl DatagramHandler for Following {
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
        let effects = self.0.follower.borrow_mut().effects();
        let mut changed = Vec::new();
        for effect in effects {
            match effect {
                Effect::Datagram(to, bytes) => self.0.endpoint.send(to, &bytes),
                Effect::Notice(notice) => log(notice),
                Effect::Changed(entry) => changed.push(entry),
            }
        }
        let age = self.0.follower.borrow().age(self.0.endpoint.now());
        (self.0.told)(&changed, age);
    }
}

fn counters(own: BTreeMap<&'static str, u64>, endpoint: &UdpEndpoint) -> BTreeMap<String, u64> {
    let traffic = endpoint.traffic().named_counters();
    let all = own.into_iter().chain(traffic);
    all.map(|(name, count)| (name.to_owned(), count)).collect()
}

fn log(notice: Notice) {
    match notice {
        Notice::Silent(source) => tracing::warn!(source, "a followed source does not answer"),
        Notice::Back(source) => tracing::info!(source, "a followed source answers again"),
        Notice::Dark(true) => {
            tracing::warn!("no followed source answers: goes on with what is known");
        }
        Notice::Dark(false) => tracing::info!("a followed source answers again after the dark"),
        Notice::Full => tracing::info!("has all that a followed source has"),
    }
}
