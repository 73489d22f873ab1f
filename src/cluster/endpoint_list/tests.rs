//! When a balancer outside the cluster takes the list that its sources have brought.

use super::*;
use crate::api::{Endpoint, EndpointState, ServerId};

const MAX_AGE: Millis = 5000;

fn follower() -> SharedEndpointList {
    let list = SharedEndpointList::new(Box::new(|_| {}), false);
    list.configure(Some(MAX_AGE));
    list
}

fn row(id: u64, state: EndpointState) -> EndpointEntry {
    let member = Endpoint {
        id: ServerId(id),
        state,
        weight: 1.0,
        ..Endpoint::default()
    };
    EndpointEntry::new(&member, "127.0.0.1:9".parse().expect("an address"))
}

/// The entries that a writer tells: these rows, and the head over them under this revision of discovery's.
fn entries_of(rows: &[EndpointEntry], revision: u64, version: u64) -> Vec<GossipEntry> {
    let head = ListSummary {
        revision,
        hash: hash_endpoints(rows.iter()),
    };
    let rows = rows.iter().cloned().map(ListEntry::Endpoint);
    let all = rows.chain([ListEntry::Summary(head)]);
    all.enumerate()
        .map(|(n, entry)| entry.encode(version + n as u64))
        .collect()
}

/// The servers that a list names, each with whether it takes new connections.
fn named(list: Option<EndpointList>) -> (bool, Vec<(u64, bool)>) {
    let list = list.expect("a list");
    let ready = |m: &Endpoint| (m.id.0, m.state == EndpointState::Ready);
    let members = list.members.iter().map(|(member, _)| ready(member));
    (list.complete, members.collect())
}

fn two() -> Vec<EndpointEntry> {
    vec![row(1, EndpointState::Ready), row(2, EndpointState::Ready)]
}

#[test]
fn a_followed_list_is_applied_once_complete_and_its_changes_after_that() {
    let list = follower();
    let entries = entries_of(&two(), 7, 10);
    let (part, rest) = entries.split_at(1);
    assert!(
        list.apply_followed(part, Some(100)).is_none(),
        "a part of it"
    );
    assert!(list.confirmed_until().is_none());
    assert_eq!(
        named(list.apply_followed(rest, Some(100))),
        (true, vec![(1, true), (2, true)])
    );
    assert!(
        list.confirmed_until().is_some(),
        "discovery can be left alone"
    );

    let drained = vec![
        row(1, EndpointState::Ready),
        row(2, EndpointState::Draining),
    ];
    let entries = entries_of(&drained, 8, 20);
    let (complete, members) = named(list.apply_followed(&entries, Some(100)));
    assert!(!complete && members.contains(&(2, false)), "{members:?}");
    // What a source that was frozen or restarted with less still has changes nothing.
    assert!(
        list.apply_followed(&entries_of(&two(), 7, 10), Some(0))
            .is_none()
    );
}

#[test]
fn a_stale_followed_list_is_not_applied_while_discovery_is_reachable() {
    let list = follower();
    let entries = entries_of(&two(), 7, 10);
    assert!(list.apply_followed(&entries, Some(MAX_AGE + 1)).is_none());
    assert!(
        list.apply_followed(&[], None).is_none(),
        "nobody says how old"
    );
    assert!(list.confirmed_until().is_none());
    // Discovery has never answered, and does not now: an old list is better than none.
    list.record_discovery_failure();
    assert_eq!(
        named(list.apply_followed(&[], Some(MAX_AGE + 1))),
        (false, vec![(1, true), (2, true)])
    );
    assert!(list.confirmed_until().is_none(), "discovery is asked still");
}

#[test]
fn a_followed_list_behind_discovery_is_not_applied() {
    let list = follower();
    let drained = row(2, EndpointState::Draining);
    let own = EndpointList {
        revision: 8,
        complete: true,
        members: vec![
            (row(1, EndpointState::Ready).to_endpoint(), drained.address),
            (drained.to_endpoint(), drained.address),
        ],
        unusable: None,
    };
    list.record_discovered(&own);
    assert!(
        list.apply_followed(&entries_of(&two(), 7, 10), Some(0))
            .is_none()
    );
    assert!(list.confirmed_until().is_none());
    // Another discovery counts its versions as it likes.
    list.reset_discovery_revision();
    assert!(list.apply_followed(&[], Some(0)).is_some());
}

#[test]
fn a_followed_list_without_endpoints_is_not_applied() {
    let list = follower();
    let gone = [
        row(1, EndpointState::Removed),
        row(2, EndpointState::Removed),
    ];
    assert!(
        list.apply_followed(&entries_of(&gone, 7, 10), Some(0))
            .is_none()
    );
    assert!(list.confirmed_until().is_none());
}
