//! The list's rows and heads in their bytes, with their keys and hashes, compared with a fixture file. Written by the
//! tree at 71566bd; rewriting it (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

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
fn small(id: u64, state: EndpointState) -> Row {
    let member = Endpoint {
        id: ServerId(id),
        zone: 2,
        state,
        weight: 1.5,
        started: 1234.25,
        cell: 3,
    };
    Row::of(&member, "127.0.0.1:9".parse().expect("an address"))
}

fn large(id: u64, state: EndpointState) -> Row {
    let member = Endpoint {
        id: ServerId(id),
        zone: u32::MAX,
        state,
        weight: f64::MAX,
        started: -0.0,
        cell: u32::MAX - 1,
    };
    let address = "[fd00::1:2]:65535".parse().expect("an address");
    Row::of(&member, address)
}

fn rows() -> Vec<Row> {
    let of = |state: &EndpointState| [small(1, *state), large(u64::MAX, *state)];
    let mut rows: Vec<Row> = STATES.iter().flat_map(of).collect();
    rows.extend([
        small(0, EndpointState::Ready),
        large(300, EndpointState::Ready),
    ]);
    rows
}

fn heads() -> [Head; 3] {
    let head = |revision, hash| Head { revision, hash };
    [head(0, 1), head(127, 128), head(u64::MAX, u64::MAX - 1)]
}

/// What is told, for comparison after it was read: its form and its bytes.
fn told_bytes(told: &Told) -> (u8, Vec<u8>) {
    match told {
        Told::Beat(head) => (0, encode(head)),
        Told::Head(head) => (1, encode(head)),
        Told::Row(row) => (2, encode(row)),
    }
}

#[test]
fn names_and_kinds_stay() {
    assert_eq!(NAME, "list");
    assert_eq!(DISTRIBUTED, "list/head");
    assert_eq!((HEAD, SERVER), (0, 1));
    let states = STATES.map(|state| small(1, state).state);
    assert_eq!(states, [0, 1, 2]);
    let name = LeaseId::of("list/000000000000012c").0;
    assert_eq!(small(300, EndpointState::Ready).key(), name);
    let records = [NAME, DISTRIBUTED, "list/000000000000012c"]
        .iter()
        .enumerate()
        .map(|(at, name)| {
            let key = LeaseId::of(name).0.to_le_bytes();
            Record::new(format!("key-{at}"), key.into())
        });
    check("list_keys.txt", records.collect());
}

#[test]
fn entries_of_the_list_keep_their_bytes() {
    let mut told: Vec<(String, Told)> = Vec::new();
    for (at, head) in heads().into_iter().enumerate() {
        told.push((format!("beat-{at}"), Told::Beat(head)));
        told.push((format!("head-{at}"), Told::Head(head)));
    }
    for (at, row) in rows().into_iter().enumerate() {
        told.push((format!("row-{at}"), Told::Row(row)));
    }
    let version = |at: usize| at as u64 * 1_000_003 + 1;
    let records = told.iter().enumerate().map(|(at, (name, told))| {
        let entry = told.entry(version(at));
        Record::new(name, encode(&entry))
    });
    let golden = check("list_entries.txt", records.collect());
    for ((at, (name, told)), golden) in told.iter().enumerate().zip(golden) {
        let entry: GossipEntry = postcard::from_bytes(&golden.bytes).expect("decodes");
        let read = Told::read(&entry).expect("reads");
        assert_eq!(told_bytes(&read), told_bytes(told), "{name}");
        assert_eq!(read.entry(version(at)), entry, "{name}");
    }
}

#[test]
fn what_is_none_of_the_lists_entries_is_not_read() {
    let beat = Told::Beat(heads()[1]).entry(5);
    let row = Told::Row(small(1, EndpointState::Ready)).entry(5);
    for entry in [&beat, &row] {
        let other_key = GossipEntry {
            key: entry.key + 1,
            ..entry.clone()
        };
        assert!(Told::read(&other_key).is_none());
        let mut other_kind = entry.clone();
        other_kind.value[0] = 2;
        assert!(Told::read(&other_kind).is_none());
        let mut empty = entry.clone();
        empty.value.clear();
        assert!(Told::read(&empty).is_none());
    }
}

#[test]
fn the_hash_over_rows_stays() {
    let rows = rows();
    let mut records = Vec::new();
    for count in 0..=rows.len() {
        let forth = hash(rows[..count].iter()).to_le_bytes();
        records.push(Record::new(format!("first-{count}"), forth.into()));
        let back = hash(rows[..count].iter().rev()).to_le_bytes();
        records.push(Record::new(format!("reversed-{count}"), back.into()));
    }
    check("list_hashes.txt", records);
    let here = rows.iter().filter(|row| !row.is_gone());
    assert_eq!(hash(here), hash(rows.iter()));
}

/// What a view holds, and the head if it is whole.
fn view_record(name: &str, view: &mut View) -> Record {
    let whole = view.whole();
    let rows: Vec<&Row> = view.rows().collect();
    Record::new(name, encode(&(whole, rows)))
}

#[test]
fn a_view_takes_entries_as_before() {
    let mut view = View::default();
    let mut records = vec![view_record("empty", &mut view)];
    let one = small(1, EndpointState::Ready);
    let two = large(2, EndpointState::Ready);
    let head = |rows: &[&Row], revision| {
        let hash = hash(rows.iter().copied());
        Told::Head(Head { revision, hash })
    };
    let steps = [
        ("row", Told::Row(one.clone()).entry(10)),
        ("head-too-early", head(&[&one, &two], 5).entry(12)),
        ("second-row", Told::Row(two.clone()).entry(11)),
        ("older-head", head(&[&one], 4).entry(11)),
        (
            "older-row",
            Told::Row(small(1, EndpointState::Removed)).entry(9),
        ),
        ("beat", Told::Beat(heads()[1]).entry(90)),
        (
            "newer-row",
            Told::Row(large(1, EndpointState::Draining)).entry(13),
        ),
        (
            "newer-head",
            head(&[&large(1, EndpointState::Draining), &two], 6).entry(14),
        ),
    ];
    for (name, entry) in steps {
        let fresh = view.take(&entry);
        records.push(Record::new(format!("{name}-fresh"), encode(&fresh)));
        records.push(view_record(name, &mut view));
    }
    view.drop_rows(|id| id == 2);
    records.push(view_record("dropped", &mut view));
    check("list_view.txt", records);
}
