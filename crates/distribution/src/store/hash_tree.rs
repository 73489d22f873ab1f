//! A two-level hash tree over keys and versions, which locates the differences between two stores.

use xxhash_rust::xxh3::xxh3_64;

/// The number of branches of the tree.
pub const BRANCHES: usize = 64;
/// The number of leaves of a branch.
pub const LEAVES_PER_BRANCH: usize = 64;
/// The number of leaves of the tree.
pub const LEAVES: usize = BRANCHES * LEAVES_PER_BRANCH;
/// The number of low bits of a position; the bits above them are the number of its leaf.
const LEAF_SHIFT: u32 = 52;

/// A key's position in the order of the store. The key is mixed by the finalizer of SplitMix64 (Steele et al., 2014),
/// a bijection that spreads adjacent keys over the leaves.
pub fn position(key: u64) -> u64 {
    let mut z = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The number of the leaf that contains a position.
pub fn leaf_of(position: u64) -> usize {
    (position >> LEAF_SHIFT) as usize
}

/// The positions that belong to a leaf.
pub fn leaf_range(leaf: usize) -> std::ops::RangeInclusive<u64> {
    let start = (leaf as u64) << LEAF_SHIFT;
    start..=start | ((1 << LEAF_SHIFT) - 1)
}

/// The hashes of all leaves and of the root. The hash of a branch or of the root is the XOR of the hashes below it, so
/// an update takes constant time.
#[derive(Clone)]
pub(super) struct HashTree {
    leaves: Box<[u64]>,
    root: u64,
}

impl Default for HashTree {
    fn default() -> Self {
        Self {
            leaves: vec![0; LEAVES].into(),
            root: 0,
        }
    }
}

impl HashTree {
    /// Adds the hash of a key's version at a position, or removes it if it was added before.
    pub(super) fn toggle(&mut self, position: u64, key: u64, version: u64) {
        let hash = hash_version(key, version);
        self.leaves[leaf_of(position)] ^= hash;
        self.root ^= hash;
    }

    pub(super) fn root(&self) -> u64 {
        self.root
    }

    pub(super) fn branches(&self) -> Vec<u64> {
        let branch = |leaves: &[u64]| leaves.iter().fold(0, |hash, leaf| hash ^ leaf);
        self.leaves.chunks(LEAVES_PER_BRANCH).map(branch).collect()
    }

    pub(super) fn leaves(&self, branch: usize, salt: u32) -> Vec<u32> {
        let start = branch * LEAVES_PER_BRANCH;
        let leaves = &self.leaves[start..start + LEAVES_PER_BRANCH];
        leaves.iter().map(|leaf| shorten(*leaf, salt)).collect()
    }
}

fn hash_version(key: u64, version: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&version.to_le_bytes());
    xxh3_64(&bytes)
}

fn shorten(leaf: u64, salt: u32) -> u32 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&leaf.to_le_bytes());
    bytes[8..].copy_from_slice(&salt.to_le_bytes());
    xxh3_64(&bytes) as u32
}
