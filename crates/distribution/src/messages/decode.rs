//! Decoding of messages, with validation of everything that a faulty or malicious peer could send.

use super::{
    EntryRow, EntryVersion, FORMAT_VERSION, LEAF_HASHES_ROW_SIZE, LeafHashes, LeafVersions, MAGIC,
    MAX_WINDOW, Payload, PollRequest, PollResponse, Query, REQUEST, RESPONSE, ResponseBody,
};
use crate::Entry;
use crate::store::{self, BRANCHES, EntryError, LEAVES};
use serde::Deserialize;
use thiserror::Error;

/// Why an authenticated message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message is too short, has trailing bytes, is not a valid encoding, or has an earlier format version.
    #[error("malformed message")]
    Malformed,
    /// The message does not belong to this protocol, or is a response where a request is expected, or the reverse.
    #[error("unexpected kind of message")]
    OtherKind,
    /// The message has a later [`FORMAT_VERSION`].
    #[error("format version is later than {FORMAT_VERSION}")]
    LaterVersion,
    /// The window is not from 1 to [`MAX_WINDOW`].
    #[error("window is not from 1 to {MAX_WINDOW}")]
    InvalidWindow,
    /// A leaf or branch does not exist, or the leaves are not in ascending order.
    #[error("invalid leaf or branch")]
    InvalidLeaf,
    /// A range of changes ends before it begins or after the source's head, or a range of positions is empty.
    #[error("invalid cursor or range")]
    InvalidCursor,
    /// An entry is invalid.
    #[error("invalid entry: {0}")]
    Entry(#[from] EntryError),
}

impl DecodeError {
    /// The name of the counter for this error.
    pub fn counter(self) -> &'static str {
        match self {
            Self::Malformed => "garbled",
            Self::OtherKind => "other-kind",
            Self::LaterVersion => "later-form",
            Self::InvalidWindow => "absurd-window",
            Self::InvalidLeaf => "absurd-leaf",
            Self::InvalidCursor => "absurd-cursor",
            Self::Entry(error) => error.counter(),
        }
    }
}

/// Decodes a request and its rows.
///
/// # Errors
/// The message is invalid; no part of it may be applied.
pub fn decode_request(bytes: &[u8]) -> Result<(PollRequest, Vec<LeafVersions>), DecodeError> {
    let (request, mut rest): (PollRequest, _) = decode_header(REQUEST, bytes)?;
    if request.window == 0 || request.window > MAX_WINDOW {
        return Err(DecodeError::InvalidWindow);
    }
    let mut leaves = Vec::new();
    if matches!(request.query, Query::NewerEntries { .. }) {
        leaves = take_leaf_versions(&mut rest)?;
    }
    expect_end(rest)?;
    Ok((request, leaves))
}

/// Decodes a response and its rows.
///
/// # Errors
/// The message is invalid; no part of it may be applied.
pub fn decode_response(bytes: &[u8]) -> Result<(PollResponse, Payload), DecodeError> {
    let (response, mut rest): (PollResponse, _) = decode_header(RESPONSE, bytes)?;
    let payload = match response.body {
        ResponseBody::BranchHashes => take_branch_hashes(&mut rest)?,
        ResponseBody::LeafHashes { .. } => take_leaf_hashes(&mut rest)?,
        ResponseBody::Changes { .. } | ResponseBody::Entries { .. } => take_entries(&mut rest)?,
        _ => Payload::Empty,
    };
    validate_range(&response)?;
    expect_end(rest)?;
    Ok((response, payload))
}

fn validate_range(response: &PollResponse) -> Result<(), DecodeError> {
    let valid = match response.body {
        ResponseBody::Changes { after, up_to, .. } => after <= up_to && up_to <= response.head,
        ResponseBody::Entries { from, next, .. } => next.is_none_or(|next| next > from),
        _ => true,
    };
    match valid {
        true => Ok(()),
        false => Err(DecodeError::InvalidCursor),
    }
}

fn take_leaf_versions(rest: &mut &[u8]) -> Result<Vec<LeafVersions>, DecodeError> {
    let mut leaves: Vec<LeafVersions> = Vec::new();
    while !rest.is_empty() {
        let (leaf, count): (u16, u16) = take(rest)?;
        // Leaves must be ascending and without duplicates, so that a response is never larger than the store.
        if leaf as usize >= LEAVES || leaves.last().is_some_and(|last| last.leaf >= leaf) {
            return Err(DecodeError::InvalidLeaf);
        }
        let mut versions = Vec::new();
        for _ in 0..count {
            let (key, version): ([u8; 8], u64) = take(rest)?;
            let key = u64::from_le_bytes(key);
            versions.push(EntryVersion { key, version });
        }
        leaves.push(LeafVersions { leaf, versions });
    }
    Ok(leaves)
}

fn take_branch_hashes(rest: &mut &[u8]) -> Result<Payload, DecodeError> {
    if rest.len() != BRANCHES * 8 {
        return Err(DecodeError::Malformed);
    }
    let hash = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap_or_default());
    let hashes = std::mem::take(rest).chunks(8).map(hash);
    Ok(Payload::BranchHashes(hashes.collect()))
}

fn take_leaf_hashes(rest: &mut &[u8]) -> Result<Payload, DecodeError> {
    if !rest.len().is_multiple_of(LEAF_HASHES_ROW_SIZE) {
        return Err(DecodeError::Malformed);
    }
    let hash = |bytes: &[u8]| u32::from_le_bytes(bytes.try_into().unwrap_or_default());
    let mut branches = Vec::new();
    for row in std::mem::take(rest).chunks(LEAF_HASHES_ROW_SIZE) {
        let branch = row[0];
        if branch as usize >= BRANCHES {
            return Err(DecodeError::InvalidLeaf);
        }
        let hashes = row[1..].chunks(4).map(hash).collect();
        branches.push(LeafHashes { branch, hashes });
    }
    Ok(Payload::LeafHashes(branches))
}

fn take_entries(rest: &mut &[u8]) -> Result<Payload, DecodeError> {
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let row: EntryRow<'_> = take(rest)?;
        store::validate(row.version, row.value)?;
        entries.push(Entry {
            key: u64::from_le_bytes(row.key),
            version: row.version,
            value: row.value.to_vec(),
        });
    }
    Ok(Payload::Entries(entries))
}

fn decode_header<'a, T: Deserialize<'a>>(
    expected_kind: u8,
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), DecodeError> {
    let [magic, version, kind, rest @ ..] = bytes else {
        return Err(DecodeError::Malformed);
    };
    if *magic != MAGIC {
        return Err(DecodeError::OtherKind);
    }
    if *version > FORMAT_VERSION {
        return Err(DecodeError::LaterVersion);
    }
    if *version != FORMAT_VERSION {
        return Err(DecodeError::Malformed);
    }
    if *kind != expected_kind {
        return Err(DecodeError::OtherKind);
    }
    let mut rest = rest;
    let header = take(&mut rest)?;
    Ok((header, rest))
}

fn take<'a, T: Deserialize<'a>>(rest: &mut &'a [u8]) -> Result<T, DecodeError> {
    let (value, remaining) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    *rest = remaining;
    Ok(value)
}

fn expect_end(rest: &[u8]) -> Result<(), DecodeError> {
    match rest.is_empty() {
        true => Ok(()),
        false => Err(DecodeError::Malformed),
    }
}
