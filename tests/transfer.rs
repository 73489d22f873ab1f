//! The payloads of a hot restart (`src/transfer`) in their bytes: the older and the newer process may be of different builds.
//!
//! The fixtures `tests/fixtures/hot_restart/*.bin` hold whole frames. They were written by the tree at 71566bd
//! (`WRITE_FIXTURES=1` writes them anew); rewriting them hides a change of the wire. The mirrors below are the form
//! of the wire, kept apart from the types of the code: places and types of fields, not names.

use serde::{Deserialize, Serialize};
use spanspur::Balancer;
use spanspur::api::{Endpoint, EndpointState, Key, Request, RequestId, ServerId};
use spanspur::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use spanspur::transfer::{
    EstablishedConnection, Snapshot, TransferredConnection, list_update_frame,
};
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::{DecodedFrame, Frame, VERSION, decode, encode};
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Holds a frame to its fixture, and returns it as read from there.
fn kept(name: &str, frame: &Frame, descriptors: usize) -> Frame {
    let path = fixture(&format!("hot_restart/{name}.bin"));
    let written = encode(frame, descriptors).expect("in bounds");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, &written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    let kept = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(written, kept, "{name}");
    let decoded = decode(&kept).expect("a frame").expect("a whole one");
    assert_eq!(
        (decoded.descriptors, decoded.length),
        (descriptors, kept.len()),
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

/// `TransferredConnection` in its order of variants.
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

/// Reads the payload of a frame as the code does, writes it again and returns both.
fn through<T: Serialize + for<'a> Deserialize<'a>>(payload: &[u8]) -> (T, Vec<u8>) {
    let read: T = postcard::from_bytes(payload).expect("a payload");
    let written = postcard::to_stdvec(&read).expect("written");
    (read, written)
}

/// The payload of a connection through the code's own types, held to its fixture and to its mirror.
fn connection(
    name: &str,
    mirror: &TransferredConnectionMirror,
    descriptors: usize,
) -> TransferredConnection {
    let bytes = postcard::to_stdvec(mirror).expect("written");
    let (_, written) = through::<TransferredConnection>(&bytes);
    assert_eq!(written, bytes, "{name}: not the form of the mirror");
    let sent = Frame::Connection {
        number: 9,
        payload: written,
    };
    let Frame::Connection { number: 9, payload } = kept(name, &sent, descriptors) else {
        panic!("{name}: another frame");
    };
    let (read, again) = through::<TransferredConnection>(&payload);
    assert_eq!(again, payload, "{name}: written again");
    assert_eq!(postcard::from_bytes(&payload).as_ref(), Ok(mirror));
    read
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
    let address = |text: &str| text.parse().expect("an address");
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

fn assert_listed_endpoints(read: &[ListedEndpoint]) {
    let form = |listed: &ListedEndpoint| {
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
    let read: Vec<_> = read.iter().map(form).collect();
    let want: Vec<_> = listed_endpoints().iter().map(form).collect();
    assert_eq!(read, want);
}

#[test]
fn an_established_connection_has_the_bytes_of_its_fixture() {
    let mirror = TransferredConnectionMirror::Established(established());
    let TransferredConnection::Established(transferred) = connection("standing", &mirror, 2) else {
        panic!("another kind of connection");
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
    connection(
        "standing_bare",
        &TransferredConnectionMirror::Established(without_data()),
        2,
    );
}

#[test]
fn a_connection_awaiting_its_request_has_the_bytes_of_its_fixture() {
    let said = b"REQ 00000000000000aa half".to_vec();
    let mirror = TransferredConnectionMirror::AwaitingRequest(said.clone(), 1.75);
    let TransferredConnection::AwaitingRequest(read, left) = connection("reading", &mirror, 1)
    else {
        panic!("another kind of connection");
    };
    assert_eq!((read, left), (said, 1.75));
}

#[test]
fn a_snapshot_with_a_real_balancer_has_the_bytes_of_its_fixture() {
    let snapshot = std::fs::read(fixture("balancer_snapshot.bin")).expect("the snapshot's fixture");
    let mut maintenance = MaintenanceSet::default();
    maintenance.record_listed(ServerId::of("s-1").0);
    maintenance
        .detach("s-1", ServerId::of("s-1").0, 1_764_750_000.125)
        .expect("listed");
    let known = Snapshot {
        discovery: "10.9.8.7:8500".parse().expect("an address"),
        revision: 1 << 40,
        endpoints: listed_endpoints(),
        balancer: snapshot.clone(),
        maintenance: maintenance.to_text(),
        draining: true,
    };
    let payload = postcard::to_stdvec(&known).expect("written");
    let sent = Frame::State {
        version: VERSION,
        snapshot: payload,
    };
    let Frame::State {
        version: VERSION,
        snapshot: payload,
    } = kept("state_known", &sent, 0)
    else {
        panic!("another frame");
    };
    let (read, again) = through::<Snapshot>(&payload);
    assert_eq!(again, payload, "written again");
    assert_eq!(
        (read.discovery, read.revision, read.draining),
        (known.discovery, 1 << 40, true)
    );
    assert_listed_endpoints(&read.endpoints);
    assert_eq!(read.balancer, snapshot);
    let (_, balancer) = through::<Balancer>(&read.balancer);
    assert_eq!(balancer, snapshot, "the snapshot written again");
    let taken_out = MaintenanceSet::parse(read.maintenance.as_bytes()).expect("a whole file");
    assert_eq!(taken_out.names().collect::<Vec<_>>(), ["s-1"]);
    let list = read.into_endpoint_list();
    assert_eq!((list.revision, list.complete), (1 << 40, true));
}

#[test]
fn a_list_update_has_the_bytes_of_its_fixture() {
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
        let Frame::EndpointList(payload) = kept(name, &list_update_frame(&list), 0) else {
            panic!("{name}: another frame");
        };
        let (read, again) = through::<EndpointList>(&payload);
        assert_eq!(again, payload, "{name}: written again");
        assert_eq!(
            (read.revision, read.complete, read.unusable),
            (4711, complete, unusable)
        );
        assert_listed_endpoints(&read.endpoints);
    }
}

/// Two fields of one type could change places without a change of the form.
#[test]
fn each_field_of_an_established_connection_is_read_from_its_own_place() {
    let bytes = std::fs::read(fixture("hot_restart/standing.bin")).expect("the fixture");
    let whole = decode(&bytes).expect("a frame");
    let Some(DecodedFrame {
        frame: Frame::Connection { payload, .. },
        ..
    }) = whole
    else {
        panic!("another frame: {whole:?}");
    };
    let Ok(TransferredConnection::Established(connection)) = postcard::from_bytes(&payload) else {
        panic!("another kind of connection");
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
