//! The state that sources and followers have in common: the handshake with peers, authenticated sessions, counters and
//! the queue of outputs.

use crate::{Event, MAX_NAME, Millis, Output};
use spanspur_membership::authentication::{DatagramError, DatagramKind, OpenedDatagram};
use spanspur_membership::{Handshakes, Identity, Keys, Sessions, handshake};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Exchanges authenticated datagrams with peers. Collects counters and queues outputs.
pub(crate) struct Channel {
    identity: Identity,
    sessions: Sessions,
    handshakes: Handshakes,
    outputs: Vec<Output>,
    counters: BTreeMap<&'static str, u64>,
}

impl Channel {
    /// A channel without sessions. It answers at most `handshakes_per_second` handshakes per second.
    pub(crate) fn new(identity: Identity, keys: Keys, handshakes_per_second: u32) -> Self {
        let id = handshake::id_of(&identity.name);
        Self {
            sessions: Sessions::new(id, identity.incarnation, keys),
            handshakes: Handshakes::new(handshakes_per_second),
            outputs: Vec::new(),
            counters: BTreeMap::new(),
            identity,
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.identity.name
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.identity.incarnation
    }

    /// Replaces the cluster's keys.
    pub(crate) fn rekey(&mut self, keys: Keys) {
        self.sessions.rekey(keys);
    }

    /// Whether a session with this peer is established.
    pub(crate) fn has_session(&self, peer: u64) -> bool {
        self.sessions.incarnation_of(peer).is_some()
    }

    /// Drops the session with a peer.
    pub(crate) fn drop_session(&mut self, peer: u64) {
        self.sessions.forget(peer);
    }

    /// Authenticates a datagram. A rejected one is counted by its reason.
    pub(crate) fn open<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<OpenedDatagram<'a>, DatagramError> {
        let opened = self.sessions.open(bytes);
        if let Err(error) = &opened {
            self.count(error.counter_name());
        }
        opened
    }

    /// Verifies and returns the identity in a greeting or an answer. An invalid one is counted by its reason.
    pub(crate) fn peer_identity(&mut self, opened: &OpenedDatagram<'_>) -> Option<Identity> {
        match handshake::verify_identity(opened, &self.identity.name) {
            Ok(identity) if identity.name.len() <= MAX_NAME => Some(identity),
            Ok(_) => {
                self.count("name-too-long");
                None
            }
            Err(error) => {
                self.count(error.counter_name());
                None
            }
        }
    }

    /// Starts a handshake by sending a greeting to an address, unless one was sent recently.
    pub(crate) fn start_handshake(&mut self, now: Millis, to: SocketAddr) {
        let greeting = self
            .handshakes
            .build_greeting(now, &self.sessions, &self.identity, to);
        if let Some(bytes) = greeting {
            self.outputs.push(Output::Datagram(to, bytes));
        }
    }

    /// Sends a handshake answer that is bound to a peer's incarnation, within the rate limit.
    pub(crate) fn answer_handshake(&mut self, now: Millis, to: SocketAddr, incarnation: u64) {
        let answer = self
            .handshakes
            .build_answer(now, &self.sessions, &self.identity, incarnation);
        match answer {
            Some(bytes) => self.outputs.push(Output::Datagram(to, bytes)),
            None => self.count("greetings-unanswered"),
        }
    }

    /// Seals and sends a message. Returns `false` if there is no session with the peer, or if the message is too large.
    pub(crate) fn send(&mut self, peer: u64, to: SocketAddr, body: &[u8]) -> bool {
        let Some(bytes) = self.sessions.seal(peer, DatagramKind::Data, body) else {
            return false;
        };
        self.add("bytes", bytes.len() as u64);
        self.outputs.push(Output::Datagram(to, bytes));
        true
    }

    /// Queues an output.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Queues an event for the log.
    pub(crate) fn emit(&mut self, event: Event) {
        self.push(Output::Event(event));
    }

    /// Takes the queued outputs, in order.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn count(&mut self, counter: &'static str) {
        self.add(counter, 1);
    }

    pub(crate) fn add(&mut self, counter: &'static str, amount: u64) {
        *self.counters.entry(counter).or_default() += amount;
    }

    pub(crate) fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.clone()
    }
}
