//! The status of members and leases as this node sees it, for operators.

use super::{Member, Node};
use spanspur_leases::{Clocks, InstanceId, LeaseId, LeaseStatus, Millis};
use spanspur_membership::Identity;
use std::collections::BTreeMap;

impl Node {
    /// The status of every lease, with its name.
    pub fn status(&self, now: Clocks) -> Vec<(String, LeaseStatus)> {
        let with_name = |status: LeaseStatus| {
            let name = self.lease_names.get(&status.lease)?;
            Some((name.clone(), status))
        };
        self.leases.status(now).filter_map(with_name).collect()
    }

    /// The whole state of a lease in Rust's debug format, for debugging.
    pub fn describe(&self, lease: LeaseId) -> String {
        self.leases.describe(lease)
    }

    /// The name of a lease; `?` if the lease is not configured.
    pub fn lease_name(&self, lease: LeaseId) -> &str {
        self.lease_names.get(&lease).map_or("?", String::as_str)
    }

    /// The name of an instance, if known.
    pub fn instance_name(&self, id: InstanceId) -> Option<&str> {
        let own_name = &self.config.identity.name;
        if id == InstanceId::of(own_name) {
            return Some(own_name);
        }
        if let Some(identity) = self.known_instances.get(&id) {
            return Some(&identity.name);
        }
        let mut voters = self.config.voters.iter();
        voters
            .find(|voter| InstanceId::of(voter) == id)
            .map(String::as_str)
    }

    /// This instance and every other that was ever a member or answered a greeting, sorted by name.
    pub fn members(&self) -> Vec<Member> {
        let own_identity = self.membership.own_identity();
        let mut members = vec![Member {
            alive: true,
            is_self: true,
            ..self.describe_member(own_identity)
        }];
        let known = self.known_instances.values();
        members.extend(known.map(|identity| self.describe_member(identity)));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    fn describe_member(&self, identity: &Identity) -> Member {
        Member {
            name: identity.name.clone(),
            address: identity.address,
            alive: self.membership.alive().contains_key(&identity.name),
            voter: self.config.voters.contains(&identity.name),
            is_self: false,
        }
    }

    /// How long this instance still abstains from votes on leases with this interval, in milliseconds.
    pub fn remaining_abstention(&self, now: Clocks, interval: Millis) -> Millis {
        self.leases.remaining_abstention(now, interval)
    }

    /// The numbers of dropped and rejected datagrams and entries, by counter name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        let mut counters = self.counters.clone();
        // Operators' tools read these names: rejections by the membership, and by the gossip store.
        counters.insert("gossip-refused", self.membership.rejected);
        counters.insert("board-refused", self.gossip_store.rejected_entries);
        counters
    }
}
