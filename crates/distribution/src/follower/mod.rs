//! A balancer's side: polls two sources for changes, and applies only entries that are newer than those held.
//!
//! A cursor and a resynchronization are valid only for one incarnation of a source. A follower resynchronizes with one
//! source at a time, whatever the other sources respond meanwhile, so that nothing is transferred twice. A source that
//! does not respond is replaced by the next source in order of preference, and retried periodically. While all sources
//! are disconnected, the follower keeps its entries, and the age of its data grows.
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | the follower's configuration |
//! | `source_state` | the state of one source: cursor, pending request, synchronization time |
//! | `assignment` | assignment of the sources to poll, failover |
//! | `polling` | sending of requests, timeouts and retries |
//! | `responses` | handling of responses |
//! | `resync` | anti-entropy, as a state machine without I/O |
//! | `versions_held` | the versions listed in a resynchronization's requests |
//! | `resync_driver` | start of a resynchronization, its requests and responses |
//! | `status` | the status for operators |

mod assignment;
mod config;
mod polling;
mod responses;
mod resync;
mod resync_driver;
mod source_state;
mod status;
mod versions_held;

pub use config::{FollowerConfig, MAX_SOURCES, PollSchedule};
pub use polling::{MAX_MISSED_RESPONSES, MAX_RETRY_AFTER, MAX_TIMEOUT_FACTOR};
pub use responses::RESYNC_IF_DIVERGED_FOR;
pub use status::{FollowedSourceStatus, FollowerStatus};

use crate::channel::Channel;
use crate::messages;
use crate::source_selection::{self, Assignment, KnownSource, SourceIndex};
use crate::store::EntryStore;
use crate::{Millis, Output};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use resync::Resync;
use source_state::SourceState;
use spanspur_membership::authentication::{DatagramError, DatagramKind, OpenedDatagram};
use spanspur_membership::{Keys, handshake};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of handshakes answered per second.
const HANDSHAKES_PER_SECOND: u32 = 256;

/// A balancer's side of the replication. See the module's documentation.
pub struct Follower {
    schedule: PollSchedule,
    sources: Vec<KnownSource>,
    /// Parallel to `sources`.
    states: Vec<SourceState>,
    /// The sources in order of preference.
    preference: Vec<SourceIndex>,
    assignment: Assignment,
    /// When the primary source is first polled. It is polled again at every interval after that, and the secondary
    /// half an interval later.
    first_poll: Millis,
    channel: Channel,
    store: EntryStore,
    resync: Option<Resync>,
    last_nonce: u32,
    synchronized: bool,
    disconnected: bool,
    rng: ChaCha8Rng,
}

impl Follower {
    /// A follower that holds nothing and has no sessions.
    pub fn new(now: Millis, config: FollowerConfig) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let known = config.sources.into_iter().take(MAX_SOURCES);
        let sources: Vec<KnownSource> = known
            .map(|endpoint| KnownSource {
                id: handshake::id_of(&endpoint.name),
                endpoint,
            })
            .collect();
        let first_poll = now + rng.random_range(0..config.schedule.poll_interval.max(1));
        let preference = source_selection::rank_sources(
            handshake::id_of(&config.identity.name),
            config.location,
            &sources,
            config.score,
        );
        let mut follower = Self {
            schedule: config.schedule,
            states: vec![SourceState::new(first_poll); sources.len()],
            sources,
            preference,
            assignment: Assignment::default(),
            first_poll,
            channel: Channel::new(config.identity, config.keys, HANDSHAKES_PER_SECOND),
            store: EntryStore::default(),
            resync: None,
            last_nonce: 0,
            synchronized: false,
            disconnected: false,
            rng,
        };
        follower.assign_sources(now);
        follower
    }

    /// Handles a datagram. An invalid one is counted and dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.channel.open(bytes) {
            Ok(opened) => opened,
            Err(error) => {
                if error == DatagramError::OtherIncarnation && self.is_source_address(from) {
                    self.channel.start_handshake(now, from);
                }
                return;
            }
        };
        let known = self.sources.iter().position(|s| s.id == opened.sender);
        let Some(source) = known else {
            self.channel.drop_session(opened.sender);
            return self.channel.count("stranger");
        };
        match opened.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                self.receive_handshake(now, source, &opened)
            }
            DatagramKind::Data => self.receive_response(now, source, &opened),
        }
    }

    fn is_source_address(&self, address: SocketAddr) -> bool {
        self.sources.iter().any(|s| s.endpoint.address == address)
    }

    fn receive_handshake(&mut self, now: Millis, source: SourceIndex, opened: &OpenedDatagram<'_>) {
        if self.channel.peer_identity(opened).is_none() {
            return;
        }
        if opened.kind == DatagramKind::Greeting || opened.is_new_incarnation {
            let address = self.sources[source].endpoint.address;
            self.channel
                .answer_handshake(now, address, opened.incarnation);
        }
        // No datagram of this incarnation was received before. What was pending is requested again at once.
        if opened.is_new_incarnation {
            self.states[source].pending_request = None;
            self.mark_responsive(now, source);
            self.states[source].next_poll = now;
            self.wake(now);
        }
    }

    fn receive_response(&mut self, now: Millis, source: SourceIndex, opened: &OpenedDatagram<'_>) {
        if opened.is_new_incarnation {
            let address = self.sources[source].endpoint.address;
            self.channel.start_handshake(now, address);
        }
        match messages::decode_response(opened.body) {
            Ok((response, payload)) => {
                self.handle_response(now, source, opened.incarnation, &response, payload);
            }
            Err(error) => self.channel.count(error.counter()),
        }
    }

    /// The time at which [`Follower::wake`] has to be called at the latest.
    pub fn next_wake(&self) -> Millis {
        let states = self.states.iter().enumerate();
        let due = states.filter_map(|(source, state)| self.next_action_at(source, state));
        due.min().unwrap_or(Millis::MAX)
    }

    /// Handles expired timeouts and sends requests that are due.
    pub fn wake(&mut self, now: Millis) {
        for source in 0..self.states.len() {
            self.advance_polling(now, source);
        }
    }

    /// Takes the queued outputs for the driver, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.channel.take_outputs()
    }

    /// The replicated entries.
    pub fn store(&self) -> &EntryStore {
        &self.store
    }

    /// The age of the data, in milliseconds: the follower holds everything that was written longer ago. `None` until a
    /// source that has heard from a writer has sent everything that it had.
    pub fn data_age(&self, now: Millis) -> Option<Millis> {
        let states = self.states.iter();
        let newest = states.filter_map(|state| state.synced_as_of).max()?;
        Some(elapsed_since(newest, now))
    }

    /// Whether the follower has held, at least once, all entries of a source that had heard from a writer.
    pub fn is_synchronized(&self) -> bool {
        self.synchronized
    }

    /// The counters of dropped and rejected messages, requests and sent data, by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.channel.counters()
    }

    /// Replaces the cluster's keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.channel.rekey(keys);
    }
}

/// Milliseconds since a time that may be before the start of the clock, 0 if it is in the future.
fn elapsed_since(time: i64, now: Millis) -> Millis {
    (now as i64).saturating_sub(time).max(0) as Millis
}
