//! Packing of changes, hashes and entries into the datagrams of a response.

use crate::Entry;
use crate::messages::{
    self, LEAF_HASHES_ROW_SIZE, LeafVersions, MAX_HEADER, MAX_MESSAGE, ResponseBody,
};
use crate::store::{BRANCHES, ChangeLog, EntryStore, leaf_of, leaf_range};
use std::collections::BTreeMap;

/// The maximum size of the rows in a datagram, in bytes.
const MAX_ROWS_SIZE: usize = MAX_MESSAGE - MAX_HEADER;

/// A datagram of a response: its body and its rows. `last` in the body is set when the datagram is sent, since the
/// rate limit may allow only the first datagrams.
pub(super) struct Chunk {
    pub(super) body: ResponseBody,
    pub(super) rows: Vec<u8>,
}

/// The entries in one datagram.
struct PackedEntries {
    /// The start of the range, as a sort key (see [`pack_entries`]).
    from: u64,
    /// The start of the next datagram's range; `None` if there are no further entries.
    next: Option<u64>,
    rows: Vec<u8>,
}

/// The changes after a sequence number.
pub(super) fn changes(
    store: &EntryStore,
    log: &ChangeLog,
    after: u64,
    window: usize,
) -> Vec<Chunk> {
    let changed = log
        .since(after)
        .filter_map(|change| Some((change.sequence, store.get(change.key)?)));
    // The range of a datagram includes the last change in it.
    let packed = pack_entries(changed, after, window, |last_packed, _| last_packed);
    let chunk = |packed: PackedEntries| Chunk {
        body: ResponseBody::Changes {
            after: packed.from,
            up_to: packed.next.unwrap_or(log.head()),
            last: false,
        },
        rows: packed.rows,
    };
    packed.into_iter().map(chunk).collect()
}

/// The hashes of all branches.
pub(super) fn branch_hashes(store: &EntryStore) -> Vec<Chunk> {
    let mut rows = Vec::new();
    messages::append_branch_hashes(&mut rows, &store.branch_hashes());
    vec![Chunk {
        body: ResponseBody::BranchHashes,
        rows,
    }]
}

/// The hashes of the leaves of some branches. `branches` has one bit for each branch.
pub(super) fn leaf_hashes(
    store: &EntryStore,
    branches: u64,
    salt: u32,
    window: usize,
) -> Vec<Chunk> {
    let requested: Vec<usize> = (0..BRANCHES)
        .filter(|branch| branches >> branch & 1 == 1)
        .collect();
    let chunk = |branches: &[usize]| {
        let mut rows = Vec::new();
        for branch in branches {
            let hashes = store.leaf_hashes(*branch, salt);
            messages::append_leaf_hashes(&mut rows, *branch as u8, &hashes);
        }
        Chunk {
            body: ResponseBody::LeafHashes { last: false },
            rows,
        }
    };
    let chunks = requested.chunks(MAX_ROWS_SIZE / LEAF_HASHES_ROW_SIZE);
    chunks.take(window).map(chunk).collect()
}

/// All entries from a position on.
pub(super) fn entries_from(store: &EntryStore, from: u64, window: usize) -> Vec<Chunk> {
    entry_chunks(store.range(from..), from, window)
}

/// The entries of some leaves that are newer than the versions listed, from a position on.
pub(super) fn newer_entries(
    store: &EntryStore,
    from: u64,
    leaves: &[LeafVersions],
    window: usize,
) -> Vec<Chunk> {
    let remaining = leaves
        .iter()
        .filter(|leaf| leaf.leaf as usize >= leaf_of(from));
    let newer = remaining.flat_map(|leaf| newer_in_leaf(store, from, leaf));
    entry_chunks(newer, from, window)
}

fn newer_in_leaf<'a>(
    store: &'a EntryStore,
    from: u64,
    leaf: &LeafVersions,
) -> impl Iterator<Item = (u64, &'a Entry)> + use<'a> {
    let held = leaf.versions.iter().map(|held| (held.key, held.version));
    let held: BTreeMap<u64, u64> = held.collect();
    let range = leaf_range(leaf.leaf as usize);
    let entries = store.range((*range.start()).max(from)..=*range.end());
    entries.filter(move |(_, entry)| {
        let held_version = held.get(&entry.key);
        held_version.is_none_or(|held| *held < entry.version)
    })
}

/// Packs entries in the order of their positions.
fn entry_chunks<'a>(
    entries: impl Iterator<Item = (u64, &'a Entry)>,
    from: u64,
    window: usize,
) -> Vec<Chunk> {
    // The range of a datagram ends before the first entry of the next.
    let packed = pack_entries(entries, from, window, |_, next| next);
    let chunk = |packed: PackedEntries| Chunk {
        body: ResponseBody::Entries {
            from: packed.from,
            next: packed.next,
            last: false,
        },
        rows: packed.rows,
    };
    packed.into_iter().map(chunk).collect()
}

/// Packs entries, each with its sort key (a sequence number or a position), into at most `window` datagrams.
/// `boundary` computes the end of a datagram's range from the sort keys of the last entry in the datagram and of the
/// first entry after it.
fn pack_entries<'a>(
    entries: impl Iterator<Item = (u64, &'a Entry)>,
    from: u64,
    window: usize,
    boundary: impl Fn(u64, u64) -> u64,
) -> Vec<PackedEntries> {
    let mut packed = Vec::new();
    let mut from = from;
    let mut last_packed = from;
    let mut rows: Vec<u8> = Vec::new();
    for (sort_key, entry) in entries {
        if !rows.is_empty() && rows.len() + messages::entry_row_size(entry) > MAX_ROWS_SIZE {
            let end = boundary(last_packed, sort_key);
            packed.push(PackedEntries {
                from,
                next: Some(end),
                rows: std::mem::take(&mut rows),
            });
            from = end;
            if packed.len() >= window {
                return packed;
            }
        }
        messages::append_entry(&mut rows, entry);
        last_packed = sort_key;
    }
    packed.push(PackedEntries {
        from,
        next: None,
        rows,
    });
    packed
}
