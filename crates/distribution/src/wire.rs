//! What sources and followers say to each other, inside sealed datagrams.
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | [`MARK`], so that it is never taken for what else travels under the cluster's keys |
//! | 1 | the form, [`FORM`] |
//! | 2 | 0 an ask, 1 an answer |
//! | .. | the head ([`Ask`] or [`Answer`]), as postcard |
//! | .. | rows until the end: nothing in a datagram states how many there are |
//!
//! A datagram is read whole before any of it is used; one that does not hold is counted by its reason and dropped.

use crate::store::{self, BRANCHES, LEAVES};
use serde::{Deserialize, Serialize};
use spanspur_leases::GossipEntry as Entry;
use spanspur_membership::authentication::{MAX_DATAGRAM, OVERHEAD};

/// The first byte of each.
pub const MARK: u8 = 0xd5;
/// The form that is spoken here. A later one is refused by its own reason, so that a mixed fleet shows.
pub const FORM: u8 = 1;
/// What a datagram bears, mark and form with it.
pub const ROOM: usize = MAX_DATAGRAM - OVERHEAD;
/// The most that mark, form and head take; rows fill the rest.
pub const HEAD: usize = 64;
/// Datagrams that one ask may bring, whatever it says.
pub const MAX_WINDOW: u8 = 8;

/// What a follower asks of a source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The follower's number for this ask, which answers repeat.
    pub nonce: u32,
    /// The source asked is the follower's first one.
    pub first: bool,
    /// Its cursor at this source: a run of it, 0 for none, and the last arrival it has of that run.
    pub run: u64,
    /// See `run`.
    pub seq: u64,
    /// The hash over all that the follower holds.
    pub root: u64,
    /// Datagrams that may come at once.
    pub window: u8,
    /// What it wants.
    pub want: Want,
}

/// What an ask is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Want {
    /// What has come since the cursor.
    Changes,
    /// The hashes of the tree's branches.
    Tree,
    /// The hashes of the leaves of these branches, a bit for each, shortened under a salt.
    Leaves {
        /// Which branches.
        branches: u64,
        /// For shortening.
        salt: u32,
    },
    /// All entries from this position on.
    Range {
        /// A position.
        from: u64,
    },
    /// Of the leaves named in the rows ([`Held`]) what is newer than held, from this position on.
    Differ {
        /// A position.
        from: u64,
    },
    /// Nothing more: it follows another source now.
    Leave,
}

/// What the follower holds of a leaf: keys and versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Which leaf.
    pub leaf: u16,
    /// What it holds there.
    pub rows: Vec<(u64, u64)>,
}

/// What a source answers; its run is that of the sealed datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The ask's number.
    pub nonce: u32,
    /// How old the source's own knowledge is, in milliseconds; `None` as long as it has heard no writer.
    pub age: Option<u64>,
    /// Its last arrival.
    pub head: u64,
    /// The answer.
    pub part: Part,
}

/// The parts of answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Nothing has come since the cursor.
    Nothing {
        /// Both hold the same.
        same: bool,
    },
    /// The cursor was of no use, but both hold the same: the head is the cursor.
    Adopt,
    /// The cursor is of no use, and they do not hold the same.
    Differs,
    /// Ask again so many milliseconds after the ask was sent; a place is kept until then.
    Later {
        /// Milliseconds.
        wait: u32,
    },
    /// The hashes of the branches, in rows of 8 bytes.
    Tree,
    /// The hashes of leaves, in rows of a branch's number and 64 times 4 bytes.
    Leaves {
        /// The last datagram of this answer.
        last: bool,
    },
    /// All arrivals after `from`, up to `to`, in rows of entries.
    Changes {
        /// After this arrival.
        from: u64,
        /// Up to this one.
        to: u64,
        /// The last datagram of this answer.
        last: bool,
    },
    /// What was asked for from one position up to before another, in rows of entries.
    Walk {
        /// From this position.
        from: u64,
        /// Up to before this one; `None`: up to the end of what was asked for.
        next: Option<u64>,
        /// The last datagram of this answer.
        last: bool,
    },
}

/// Why a datagram that was sealed rightly is refused.
pub type Refused = &'static str;

const ASK: u8 = 0;
const ANSWER: u8 = 1;

/// Rows that an answer brought, by its part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rows {
    /// None.
    None,
    /// Hashes of branches.
    Tree(Vec<u64>),
    /// Hashes of the leaves of branches.
    Leaves(Vec<(u8, Vec<u32>)>),
    /// Entries.
    Entries(Vec<Entry>),
}

#[derive(Serialize, Deserialize)]
struct Row<'a> {
    key: [u8; 8],
    version: u64,
    value: &'a [u8],
}

/// The bytes that an entry takes as a row, at most.
pub fn row_size(entry: &Entry) -> usize {
    8 + 9 + 2 + entry.value.len()
}

/// An ask, ready to be sealed.
pub fn ask(ask: &Ask, held: &[Held]) -> Vec<u8> {
    let mut bytes = start(ASK, ask);
    for leaf in held {
        put(&mut bytes, &(leaf.leaf, leaf.rows.len() as u16));
        for (key, version) in &leaf.rows {
            put(&mut bytes, &(key.to_le_bytes(), version));
        }
    }
    bytes
}

/// The bytes that what is held of a leaf takes, at most.
pub fn held_size(rows: usize) -> usize {
    6 + rows * (8 + 10)
}

