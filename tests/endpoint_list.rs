//! The endpoint list in discovery's JSON format, and its encoding for the successor process.

use spanspur::api::{Endpoint, EndpointState, ServerId};
use spanspur::discovery::endpoint_list::{EndpointList, EndpointListError};
use std::net::SocketAddr;

const LIST: &str = r#"{"revision": 7, "complete": false, "members": [
    {"id": "s-1", "host_port": "127.0.0.1:80", "locality": "a", "cell": 3, "phase": "SERVING", "size": 2.5,
        "up_since_ms": 1500},
    {"id": "s-2", "host_port": "somewhere:80", "phase": "SERVING"},
    {"id": "s-3", "host_port": "[::1]:81", "phase": "DELETED"},
    {"id": "s-4", "host_port": "127.0.0.1:82", "phase": "a phase added later", "up_since_ms": -1}]}"#;

fn parse(text: &str) -> Result<EndpointList, EndpointListError> {
    EndpointList::parse(text.as_bytes())
}

#[test]
fn entries_are_converted_and_those_with_an_invalid_address_are_skipped() {
    let list = parse(LIST).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((list.revision, list.complete), (7, false));
    assert_eq!(list.unusable.as_deref(), Some("'somewhere:80' of s-2"));
    let listed: Vec<_> = list
        .endpoints
        .iter()
        .map(|listed| {
            (
                listed.endpoint.id,
                listed.endpoint.state,
                listed.address.port(),
            )
        })
        .collect();
    assert_eq!(
        listed,
        [
            (ServerId::of("s-1"), EndpointState::Ready, 80),
            (ServerId::of("s-3"), EndpointState::Removed, 81),
            (ServerId::of("s-4"), EndpointState::Draining, 82),
        ]
    );
    let first = list.endpoints[0].endpoint;
    assert_eq!((first.weight, first.started_at, first.cell), (2.5, 1.5, 3));
    let last = list.endpoints[2].endpoint;
    assert_eq!((last.weight, last.started_at, last.cell), (1.0, 0.0, 0));
}

#[test]
fn invalid_json_and_a_missing_field_give_different_errors() {
    assert!(matches!(parse("{"), Err(EndpointListError::NotJson(_))));
    let error = parse("{}").err();
    assert!(matches!(error, Some(EndpointListError::Malformed(_))));
    assert_eq!(
        error.map(|e| e.to_string()).as_deref(),
        Some("missing field `revision`")
    );
}

/// The order of the fields must not change: postcard identifies them by position, and the successor may be an earlier
/// or later version of the program.
#[test]
fn the_encoding_for_the_successor_has_the_fields_in_a_fixed_order() {
    let list = parse(LIST).unwrap_or_else(|e| panic!("{e}"));
    let endpoints: Vec<(Endpoint, SocketAddr)> = list
        .endpoints
        .iter()
        .map(|listed| (listed.endpoint, listed.address))
        .collect();
    let fields = (list.revision, list.complete, endpoints, &list.unusable);
    assert_eq!(
        postcard::to_stdvec(&list).expect("bytes"),
        postcard::to_stdvec(&fields).expect("bytes")
    );
}
