//! The payloads of datagrams, and how lists are split between datagrams.

use super::{Effect, Node};
use serde::{Deserialize, Serialize};
use spanspur_leases::gossip_store::OutgoingGossip;
use spanspur_leases::{Clocks, GossipMessage, InstanceId, Message};
use spanspur_membership::authentication::{DatagramKind, MAX_DATAGRAM, OVERHEAD};
use std::net::SocketAddr;

/// Reserve for the variable-length integers in front of a payload's list, in bytes.
const PREFIX_RESERVE_BYTES: usize = 16;
/// Maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM - OVERHEAD - PREFIX_RESERVE_BYTES;

/// The payload of a datagram, encoded as postcard: the order of variants and fields must not change.
#[derive(Serialize, Deserialize)]
pub(super) enum Payload {
    /// A message of the membership.
    Membership(Vec<u8>),
    /// The sender's hash of the voters, which must match the recipient's, and messages about leases.
    Leases(u64, Vec<Message>),
    /// A message of the gossip store.
    Gossip(GossipMessage),
}

impl Node {
    pub(super) fn send_lease_messages(
        &mut self,
        now: Clocks,
        to: InstanceId,
        messages: Vec<Message>,
    ) {
        let hash = self.voters_hash;
        self.send_parts(now, to, messages, |part| Payload::Leases(hash, part));
    }

    pub(super) fn send_gossip(&mut self, now: Clocks, outgoing: Vec<OutgoingGossip>) {
        for (to, message) in outgoing {
            match message {
                GossipMessage::Entries {
                    entries,
                    forward_to,
                } => self.send_parts(now, to, entries, |part| {
                    Payload::Gossip(GossipMessage::Entries {
                        entries: part,
                        forward_to: forward_to.clone(),
                    })
                }),
                digest @ GossipMessage::Digest(_) => {
                    if let Some(address) = self.address_of(to) {
                        self.send(now, to, address, &Payload::Gossip(digest));
                    }
                }
            }
        }
    }

    /// Sends items in their order, each datagram filled up before the next begins.
    fn send_parts<T: Serialize>(
        &mut self,
        now: Clocks,
        to: InstanceId,
        items: Vec<T>,
        build_payload: impl Fn(Vec<T>) -> Payload,
    ) {
        let Some(address) = self.address_of(to) else {
            return self.count("nobody-known");
        };
        let empty_size = encoded_size(&build_payload(Vec::new()));
        let (mut part, mut size) = (Vec::new(), empty_size);
        for item in items {
            let item_size = encoded_size(&item);
            if size + item_size > MAX_PAYLOAD_BYTES && !part.is_empty() {
                let full = std::mem::take(&mut part);
                self.send(now, to, address, &build_payload(full));
                size = empty_size;
            }
            size += item_size;
            part.push(item);
        }
        if !part.is_empty() {
            self.send(now, to, address, &build_payload(part));
        }
    }

    pub(super) fn send(
        &mut self,
        now: Clocks,
        to: InstanceId,
        address: SocketAddr,
        payload: &Payload,
    ) {
        let Ok(bytes) = postcard::to_stdvec(payload) else {
            return self.count("not-encoded");
        };
        if self.sessions.incarnation_of(to.0).is_none() {
            // Drops the payload. The protocol that produced it sends it again, by then within the session that the
            // handshake creates.
            self.count("no-session");
            return self.greet(now, address);
        }
        match self.sessions.seal(to.0, DatagramKind::Data, &bytes) {
            Some(bytes) => self.effects.push(Effect::Datagram(address, bytes)),
            None => self.count("too-large"),
        }
    }

    fn address_of(&self, id: InstanceId) -> Option<SocketAddr> {
        self.known_instances
            .get(&id)
            .map(|identity| identity.address)
    }
}

/// The size of a value encoded as postcard, in bytes. A value that cannot be encoded counts as the maximum payload.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(MAX_PAYLOAD_BYTES)
}
