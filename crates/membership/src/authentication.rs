//! Sealed datagrams: authenticated, not encrypted. The message authentication code, or tag, is the first 16 bytes of a
//! keyed BLAKE3 hash under one of the cluster's keys.
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | the version, 1 |
//! | 1 | the kind: 0 for a greeting, 1 for an answer, 2 for data |
//! | 2..10 | the sender's id: the hash of its name |
//! | 10..18 | the sender's incarnation |
//! | 18..26 | the incarnation of the receiver to which the datagram is addressed; 0 in a greeting |
//! | 26..34 | the sequence number, which the sender increments for each receiver; 0 in greetings and answers |
//! | .. | the body |
//! | last 16 | the authentication code over all preceding bytes |
//!
//! Integers are little-endian. While the receiver runs, its replay window detects a replayed data datagram by the
//! sequence number. A replayed answer is accepted again, but only repeats an incarnation that the receiver knows. After
//! a restart of the receiver, the receiver's incarnation no longer matches in either kind. Only greetings are not bound
//! to an incarnation. All that a greeting causes is an answer, so a replayed greeting changes no state except the count
//! of answers in [`Handshakes`](crate::Handshakes), which limits their rate. The answer carries the identity of the
//! instance that answers, so it can be larger than the greeting; [`MAX_DATAGRAM`] is the only bound on its size here.

use crate::replay::Peer;
use std::collections::BTreeMap;

/// The version of the datagram format.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1400;
/// Number of bytes that sealing adds to a body.
pub const OVERHEAD: usize = HEADER_BYTES + TAG_BYTES;
const HEADER_BYTES: usize = 34;
const TAG_BYTES: usize = 16;
/// Maximum number of remembered senders. When all other control instances are down, one control instance has to
/// remember 2,100 balancers, and a balancer that was replaced also under the name of its predecessor. The limit leaves
/// room for 1,996 predecessors, which is not quite one for each balancer.
pub const MAX_SENDERS: usize = 4096;
/// Minimum length of a secret, in bytes. [`Key::new`] does not check it; that is up to the caller.
pub const MIN_SECRET: usize = 16;
/// The context string of key derivation. It is part of the format and must not change.
const KEY_CONTEXT: &str = "spanspur cluster datagrams v1";

/// The kind of a datagram. The discriminant is the byte in the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Announces the sender's identity. Not bound to an incarnation of the receiver.
    Greeting = 0,
    /// Answers a greeting. Bound to the incarnation that sent the greeting.
    Answer = 1,
    /// Any other message. Bound to the receiver's incarnation.
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

/// One of the cluster's keys.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(secret)")
    }
}

