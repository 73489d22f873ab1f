//! The messages between sources and followers, inside sealed datagrams.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 0 | [`MAGIC`], which tells them from other datagrams under the cluster's keys |
//! | 1 | [`FORMAT_VERSION`] |
//! | 2 | 0 for a request, 1 for a response |
//! | .. | [`PollRequest`] or [`PollResponse`], as postcard |
//! | .. | rows until the end of the datagram, without a count |
//!
//! A datagram is decoded and validated whole before any of it is applied. Postcard identifies fields by their place
//! and variants by their number: neither may change.

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
/// The version of the format. A later one is rejected by a reason of its own, so that a fleet of mixed versions shows.
pub const FORMAT_VERSION: u8 = 1;
/// The longest message, magic and version included, in bytes.
pub const MAX_MESSAGE: usize = MAX_DATAGRAM - OVERHEAD;
/// The most that magic, version and header take, in bytes; rows fill the rest.
pub const MAX_HEADER: usize = 64;
/// The most datagrams in response to one request.
pub const MAX_WINDOW: u8 = 8;
/// The size of the row of a branch's leaf hashes, in bytes.
pub const LEAF_HASHES_ROW_SIZE: usize = 1 + LEAVES_PER_BRANCH * 4;
/// The size of the key and version of an entry in a request, at most, in bytes.
pub const ENTRY_VERSION_SIZE: usize = 8 + 10;

const REQUEST: u8 = 0;
const RESPONSE: u8 = 1;

/// A follower's request to a source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The follower's number of this request, which responses repeat.
    pub nonce: u32,
    /// The source is the follower's primary one.
    pub is_primary: bool,
    /// The source's incarnation to which the cursor belongs, 0 for none.
    pub incarnation: u64,
    /// The last change of that incarnation that the follower holds.
    pub sequence: u64,
    /// The hash over all that the follower holds.
    pub root_hash: u64,
    /// Datagrams accepted in response, 1 to [`MAX_WINDOW`].
    pub window: u8,
    /// What is requested.
    pub query: Query,
}

/// What a poll requests.
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
        /// The salt under which the hashes are shortened.
        salt: u32,
    },
    /// All entries from a position on.
    Entries {
        /// The first position.
        from: u64,
    },
    /// The entries of the leaves in the rows ([`LeafVersions`]) that are newer than listed there.
    NewerEntries {
        /// The first position.
        from: u64,
    },
    /// Nothing more: the follower polls another source from now on.
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
    /// The versions held in it.
    pub versions: Vec<EntryVersion>,
}

/// A source's response; its incarnation is that of the sealed datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The number of the request.
    pub nonce: u32,
    /// The age of the source's own data, in milliseconds; `None` until it has heard from a writer.
    pub data_age: Option<u64>,
    /// The source's last change.
    pub head: u64,
    /// The response.
    pub body: ResponseBody,
}

/// The kinds of responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// No changes since the cursor.
    UpToDate {
        /// Both sides hold the same content.
        same_content: bool,
    },
    /// The cursor is invalid, but both sides hold the same content: the head is the new cursor.
    AdoptHead,
    /// The cursor is invalid, and the contents differ.
    ContentDiffers,
    /// The rate limit is reached: a slot is reserved for a repeated request.
    RetryAfter {
        /// When to repeat it, in milliseconds after this request was sent.
        wait: u32,
    },
    /// The hashes of all branches, in rows of 8 bytes.
    BranchHashes,
    /// The hashes of leaves, in rows of a branch's number and its hashes of 4 bytes.
    LeafHashes {
        /// This is the last datagram of the response.
        last: bool,
    },
    /// All changes of a range of sequence numbers, in rows of entries.
    Changes {
        /// The first change is the one after this.
        after: u64,
        /// The last change.
        up_to: u64,
        /// This is the last datagram of the response.
        last: bool,
    },
    /// The requested entries of a range of positions, in rows of entries.
    Entries {
        /// The first position.
        from: u64,
        /// The position after the range; `None`: there are no further entries.
        next: Option<u64>,
        /// This is the last datagram of the response.
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
