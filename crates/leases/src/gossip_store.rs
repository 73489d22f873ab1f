//! A replicated key-value store: of each key every instance keeps the value with the highest version.
//!
//! New entries are disseminated at once: directly to a few instances, and in larger clusters down a tree in which
//! each recipient forwards them to some more, so that no instance's share grows with the cluster. What is lost on the
//! way is repaired by anti-entropy: each instance periodically sends a digest to another one, which answers with what
//! differs (Demers and others, 'Epidemic algorithms for replicated database maintenance', 1987).

use crate::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Keys that a store holds at most.
pub const MAX_KEYS: usize = 65_536;
/// Bytes of one value at most.
pub const MAX_VALUE_BYTES: usize = 512;
/// Recipients that a sender addresses directly; in larger clusters these forward the entries.
pub const FANOUT: usize = 8;
/// Buckets of a digest.
const DIGEST_BUCKETS: usize = 64;
/// Entries of one answer to a digest at most.
const MAX_REPAIR_ENTRIES: usize = 256;

/// One versioned value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// Its key.
    pub key: u64,
    /// A higher version replaces a lower one. Often the term of the lease that published it.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What stores send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Entries that are new or that the recipient lacks.
    Entries {
        /// The entries.
        entries: Vec<GossipEntry>,
        /// Instances to which the recipient forwards them.
        forward_to: Vec<InstanceId>,
    },
    /// For each bucket a hash over its keys and versions.
    Digest(Vec<u64>),
}

/// A message and its recipient.
pub type OutgoingGossip = (InstanceId, GossipMessage);

/// What a received message led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedGossip {
    /// Entries that replaced older ones here.
    pub updated: Vec<GossipEntry>,
    /// Messages to be sent.
    pub outgoing: Vec<OutgoingGossip>,
}

/// One instance's replica.
#[derive(Clone, Debug, Default)]
pub struct GossipStore {
    entries: BTreeMap<u64, GossipEntry>,
    /// Entries rejected: too large, or the store was full.
    pub rejected_entries: u64,
    repair_offset: usize,
}

impl GossipStore {
    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&GossipEntry> {
        self.entries.get(&key)
    }

    /// All entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &GossipEntry> {
        self.entries.values()
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the store holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores entries of this instance and returns the messages that bring them to the others.
    pub fn publish(
        &mut self,
        entries: Vec<GossipEntry>,
        others: &[InstanceId],
    ) -> Vec<OutgoingGossip> {
        let updated = self.merge_entries(entries);
        match updated.is_empty() {
            true => Vec::new(),
            false => disseminate(&updated, others),
        }
    }

    /// Handles a message from another store.
    pub fn receive(&mut self, from: InstanceId, message: GossipMessage) -> ReceivedGossip {
        match message {
            GossipMessage::Entries {
                entries,
                forward_to,
            } => {
                // Also what is known here is forwarded: the others may lack it.
                let outgoing = disseminate(&entries, &forward_to);
                ReceivedGossip {
                    updated: self.merge_entries(entries),
                    outgoing,
                }
            }
            GossipMessage::Digest(theirs) => ReceivedGossip {
                updated: Vec::new(),
                outgoing: self
                    .answer_digest(&theirs)
                    .map(|answer| (from, answer))
                    .into_iter()
                    .collect(),
            },
        }
    }

    /// A digest of this store. The store that receives it answers with the entries that differ.
    pub fn digest(&self) -> GossipMessage {
        GossipMessage::Digest(self.hash_buckets())
    }

    /// Drops the entries that are no longer wanted.
    pub fn retain(&mut self, is_wanted: impl Fn(&GossipEntry) -> bool) {
        self.entries.retain(|_, entry| is_wanted(entry));
    }

    /// Merges entries and returns those that replaced older ones.
    fn merge_entries(&mut self, entries: Vec<GossipEntry>) -> Vec<GossipEntry> {
        entries
            .into_iter()
            .filter(|entry| self.merge_entry(entry))
            .collect()
    }

    fn merge_entry(&mut self, entry: &GossipEntry) -> bool {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.version >= entry.version) {
            return false;
        }
        let is_full = known.is_none() && self.entries.len() >= MAX_KEYS;
        if is_full || entry.value.len() > MAX_VALUE_BYTES {
            self.rejected_entries += 1;
            return false;
        }
        self.entries.insert(entry.key, entry.clone());
        true
    }

    /// The entries of the buckets that differ; `None` for a digest of another size.
    fn answer_digest(&mut self, theirs: &[u64]) -> Option<GossipMessage> {
        if theirs.len() != DIGEST_BUCKETS {
            return None;
        }
        let ours = self.hash_buckets();
        let differing: BTreeSet<usize> = (0..DIGEST_BUCKETS)
            .filter(|bucket| ours[*bucket] != theirs[*bucket])
            .collect();
        let entries = self.entries.values();
        let entries = entries.filter(|entry| differing.contains(&bucket_of(entry.key)));
        let entries = entries.cloned().collect();
        Some(GossipMessage::Entries {
            entries: self.limit_repair(entries),
            forward_to: Vec::new(),
        })
    }

    /// Bounds an answer. The next ones start at other places, so that in the end all entries arrive.
    fn limit_repair(&mut self, mut entries: Vec<GossipEntry>) -> Vec<GossipEntry> {
        if entries.len() > MAX_REPAIR_ENTRIES {
            self.repair_offset = (self.repair_offset + MAX_REPAIR_ENTRIES) % entries.len();
            entries.rotate_left(self.repair_offset);
            entries.truncate(MAX_REPAIR_ENTRIES);
        }
        entries
    }

    fn hash_buckets(&self) -> Vec<u64> {
        let mut hashes = vec![0; DIGEST_BUCKETS];
        for entry in self.entries.values() {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&entry.key.to_le_bytes());
            bytes[8..].copy_from_slice(&entry.version.to_le_bytes());
            hashes[bucket_of(entry.key)] ^= xxh3_64(&bytes);
        }
        hashes
    }
}

fn bucket_of(key: u64) -> usize {
    (key % DIGEST_BUCKETS as u64) as usize
}

/// Sends entries to the first [`FANOUT`] recipients; each of them forwards to its part of the rest.
fn disseminate(entries: &[GossipEntry], recipients: &[InstanceId]) -> Vec<OutgoingGossip> {
    let (direct, indirect) = recipients.split_at(recipients.len().min(FANOUT));
    let part_size = indirect.len().div_ceil(FANOUT).max(1);
    let mut parts = indirect.chunks(part_size);
    direct
        .iter()
        .map(|recipient| {
            let message = GossipMessage::Entries {
                entries: entries.to_vec(),
                forward_to: parts.next().unwrap_or_default().to_vec(),
            };
            (*recipient, message)
        })
        .collect()
}
