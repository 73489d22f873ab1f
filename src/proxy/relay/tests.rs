//! Which field of a standing connection is which in the bytes of a hot restart: two of one type could change places
//! without a change of the form. The fixture is that of `service/handover/tests.rs`, written by the tree at 71566bd.

use super::*;
use crate::lifecycle::hot_restart::TransferredConnection;
use spanspur_hot_restart::frame::{Frame, decode};
use std::path::Path;

#[test]
fn each_field_of_a_standing_connection_is_read_from_its_own_place() {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/hot_restart/standing.bin");
    let bytes = std::fs::read(path).expect("the fixture");
    let whole = decode(&bytes).expect("a frame");
    let Some((Frame::Connection(_, payload), ..)) = whole else {
        panic!("another frame: {whole:?}");
    };
    let Ok(TransferredConnection::Standing(stands)) = postcard::from_bytes(&payload) else {
        panic!("another kind of connection");
    };
    let EstablishedConnection {
        request,
        server,
        attempt,
        up,
        down,
        asked,
        heard,
        pending_asks,
        reported,
    } = stands;
    assert_eq!(request.id, RequestId(0x0123_4567_89ab_cdef));
    assert_eq!((server, attempt), (ServerId::of("s-4"), 3));
    assert_eq!(up, b"a line of the client that is not who");
    assert_eq!(down, b"whole\r\nand half of");
    assert_eq!((asked, heard), (vec![0.125, 0.5, 7.75], 0.0625));
    assert_eq!((pending_asks, reported), (300, true));
}
