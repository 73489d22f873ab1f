//! Each frame of a hot restart in its bytes: two processes of different builds have to understand each other.
//!
//! The fixtures `tests/fixtures/hot_restart/frame_*.bin` at the root of the repository were written by the tree at
//! 71566bd (`WRITE_FIXTURES=1` writes them anew); rewriting them hides a change of the wire.

use spanspur_hot_restart::frame::{
    DecodedFrame, Frame, MAX_DESCRIPTORS, MAX_FRAME, VERSION, decode, encode,
};
use std::path::Path;

/// The kept bytes of a frame; under `WRITE_FIXTURES=1` they are `written` from now on.
fn kept(name: &str, written: &[u8]) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/fixtures/hot_restart")
        .join(format!("frame_{name}.bin"));
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Every kind of frame, with the number of descriptors beside it. Payloads are opaque here.
fn frames() -> Vec<(&'static str, Frame, usize)> {
    let payload: Vec<u8> = (0..=255).chain(0..=99).collect();
    vec![
        ("hello", Frame::Hello { version: VERSION }, 0),
        ("hello_far", Frame::Hello { version: u32::MAX }, 0),
        (
            "state",
            Frame::State {
                version: VERSION,
                snapshot: payload.clone(),
            },
            0,
        ),
        (
            "state_empty",
            Frame::State {
                version: VERSION,
                snapshot: Vec::new(),
            },
            0,
        ),
        ("ready", Frame::Ready, 0),
        ("held", Frame::HeldDescriptors(70_123), 0),
        ("list", Frame::EndpointList(payload.clone()), 0),
        (
            "outs",
            Frame::Maintenance("spanspur outs 1 00ff\n{\"entries\":[],\"seen\":[]}".into()),
            0,
        ),
        ("lameduck_on", Frame::Draining(true), 0),
        ("lameduck_off", Frame::Draining(false), 0),
        (
            "connection_two",
            Frame::Connection {
                number: 300,
                payload: payload.clone(),
            },
            MAX_DESCRIPTORS,
        ),
        (
            "connection_one",
            Frame::Connection {
                number: u64::MAX,
                payload,
            },
            1,
        ),
        (
            "taken",
            Frame::Acknowledge {
                number: 300,
                taken_over: true,
            },
            0,
        ),
        (
            "not_taken",
            Frame::Acknowledge {
                number: u64::MAX,
                taken_over: false,
            },
            0,
        ),
    ]
}

#[test]
fn each_frame_has_the_bytes_of_its_fixture_and_is_read_back_from_them() {
    for (name, frame, descriptors) in frames() {
        let written = encode(&frame, descriptors).unwrap_or_else(|e| panic!("{name}: {e}"));
        let kept = kept(name, &written);
        assert_eq!(written, kept, "{name}");
        let whole = Some(DecodedFrame {
            frame,
            descriptors,
            length: kept.len(),
        });
        assert_eq!(decode(&kept), Ok(whole), "{name}");
    }
}

#[test]
fn the_version_and_the_limits_are_those_that_other_builds_have() {
    assert_eq!((VERSION, MAX_FRAME, MAX_DESCRIPTORS), (2, 1 << 20, 2));
}
