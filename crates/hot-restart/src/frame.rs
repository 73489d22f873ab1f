//! Messages between the two processes. A frame is encoded as the length of the body, the number of descriptors, and the
//! body in postcard.
//!
//! postcard identifies fields by position and variants by index, so changing the order or a type breaks compatibility
//! with other builds.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Newest protocol version that this build speaks. Version 3 added [`Frame::ClaimRequestId`] and its answer.
pub const VERSION: u32 = 3;
/// Oldest protocol version that this build speaks. Processes without a common version transfer no state or connections:
/// the older one serves until it exits.
pub const MIN_VERSION: u32 = 2;
/// The first version whose processes claim request ids.
pub const REQUEST_ID_VERSION: u32 = 3;
/// Limit on the body of a frame, in bytes. Fits an endpoint list of about ten thousand servers.
pub const MAX_FRAME: usize = 1024 * 1024;
/// Limit on the descriptors sent with a frame: one for the client and one for its backend.
pub const MAX_DESCRIPTORS: usize = 2;
/// Size of the header, in bytes: body length and number of descriptors.
pub(crate) const HEADER: usize = 5;

/// A message between predecessor and successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first message.
    Hello {
        /// The version that the successor asks for.
        version: u32,
    },
    /// The predecessor's response to [`Frame::Hello`].
    State {
        /// The version that the successor asked for, or the predecessor's [`VERSION`] if it does not speak that one.
        version: u32,
        /// Snapshot of the predecessor's state, in an encoding defined by the balancer; empty if the versions differ.
        snapshot: Vec<u8>,
    },
    /// The successor accepts clients from now on.
    Ready,
    /// Number of descriptors held by the sender's clients.
    HeldDescriptors(u32),
    /// An update of the endpoint list, in an encoding defined by the balancer.
    EndpointList(Vec<u8>),
    /// The servers under maintenance, in the format of the maintenance file.
    Maintenance(String),
    /// Whether draining has been requested on the admin address.
    Draining(bool),
    /// An open client connection; its descriptors are sent with the frame.
    Connection {
        /// Number that the sender assigned to the connection.
        number: u64,
        /// State of the connection, in an encoding defined by the balancer.
        payload: Vec<u8>,
    },
    /// The response to [`Frame::Connection`].
    Acknowledge {
        /// The number of the connection.
        number: u64,
        /// Whether the connection was taken over.
        taken_over: bool,
    },
    /// Asks whether the sender may serve a request with this id. Only sent since [`REQUEST_ID_VERSION`].
    ClaimRequestId {
        /// Number that the sender assigned to the claim.
        number: u64,
        /// The request id.
        id: u64,
    },
    /// The answer to [`Frame::ClaimRequestId`].
    RequestIdDecision {
        /// The number of the claim.
        number: u64,
        /// Whether the id is granted; if not, it is in use in the answering process.
        granted: bool,
    },
}

/// A frame decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Number of descriptors sent with the frame.
    pub descriptors: usize,
    /// Encoded length in bytes, including the header.
    pub length: usize,
}

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FrameError {
    /// The body or the number of descriptors exceeds its limit.
    #[error("frame with {length} bytes and {descriptors} descriptors exceeds the limits")]
    TooLarge {
        /// Length of the body, in bytes.
        length: usize,
        /// Number of descriptors.
        descriptors: usize,
    },
    /// The body cannot be encoded or decoded.
    #[error(transparent)]
    Body(#[from] postcard::Error),
}

/// Encodes a frame that is sent together with this number of descriptors.
///
/// # Errors
/// If the body or the number of descriptors exceeds its limit.
pub fn encode(frame: &Frame, descriptors: usize) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(frame)?;
    check_limits(body.len(), descriptors)?;
    let length = (body.len() as u32).to_be_bytes();
    Ok([&length[..], &[descriptors as u8], &body].concat())
}

/// Decodes the first frame of a buffer. Returns `Ok(None)` while the frame is incomplete.
///
/// # Errors
/// If the header exceeds the limits or the body is not a valid frame.
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
