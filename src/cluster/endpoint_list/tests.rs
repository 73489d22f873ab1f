//! When a balancer outside the cluster applies the list that it received from its sources.

use super::*;
use crate::api::{Endpoint, EndpointState, ServerId};
use crate::discovery::endpoint_list::ListedEndpoint;

const MAX_AGE: Millis = 5000;

fn followed_list() -> SharedEndpointList {
    let list = SharedEndpointList::new(Box::new(|_| {}), false);
    list.configure(Some(MAX_AGE));
    list
}

fn endpoint(id: u64, state: EndpointState) -> EndpointEntry {
    let endpoint = Endpoint {
        id: ServerId(id),
        state,
        weight: 1.0,
        ..Endpoint::default()
    };
    EndpointEntry::new(&ListedEndpoint {
        endpoint,
        address: "127.0.0.1:9".parse().expect("a valid address"),
    })
}

/// The gossiped entries of a list: its endpoints, and their summary with this revision of discovery's list. Versions are
/// counted up from `version`.
fn encode_list(endpoints: &[EndpointEntry], revision: u64, version: u64) -> Vec<GossipEntry> {
    let summary = ListSummary {
        revision,
        hash: hash_endpoints(endpoints.iter()),
    };
    let endpoints = endpoints.iter().cloned().map(ListEntry::Endpoint);
    let entries = endpoints.chain([ListEntry::Summary(summary)]);
    entries
        .enumerate()
        .map(|(n, entry)| entry.encode(version + n as u64))
        .collect()
}

/// Whether a list is complete, and the ids of its endpoints, each with whether the endpoint is ready.
fn summarize(list: Option<EndpointList>) -> (bool, Vec<(u64, bool)>) {
    let list = list.expect("a list");
    let with_readiness =
        |endpoint: &Endpoint| (endpoint.id.0, endpoint.state == EndpointState::Ready);
    let endpoints = list.endpoints.iter();
    let endpoints = endpoints.map(|listed| with_readiness(&listed.endpoint));
    (list.complete, endpoints.collect())
}

fn two_ready_endpoints() -> Vec<EndpointEntry> {
    vec![
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Ready),
    ]
}

#[test]
fn followed_list_is_applied_once_complete_then_by_changes() {
    let list = followed_list();
    let entries = encode_list(&two_ready_endpoints(), 7, 10);
    let (first, rest) = entries.split_at(1);
    assert!(
        list.apply_followed(first, Some(100)).is_none(),
        "the list is incomplete"
    );
    assert!(list.confirmed_until().is_none());
    assert_eq!(
        summarize(list.apply_followed(rest, Some(100))),
        (true, vec![(1, true), (2, true)])
    );
    assert!(
        list.confirmed_until().is_some(),
        "discovery need not be polled"
    );

    let draining = vec![
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Draining),
    ];
    let entries = encode_list(&draining, 8, 20);
    let (complete, changes) = summarize(list.apply_followed(&entries, Some(100)));
    assert!(!complete && changes.contains(&(2, false)), "{changes:?}");
    // Older entries, from a source that was frozen or restarted with an old list, change nothing.
    assert!(
        list.apply_followed(&encode_list(&two_ready_endpoints(), 7, 10), Some(0))
            .is_none()
    );
}

#[test]
fn stale_followed_list_is_applied_only_if_discovery_is_unreachable() {
    let list = followed_list();
    let entries = encode_list(&two_ready_endpoints(), 7, 10);
    assert!(list.apply_followed(&entries, Some(MAX_AGE + 1)).is_none());
    assert!(
        list.apply_followed(&[], None).is_none(),
        "the age is unknown"
    );
    assert!(list.confirmed_until().is_none());
    // Discovery has never answered and still does not: an old list is better than none.
    list.record_discovery_failure();
    assert_eq!(
        summarize(list.apply_followed(&[], Some(MAX_AGE + 1))),
        (false, vec![(1, true), (2, true)])
    );
    assert!(
        list.confirmed_until().is_none(),
        "discovery is still polled"
    );
}

#[test]
fn followed_list_behind_discovery_is_not_applied() {
    let list = followed_list();
    let draining = endpoint(2, EndpointState::Draining);
    let discovered = EndpointList {
        revision: 8,
        complete: true,
        endpoints: vec![
            ListedEndpoint {
                endpoint: endpoint(1, EndpointState::Ready).to_endpoint(),
                address: draining.address,
            },
            draining.to_listed(),
        ],
        unusable: None,
    };
    list.record_discovered(&discovered);
    assert!(
        list.apply_followed(&encode_list(&two_ready_endpoints(), 7, 10), Some(0))
            .is_none()
    );
    assert!(list.confirmed_until().is_none());
    // The revisions of another discovery service are independent.
    list.reset_discovery_revision();
    assert!(list.apply_followed(&[], Some(0)).is_some());
}

#[test]
fn followed_list_without_endpoints_is_not_applied() {
    let list = followed_list();
    let removed = [
        endpoint(1, EndpointState::Removed),
        endpoint(2, EndpointState::Removed),
    ];
    assert!(
        list.apply_followed(&encode_list(&removed, 7, 10), Some(0))
            .is_none()
    );
    assert!(list.confirmed_until().is_none());
}
