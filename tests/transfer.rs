//! The encoding of the hot restart payloads (`src/transfer`): the predecessor and the successor may be different
//! builds.
//!
//! The fixtures `tests/fixtures/hot_restart/*.bin` hold complete frames, written at commit 71566bd. `WRITE_FIXTURES=1`
//! rewrites them, which hides a change of the format. The mirror types below define the format independently of the
//! crate's types: the order and the types of the fields, not their names.

use serde::{Deserialize, Serialize};
use spanspur::Balancer;
use spanspur::api::{Endpoint, EndpointState, Key, Request, RequestId, ServerId};
use spanspur::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use spanspur::transfer::{
    EstablishedConnection, Snapshot, TransferredConnection, list_update_frame,
};
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::{DecodedFrame, Frame, decode, encode};
use std::path::{Path, PathBuf};

/// The protocol version of the builds that the fixture of a snapshot was written by.
const FIXTURE_VERSION: u32 = 2;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Checks that a frame encodes to its fixture, and returns the frame decoded from the fixture.
fn assert_matches_fixture(name: &str, frame: &Frame, descriptors: usize) -> Frame {
    let path = fixture(&format!("hot_restart/{name}.bin"));
    let encoded = encode(frame, descriptors).expect("the frame is within the limits");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, &encoded).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    let expected = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(encoded, expected, "{name}");
    let decoded = decode(&expected)
        .expect("a valid frame")
        .expect("a complete frame");
    assert_eq!(
        (decoded.descriptors, decoded.length),
        (descriptors, expected.len()),
        "{name}"
    );
    decoded.frame
}

/// A client's request, as it is transferred.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RequestMirror {
    id: u64,
    class: u64,
    key: Option<u64>,
    group: Option<u64>,
    deadline: f64,
    load_hint: Option<f64>,
    mid_flow: bool,
    is_reconnect: bool,
}

/// An established connection, as it is transferred.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EstablishedConnectionMirror {
    request: RequestMirror,
    server: u64,
    attempt: u32,
    to_backend: Vec<u8>,
    to_client: Vec<u8>,
    unanswered_ages: Vec<f64>,
    backend_silent_for: f64,
    unsent_lines: u64,
    has_reported: bool,
}

/// A transferred connection, with the variants in the order of `TransferredConnection`.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum TransferredConnectionMirror {
    Established(EstablishedConnectionMirror),
    AwaitingRequest(Vec<u8>, f64),
}

fn established() -> EstablishedConnectionMirror {
    EstablishedConnectionMirror {
        request: RequestMirror {
            id: 0x0123_4567_89ab_cdef,
            class: 2,
            key: Some(u64::MAX),
            group: Some(77),
            deadline: 1234.5678,
            load_hint: Some(0.25),
            mid_flow: true,
            is_reconnect: false,
        },
        server: ServerId::of("s-4").0,
        attempt: 3,
        to_backend: b"a line of the client that is not who".to_vec(),
        to_client: b"whole\r\nand half of".to_vec(),
        unanswered_ages: vec![0.125, 0.5, 7.75],
        backend_silent_for: 0.0625,
        unsent_lines: 300,
        has_reported: true,
    }
}

fn without_data() -> EstablishedConnectionMirror {
    EstablishedConnectionMirror {
        request: RequestMirror {
            id: 1,
            class: 0,
            key: None,
            group: None,
            deadline: 0.0,
            load_hint: None,
            mid_flow: false,
            is_reconnect: true,
        },
        server: 0,
        attempt: 0,
        to_backend: Vec::new(),
        to_client: Vec::new(),
        unanswered_ages: Vec::new(),
        backend_silent_for: 0.0,
        unsent_lines: 0,
        has_reported: false,
    }
}

/// Decodes the payload of a frame as a type of the crate, and returns the value and its encoding.
fn decode_and_encode<T: Serialize + for<'a> Deserialize<'a>>(payload: &[u8]) -> (T, Vec<u8>) {
    let decoded: T = postcard::from_bytes(payload).expect("a valid payload");
    let encoded = postcard::to_stdvec(&decoded).expect("the payload is encoded");
    (decoded, encoded)
}

