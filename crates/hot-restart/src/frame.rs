//! Messages between the two processes, and their encoding: length of the body, number of descriptors, body in postcard.
//!
//! postcard knows fields by their place and variants by their number: order and types are the format between builds.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the protocol. Two processes that differ do not talk: the older one serves until it exits.
pub const VERSION: u32 = 2;
/// The longest body of a frame, in bytes: an endpoint list of some ten thousand servers.
pub const MAX_FRAME: usize = 1024 * 1024;
/// The most descriptors beside a frame: a client's and its backend's.
pub const MAX_DESCRIPTORS: usize = 2;
/// Bytes of the header: the length of the body and the number of descriptors.
pub(crate) const HEADER: usize = 5;

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first message.
    Hello {
        /// The successor's [`VERSION`].
        version: u32,
    },
    /// The predecessor's answer.
    State {
        /// The predecessor's [`VERSION`].
        version: u32,
        /// The state to continue from; empty if the versions differ.
        snapshot: Vec<u8>,
    },
    /// The successor accepts the clients from now on.
    Ready,
    /// How many descriptors the sender's clients hold.
    HeldDescriptors(u32),
    /// An update of the endpoint list.
    EndpointList(Vec<u8>),
    /// The servers under maintenance, in the format of the maintenance file.
    Maintenance(String),
    /// Whether the balancer is draining by a call of the staff.
    Draining(bool),
    /// An open client connection; its descriptors are sent beside the frame.
    Connection {
        /// The sender's number for the connection.
        number: u64,
        /// State of the connection.
        payload: Vec<u8>,
    },
    /// The answer to [`Frame::Connection`].
    Acknowledge {
        /// The number of the connection.
        number: u64,
        /// Whether the connection was taken over.
        taken_over: bool,
    },
}

/// A frame read from the front of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// The number of descriptors beside it.
    pub descriptors: usize,
    /// The bytes of the buffer that it takes, header included.
    pub length: usize,
}

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FrameError {
    /// The body or the number of descriptors is over its limit.
    #[error("a frame of {length} bytes with {descriptors} descriptors")]
    TooLarge {
        /// Bytes of the body.
        length: usize,
        /// Descriptors beside the frame.
        descriptors: usize,
    },
    /// The body is not a frame in postcard.
    #[error(transparent)]
    Body(#[from] postcard::Error),
}

/// Encodes a frame that is sent with this many descriptors beside it.
pub fn encode(frame: &Frame, descriptors: usize) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(frame)?;
    check_limits(body.len(), descriptors)?;
    let length = (body.len() as u32).to_be_bytes();
    Ok([&length[..], &[descriptors as u8], &body].concat())
}

/// Decodes the first frame of a buffer; `Ok(None)` while it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER>() else {
        return Ok(None);
    };
    let [a, b, c, d, descriptors] = *header;
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    let descriptors = usize::from(descriptors);
    check_limits(length, descriptors)?;
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    Ok(Some(DecodedFrame {
        frame: postcard::from_bytes(body)?,
        descriptors,
        length: HEADER + length,
    }))
}

fn check_limits(length: usize, descriptors: usize) -> Result<(), FrameError> {
    if length > MAX_FRAME || descriptors > MAX_DESCRIPTORS {
        return Err(FrameError::TooLarge {
            length,
            descriptors,
        });
    }
    Ok(())
}