impl Key {
    /// Derives a key from a secret that all instances share.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn compute_mac(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    /// Checks a tag in constant time, so that the duration reveals nothing to a forger.
    fn verify_mac(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let expected = self.compute_mac(bytes);
        let pairs = expected.as_bytes()[..TAG_BYTES].iter().zip(tag);
        pairs.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}

/// The keys in use. The first key seals datagrams, and every key opens them, so that a key can be replaced without an
/// interruption while both the old and the new key are configured. Without a key, nothing is sealed or opened.
#[derive(Clone, Debug)]
pub struct Keys(pub Vec<Key>);

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM`] or shorter than [`OVERHEAD`].
    #[error("the datagram's size is out of bounds")]
    InvalidSize,
    /// The datagram has another version of the format, or an unknown kind.
    #[error("the datagram's version or kind is not supported")]
    UnsupportedVersion,
    /// The authentication code matches no configured key: the datagram is forged, truncated or corrupted, or was sealed
    /// with a key that is not configured here.
    #[error("the authentication code does not match any key")]
    InvalidTag,
    /// The datagram was received before, or it is too old for the replay window.
    #[error("the datagram was received before or is too old for the replay window")]
    Replayed,
    /// The datagram is addressed to another incarnation of this instance.
    #[error("the datagram is addressed to another incarnation of this instance")]
    OtherIncarnation,
    /// The sender is unknown and [`MAX_SENDERS`] senders are remembered already.
    #[error("the limit of remembered senders is reached")]
    TooManySenders,
}

impl DatagramError {
    /// The name of the counter for this error.
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

/// An authenticated datagram.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The kind.
    pub kind: DatagramKind,
    /// The sender's id.
    pub sender: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Whether the sender's incarnation was not remembered before this datagram. Always false for a greeting, which is
    /// not recorded.
    pub is_new_incarnation: bool,
    /// The bytes between the header and the tag. In a greeting or an answer: the sender's encoded
    /// [`Identity`](crate::Identity).
    pub body: &'a [u8],
}

/// The header without the version and the kind.
#[derive(Clone, Copy)]
struct Header {
    sender: u64,
    sender_incarnation: u64,
    receiver_incarnation: u64,
    sequence_number: u64,
}

impl Header {
    fn to_fields(self) -> [u64; 4] {
        [
            self.sender,
            self.sender_incarnation,
            self.receiver_incarnation,
            self.sequence_number,
        ]
    }

    /// Decodes the header of a datagram whose size was checked.
    fn decode(bytes: &[u8]) -> Self {
        let field_at = |offset: usize| {
            let field: [u8; 8] = bytes[offset..offset + 8].try_into().unwrap_or_default();
            u64::from_le_bytes(field)
        };
        Self {
            sender: field_at(2),
            sender_incarnation: field_at(10),
            receiver_incarnation: field_at(18),
            sequence_number: field_at(26),
        }
    }
}

/// Seals and opens one instance's datagrams. Remembers the incarnations and sequence numbers of up to [`MAX_SENDERS`]
/// other instances.
#[derive(Debug)]
pub struct Sessions {
    own_id: u64,
    own_incarnation: u64,
    keys: Keys,
    peers: BTreeMap<u64, Peer>,
    /// Sequence numbers for a peer's new incarnation start above this value. It is at least as high as the last number
    /// used for any forgotten peer: if that peer returns with the same incarnation, the peer's replay window accepts
    /// the numbers that follow.
    first_sequence_number: u64,
}

impl Sessions {
    /// Creates the sessions of an instance. `own_id` is the id by which other instances address it. `own_incarnation`
    /// must not be 0, which stands for no incarnation in the header of a greeting.
    pub fn new(own_id: u64, own_incarnation: u64, keys: Keys) -> Self {
        Self {
            own_id,
            own_incarnation,
            keys,
            peers: BTreeMap::new(),
            first_sequence_number: 0,
        }
    }

    /// Forgets a peer, so that another sender can be remembered.
    ///
    /// The peer's replay windows are dropped: a datagram that the peer has sent to this incarnation of the instance can
    /// be replayed once more. The first datagram of the peer that opens afterwards is reported as a new incarnation.
    /// Use this only where a replayed old message does no harm.
    pub fn forget(&mut self, peer: u64) {
        if let Some(peer) = self.peers.remove(&peer) {
            self.first_sequence_number = self.first_sequence_number.max(peer.last_sequence_number);
        }
    }

    /// Replaces the keys. Peers stay remembered.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The current incarnation of a peer; `None` until a datagram bound to this instance's incarnation has arrived
    /// from the peer.
    pub fn incarnation_of(&self, peer: u64) -> Option<u64> {
        self.peers.get(&peer)?.current_incarnation
    }

    /// Seals a datagram for a peer. Returns `None` while the peer's incarnation is unknown, if the body is larger than
    /// [`MAX_DATAGRAM`] minus [`OVERHEAD`], or if there is no key.
    pub fn seal(&mut self, to: u64, kind: DatagramKind, body: &[u8]) -> Option<Vec<u8>> {
        let peer = self.peers.get_mut(&to)?;
        let incarnation = peer.current_incarnation?;
        peer.last_sequence_number += 1;
        let sequence_number = peer.last_sequence_number;
        self.encode_datagram(kind, incarnation, sequence_number, body)
    }

    /// Seals an answer to a greeting sent by `incarnation`. That incarnation is not recorded, since the greeting may be
    /// a replay. Returns `None` if the body is too large or if there is no key.
    pub fn seal_answer(&self, incarnation: u64, body: &[u8]) -> Option<Vec<u8>> {
        self.encode_datagram(DatagramKind::Answer, incarnation, 0, body)
    }

    /// Seals a greeting. Returns `None` if the body is too large or if there is no key.
    pub fn seal_greeting(&self, body: &[u8]) -> Option<Vec<u8>> {
        self.encode_datagram(DatagramKind::Greeting, 0, 0, body)
    }

    fn encode_datagram(
        &self,
        kind: DatagramKind,
        receiver_incarnation: u64,
        sequence_number: u64,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        if body.len() + OVERHEAD > MAX_DATAGRAM {
            return None;
        }
        let header = Header {
            sender: self.own_id,
            sender_incarnation: self.own_incarnation,
            receiver_incarnation,
            sequence_number,
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

    /// Authenticates a datagram and checks it for replay.
    ///
    /// # Errors
    ///
    /// If the datagram has an invalid size, version or kind, is not authentic, was replayed or is addressed to another
    /// incarnation, or if the limit of remembered senders is reached.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        let authenticated = self.authenticate(bytes)?;
        let kind = DatagramKind::from_byte(bytes[1]).ok_or(DatagramError::UnsupportedVersion)?;
        let header = Header::decode(bytes);
        let is_new_incarnation = match kind {
            DatagramKind::Greeting => false,
            _ => self.record_datagram(kind, header)?,
        };
        Ok(OpenedDatagram {
            kind,
            sender: header.sender,
            incarnation: header.sender_incarnation,
            is_new_incarnation,
            body: &authenticated[HEADER_BYTES..],
        })
    }

    /// Checks the size, the version and the authentication code, and returns the bytes that the code covers.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        if bytes.len() < OVERHEAD || bytes.len() > MAX_DATAGRAM {
            return Err(DatagramError::InvalidSize);
        }
        if bytes[0] != VERSION {
            return Err(DatagramError::UnsupportedVersion);
        }
        let (authenticated, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let mut keys = self.keys.0.iter();
        match keys.any(|key| key.verify_mac(authenticated, tag)) {
            true => Ok(authenticated),
            false => Err(DatagramError::InvalidTag),
        }
    }

    /// Records a datagram that is bound to an incarnation, and returns whether the sender's incarnation is new.
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
        // The datagram names this instance's incarnation, so its sender has received a message of this incarnation. The
        // sender's incarnation has therefore run since this process started: the datagram is no older recording.
        let peer = self.peers.entry(header.sender).or_default();
        peer.record_datagram(
            kind,
            header.sender_incarnation,
            header.sequence_number,
            self.first_sequence_number,
        )
    }
}
