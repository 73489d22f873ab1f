//! Compares the encoded entries of the list, their keys and the hashes over endpoints with fixture files, so that
//! instances of different versions understand each other. The fixtures were written at commit 71566bd.
//! `WRITE_FIXTURES=1` rewrites them, which hides a change of the bytes.

use super::super::wire_fixtures::{self, Record};
use super::*;

const STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Removed,
];

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value encodes")
}

/// An endpoint whose numbers all differ, so that swapped fields are detected.
fn small(id: u64, state: EndpointState) -> EndpointEntry {
    let endpoint = Endpoint {
        id: ServerId(id),
        zone: 2,
        state,
        weight: 1.5,
        started_at: 1234.25,
        cell: 3,
    };
    EndpointEntry::new(&ListedEndpoint {
        endpoint,
        address: "127.0.0.1:9".parse().expect("a valid address"),
    })
}

fn large(id: u64, state: EndpointState) -> EndpointEntry {
    let endpoint = Endpoint {
        id: ServerId(id),
        zone: u32::MAX,
        state,
        weight: f64::MAX,
        started_at: -0.0,
        cell: u32::MAX - 1,
    };
    let address = "[fd00::1:2]:65535".parse().expect("a valid address");
    EndpointEntry::new(&ListedEndpoint { endpoint, address })
}

fn endpoints() -> Vec<EndpointEntry> {
    let both_sizes = |state: &EndpointState| [small(1, *state), large(u64::MAX, *state)];
    let mut endpoints: Vec<EndpointEntry> = STATES.iter().flat_map(both_sizes).collect();
    endpoints.extend([
        small(0, EndpointState::Ready),
        large(300, EndpointState::Ready),
    ]);
    endpoints
}

fn summaries() -> [ListSummary; 3] {
    let summary = |revision, hash| ListSummary { revision, hash };
    [
        summary(0, 1),
        summary(127, 128),
        summary(u64::MAX, u64::MAX - 1),
    ]
}

/// An entry in a comparable form: the number of its variant, and its encoded value.
fn comparable(entry: &ListEntry) -> (u8, Vec<u8>) {
    match entry {
        ListEntry::Heartbeat(summary) => (0, encode(summary)),
        ListEntry::Summary(summary) => (1, encode(summary)),
        ListEntry::Endpoint(endpoint) => (2, encode(endpoint)),
    }
}

#[test]
fn names_kinds_and_states_keep_their_values() {
    assert_eq!(LEASE_NAME, "list");
    assert_eq!(SUMMARY_NAME, "list/head");
    assert_eq!((KIND_SUMMARY, KIND_ENDPOINT), (0, 1));
    let states = STATES.map(|state| small(1, state).state);
    assert_eq!(states, [0, 1, 2]);
    let key = LeaseId::of("list/000000000000012c").0;
    assert_eq!(small(300, EndpointState::Ready).key(), key);
    let records = [LEASE_NAME, SUMMARY_NAME, "list/000000000000012c"]
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let key = LeaseId::of(name).0.to_le_bytes();
            Record::new(format!("key-{index}"), key.into())
        });
    check("list_keys.txt", records.collect());
}

#[test]
fn list_entries_keep_their_bytes() {
    let mut entries: Vec<(String, ListEntry)> = Vec::new();
    for (index, summary) in summaries().into_iter().enumerate() {
        entries.push((format!("beat-{index}"), ListEntry::Heartbeat(summary)));
        entries.push((format!("head-{index}"), ListEntry::Summary(summary)));
    }
    for (index, endpoint) in endpoints().into_iter().enumerate() {
        entries.push((format!("row-{index}"), ListEntry::Endpoint(endpoint)));
    }
    let version = |index: usize| index as u64 * 1_000_003 + 1;
    let records = entries.iter().enumerate().map(|(index, (name, entry))| {
        let gossiped = entry.encode(version(index));
        Record::new(name, encode(&gossiped))
    });
    let fixtures = check("list_entries.txt", records.collect());
    for ((index, (name, entry)), fixture) in entries.iter().enumerate().zip(fixtures) {
        let gossiped: GossipEntry =
            postcard::from_bytes(&fixture.bytes).expect("the fixture decodes");
        let decoded = ListEntry::decode(&gossiped).expect("an entry of the list");
        assert_eq!(comparable(&decoded), comparable(entry), "{name}");
        assert_eq!(decoded.encode(version(index)), gossiped, "{name}");
    }
}

