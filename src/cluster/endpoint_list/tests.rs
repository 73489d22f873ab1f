//! When a balancer outside the cluster takes the list that its sources have brought.

use super::*;
use crate::api::{Endpoint, EndpointState, ServerId};

const MAX_AGE: Millis = 5000;

fn follower() -> ListNews {
    let news = ListNews::new(Box::new(|_| {}), false);
    news.configure(Some(MAX_AGE));
    news
}

fn row(id: u64, state: EndpointState) -> Row {
    let member = Endpoint {
        id: ServerId(id),
        state,
        weight: 1.0,
        ..Endpoint::default()
    };
    Row::of(&member, "127.0.0.1:9".parse().expect("an address"))
}

/// The entries that a writer tells: these rows, and the head over them under this revision of discovery's.
fn told(rows: &[Row], revision: u64, version: u64) -> Vec<GossipEntry> {
    let head = Head {
        revision,
        hash: hash(rows.iter()),
    };
    let rows = rows.iter().cloned().map(Told::Row);
    let all = rows.chain([Told::Head(head)]);
    all.enumerate()
        .map(|(n, told)| told.entry(version + n as u64))
        .collect()
}

/// The servers that a list names, each with whether it takes new connections.
fn named(list: Option<EndpointList>) -> (bool, Vec<(u64, bool)>) {
    let list = list.expect("a list");
    let ready = |m: &Endpoint| (m.id.0, m.state == EndpointState::Ready);
    let members = list.members.iter().map(|(member, _)| ready(member));
    (list.complete, members.collect())
}

fn two() -> Vec<Row> {
    vec![row(1, EndpointState::Ready), row(2, EndpointState::Ready)]
}

#[test]
fn a_list_is_taken_once_it_is_whole_and_its_changes_after_that() {
    let news = follower();
    let entries = told(&two(), 7, 10);
    let (part, rest) = entries.split_at(1);
    assert!(news.follow(part, Some(100)).is_none(), "a part of it");
    assert!(news.fresh_until().is_none());
    assert_eq!(
        named(news.follow(rest, Some(100))),
        (true, vec![(1, true), (2, true)])
    );
    assert!(news.fresh_until().is_some(), "discovery can be left alone");

    let drained = vec![
        row(1, EndpointState::Ready),
        row(2, EndpointState::Draining),
    ];
    let entries = told(&drained, 8, 20);
    let (complete, members) = named(news.follow(&entries, Some(100)));
    assert!(!complete && members.contains(&(2, false)), "{members:?}");
    // What a source that was frozen or restarted with less still has changes nothing.
    assert!(news.follow(&told(&two(), 7, 10), Some(0)).is_none());
}

#[test]
fn an_old_list_is_not_taken_while_discovery_can_be_asked() {
    let news = follower();
    let entries = told(&two(), 7, 10);
    assert!(news.follow(&entries, Some(MAX_AGE + 1)).is_none());
    assert!(news.follow(&[], None).is_none(), "nobody says how old");
    assert!(news.fresh_until().is_none());
    // Discovery has never answered, and does not now: an old list is better than none.
    news.failed();
    assert_eq!(
        named(news.follow(&[], Some(MAX_AGE + 1))),
        (false, vec![(1, true), (2, true)])
    );
    assert!(news.fresh_until().is_none(), "discovery is asked still");
}

#[test]
fn a_list_behind_what_discovery_has_told_is_not_taken() {
    let news = follower();
    let drained = row(2, EndpointState::Draining);
    let own = EndpointList {
        revision: 8,
        complete: true,
        members: vec![
            (row(1, EndpointState::Ready).member(), drained.address),
            (drained.member(), drained.address),
        ],
        unusable: None,
    };
    news.watched(&own);
    assert!(news.follow(&told(&two(), 7, 10), Some(0)).is_none());
    assert!(news.fresh_until().is_none());
    // Another discovery counts its versions as it likes.
    news.moved();
    assert!(news.follow(&[], Some(0)).is_some());
}

#[test]
fn a_list_that_names_nobody_is_not_taken() {
    let news = follower();
    let gone = [
        row(1, EndpointState::Removed),
        row(2, EndpointState::Removed),
    ];
    assert!(news.follow(&told(&gone, 7, 10), Some(0)).is_none());
    assert!(news.fresh_until().is_none());
}
