//! Greetings and answers, through which a node finds other instances and joins their cluster.

use super::{Effect, Node};
use spanspur_leases::{Clocks, InstanceId};
use spanspur_membership::Identity;
use spanspur_membership::authentication::{DatagramKind, OpenedDatagram};
use spanspur_membership::handshake::{self, HandshakeError};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Node {
    /// Sends a greeting to each seed that is not the address of a live member.
    pub(super) fn greet_absent_seeds(&mut self, now: Clocks) {
        let members = self.membership.alive().values();
        let alive: BTreeSet<SocketAddr> = members.map(|member| member.address).collect();
        let own_address = self.config.identity.address;
        let seeds = self.config.seeds.iter();
        let absent: Vec<SocketAddr> = seeds
            .filter(|seed| **seed != own_address && !alive.contains(seed))
            .copied()
            .collect();
        for seed in absent {
            self.greet(now, seed);
        }
    }

    /// Sends a greeting, within the rate limits of [`Handshakes`](spanspur_membership::Handshakes).
    pub(super) fn greet(&mut self, now: Clocks, to: SocketAddr) {
        let own_identity = self.membership.own_identity();
        let greeting =
            self.handshakes
                .build_greeting(now.monotonic, &self.sessions, own_identity, to);
        if let Some(bytes) = greeting {
            self.effects.push(Effect::Datagram(to, bytes));
        }
    }

    /// Handles a greeting or an answer.
    ///
    /// # Errors
    ///
    /// If the sender's identity is rejected; the rejection is counted.
    pub(super) fn handle_handshake(
        &mut self,
        now: Clocks,
        from: SocketAddr,
        datagram: &OpenedDatagram<'_>,
    ) -> Result<(), HandshakeError> {
        let verified = handshake::verify_identity(datagram, &self.config.identity.name);
        let identity = verified.inspect_err(|error| self.count(error.counter_name()))?;
        match datagram.kind {
            DatagramKind::Greeting => self.answer_greeting(now, from, datagram.incarnation),
            _ => self.handle_answer(now, identity, datagram.is_new_incarnation),
        }
        Ok(())
    }

    fn answer_greeting(&mut self, now: Clocks, to: SocketAddr, incarnation: u64) {
        let own_identity = self.membership.own_identity();
        let answer =
            self.handshakes
                .build_answer(now.monotonic, &self.sessions, own_identity, incarnation);
        match answer {
            Some(bytes) => self.effects.push(Effect::Datagram(to, bytes)),
            None => self.count("greetings-unanswered"),
        }
    }

    /// Handles the answer of an instance, which proves that the instance is running: answers a new incarnation in turn,
    /// and joins the cluster through the instance unless it is a member.
    fn handle_answer(&mut self, now: Clocks, identity: Identity, is_new_incarnation: bool) {
        let id = InstanceId::of(&identity.name);
        self.known_instances.insert(id, identity.clone());
        if is_new_incarnation {
            self.answer_greeting(now, identity.address, identity.incarnation);
        }
        if self.membership.alive().get(&identity.name) != Some(&identity) {
            self.membership.join(now.monotonic, identity);
        }
    }
}
