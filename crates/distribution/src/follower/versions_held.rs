//! The versions listed in a request for newer entries.

use crate::messages::{
    ENTRY_VERSION_SIZE, EntryVersion, LeafVersions, MAX_HEADER, MAX_MESSAGE, leaf_versions_size,
};
use crate::store::{EntryStore, leaf_range};

/// The versions held in as many of these leaves as a request has space for, starting at a position.
pub(super) fn versions_held(store: &EntryStore, leaves: &[u16], from: u64) -> Vec<LeafVersions> {
    let mut requested = Vec::new();
    let mut size = MAX_HEADER;
    for leaf in leaves {
        let held = leaf_versions(store, *leaf, from);
        let more = leaf_versions_size(held.versions.len());
        if size + more > MAX_MESSAGE && !requested.is_empty() {
            break;
        }
        size += more;
        requested.push(held);
    }
    requested
}

fn leaf_versions(store: &EntryStore, leaf: u16, from: u64) -> LeafVersions {
    // If a leaf has more entries than a request has space for, the source also sends those that are held but not
    // listed.
    let max_versions = (MAX_MESSAGE - MAX_HEADER - leaf_versions_size(0)) / ENTRY_VERSION_SIZE;
    let range = leaf_range(leaf as usize);
    let entries = store.range((*range.start()).max(from)..=*range.end());
    let versions = entries.map(|(_, entry)| EntryVersion {
        key: entry.key,
        version: entry.version,
    });
    LeafVersions {
        leaf,
        versions: versions.take(max_versions).collect(),
    }
}
