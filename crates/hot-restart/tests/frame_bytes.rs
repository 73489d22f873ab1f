//! Encoding of each hot restart frame. Processes of different builds must understand each other.
//!
//! The fixtures `tests/fixtures/hot_restart/frame_*.bin` in the repository root were written at commit 71566bd, those of the claims
//! of request ids in issue 47.
//! `WRITE_FIXTURES=1` rewrites them, which hides a change of the wire format.

use spanspur_hot_restart::frame::{
    DecodedFrame, Frame, MAX_DESCRIPTORS, MAX_FRAME, MIN_VERSION, REQUEST_ID_VERSION, VERSION,
    decode, encode,
};
use std::path::Path;

/// The protocol version of the builds that the fixtures of `Hello` and `State` were written by.
const FIXTURE_VERSION: u32 = 2;

/// Returns the bytes of a fixture. With `WRITE_FIXTURES=1`, writes `encoded` to the fixture first.
fn load_or_write(name: &str, encoded: &[u8]) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/fixtures/hot_restart")
        .join(format!("frame_{name}.bin"));
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, encoded).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Every kind of frame, with its fixture's name and its number of descriptors. Payloads are opaque.
fn frames() -> Vec<(&'static str, Frame, usize)> {
    let payload: Vec<u8> = (0..=255).chain(0..=99).collect();
    vec![
        (
            "hello",
            Frame::Hello {
                version: FIXTURE_VERSION,
            },
            0,
        ),
        ("hello_far", Frame::Hello { version: u32::MAX }, 0),
        (
            "state",
            Frame::State {
                version: FIXTURE_VERSION,
                snapshot: payload.clone(),
            },
            0,
        ),
        (
            "state_empty",
            Frame::State {
                version: FIXTURE_VERSION,
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
        (
            "claim_request_id",
            Frame::ClaimRequestId {
                number: 300,
                id: 0x0123_4567_89ab_cdef,
            },
            0,
        ),
        (
            "request_id_granted",
            Frame::RequestIdDecision {
                number: 300,
                granted: true,
            },
            0,
        ),
        (
            "request_id_denied",
            Frame::RequestIdDecision {
                number: u64::MAX,
                granted: false,
            },
            0,
        ),
    ]
}

#[test]
fn each_frame_encodes_to_its_fixture_and_decodes_from_it() {
    for (name, frame, descriptors) in frames() {
        let encoded = encode(&frame, descriptors).unwrap_or_else(|e| panic!("{name}: {e}"));
        let fixture = load_or_write(name, &encoded);
        assert_eq!(encoded, fixture, "{name}");
        let decoded = Some(DecodedFrame {
            frame,
            descriptors,
            length: fixture.len(),
        });
        assert_eq!(decode(&fixture), Ok(decoded), "{name}");
    }
}

#[test]
fn version_and_limits_match_other_builds() {
    assert_eq!((MAX_FRAME, MAX_DESCRIPTORS), (1 << 20, 2));
    assert_eq!((MIN_VERSION, REQUEST_ID_VERSION, VERSION), (2, 3, 3));
}
