//! What all instances share of the duties' results: one value for each key, the one with the highest version.
//!
//! News travels at once: directly to a few instances, and in larger clusters down a tree whose every node passes
//! it on to some more, so that no instance's share grows with their number. What is lost on the way comes with the
//! comparison that each instance makes with another one once in a while (anti-entropy; Demers and others,
//! 'Epidemic algorithms for replicated database maintenance', 1987). A value that only confirms the one before
//! need not be published at all: that is the publisher's choice.

use crate::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Keys that a board holds, and the bytes of one value.
pub const MAX_KEYS: usize = 65_536;
/// See [`MAX_KEYS`].
pub const MAX_VALUE: usize = 512;
/// To how many instances one sends news itself; in larger clusters these pass it on.
pub const FANOUT: usize = 8;
/// Buckets that two boards compare, and entries that one answer to a comparison holds.
const BUCKETS: usize = 64;
const MAX_ANSWER: usize = 256;

/// One value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: u64,
    /// Goes before all lower ones; a period of the duty that published it, say.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What boards say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// Entries, to be passed on to these.
    Entries(Vec<Entry>, Vec<InstanceId>),
    /// A hash over the keys and versions of each bucket.
    Compare(Vec<u64>),
}

/// A board. What comes out is to be sent.
#[derive(Clone, Debug, Default)]
pub struct Board {
    entries: BTreeMap<u64, Entry>,
    /// Entries refused: too large, or too many.
    pub refused: u64,
    next: usize,
}

impl Board {
    /// The value of a key, with its version.
    pub fn get(&self, key: u64) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// All entries, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// How many keys it holds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes entries of this instance and says whom to send them.
    pub fn publish(
        &mut self,
        entries: Vec<Entry>,
        others: &[InstanceId],
    ) -> Vec<(InstanceId, News)> {
        let entries: Vec<Entry> = entries.into_iter().filter(|e| self.keep(e)).collect();
        match entries.is_empty() {
            true => Vec::new(),
            false => pass_on(&entries, others),
        }
    }

    /// Takes news from another board: what is new here, and what to send.
    pub fn receive(
        &mut self,
        from: InstanceId,
        news: News,
    ) -> (Vec<Entry>, Vec<(InstanceId, News)>) {
        match news {
            News::Entries(entries, to) => {
                // All is passed on, known here or not: the others' gaps are not ours.
                let sends = pass_on(&entries, &to);
                let fresh = entries.into_iter().filter(|e| self.keep(e)).collect();
                (fresh, sends)
            }
            News::Compare(theirs) if theirs.len() == BUCKETS => {
                let ours = self.digest();
                let differ: BTreeSet<usize> =
                    (0..BUCKETS).filter(|b| ours[*b] != theirs[*b]).collect();
                let mut entries: Vec<Entry> = self
                    .entries
                    .values()
                    .filter(|e| differ.contains(&bucket(e.key)))
                    .cloned()
                    .collect();
                // More than fits comes with the next comparisons, from another place each time.
                if entries.len() > MAX_ANSWER {
                    self.next = (self.next + MAX_ANSWER) % entries.len();
                    entries.rotate_left(self.next);
                    entries.truncate(MAX_ANSWER);
                }
                let news = News::Entries(entries, Vec::new());
                (Vec::new(), vec![(from, news)])
            }
            News::Compare(_) => (Vec::new(), Vec::new()),
        }
    }

    /// Something to compare with another board: what that one knows better comes back.
    pub fn compare(&self) -> News {
        News::Compare(self.digest())
    }

    /// Drops the keys that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(&Entry) -> bool) {
        self.entries.retain(|_, entry| wanted(entry));
    }

    fn keep(&mut self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.version >= entry.version) {
            return false;
        }
        let full = known.is_none() && self.entries.len() >= MAX_KEYS;
        if full || entry.value.len() > MAX_VALUE {
            self.refused += 1;
            return false;
        }
        self.entries.insert(entry.key, entry.clone());
        true
    }

    fn digest(&self) -> Vec<u64> {
        let mut digest = vec![0; BUCKETS];
        for entry in self.entries.values() {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&entry.key.to_le_bytes());
            bytes[8..].copy_from_slice(&entry.version.to_le_bytes());
            digest[bucket(entry.key)] ^= xxh3_64(&bytes);
        }
        digest
    }
}

fn bucket(key: u64) -> usize {
    (key % BUCKETS as u64) as usize
}

/// To the first few directly; each of them passes it on to its part of the rest.
fn pass_on(entries: &[Entry], to: &[InstanceId]) -> Vec<(InstanceId, News)> {
    let (near, far) = to.split_at(to.len().min(FANOUT));
    let part = far.len().div_ceil(FANOUT).max(1);
    let mut parts = far.chunks(part);
    near.iter()
        .map(|id| {
            let rest = parts.next().unwrap_or_default().to_vec();
            (*id, News::Entries(entries.to_vec(), rest))
        })
        .collect()
}