/// An answer without rows, ready to be sealed or to be given rows.
pub fn answer(answer: &Answer) -> Vec<u8> {
    start(ANSWER, answer)
}

/// Adds an entry to an answer.
pub fn put_entry(bytes: &mut Vec<u8>, entry: &Entry) {
    let row = Row {
        key: entry.key.to_le_bytes(),
        version: entry.version,
        value: &entry.value,
    };
    put(bytes, &row);
}

/// Adds the hashes of all branches.
pub fn put_tree(bytes: &mut Vec<u8>, tree: &[u64]) {
    tree.iter()
        .for_each(|hash| bytes.extend(hash.to_le_bytes()));
}

/// The bytes of a branch's leaves.
pub const LEAVES_ROW: usize = 1 + LEAVES / BRANCHES * 4;

/// Adds the hashes of a branch's leaves.
pub fn put_leaves(bytes: &mut Vec<u8>, branch: u8, leaves: &[u32]) {
    bytes.push(branch);
    leaves
        .iter()
        .for_each(|hash| bytes.extend(hash.to_le_bytes()));
}

/// Reads an ask.
pub fn read_ask(bytes: &[u8]) -> Result<(Ask, Vec<Held>), Refused> {
    let (ask, mut rest): (Ask, _) = open(ASK, bytes)?;
    if ask.window == 0 || ask.window > MAX_WINDOW {
        return Err("absurd-window");
    }
    let mut held: Vec<Held> = Vec::new();
    if matches!(ask.want, Want::Differ { .. }) {
        while !rest.is_empty() {
            let (leaf, count): (u16, u16) = take(&mut rest)?;
            // In order, each once, so that what is answered is bounded by the store.
            if leaf as usize >= LEAVES || held.last().is_some_and(|last| last.leaf >= leaf) {
                return Err("absurd-leaf");
            }
            let mut rows = Vec::new();
            for _ in 0..count {
                let (key, version): ([u8; 8], u64) = take(&mut rest)?;
                rows.push((u64::from_le_bytes(key), version));
            }
            held.push(Held { leaf, rows });
        }
    }
    match rest.is_empty() {
        true => Ok((ask, held)),
        false => Err("garbled"),
    }
}

/// Reads an answer, with all of its rows.
pub fn read_answer(bytes: &[u8]) -> Result<(Answer, Rows), Refused> {
    let (answer, mut rest): (Answer, _) = open(ANSWER, bytes)?;
    let rows = match answer.part {
        Part::Tree => {
            if rest.len() != BRANCHES * 8 {
                return Err("garbled");
            }
            let hash = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap_or_default());
            Rows::Tree(std::mem::take(&mut rest).chunks(8).map(hash).collect())
        }
        Part::Leaves { .. } => {
            if !rest.len().is_multiple_of(LEAVES_ROW) {
                return Err("garbled");
            }
            let hash = |bytes: &[u8]| u32::from_le_bytes(bytes.try_into().unwrap_or_default());
            let mut rows = Vec::new();
            for row in std::mem::take(&mut rest).chunks(LEAVES_ROW) {
                if row[0] as usize >= BRANCHES {
                    return Err("absurd-leaf");
                }
                rows.push((row[0], row[1..].chunks(4).map(hash).collect()));
            }
            Rows::Leaves(rows)
        }
        Part::Changes { .. } | Part::Walk { .. } => {
            let mut entries = Vec::new();
            while !rest.is_empty() {
                let row: Row<'_> = take(&mut rest)?;
                store::fit(row.version, row.value).map_err(store::Unfit::name)?;
                entries.push(Entry {
                    key: u64::from_le_bytes(row.key),
                    version: row.version,
                    value: row.value.to_vec(),
                });
            }
            Rows::Entries(entries)
        }
        _ => Rows::None,
    };
    if let Part::Changes { from, to, .. } = answer.part
        && (from > to || to > answer.head)
    {
        return Err("absurd-cursor");
    }
    if let Part::Walk { from, next, .. } = answer.part
        && next.is_some_and(|next| next <= from)
    {
        return Err("absurd-cursor");
    }
    match rest.is_empty() {
        true => Ok((answer, rows)),
        false => Err("garbled"),
    }
}

fn start(way: u8, head: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD);
    bytes.extend([MARK, FORM, way]);
    put(&mut bytes, head);
    bytes
}

fn put(bytes: &mut Vec<u8>, what: &impl Serialize) {
    // Into memory nothing of ours fails; if it did, the datagram would not be read at the other end.
    let more = postcard::to_stdvec(what).unwrap_or_default();
    bytes.extend(more);
}

fn open<'a, T: Deserialize<'a>>(way: u8, bytes: &'a [u8]) -> Result<(T, &'a [u8]), Refused> {
    let [mark, form, told, rest @ ..] = bytes else {
        return Err("garbled");
    };
    if *mark != MARK {
        return Err("other-kind");
    }
    if *form != FORM {
        return Err(if *form > FORM {
            "later-form"
        } else {
            "garbled"
        });
    }
    if *told != way {
        return Err("other-kind");
    }
    let mut rest = rest;
    let head = take(&mut rest)?;
    Ok((head, rest))
}

fn take<'a, T: Deserialize<'a>>(rest: &mut &'a [u8]) -> Result<T, Refused> {
    let (value, left) = postcard::take_from_bytes(rest).map_err(|_| "garbled")?;
    *rest = left;
    Ok(value)
}
