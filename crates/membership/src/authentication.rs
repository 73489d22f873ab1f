//! Sealed datagrams: authenticated, not encrypted. Each carries a version, its sender and the sender's incarnation, the
//! receiver's incarnation that it is meant for, a number, and a message authentication code (16 bytes of keyed
//! BLAKE3) under a key of the cluster.
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | the version, 1 |
//! | 1 | the kind: 0 a greeting, 1 an answer to one, 2 data |
//! | 2..10 | the sender: the hash of its name |
//! | 10..18 | the sender's incarnation |
//! | 18..26 | the receiver's incarnation that it is meant for; 0 in a greeting |
//! | 26..34 | its number, counted up by the sender for each receiver |
//! | .. | the body |
//! | last 16 | the authentication code over all before it |
//!
//! Numbers are little-endian. A replayed datagram is detected by its number, if the receiver still runs, and by the
//! receiver's incarnation otherwise. Only greetings are bound to no incarnation; all that they cause is an answer,
//! with no more bytes than they have.

use crate::replay::Peer;
use std::collections::BTreeMap;

/// The version of the format.
pub const VERSION: u8 = 1;
/// Bytes of a datagram at most.
pub const MAX_DATAGRAM: usize = 1400;
/// Bytes that sealing adds to a body.
pub const OVERHEAD: usize = HEADER_BYTES + TAG_BYTES;
const HEADER_BYTES: usize = 34;
const TAG_BYTES: usize = 16;
/// Senders that are remembered. A control instance has to know 2,100 balancers when all the others are gone, each of
/// them perhaps under the name of the one that it replaced too; a power of two with room for that.
pub const MAX_SENDERS: usize = 4096;
/// Bytes of a secret at least.
pub const MIN_SECRET: usize = 16;
/// The domain of key derivation. Part of the format: it never changes.
const KEY_CONTEXT: &str = "spanspur cluster datagrams v1";

/// What a datagram is. The value is its byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Says who the sender is; bound to no incarnation of the receiver.
    Greeting = 0,
    /// Answers a greeting; bound to the incarnation that greeted.
    Answer = 1,
    /// All else.
    Data = 2,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Self::Greeting),
            1 => Some(Self::Answer),
            2 => Some(Self::Data),
            _ => None,
        }
    }
}

/// A key of the cluster.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(secret)")
    }
}

