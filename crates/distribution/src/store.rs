//! What is distributed: a map of the last writer's values, the hash tree over it, and a source's log of arrivals.

use spanspur_leases::gossip_store::{GossipEntry as Entry, MAX_KEYS, MAX_VALUE_BYTES as MAX_VALUE};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Entries that a store holds, as many as the board that they come from; removed ones count.
pub const MAX_ENTRIES: usize = MAX_KEYS;
/// Bytes of all values together. With [`ROW_COST`] for each entry a store stays under 24 MiB.
pub const MAX_BYTES: usize = 16 << 20;
/// About what an entry takes beside its value.
pub const ROW_COST: usize = 112;
/// The highest version that is believed, 2^62 - 1. A version is a period and 20 bits of steps in it, and the first
/// period of a duty that a voter without memory gives is the Unix time in milliseconds: 42 bits of it last until the
/// year 2109. One above that is a fault or a lie, and taken it would hold its key for ever.
pub const MAX_VERSION: u64 = (1 << 62) - 1;
/// Branches of the hash tree, and leaves of a branch.
pub const BRANCHES: usize = 64;
/// Leaves of the hash tree.
pub const LEAVES: usize = BRANCHES * 64;
/// Bits of a position below those that name its leaf.
const LEAF_SHIFT: u32 = 52;

/// Why an entry is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Its version is 0 or above [`MAX_VERSION`].
    Version,
    /// Its value is longer than the board's `MAX_VALUE`.
    Value,
    /// There is no room for it.
    Full,
}

impl Unfit {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Version => "absurd-version",
            Self::Value => "value-too-large",
            Self::Full => "store-full",
        }
    }
}

/// Whether an entry may be believed at all.
pub fn fit(version: u64, value: &[u8]) -> Result<(), Unfit> {
    if version == 0 || version > MAX_VERSION {
        return Err(Unfit::Version);
    }
    match value.len() > MAX_VALUE {
        true => Err(Unfit::Value),
        false => Ok(()),
    }
}

/// Where a key lies in the order of the store: its bits mixed (the end of SplitMix64, Steele and others, 2014), one
/// to one, so that keys that lie close are spread over the leaves.
pub fn position(key: u64) -> u64 {
    let mut z = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The leaf that a position lies in.
pub fn leaf_of(position: u64) -> usize {
    (position >> LEAF_SHIFT) as usize
}

/// The positions of a leaf.
pub fn leaf_range(leaf: usize) -> std::ops::RangeInclusive<u64> {
    let start = (leaf as u64) << LEAF_SHIFT;
    start..=start | ((1 << LEAF_SHIFT) - 1)
}

/// A last-writer-wins map: for each key the entry with the highest version, whoever brought it. There is no way to
/// take an entry out or to lower a version; removal is a value that says so.
#[derive(Clone)]
pub struct Store {
    rows: BTreeMap<u64, Entry>,
    leaves: Box<[u64]>,
    root: u64,
    newest: u64,
    bytes: usize,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            leaves: vec![0; LEAVES].into(),
            root: 0,
            newest: 0,
            bytes: 0,
        }
    }
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Store({} entries, root {:x})", self.len(), self.root)
    }
}

impl Store {
    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&Entry> {
        self.rows.get(&position(key))
    }

    /// How many entries it holds, removed ones with them.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All entries, in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values()
    }

    /// The hash over all keys and versions: equal where two stores hold the same.
    pub fn root(&self) -> u64 {
        self.root
    }

    /// The highest version in it, 0 where it is empty.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Bytes of all values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes an entry, if it is newer than the one held for its key: says whether it was.
    pub fn take(&mut self, entry: &Entry) -> Result<bool, Unfit> {
        fit(entry.version, &entry.value)?;
        let at = position(entry.key);
        let held = self.rows.get(&at);
        if held.is_some_and(|held| held.version >= entry.version) {
            return Ok(false);
        }
        let before = held.map_or(0, |held| held.value.len());
        let bytes = self.bytes - before + entry.value.len();
        let more = held.is_none() && self.rows.len() >= MAX_ENTRIES;
        if more || bytes > MAX_BYTES {
            return Err(Unfit::Full);
        }
        let out = held.map_or(0, |held| hash(held.key, held.version));
        let change = out ^ hash(entry.key, entry.version);
        self.leaves[leaf_of(at)] ^= change;
        self.root ^= change;
        self.newest = self.newest.max(entry.version);
        self.bytes = bytes;
        self.rows.insert(at, entry.clone());
        Ok(true)
    }

    /// Entries from a position on, with their positions.
    pub fn range(
        &self,
        positions: impl std::ops::RangeBounds<u64>,
    ) -> impl Iterator<Item = (u64, &Entry)> {
        self.rows.range(positions).map(|(at, entry)| (*at, entry))
    }

    /// The hashes of the tree's branches.
    pub fn branches(&self) -> Vec<u64> {
        let branch = |leaves: &[u64]| leaves.iter().fold(0, |all, leaf| all ^ leaf);
        self.leaves.chunks(LEAVES / BRANCHES).map(branch).collect()
    }

    /// The hashes of a branch's leaves, shortened to 32 bits under a salt: two that differ look alike once in 2^32
    /// times, and then not under the next salt.
    pub fn leaves(&self, branch: usize, salt: u32) -> Vec<u32> {
        let width = LEAVES / BRANCHES;
        let leaves = &self.leaves[branch * width..(branch + 1) * width];
        let short = |leaf: &u64| {
            let mut bytes = [0; 12];
            bytes[..8].copy_from_slice(&leaf.to_le_bytes());
            bytes[8..].copy_from_slice(&salt.to_le_bytes());
            xxh3_64(&bytes) as u32
        };
        leaves.iter().map(short).collect()
    }
}

fn hash(key: u64, version: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&version.to_le_bytes());
    xxh3_64(&bytes)
}

/// The order in which entries came to a source in this run of it, counted from 1: of each key the last arrival, and
/// of those the last so many.
#[derive(Clone, Debug)]
pub struct Log {
    kept: usize,
    head: u64,
    floor: u64,
    order: BTreeMap<u64, u64>,
    places: BTreeMap<u64, u64>,
}

impl Log {
    /// A log that keeps so many arrivals.
    pub fn new(kept: usize) -> Self {
        Self {
            kept: kept.max(1),
            head: 0,
            floor: 0,
            order: BTreeMap::new(),
            places: BTreeMap::new(),
        }
    }

    /// The number of the last arrival, 0 before the first.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// From here on nothing has been dropped: a cursor below this is too old.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// An entry has come.
    pub fn push(&mut self, key: u64) -> u64 {
        self.head += 1;
        if let Some(older) = self.places.insert(key, self.head) {
            self.order.remove(&older);
        }
        self.order.insert(self.head, key);
        if self.order.len() > self.kept
            && let Some((seq, key)) = self.order.pop_first()
        {
            self.places.remove(&key);
            self.floor = seq;
        }
        self.head
    }

    /// What has come after this, oldest first: numbers and keys.
    pub fn since(&self, seq: u64) -> impl Iterator<Item = (u64, u64)> + '_ {
        let later = self.order.range(seq.saturating_add(1)..);
        later.map(|(seq, key)| (*seq, *key))
    }
}