#[test]
fn entries_of_other_keys_or_kinds_are_not_decoded() {
    let heartbeat = ListEntry::Heartbeat(summaries()[1]).encode(5);
    let endpoint = ListEntry::Endpoint(small(1, EndpointState::Ready)).encode(5);
    for entry in [&heartbeat, &endpoint] {
        let other_key = GossipEntry {
            key: entry.key + 1,
            ..entry.clone()
        };
        assert!(ListEntry::decode(&other_key).is_none());
        let mut other_kind = entry.clone();
        other_kind.value[0] = 2;
        assert!(ListEntry::decode(&other_kind).is_none());
        let mut empty = entry.clone();
        empty.value.clear();
        assert!(ListEntry::decode(&empty).is_none());
    }
}

#[test]
fn endpoint_hashes_keep_their_values() {
    let endpoints = endpoints();
    let mut records = Vec::new();
    for count in 0..=endpoints.len() {
        let forward = hash_endpoints(endpoints[..count].iter()).to_le_bytes();
        records.push(Record::new(format!("first-{count}"), forward.into()));
        let reversed = hash_endpoints(endpoints[..count].iter().rev()).to_le_bytes();
        records.push(Record::new(format!("reversed-{count}"), reversed.into()));
    }
    check("list_hashes.txt", records);
    let listed = endpoints.iter().filter(|endpoint| !endpoint.is_removed());
    assert_eq!(hash_endpoints(listed), hash_endpoints(endpoints.iter()));
}

/// A record of a list: its summary if it is complete, and its endpoints.
fn list_record(name: &str, list: &mut ReplicatedList) -> Record {
    let summary = list.complete_summary();
    let endpoints: Vec<&EndpointEntry> = list.endpoints().collect();
    Record::new(name, encode(&(summary, endpoints)))
}

#[test]
fn replicated_list_applies_newer_entries_only() {
    let mut list = ReplicatedList::default();
    let mut records = vec![list_record("empty", &mut list)];
    let first = small(1, EndpointState::Ready);
    let second = large(2, EndpointState::Ready);
    let summary = |endpoints: &[&EndpointEntry], revision| {
        let hash = hash_endpoints(endpoints.iter().copied());
        ListEntry::Summary(ListSummary { revision, hash })
    };
    let steps = [
        ("row", ListEntry::Endpoint(first.clone()).encode(10)),
        ("head-too-early", summary(&[&first, &second], 5).encode(12)),
        ("second-row", ListEntry::Endpoint(second.clone()).encode(11)),
        ("older-head", summary(&[&first], 4).encode(11)),
        (
            "older-row",
            ListEntry::Endpoint(small(1, EndpointState::Removed)).encode(9),
        ),
        ("beat", ListEntry::Heartbeat(summaries()[1]).encode(90)),
        (
            "newer-row",
            ListEntry::Endpoint(large(1, EndpointState::Draining)).encode(13),
        ),
        (
            "newer-head",
            summary(&[&large(1, EndpointState::Draining), &second], 6).encode(14),
        ),
    ];
    for (name, entry) in steps {
        let applied = list.apply_entry(&entry);
        records.push(Record::new(format!("{name}-fresh"), encode(&applied)));
        records.push(list_record(name, &mut list));
    }
    list.mark_removed(|id| id == 2);
    records.push(list_record("dropped", &mut list));
    check("list_view.txt", records);
}
