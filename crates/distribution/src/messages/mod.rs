//! The messages between sources and followers. They are sent in sealed datagrams, which the membership crate
//! authenticates with the cluster's keys but does not encrypt.
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
pub const ENTRY_VERSION_SIZE: usize = 8 + 10; // A varint of 64 bits takes up to 10 bytes.

const REQUEST: u8 = 0;
const RESPONSE: u8 = 1;

/// A follower's request to a source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// A number that identifies the request. The source repeats it in each datagram of the response.
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
        /// The branches, one bit for each; the lowest bit is branch 0.
        branches: u64,
        /// The salt of the hashes, see [`EntryStore::leaf_hashes`](crate::store::EntryStore::leaf_hashes).
        salt: u32,
    },
    /// All entries from a position on.
    Entries {
        /// The first position, see [`position`](crate::store::position).
        from: u64,
    },
    /// The entries of the leaves listed in the rows ([`LeafVersions`]) that the follower lacks or holds in a lower
    /// version.
    NewerEntries {
        /// The first position.
        from: u64,
    },
    /// No data. The follower no longer polls this source; there is no response.
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
    /// The number of the leaf.
    pub leaf: u16,
    /// The versions of the entries in the leaf.
    pub versions: Vec<EntryVersion>,
}

/// A source's response. The source's incarnation is the one in the sealed datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The nonce of the request.
    pub nonce: u32,
    /// How long ago the source last heard from a writer, in milliseconds; `None` if it never did.
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
        /// Whether the root hashes of both sides are equal.
        same_content: bool,
    },
    /// The cursor is invalid or below the head, but the root hashes of both sides are equal: the follower adopts the
    /// head as its new cursor.
    AdoptHead,
    /// The cursor is invalid, and the contents differ.
    ContentDiffers,
    /// The rate limit is reached. The follower repeats the request at the slot that the source has reserved for it.
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
        /// The range starts after this sequence number.
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
        /// The first position after the range; `None` if no further entries were requested or exist.
        next: Option<u64>,
        /// Whether this is the last datagram of the response.
        last: bool,
    },
}

/// The shortened hashes of a branch's leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafHashes {
    /// The number of the branch.
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
    /// The entries of a range of sequence numbers or positions.
    Entries(Vec<Entry>),
}

/// An entry as it is encoded.
#[derive(Serialize, Deserialize)]
struct EntryRow<'a> {
    key: [u8; 8],
    version: u64,
    value: &'a [u8],
}
