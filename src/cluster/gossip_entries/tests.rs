//! The list's entries and summaries in their bytes, with their keys and hashes, compared with a fixture file. Written
//! by the tree at 71566bd; rewriting it (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

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
    postcard::to_stdvec(value).expect("encodes")
}

/// A server whose numbers all differ, so that two fields that change places show.
fn small(id: u64, state: EndpointState) -> EndpointEntry {
    let member = Endpoint {
        id: ServerId(id),
        zone: 2,
        state,
        weight: 1.5,
        started: 1234.25,
        cell: 3,
    };
    EndpointEntry::new(&member, "127.0.0.1:9".parse().expect("an address"))
}

fn large(id: u64, state: EndpointState) -> EndpointEntry {
    let member = Endpoint {
        id: ServerId(id),
        zone: u32::MAX,
        state,
        weight: f64::MAX,
        started: -0.0,
        cell: u32::MAX - 1,
    };
    let address = "[fd00::1:2]:65535".parse().expect("an address");
    EndpointEntry::new(&member, address)
}

fn rows() -> Vec<EndpointEntry> {
    let of = |state: &EndpointState| [small(1, *state), large(u64::MAX, *state)];
    let mut rows: Vec<EndpointEntry> = STATES.iter().flat_map(of).collect();
    rows.extend([
        small(0, EndpointState::Ready),
        large(300, EndpointState::Ready),
    ]);
    rows
}

fn summaries() -> [ListSummary; 3] {
    let head = |revision, hash| ListSummary { revision, hash };
    [head(0, 1), head(127, 128), head(u64::MAX, u64::MAX - 1)]
}

/// What is told, for comparison after it was read: its form and its bytes.
fn told_bytes(told: &ListEntry) -> (u8, Vec<u8>) {
    match told {
        ListEntry::Heartbeat(head) => (0, encode(head)),
        ListEntry::Summary(head) => (1, encode(head)),
        ListEntry::Endpoint(row) => (2, encode(row)),
    }
}

#[test]
fn names_and_kinds_stay() {
    assert_eq!(LEASE_NAME, "list");
    assert_eq!(SUMMARY_NAME, "list/head");
    assert_eq!((KIND_SUMMARY, KIND_ENDPOINT), (0, 1));
    let states = STATES.map(|state| small(1, state).state);
    assert_eq!(states, [0, 1, 2]);
    let name = LeaseId::of("list/000000000000012c").0;
    assert_eq!(small(300, EndpointState::Ready).key(), name);
    let records = [LEASE_NAME, SUMMARY_NAME, "list/000000000000012c"]
        .iter()
        .enumerate()
        .map(|(at, name)| {
            let key = LeaseId::of(name).0.to_le_bytes();
            Record::new(format!("key-{at}"), key.into())
        });
    check("list_keys.txt", records.collect());
}

#[test]
fn list_entries_keep_their_bytes() {
    let mut told: Vec<(String, ListEntry)> = Vec::new();
    for (at, head) in summaries().into_iter().enumerate() {
        told.push((format!("beat-{at}"), ListEntry::Heartbeat(head)));
        told.push((format!("head-{at}"), ListEntry::Summary(head)));
    }
    for (at, row) in rows().into_iter().enumerate() {
        told.push((format!("row-{at}"), ListEntry::Endpoint(row)));
    }
    let version = |at: usize| at as u64 * 1_000_003 + 1;
    let records = told.iter().enumerate().map(|(at, (name, told))| {
        let entry = told.encode(version(at));
        Record::new(name, encode(&entry))
    });
    let golden = check("list_entries.txt", records.collect());
    for ((at, (name, told)), golden) in told.iter().enumerate().zip(golden) {
        let entry: GossipEntry = postcard::from_bytes(&golden.bytes).expect("decodes");
        let read = ListEntry::decode(&entry).expect("reads");
        assert_eq!(told_bytes(&read), told_bytes(told), "{name}");
        assert_eq!(read.encode(version(at)), entry, "{name}");
    }
}

#[test]
fn entries_of_other_keys_or_kinds_are_not_decoded() {
    let beat = ListEntry::Heartbeat(summaries()[1]).encode(5);
    let row = ListEntry::Endpoint(small(1, EndpointState::Ready)).encode(5);
    for entry in [&beat, &row] {
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
fn the_hash_over_endpoints_stays() {
    let rows = rows();
    let mut records = Vec::new();
    for count in 0..=rows.len() {
        let forth = hash_endpoints(rows[..count].iter()).to_le_bytes();
        records.push(Record::new(format!("first-{count}"), forth.into()));
        let back = hash_endpoints(rows[..count].iter().rev()).to_le_bytes();
        records.push(Record::new(format!("reversed-{count}"), back.into()));
    }
    check("list_hashes.txt", records);
    let here = rows.iter().filter(|row| !row.is_removed());
    assert_eq!(hash_endpoints(here), hash_endpoints(rows.iter()));
}

/// The endpoints of a list, and its summary if it is complete.
fn list_record(name: &str, list: &mut ReplicatedList) -> Record {
    let whole = list.complete_summary();
    let rows: Vec<&EndpointEntry> = list.endpoints().collect();
    Record::new(name, encode(&(whole, rows)))
}

#[test]
fn a_replicated_list_applies_entries_as_before() {
    let mut list = ReplicatedList::default();
    let mut records = vec![list_record("empty", &mut list)];
    let one = small(1, EndpointState::Ready);
    let two = large(2, EndpointState::Ready);
    let head = |rows: &[&EndpointEntry], revision| {
        let hash = hash_endpoints(rows.iter().copied());
        ListEntry::Summary(ListSummary { revision, hash })
    };
    let steps = [
        ("row", ListEntry::Endpoint(one.clone()).encode(10)),
        ("head-too-early", head(&[&one, &two], 5).encode(12)),
        ("second-row", ListEntry::Endpoint(two.clone()).encode(11)),
        ("older-head", head(&[&one], 4).encode(11)),
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
            head(&[&large(1, EndpointState::Draining), &two], 6).encode(14),
        ),
    ];
    for (name, entry) in steps {
        let fresh = list.apply_entry(&entry);
        records.push(Record::new(format!("{name}-fresh"), encode(&fresh)));
        records.push(list_record(name, &mut list));
    }
    list.mark_removed(|id| id == 2);
    records.push(list_record("dropped", &mut list));
    check("list_view.txt", records);
}