/// Checks that a connection has the same encoding as its mirror and as its fixture. Returns the connection decoded from
/// the fixture.
fn assert_connection_matches_fixture(
    name: &str,
    mirror: &TransferredConnectionMirror,
    descriptors: usize,
) -> TransferredConnection {
    let bytes = postcard::to_stdvec(mirror).expect("the mirror is encoded");
    let (_, encoded) = decode_and_encode::<TransferredConnection>(&bytes);
    assert_eq!(encoded, bytes, "{name}: differs from the mirror");
    let frame = Frame::Connection {
        number: 9,
        payload: encoded,
    };
    let Frame::Connection { number: 9, payload } =
        assert_matches_fixture(name, &frame, descriptors)
    else {
        panic!("{name}: unexpected frame");
    };
    let (connection, encoded) = decode_and_encode::<TransferredConnection>(&payload);
    assert_eq!(encoded, payload, "{name}: encoded again");
    assert_eq!(postcard::from_bytes(&payload).as_ref(), Ok(mirror));
    connection
}

fn listed_endpoints() -> Vec<ListedEndpoint> {
    let endpoint = |name: &str, state, started_at| Endpoint {
        id: ServerId::of(name),
        zone: 0xdead_beef,
        state,
        weight: 1.5,
        started_at,
        cell: 3,
    };
    let address = |text: &str| text.parse().expect("a valid address");
    vec![
        ListedEndpoint {
            endpoint: endpoint("s-1", EndpointState::Ready, 0.0),
            address: address("10.1.2.3:8080"),
        },
        ListedEndpoint {
            endpoint: endpoint("s-2", EndpointState::Draining, 17.25),
            address: address("[2001:db8::7]:443"),
        },
        ListedEndpoint {
            endpoint: endpoint("s-3", EndpointState::Removed, 99.5),
            address: address("127.0.0.1:1"),
        },
    ]
}

fn assert_listed_endpoints(endpoints: &[ListedEndpoint]) {
    let fields = |listed: &ListedEndpoint| {
        let Endpoint {
            id,
            zone,
            state,
            weight,
            started_at,
            cell,
        } = listed.endpoint;
        (id, zone, state, weight, started_at, cell, listed.address)
    };
    let actual: Vec<_> = endpoints.iter().map(fields).collect();
    let expected: Vec<_> = listed_endpoints().iter().map(fields).collect();
    assert_eq!(actual, expected);
}

#[test]
fn the_encoding_of_an_established_connection_matches_its_fixture() {
    let mirror = TransferredConnectionMirror::Established(established());
    let TransferredConnection::Established(transferred) =
        assert_connection_matches_fixture("standing", &mirror, 2)
    else {
        panic!("unexpected kind of connection");
    };
    let Request {
        id,
        class,
        key,
        group,
        deadline,
        load_hint,
        mid_flow,
        is_reconnect,
    } = transferred.request;
    assert_eq!(
        (id, class, key, group),
        (
            RequestId(0x0123_4567_89ab_cdef),
            2,
            Some(Key(u64::MAX)),
            Some(Key(77))
        )
    );
    assert_eq!(
        (deadline, load_hint, mid_flow, is_reconnect),
        (1234.5678, Some(0.25), true, false)
    );
    assert_eq!(transferred.server, ServerId::of("s-4"));
    assert_connection_matches_fixture(
        "standing_bare",
        &TransferredConnectionMirror::Established(without_data()),
        2,
    );
}

#[test]
fn the_encoding_of_a_connection_awaiting_its_request_matches_its_fixture() {
    let sent = b"REQ 00000000000000aa half".to_vec();
    let mirror = TransferredConnectionMirror::AwaitingRequest(sent.clone(), 1.75);
    let TransferredConnection::AwaitingRequest(received, time_left) =
        assert_connection_matches_fixture("reading", &mirror, 1)
    else {
        panic!("unexpected kind of connection");
    };
    assert_eq!((received, time_left), (sent, 1.75));
}