impl Key {
    /// Derives the key from a secret that all instances share.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn compute_mac(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    /// Compares in constant time, so that a forger learns nothing from the duration.
    fn verify_mac(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let expected = self.compute_mac(bytes);
        let pairs = expected.as_bytes()[..TAG_BYTES].iter().zip(tag);
        pairs.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}

/// The keys in use: the first seals, all open. Two of them allow to replace a key without an interruption.
#[derive(Clone, Debug)]
pub struct Keys(pub Vec<Key>);

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM`], or shorter than [`OVERHEAD`].
    #[error("the datagram's size is out of bounds")]
    InvalidSize,
    /// Another version of the format, or an unknown kind.
    #[error("the datagram's version or kind is not supported")]
    UnsupportedVersion,
    /// No key of ours has sealed it: forged, cut off or damaged.
    #[error("the authentication code does not match")]
    InvalidTag,
    /// It has come before, or is too old to tell.
    #[error("the datagram has come before or is too old to tell")]
    Replayed,
    /// It is meant for another incarnation of this instance.
    #[error("the datagram is meant for another incarnation")]
    OtherIncarnation,
    /// [`MAX_SENDERS`] senders are known already.
    #[error("no more senders can be remembered")]
    TooManySenders,
}

impl DatagramError {
    /// The name of its counter.
    pub fn counter_name(self) -> &'static str {
        match self {
            Self::InvalidSize => "size",
            Self::UnsupportedVersion => "version",
            Self::InvalidTag => "forged",
            Self::Replayed => "replay",
            Self::OtherIncarnation => "other-run",
            Self::TooManySenders => "full",
        }
    }
}

/// An authentic datagram.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// What it is.
    pub kind: DatagramKind,
    /// The sender's id.
    pub sender: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Whether this incarnation of the sender is new here.
    pub is_new_incarnation: bool,
    /// What it carries.
    pub body: &'a [u8],
}

/// The addressing part of a header.
#[derive(Clone, Copy)]
struct Header {
    sender: u64,
    sender_incarnation: u64,
    receiver_incarnation: u64,
    number: u64,
}

impl Header {
    fn to_fields(self) -> [u64; 4] {
        [
            self.sender,
            self.sender_incarnation,
            self.receiver_incarnation,
            self.number,
        ]
    }

    /// Reads the header of a datagram whose size was checked.
    fn read(bytes: &[u8]) -> Self {
        let number_at = |at: usize| {
            let part: [u8; 8] = bytes[at..at + 8].try_into().unwrap_or_default();
            u64::from_le_bytes(part)
        };
        Self {
            sender: number_at(2),
            sender_incarnation: number_at(10),
            receiver_incarnation: number_at(18),
            number: number_at(26),
        }
    }
}

/// The incarnations and datagram numbers of all other instances.
#[derive(Debug)]
pub struct Sessions {
    own_id: u64,
    own_incarnation: u64,
    keys: Keys,
    peers: BTreeMap<u64, Peer>,
    /// Numbers for a peer that was forgotten go on above all that were used then.
    first_number: u64,
}

impl Sessions {
    /// The sessions of an instance in this incarnation, which is not 0.
    pub fn new(own_id: u64, own_incarnation: u64, keys: Keys) -> Self {
        Self {
            own_id,
            own_incarnation,
            keys,
            peers: BTreeMap::new(),
            first_number: 0,
        }
    }

    /// Forgets a peer, so that its place is free. What it sent to this incarnation before would open once more if it
    /// was recorded, and show as a new incarnation: only for users to whom a repeated old message does no harm.
    pub fn forget(&mut self, peer: u64) {
        if let Some(peer) = self.peers.remove(&peer) {
            self.first_number = self.first_number.max(peer.last_number);
        }
    }

    /// Replaces the keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The incarnation of a peer that has proved its presence.
    pub fn incarnation_of(&self, peer: u64) -> Option<u64> {
        self.peers.get(&peer)?.current_incarnation
    }

    /// Seals a datagram for a peer; `None` while its incarnation is not known, or if the body is too large.
    pub fn seal(&mut self, to: u64, kind: DatagramKind, body: &[u8]) -> Option<Vec<u8>> {
        let peer = self.peers.get_mut(&to)?;
        let incarnation = peer.current_incarnation?;
        peer.last_number += 1;
        let number = peer.last_number;
        self.encode_datagram(kind, incarnation, number, body)
    }

    /// Seals an answer for the incarnation that greeted, which nothing has proved yet; `None` if the body is too large.
    pub fn seal_answer(&self, incarnation: u64, body: &[u8]) -> Option<Vec<u8>> {
        self.encode_datagram(DatagramKind::Answer, incarnation, 0, body)
    }

    /// Seals a greeting; `None` if the body is too large.
    pub fn seal_greeting(&self, body: &[u8]) -> Option<Vec<u8>> {
        self.encode_datagram(DatagramKind::Greeting, 0, 0, body)
    }

    fn encode_datagram(
        &self,
        kind: DatagramKind,
        receiver_incarnation: u64,
        number: u64,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        if body.len() + OVERHEAD > MAX_DATAGRAM {
            return None;
        }
        let header = Header {
            sender: self.own_id,
            sender_incarnation: self.own_incarnation,
            receiver_incarnation,
            number,
        };
        let mut bytes = Vec::with_capacity(body.len() + OVERHEAD);
        bytes.extend([VERSION, kind as u8]);
        for field in header.to_fields() {
            bytes.extend(field.to_le_bytes());
        }
        bytes.extend(body);
        let tag = self.keys.0.first()?.compute_mac(&bytes);
        bytes.extend(&tag.as_bytes()[..TAG_BYTES]);
        Some(bytes)
    }

    /// Opens a datagram.
    ///
    /// # Errors
    ///
    /// If it is not authentic, was replayed, is meant for another incarnation, or comes from one sender too many.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        let signed = self.authenticate(bytes)?;
        let kind = DatagramKind::from_byte(bytes[1]).ok_or(DatagramError::UnsupportedVersion)?;
        let header = Header::read(bytes);
        let is_new_incarnation = match kind {
            DatagramKind::Greeting => false,
            _ => self.record_datagram(kind, header)?,
        };
        Ok(OpenedDatagram {
            kind,
            sender: header.sender,
            incarnation: header.sender_incarnation,
            is_new_incarnation,
            body: &signed[HEADER_BYTES..],
        })
    }

    /// Returns the authenticated part of a datagram.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        if bytes.len() < OVERHEAD || bytes.len() > MAX_DATAGRAM {
            return Err(DatagramError::InvalidSize);
        }
        if bytes[0] != VERSION {
            return Err(DatagramError::UnsupportedVersion);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let mut keys = self.keys.0.iter();
        match keys.any(|key| key.verify_mac(signed, tag)) {
            true => Ok(signed),
            false => Err(DatagramError::InvalidTag),
        }
    }

    /// Records a datagram that is bound to an incarnation; returns whether the sender's incarnation is new.
    fn record_datagram(
        &mut self,
        kind: DatagramKind,
        header: Header,
    ) -> Result<bool, DatagramError> {
        if header.receiver_incarnation != self.own_incarnation {
            return Err(DatagramError::OtherIncarnation);
        }
        let is_known = self.peers.contains_key(&header.sender);
        if self.peers.len() >= MAX_SENDERS && !is_known {
            return Err(DatagramError::TooManySenders);
        }
        // Bound to our incarnation: whoever made it has heard from us in it.
        let peer = self.peers.entry(header.sender).or_default();
        peer.record_datagram(
            kind,
            header.sender_incarnation,
            header.number,
            self.first_number,
        )
    }
}
