//! The messages between sources and followers, sent in sealed datagrams.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 0 | [`MAGIC`], which distinguishes these messages from others under the cluster's keys |
//! | 1 | [`FORMAT_VERSION`] |
//! | 2 | 0 for a request, 1 for a response |
//! | .. | [`PollRequest`] or [`PollResponse`], as postcard |
//! | .. | rows until the end of the datagram, without a count |
//!
//! A datagram is decoded and validated completely before any part of it is applied. Postcard identifies fields by
//! their order and variants by their index, so neither may change.

mod decode;
mod encode;

pub use decode::{DecodeError, decode_request, decode_response};
pub use encode::{
    append_branch_hashes, append_entry, append_leaf_hashes, encode_request, encode_response,
    entry_row_size, leaf_versions_size,
};

use crate::Entry;
use crate::store::LEAVES_PER_BRANCH;
use serde::{Deserialize, Serialize};
use spanspur_membership::authentication::{MAX_DATAGRAM, OVERHEAD};

/// The first byte of each message.
pub const MAGIC: u8 = 0xd5;
/// The version of the message format. A later version is rejected with an error of its own, so that a fleet of mixed
/// versions shows in the counters.
pub const FORMAT_VERSION: u8 = 1;
/// The maximum size of a message, magic and version included, in bytes.
pub const MAX_MESSAGE: usize = MAX_DATAGRAM - OVERHEAD;
/// The maximum size of a message without its rows, magic and version included, in bytes.
pub const MAX_HEADER: usize = 64;
/// The maximum number of datagrams in response to one request.
pub const MAX_WINDOW: u8 = 8;
/// The size of a row with the leaf hashes of a branch, in bytes.
pub const LEAF_HASHES_ROW_SIZE: usize = 1 + LEAVES_PER_BRANCH * 4;
/// The maximum size of the key and version of an entry in a request, in bytes.
pub const ENTRY_VERSION_SIZE: usize = 8 + 10;

const REQUEST: u8 = 0;
const RESPONSE: u8 = 1;

/// A follower's request to a source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The number that the follower gives the request, repeated in its responses.
    pub nonce: u32,
    /// Whether the source is the follower's primary source.
    pub is_primary: bool,
    /// The source's incarnation for which the cursor is valid, 0 if there is no cursor.
    pub incarnation: u64,
    /// The cursor: the sequence number of the last change of that incarnation that the follower holds.
    pub sequence: u64,
    /// The root hash of the follower's store.
    pub root_hash: u64,
    /// The number of datagrams accepted in response, from 1 to [`MAX_WINDOW`].
    pub window: u8,
    /// The requested data.
    pub query: Query,
}

/// The data that a poll requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The changes since the cursor.
    Changes,
    /// The hashes of the tree's branches.
    BranchHashes,
    /// The hashes of the leaves of some branches.
    LeafHashes {
        /// The branches, one bit for each.
        branches: u64,
        /// The salt with which the hashes are shortened.
        salt: u32,
    },
    /// All entries from a position on.
    Entries {
        /// The first position.
        from: u64,
    },
    /// The entries newer than those listed in the rows ([`LeafVersions`]), of the leaves listed there.
    NewerEntries {
        /// The first position.
        from: u64,
    },
    /// No data: the follower polls another source from now on.
    Unsubscribe,
}

/// The key and version of an entry that a follower holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryVersion {
    /// The key.
    pub key: u64,
    /// The version held.
    pub version: u64,
}

/// The versions that a follower holds in a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafVersions {
    /// The leaf.
    pub leaf: u16,
    /// The versions of the entries in the leaf.
    pub versions: Vec<EntryVersion>,
}

/// A source's response. The source's incarnation is the one in the sealed datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The number of the request.
    pub nonce: u32,
    /// The age of the source's own data, in milliseconds; `None` until it has heard from a writer.
    pub data_age: Option<u64>,
    /// The sequence number of the source's last change.
    pub head: u64,
    /// The kind of response.
    pub body: ResponseBody,
}

/// The kinds of responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// No changes since the cursor.
    UpToDate {
        /// Whether both sides hold the same content.
        same_content: bool,
    },
    /// The cursor is invalid, but both sides hold the same content: the follower adopts the head as its new cursor.
    AdoptHead,
    /// The cursor is invalid, and the contents differ.
    ContentDiffers,
    /// The rate limit is reached. A slot is reserved for a repetition of the request.
    RetryAfter {
        /// When to repeat the request, in milliseconds after it was sent.
        wait: u32,
    },
    /// The hashes of all branches, in rows of 8 bytes.
    BranchHashes,
    /// The hashes of leaves, in rows of a branch's number and its leaf hashes of 4 bytes.
    LeafHashes {
        /// Whether this is the last datagram of the response.
        last: bool,
    },
    /// All changes of a range of sequence numbers, in rows of entries.
    Changes {
        /// The sequence number before the range.
        after: u64,
        /// The last sequence number of the range.
        up_to: u64,
        /// Whether this is the last datagram of the response.
        last: bool,
    },
    /// The requested entries of a range of positions, in rows of entries.
    Entries {
        /// The first position.
        from: u64,
        /// The position after the range; `None`: there are no further entries.
        next: Option<u64>,
        /// Whether this is the last datagram of the response.
        last: bool,
    },
}

/// The shortened hashes of a branch's leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafHashes {
    /// The branch.
    pub branch: u8,
    /// The hashes of its leaves, in order.
    pub hashes: Vec<u32>,
}

/// The rows of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No rows.
    Empty,
    /// The hashes of all branches, in order.
    BranchHashes(Vec<u64>),
    /// The hashes of the leaves of some branches.
    LeafHashes(Vec<LeafHashes>),
    /// Entries.
    Entries(Vec<Entry>),
}

/// An entry as it is encoded.
#[derive(Serialize, Deserialize)]
struct EntryRow<'a> {
    key: [u8; 8],
    version: u64,
    value: &'a [u8],
}
