//! Encoding of messages.

use super::{
    ENTRY_VERSION_SIZE, EntryRow, FORMAT_VERSION, LeafVersions, MAGIC, MAX_HEADER, PollRequest,
    PollResponse, REQUEST, RESPONSE,
};
use crate::Entry;
use serde::Serialize;

/// The maximum size of an entry's row, in bytes.
pub fn entry_row_size(entry: &Entry) -> usize {
    // The key, then the version and the value's length as varints: 62 bits take 9 bytes, and 10 bits take 2.
    8 + 9 + 2 + entry.value.len()
}

/// The maximum size of a leaf with this number of versions in a request, in bytes.
pub fn leaf_versions_size(versions: usize) -> usize {
    // The leaf and the number of versions are varints of at most 3 bytes each.
    6 + versions * ENTRY_VERSION_SIZE
}

/// Encodes a request and its rows, as the body of a sealed datagram.
pub fn encode_request(request: &PollRequest, leaves: &[LeafVersions]) -> Vec<u8> {
    let mut bytes = encode_header(REQUEST, request);
    for leaf in leaves {
        append(&mut bytes, &(leaf.leaf, leaf.versions.len() as u16));
        for held in &leaf.versions {
            append(&mut bytes, &(held.key.to_le_bytes(), held.version));
        }
    }
    bytes
}

/// Encodes a response without rows. The caller appends the rows that the kind of response requires.
pub fn encode_response(response: &PollResponse) -> Vec<u8> {
    encode_header(RESPONSE, response)
}

/// Appends the row of an entry.
pub fn append_entry(bytes: &mut Vec<u8>, entry: &Entry) {
    let row = EntryRow {
        key: entry.key.to_le_bytes(),
        version: entry.version,
        value: &entry.value,
    };
    append(bytes, &row);
}

/// Appends the hashes of all branches.
pub fn append_branch_hashes(bytes: &mut Vec<u8>, hashes: &[u64]) {
    for hash in hashes {
        bytes.extend(hash.to_le_bytes());
    }
}

/// Appends the row of a branch's leaf hashes.
pub fn append_leaf_hashes(bytes: &mut Vec<u8>, branch: u8, hashes: &[u32]) {
    bytes.push(branch);
    for hash in hashes {
        bytes.extend(hash.to_le_bytes());
    }
}

fn encode_header(kind: u8, header: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_HEADER);
    bytes.extend([MAGIC, FORMAT_VERSION, kind]);
    append(&mut bytes, header);
    bytes
}

fn append(bytes: &mut Vec<u8>, value: &impl Serialize) {
    // Encoding these types into memory can't fail; if it did, the receiver would reject the datagram.
    let encoded = postcard::to_stdvec(value).unwrap_or_default();
    bytes.extend(encoded);
}
