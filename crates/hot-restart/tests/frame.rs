//! Limits of frames, and decoding from a partially filled buffer.

use spanspur_hot_restart::frame::{DecodedFrame, Frame, MAX_FRAME, decode, encode};

#[test]
fn a_frame_is_decoded_when_complete_and_invalid_bytes_are_rejected() {
    let frame = Frame::Connection {
        number: 7,
        payload: vec![1; 300],
    };
    let bytes = encode(&frame, 2).expect("in bounds");
    for end in 0..bytes.len() {
        assert_eq!(decode(&bytes[..end]), Ok(None), "{end}");
    }
    let two_frames = [&bytes[..], &bytes].concat();
    let first = DecodedFrame {
        frame,
        descriptors: 2,
        length: bytes.len(),
    };
    assert_eq!(decode(&two_frames), Ok(Some(first)));
    assert!(decode(&[255, 0, 0, 0, 0]).is_err());
    assert!(decode(&[0, 0, 0, 1, 3, 2]).is_err());
    assert!(decode(&[0, 0, 0, 1, 0, 99]).is_err());
    assert!(encode(&Frame::EndpointList(vec![0; MAX_FRAME + 1]), 0).is_err());
}
