//! The replicated data: a last-writer-wins map of versioned entries, the hash tree over it, and a source's change log.

mod change_log;
mod hash_tree;

pub use change_log::{Change, ChangeLog};
use hash_tree::HashTree;
pub use hash_tree::{BRANCHES, LEAVES, LEAVES_PER_BRANCH, leaf_of, leaf_range, position};

use spanspur_leases::gossip_store::{GossipEntry as Entry, MAX_KEYS, MAX_VALUE_BYTES};
use std::collections::BTreeMap;
use thiserror::Error;

/// The maximum number of entries in a store, tombstones included. It equals the capacity of the gossip store from
/// which the entries come.
pub const MAX_ENTRIES: usize = MAX_KEYS;
/// The maximum total size of all values, in bytes. With [`ENTRY_OVERHEAD`] for each entry, a store stays below 24 MiB.
pub const MAX_BYTES: usize = 16 << 20;
/// The approximate memory that an entry takes besides its value, in bytes.
pub const ENTRY_OVERHEAD: usize = 112;
/// The highest accepted version, 2^62 - 1. A version is a lease term followed by a 20-bit step number within that
/// term. The first term that a voter without state grants is the Unix time in milliseconds, which fits into 42 bits
/// until the year 2109. A higher version is an error, and accepting it would block all later updates of its key.
pub const MAX_VERSION: u64 = (1 << 62) - 1;

/// Why an entry is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The version is 0 or above [`MAX_VERSION`].
    #[error("version is 0 or above {MAX_VERSION}")]
    InvalidVersion,
    /// The value is longer than the gossip store's `MAX_VALUE_BYTES`.
    #[error("value is longer than {MAX_VALUE_BYTES} bytes")]
    ValueTooLarge,
    /// With this entry, the store would exceed [`MAX_ENTRIES`] or [`MAX_BYTES`].
    #[error("store is full: {MAX_ENTRIES} entries or {MAX_BYTES} bytes of values")]
    StoreFull,
}

impl EntryError {
    /// The name of the counter for this error.
    pub fn counter(self) -> &'static str {
        match self {
            Self::InvalidVersion => "absurd-version",
            Self::ValueTooLarge => "value-too-large",
            Self::StoreFull => "store-full",
        }
    }
}

/// Checks an entry's version and the length of its value.
///
/// # Errors
/// [`EntryError::InvalidVersion`] or [`EntryError::ValueTooLarge`].
pub fn validate(version: u64, value: &[u8]) -> Result<(), EntryError> {
    if version == 0 || version > MAX_VERSION {
        return Err(EntryError::InvalidVersion);
    }
    match value.len() > MAX_VALUE_BYTES {
        true => Err(EntryError::ValueTooLarge),
        false => Ok(()),
    }
}

/// A last-writer-wins map. It holds the entry with the highest version of each key, whichever peer sent that entry.
/// Entries are never deleted and versions never decrease; a removal is stored as a value that marks it (a tombstone).
#[derive(Clone, Default)]
pub struct EntryStore {
    entries: BTreeMap<u64, Entry>,
    hash_tree: HashTree,
    newest_version: u64,
    value_bytes: usize,
}

impl std::fmt::Debug for EntryStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "EntryStore({} entries, root {:x})",
            self.len(),
            self.root_hash()
        )
    }
}

impl EntryStore {
    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&Entry> {
        self.entries.get(&position(key))
    }

    /// The number of entries, tombstones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries, in the order of their positions (see [`position`]).
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The hash over all keys and versions, which is equal for stores with the same content.
    pub fn root_hash(&self) -> u64 {
        self.hash_tree.root()
    }

    /// The highest version of all entries, 0 if there are none.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// The total length of all values, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Inserts an entry if its version is higher than the version held for its key. Returns whether the entry was
    /// inserted.
    ///
    /// # Errors
    /// The entry is invalid, or the store is full.
    pub fn insert_if_newer(&mut self, entry: &Entry) -> Result<bool, EntryError> {
        validate(entry.version, &entry.value)?;
        let at = position(entry.key);
        let held = self.entries.get(&at);
        if held.is_some_and(|held| held.version >= entry.version) {
            return Ok(false);
        }
        let held_bytes = held.map_or(0, |held| held.value.len());
        let value_bytes = self.value_bytes - held_bytes + entry.value.len();
        let too_many = held.is_none() && self.entries.len() >= MAX_ENTRIES;
        if too_many || value_bytes > MAX_BYTES {
            return Err(EntryError::StoreFull);
        }
        if let Some(held) = held {
            self.hash_tree.toggle(at, held.key, held.version);
        }
        self.hash_tree.toggle(at, entry.key, entry.version);
        self.newest_version = self.newest_version.max(entry.version);
        self.value_bytes = value_bytes;
        self.entries.insert(at, entry.clone());
        Ok(true)
    }

    /// The entries of a range of positions, each with its position.
    pub fn range(
        &self,
        positions: impl std::ops::RangeBounds<u64>,
    ) -> impl Iterator<Item = (u64, &Entry)> {
        let entries = self.entries.range(positions);
        entries.map(|(at, entry)| (*at, entry))
    }

    /// The hashes of the tree's branches.
    pub fn branch_hashes(&self) -> Vec<u64> {
        self.hash_tree.branches()
    }

    /// The hashes of a branch's leaves, hashed with a salt to 32 bits. Two different leaves collide with a
    /// probability of 2^-32. With another salt, a collision is as unlikely to repeat.
    ///
    /// # Panics
    /// If `branch` is not below [`BRANCHES`].
    pub fn leaf_hashes(&self, branch: usize, salt: u32) -> Vec<u32> {
        self.hash_tree.leaves(branch, salt)
    }
}
