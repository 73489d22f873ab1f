//! What goes over between the two, and its form: a length, the number of descriptors beside it, postcard.

use serde::{Deserialize, Serialize};

/// The version of all of this. Two that differ do not talk: the older one serves to its end.
pub const VERSION: u32 = 2;
/// The longest frame, in bytes: a list of some ten thousand servers.
pub const MAX_FRAME: usize = 1024 * 1024;
/// The most descriptors beside a frame: a client's and its backend's.
pub const MAX_DESCRIPTORS: usize = 2;
/// Length and number of descriptors.
pub(crate) const HEAD: usize = 5;

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The new one's first word: its version.
    Hello(u32),
    /// The old one's answer: its version, and what it knows, for the new one to go on from.
    State(u32, Vec<u8>),
    /// The new one takes the clients from now on.
    Ready,
    /// How many descriptors the sender's clients hold.
    Held(u32),
    /// News of the list.
    List(Vec<u8>),
    /// News of which servers are out.
    Outs(String),
    /// The staff empties the balancer, or does no more.
    Lameduck(bool),
    /// An open connection, by a number of the sender's; its descriptors come beside.
    Connection(u64, Vec<u8>),
    /// Whether the connection with this number was taken.
    Taken(u64, bool),
}

/// A frame's bytes, with so many descriptors beside it.
pub fn encode(frame: &Frame, descriptors: usize) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(frame)?;
    if body.len() > MAX_FRAME || descriptors > MAX_DESCRIPTORS {
        return Err(postcard::Error::SerializeBufferFull);
    }
    let length = (body.len() as u32).to_be_bytes();
    Ok([&length[..], &[descriptors as u8], &body].concat())
}

/// The first whole frame of these bytes, with its descriptors' number and its length; `Ok(None)` while it is not
/// whole. The error says why this cannot be one.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize, usize)>, String> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let [a, b, c, d, descriptors] = *head;
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length > MAX_FRAME || usize::from(descriptors) > MAX_DESCRIPTORS {
        return Err(format!(
            "a frame of {length} bytes with {descriptors} descriptors"
        ));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let frame = postcard::from_bytes(body).map_err(|e| e.to_string())?;
    Ok(Some((frame, descriptors.into(), HEAD + length)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_read_whole_or_not_at_all_and_nonsense_is_refused() {
        let frame = Frame::Connection(7, vec![1; 300]);
        let bytes = encode(&frame, 2).expect("in bounds");
        for end in 0..bytes.len() {
            assert_eq!(decode(&bytes[..end]), Ok(None), "{end}");
        }
        let two = [&bytes[..], &bytes].concat();
        assert_eq!(decode(&two), Ok(Some((frame, 2, bytes.len()))));
        assert!(decode(&[255, 0, 0, 0, 0]).is_err());
        assert!(decode(&[0, 0, 0, 1, 3, 2]).is_err());
        assert!(decode(&[0, 0, 0, 1, 0, 99]).is_err());
        assert!(encode(&Frame::List(vec![0; MAX_FRAME + 1]), 0).is_err());
    }
}
