//! A replicated key-value store. For each key, every instance keeps the value with the highest version.
//!
//! New entries are disseminated at once: directly to a few instances, and in larger clusters down a tree in which each
//! recipient forwards the entries to further instances, so that no instance sends more messages as the cluster grows.
//! Anti-entropy repairs losses: each instance periodically sends a digest to another instance, which answers with its
//! entries from the buckets that differ (Demers and others, 'Epidemic algorithms for replicated database maintenance',
//! 1987).

use crate::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of keys in a store.
pub const MAX_KEYS: usize = 65_536;
/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 512;
/// Maximum number of instances that a sender addresses directly. In larger clusters these forward the entries.
pub const FANOUT: usize = 8;
/// Number of buckets of a digest.
const DIGEST_BUCKETS: usize = 64;
/// Maximum number of entries in the answer to a digest.
const MAX_REPAIR_ENTRIES: usize = 256;

/// A key with a versioned value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The key.
    pub key: u64,
    /// The version. A higher version replaces a lower one. Often the term of the lease under which the entry is
    /// published.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A message between two stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Entries that are new or that the recipient lacks.
    Entries {
        /// The entries.
        entries: Vec<GossipEntry>,
        /// Instances to which the recipient forwards the entries.
        forward_to: Vec<InstanceId>,
    },
    /// For each bucket, a hash over the keys and versions in the bucket.
    Digest(Vec<u64>),
}

/// A recipient and a message.
pub type OutgoingGossip = (InstanceId, GossipMessage);

/// The effect of a received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedGossip {
    /// Entries that are new to this store or have replaced older ones.
    pub updated: Vec<GossipEntry>,
    /// Messages to be sent.
    pub outgoing: Vec<OutgoingGossip>,
}

/// The replica of one instance.
#[derive(Clone, Debug, Default)]
pub struct GossipStore {
    entries: BTreeMap<u64, GossipEntry>,
    /// Number of entries rejected because the value was too large or the store was full.
    pub rejected_entries: u64,
    /// The offset at which the last truncated answer to a digest started.
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

    /// Stores entries of this instance and returns the messages that disseminate the accepted ones to `others`.
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
                // Entries that this store holds already are forwarded too, because the recipients may lack them.
                let outgoing = disseminate(&entries, &forward_to);
                ReceivedGossip {
                    updated: self.merge_entries(entries),
                    outgoing,
                }
            }
            GossipMessage::Digest(remote_hashes) => ReceivedGossip {
                updated: Vec::new(),
                outgoing: self
                    .answer_digest(&remote_hashes)
                    .map(|answer| (from, answer))
                    .into_iter()
                    .collect(),
            },
        }
    }

    /// A digest of this store. The store that receives the digest answers with its entries from the buckets that
    /// differ.
    pub fn digest(&self) -> GossipMessage {
        GossipMessage::Digest(self.hash_buckets())
    }

    /// Drops the entries for which `is_wanted` returns false.
    pub fn retain(&mut self, is_wanted: impl Fn(&GossipEntry) -> bool) {
        self.entries.retain(|_, entry| is_wanted(entry));
    }

    /// Merges entries and returns those that are new or have replaced older ones.
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

    /// The entries of the buckets that differ; `None` for a digest with another number of buckets.
    fn answer_digest(&mut self, remote_hashes: &[u64]) -> Option<GossipMessage> {
        if remote_hashes.len() != DIGEST_BUCKETS {
            return None;
        }
        let local_hashes = self.hash_buckets();
        let differing: BTreeSet<usize> = (0..DIGEST_BUCKETS)
            .filter(|bucket| local_hashes[*bucket] != remote_hashes[*bucket])
            .collect();
        let entries = self.entries.values();
        let entries = entries.filter(|entry| differing.contains(&bucket_of(entry.key)));
        let entries = entries.cloned().collect();
        Some(GossipMessage::Entries {
            entries: self.limit_repair(entries),
            forward_to: Vec::new(),
        })
    }

    /// Limits the number of entries in an answer. Successive answers start at different offsets, so that eventually all
    /// entries arrive.
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

/// Sends entries to the first [`FANOUT`] recipients. Each of them forwards the entries to its part of the others.
fn disseminate(entries: &[GossipEntry], recipients: &[InstanceId]) -> Vec<OutgoingGossip> {
    let (direct, indirect) = recipients.split_at(recipients.len().min(FANOUT));
    let chunk_size = indirect.len().div_ceil(FANOUT).max(1);
    let mut chunks = indirect.chunks(chunk_size);
    direct
        .iter()
        .map(|recipient| {
            let message = GossipMessage::Entries {
                entries: entries.to_vec(),
                forward_to: chunks.next().unwrap_or_default().to_vec(),
            };
            (*recipient, message)
        })
        .collect()
}