#[test]
fn the_encoding_of_a_snapshot_with_a_real_balancer_matches_its_fixture() {
    let balancer_bytes =
        std::fs::read(fixture("balancer_snapshot.bin")).expect("the fixture exists");
    let mut maintenance = MaintenanceSet::default();
    maintenance.record_listed(ServerId::of("s-1").0);
    maintenance
        .detach("s-1", ServerId::of("s-1").0, 1_764_750_000.125)
        .expect("the server is listed");
    let expected = Snapshot {
        discovery: "10.9.8.7:8500".parse().expect("a valid address"),
        revision: 1 << 40,
        endpoints: listed_endpoints(),
        balancer: balancer_bytes.clone(),
        maintenance: maintenance.to_text(),
        draining: true,
    };
    let payload = postcard::to_stdvec(&expected).expect("the snapshot is encoded");
    let frame = Frame::State {
        version: FIXTURE_VERSION,
        snapshot: payload,
    };
    let Frame::State {
        version: FIXTURE_VERSION,
        snapshot: payload,
    } = assert_matches_fixture("state_known", &frame, 0)
    else {
        panic!("unexpected frame");
    };
    let (snapshot, encoded) = decode_and_encode::<Snapshot>(&payload);
    assert_eq!(encoded, payload, "encoded again");
    assert_eq!(
        (snapshot.discovery, snapshot.revision, snapshot.draining),
        (expected.discovery, 1 << 40, true)
    );
    assert_listed_endpoints(&snapshot.endpoints);
    assert_eq!(snapshot.balancer, balancer_bytes);
    let (_, encoded_balancer) = decode_and_encode::<Balancer>(&snapshot.balancer);
    assert_eq!(
        encoded_balancer, balancer_bytes,
        "the balancer encoded again"
    );
    let maintenance =
        MaintenanceSet::parse(snapshot.maintenance.as_bytes()).expect("a complete file");
    assert_eq!(maintenance.names().collect::<Vec<_>>(), ["s-1"]);
    let list = snapshot.into_endpoint_list();
    assert_eq!((list.revision, list.complete), (1 << 40, true));
}

#[test]
fn the_encoding_of_a_list_update_matches_its_fixture() {
    for (name, complete, unusable) in [
        ("list_complete", true, None),
        ("list_changes", false, Some("'nowhere' of s-9".to_owned())),
    ] {
        let list = EndpointList {
            revision: 4711,
            complete,
            endpoints: listed_endpoints(),
            unusable: unusable.clone(),
        };
        let Frame::EndpointList(payload) =
            assert_matches_fixture(name, &list_update_frame(&list), 0)
        else {
            panic!("{name}: unexpected frame");
        };
        let (decoded, encoded) = decode_and_encode::<EndpointList>(&payload);
        assert_eq!(encoded, payload, "{name}: encoded again");
        assert_eq!(
            (decoded.revision, decoded.complete, decoded.unusable),
            (4711, complete, unusable)
        );
        assert_listed_endpoints(&decoded.endpoints);
    }
}

/// Swapping two fields of the same type changes no bytes, so the comparison with the fixtures would not detect it.
#[test]
fn each_field_of_an_established_connection_is_decoded_from_its_own_position() {
    let bytes = std::fs::read(fixture("hot_restart/standing.bin")).expect("the fixture exists");
    let decoded = decode(&bytes).expect("a valid frame");
    let Some(DecodedFrame {
        frame: Frame::Connection { payload, .. },
        ..
    }) = decoded
    else {
        panic!("unexpected frame: {decoded:?}");
    };
    let Ok(TransferredConnection::Established(connection)) = postcard::from_bytes(&payload) else {
        panic!("unexpected kind of connection");
    };
    let EstablishedConnection {
        request,
        server,
        attempt,
        to_backend,
        to_client,
        unanswered_ages,
        backend_silent_for,
        unsent_lines,
        has_reported,
    } = connection;
    assert_eq!(request.id, RequestId(0x0123_4567_89ab_cdef));
    assert_eq!((server, attempt), (ServerId::of("s-4"), 3));
    assert_eq!(to_backend, b"a line of the client that is not who");
    assert_eq!(to_client, b"whole\r\nand half of");
    assert_eq!(
        (unanswered_ages, backend_silent_for),
        (vec![0.125, 0.5, 7.75], 0.0625)
    );
    assert_eq!((unsent_lines, has_reported), (300, true));
}
