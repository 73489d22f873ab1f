//! Requests and responses of the distribution, the hashes of its store, and seeded runs of sources and followers, compared
//! with fixture files. Written by the tree at 71566bd; rewriting them (`WRITE_FIXTURES=1`) hides a change of the
//! bytes between versions.

mod common;
#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use common::*;
use spanspur_distribution::follower::FollowedSourceStatus;
use spanspur_distribution::messages::{
    self, EntryVersion, LeafHashes, LeafVersions, MAX_WINDOW, Payload, PollRequest, PollResponse,
    Query, ResponseBody,
};
use spanspur_distribution::source::{ChangeStatus, FollowerDelay};
use spanspur_distribution::store::{self, ChangeLog, EntryError, MAX_VERSION};
use spanspur_distribution::{
    Entry, EntryStore, Event, FollowerStatus, Limits, Location, SourceStatus,
};
use spanspur_leases::gossip_store::MAX_VALUE_BYTES;
use spanspur_membership::authentication::DatagramKind;
use std::collections::BTreeSet;
use wire_fixtures::Record;
use xxhash_rust::xxh3::xxh3_64;

/// What sealing puts before and after a body.
const SEAL_HEAD: usize = 34;
const SEAL_TAG: usize = 16;
/// Where a sealed datagram says what it is.
const SEAL_KIND: usize = 1;

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

fn wants() -> Vec<(&'static str, Query)> {
    vec![
        ("changes", Query::Changes),
        ("tree", Query::BranchHashes),
        (
            "leaves-small",
            Query::LeafHashes {
                branches: 1,
                salt: 2,
            },
        ),
        (
            "leaves-large",
            Query::LeafHashes {
                branches: u64::MAX,
                salt: u32::MAX - 1,
            },
        ),
        ("range-small", Query::Entries { from: 0 }),
        ("range-large", Query::Entries { from: u64::MAX }),
        ("differ-small", Query::NewerEntries { from: 127 }),
        ("differ-large", Query::NewerEntries { from: u64::MAX - 1 }),
        ("leave", Query::Unsubscribe),
    ]
}

fn held_rows() -> Vec<LeafVersions> {
    let version = |&(key, version): &(u64, u64)| EntryVersion { key, version };
    let held = |leaf, rows: &[(u64, u64)]| LeafVersions {
        leaf,
        versions: rows.iter().map(version).collect(),
    };
    vec![
        held(0, &[]),
        held(1, &[(0, 1), (u64::MAX, MAX_VERSION)]),
        held(4095, &[(0x0123_4567_89ab_cdef, 128)]),
    ]
}

#[test]
fn each_request_keeps_its_bytes() {
    let mut asks: Vec<(String, PollRequest, Vec<LeafVersions>)> = Vec::new();
    for (name, want) in wants() {
        let held = match want {
            Query::NewerEntries { .. } => held_rows(),
            _ => Vec::new(),
        };
        let small = PollRequest {
            nonce: 1,
            is_primary: false,
            incarnation: 2,
            sequence: 3,
            root_hash: 4,
            window: 5,
            query: want.clone(),
        };
        let large = PollRequest {
            nonce: u32::MAX,
            is_primary: true,
            incarnation: u64::MAX,
            sequence: u64::MAX - 1,
            root_hash: u64::MAX - 2,
            window: MAX_WINDOW,
            query: want,
        };
        asks.push((format!("{name}-of-small"), small, Vec::new()));
        asks.push((format!("{name}-of-large"), large, held));
    }
    let records = asks
        .iter()
        .map(|(name, ask, held)| Record::new(name, messages::encode_request(ask, held)));
    let golden = check("asks.txt", records.collect());
    for ((name, ask, held), golden) in asks.iter().zip(golden) {
        let read = messages::decode_request(&golden.bytes).expect("reads");
        assert_eq!((&read.0, &read.1), (ask, held), "{name}");
        assert_eq!(
            messages::encode_request(&read.0, &read.1),
            golden.bytes,
            "{name}"
        );
    }
}

fn sample_entries() -> Vec<Entry> {
    let sample = |key: u64, version, length: usize| Entry {
        key,
        version,
        value: (0..length).map(|at| at as u8 ^ key as u8).collect(),
    };
    vec![
        sample(0, 1, 0),
        sample(1, 127, 1),
        sample(0x0123_4567_89ab_cdef, 128, 90),
        sample(u64::MAX, MAX_VERSION, MAX_VALUE_BYTES),
    ]
}

fn sample_tree() -> Vec<u64> {
    (0..store::BRANCHES as u64)
        .map(|at| xxh3_64(&at.to_le_bytes()))
        .collect()
}

fn sample_leaves() -> Vec<LeafHashes> {
    let count = store::LEAVES / store::BRANCHES;
    let leaves = |branch: u8| {
        let hash = |at: usize| xxh3_64(&[branch, at as u8]) as u32;
        LeafHashes {
            branch,
            hashes: (0..count).map(hash).collect(),
        }
    };
    vec![leaves(0), leaves(63)]
}

fn parts() -> Vec<(&'static str, ResponseBody, Payload)> {
    let changes = |after, up_to, last| ResponseBody::Changes { after, up_to, last };
    let walk = |from, next, last| ResponseBody::Entries { from, next, last };
    let none = || Payload::Entries(Vec::new());
    let some = || Payload::Entries(sample_entries());
    vec![
        (
            "nothing-same",
            ResponseBody::UpToDate { same_content: true },
            Payload::Empty,
        ),
        (
            "nothing-other",
            ResponseBody::UpToDate {
                same_content: false,
            },
            Payload::Empty,
        ),
        ("adopt", ResponseBody::AdoptHead, Payload::Empty),
        ("differs", ResponseBody::ContentDiffers, Payload::Empty),
        (
            "later-small",
            ResponseBody::RetryAfter { wait: 1 },
            Payload::Empty,
        ),
        (
            "later-large",
            ResponseBody::RetryAfter { wait: u32::MAX },
            Payload::Empty,
        ),
        (
            "tree",
            ResponseBody::BranchHashes,
            Payload::BranchHashes(sample_tree()),
        ),
        (
            "leaves-none",
            ResponseBody::LeafHashes { last: false },
            Payload::LeafHashes(Vec::new()),
        ),
        (
            "leaves",
            ResponseBody::LeafHashes { last: true },
            Payload::LeafHashes(sample_leaves()),
        ),
        ("changes-none", changes(3, 3, true), none()),
        ("changes", changes(4, 300, false), some()),
        (
            "changes-large",
            changes(u64::MAX - 2, u64::MAX - 1, true),
            some(),
        ),
        ("walk-none", walk(0, None, true), none()),
        ("walk", walk(5, Some(300), false), some()),
        (
            "walk-large",
            walk(u64::MAX - 1, Some(u64::MAX), true),
            some(),
        ),
    ]
}

fn encode_answer(answer: &PollResponse, rows: &Payload) -> Vec<u8> {
    let mut bytes = messages::encode_response(answer);
    match rows {
        Payload::Empty => {}
        Payload::BranchHashes(tree) => messages::append_branch_hashes(&mut bytes, tree),
        Payload::LeafHashes(rows) => rows
            .iter()
            .for_each(|row| messages::append_leaf_hashes(&mut bytes, row.branch, &row.hashes)),
        Payload::Entries(entries) => entries
            .iter()
            .for_each(|entry| messages::append_entry(&mut bytes, entry)),
    }
    bytes
}

#[test]
fn each_response_keeps_its_bytes() {
    let mut answers: Vec<(String, PollResponse, Payload)> = Vec::new();
    for (name, part, rows) in parts() {
        let ages = [
            ("unheard", None),
            ("young", Some(2)),
            ("old", Some(u64::MAX)),
        ];
        for (age_name, age) in ages {
            let answer = PollResponse {
                nonce: if age.is_none() { 1 } else { u32::MAX },
                data_age: age,
                head: u64::MAX - 1,
                body: part.clone(),
            };
            answers.push((format!("{name}-{age_name}"), answer, rows.clone()));
        }
    }
    let records = answers
        .iter()
        .map(|(name, answer, rows)| Record::new(name, encode_answer(answer, rows)));
    let golden = check("answers.txt", records.collect());
    for ((name, answer, rows), golden) in answers.iter().zip(golden) {
        let read = messages::decode_response(&golden.bytes).expect("reads");
        assert_eq!((&read.0, &read.1), (answer, rows), "{name}");
        assert_eq!(encode_answer(&read.0, &read.1), golden.bytes, "{name}");
    }
}

#[test]
fn positions_and_hashes_of_a_store_stay() {
    let mut records = Vec::new();
    for (at, key) in [0, 1, 127, 0x0123_4567_89ab_cdef, u64::MAX]
        .into_iter()
        .enumerate()
    {
        let position = store::position(key);
        let leaf = store::leaf_of(position);
        let range = store::leaf_range(leaf);
        let bytes = encode(&(position, leaf, range.start(), range.end()));
        records.push(Record::new(format!("position-{at}"), bytes));
    }
    let mut held = EntryStore::default();
    for entry in sample_entries().iter().chain(&entries(0..200, 7)) {
        held.insert_if_newer(entry).expect("fits");
    }
    let summary = (
        held.len(),
        held.root_hash(),
        held.newest_version(),
        held.value_bytes(),
    );
    records.push(Record::new("store", encode(&summary)));
    let order: Vec<u64> = held.iter().map(|entry| entry.key).collect();
    records.push(Record::new("order", encode(&order)));
    records.push(Record::new("branches", encode(&held.branch_hashes())));
    for (branch, salt) in [(0, 0), (17, 1), (63, u32::MAX)] {
        let name = format!("leaves-{branch}");
        records.push(Record::new(name, encode(&held.leaf_hashes(branch, salt))));
    }
    let mut log = ChangeLog::new(3);
    for key in [5, 6, 7, 5, 8] {
        log.push(key);
        let since: Vec<(u64, u64)> = log
            .since(0)
            .map(|change| (change.sequence, change.key))
            .collect();
        let bytes = encode(&(log.head(), log.floor(), since));
        records.push(Record::new(format!("log-{}", log.head()), bytes));
    }
    check("store.txt", records);
    let names = [
        EntryError::InvalidVersion,
        EntryError::ValueTooLarge,
        EntryError::StoreFull,
    ]
    .map(EntryError::counter);
    assert_eq!(names, ["absurd-version", "value-too-large", "store-full"]);
}

#[test]
fn locations_and_statuses_keep_their_bytes() {
    let link = FollowedSourceStatus {
        name: "control-1".into(),
        role: 2,
        disconnected: true,
        data_age: Some(300),
    };
    let follower = FollowerStatus {
        name: "balancer-1".into(),
        entries: 1,
        newest_version: 2,
        root_hash: 3,
        data_age: Some(4),
        synchronized: true,
        disconnected: false,
        resyncing: true,
        sources: vec![link],
    };
    let change = ChangeStatus {
        key: 1,
        version: 2,
        age: 3,
        propagated_after: Some(4),
        followers: 5,
    };
    let behind = |name: &str, delay| FollowerDelay {
        name: name.into(),
        delay,
    };
    let source = SourceStatus {
        name: "control-1".into(),
        incarnation: 1,
        head: 2,
        floor: 3,
        entries: 4,
        newest_version: 5,
        root_hash: 6,
        data_age: Some(7),
        followers: 8,
        primary_followers: 9,
        settled: true,
        changes: vec![change],
        lagging: 10,
        lagging_followers: vec![behind("balancer-1", 11)],
        disconnected: 12,
        disconnected_followers: vec![behind("", 13)],
        backlog: 14,
    };
    let place = Location { zone: 1, region: 2 };
    let records = vec![
        Record::new("place", encode(&place)),
        Record::new("follower", encode(&follower)),
        Record::new("source", encode(&source)),
    ];
    let golden = check("statuses.txt", records);
    assert_eq!(postcard::from_bytes(&golden[0].bytes), Ok(place));
    assert_eq!(postcard::from_bytes(&golden[1].bytes), Ok(follower));
    assert_eq!(postcard::from_bytes(&golden[2].bytes), Ok(source));
}

/// Adds which asks and answers a datagram holds, so that a run that covers less shows.
fn add_kinds(kinds: &mut BTreeSet<&'static str>, datagram: &[u8]) {
    if datagram[SEAL_KIND] == DatagramKind::Greeting as u8 {
        kinds.insert("greeting");
        return;
    }
    if datagram[SEAL_KIND] == DatagramKind::Answer as u8 {
        kinds.insert("greeting-answered");
        return;
    }
    let body = &datagram[SEAL_HEAD..datagram.len() - SEAL_TAG];
    let kind = match (
        messages::decode_request(body),
        messages::decode_response(body),
    ) {
        (Ok((ask, _)), _) => match ask.query {
            Query::Changes => "ask-changes",
            Query::BranchHashes => "ask-tree",
            Query::LeafHashes { .. } => "ask-leaves",
            Query::Entries { .. } => "ask-range",
            Query::NewerEntries { .. } => "ask-differ",
            Query::Unsubscribe => "ask-leave",
        },
        (_, Ok((answer, _))) => match answer.body {
            ResponseBody::UpToDate { .. } => "nothing",
            ResponseBody::AdoptHead => "adopt",
            ResponseBody::ContentDiffers => "differs",
            ResponseBody::RetryAfter { .. } => "later",
            ResponseBody::BranchHashes => "tree",
            ResponseBody::LeafHashes { .. } => "leaves",
            ResponseBody::Changes { .. } => "changes",
            ResponseBody::Entries { .. } => "walk",
        },
        _ => panic!("a datagram that is neither"),
    };
    kinds.insert(kind);
}

fn event_bytes(event: &Event) -> Vec<u8> {
    match event {
        Event::SourceDisconnected(name) => encode(&(0u8, name)),
        Event::SourceReconnected(name) => encode(&(1u8, name)),
        Event::Disconnected(dark) => encode(&(2u8, dark)),
        Event::Synchronized => encode(&3u8),
    }
}

/// All that the ends put out since the last call, and how they stand.
fn take_tape(sim: &mut Simulation, kinds: &mut BTreeSet<&'static str>) -> Vec<u8> {
    let mut tape = Vec::new();
    for (at, from, to, bytes) in sim.capture.replace(Vec::new()).unwrap_or_default() {
        add_kinds(kinds, &bytes);
        tape.extend(encode(&(at, from, to, bytes)));
    }
    let now = sim.now;
    for observations in &mut sim.observations {
        for (at, event) in std::mem::take(&mut observations.events) {
            tape.extend(encode(&at));
            tape.extend(event_bytes(&event));
        }
        tape.extend(encode(&observations.versions));
    }
    for source in &sim.sources {
        tape.extend(encode(&(source.status(now), source.counters())));
    }
    for follower in &sim.followers {
        let stands = (follower.status(now), follower.counters());
        tape.extend(encode(&stands));
    }
    tape
}

/// Greatly less than there is to send, so that followers have to wait for their turn.
const LIMITS: Limits = Limits {
    datagrams_per_second: 20,
    burst: 10,
    requests_per_second: 100,
    handshakes_per_second: 10,
    max_followers: 8,
    change_log_capacity: 30,
};
const RUN_SECONDS: u64 = 170;

/// What happens at the start of a second.
fn events(sim: &mut Simulation, second: u64) {
    match second {
        0 => sim.publish_all(&entries(0..600, 10)),
        // Steady changes.
        12..20 => sim.publish_all(&entries(second * 10..second * 10 + 3, 11 + second)),
        // A follower is cut off, and more changes than the log keeps.
        25 => {
            sim.isolated.insert(follower_address(0));
        }
        28 => sim.publish_all(&entries(100..240, 40)),
        34 => sim.isolated.clear(),
        // The first source starts again and holds the same.
        50 => {
            let held: Vec<Entry> = sim.sources[0].store().iter().cloned().collect();
            sim.restart_source(0, 200);
            sim.publish(0, &held);
        }
        // A source stands still for a while.
        60 => {
            sim.paused.insert(source_address(0));
        }
        66 => sim.publish_all(&entries(0..5, 70)),
        72 => sim.paused.clear(),
        // A follower starts again with nothing.
        85 => {
            let follower = sim.new_follower(1, OTHER_ZONE, 300);
            sim.followers[1] = follower;
            sim.observations[1] = Observations::default();
        }
        // Round trips take longer than the longest wait for an answer.
        100 => sim.delay = 2100,
        110 | 120 => sim.publish_all(&entries(second..second + 3, 80)),
        150 => sim.delay = 5,
        _ => {}
    }
}

/// Plays a seeded run, second by second, and returns which kinds of datagrams it had.
fn seeded_run(file: &str, seed: u64, places: &[Location]) -> BTreeSet<&'static str> {
    let mut sim = Simulation::new(seed, places);
    sim.limits = LIMITS;
    (sim.loss, sim.duplication) = (0.05, 0.02);
    sim.capture = Some(Vec::new());
    for source in 0..places.len() {
        sim.restart_source(source, 150);
    }
    let mut kinds = BTreeSet::new();
    let mut records = Vec::new();
    for second in 0..RUN_SECONDS {
        events(&mut sim, second);
        if second == 1 {
            sim.add_follower(LOCAL_ZONE);
            sim.add_follower(OTHER_ZONE);
        }
        sim.run(1000);
        let tape = take_tape(&mut sim, &mut kinds);
        let mut bytes = xxh3_64(&tape).to_le_bytes().to_vec();
        bytes.extend((tape.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{kinds:?}");
    check(file, records);
    assert_eq!(sim.version_regressions(), 0);
    assert!(sim.same_content(0, 0) && sim.same_content(1, 0));
    kinds
}

/// All that a run with one source can bring about: a follower has no other one to leave it for.
const KINDS: [&str; 15] = [
    "adopt",
    "ask-changes",
    "ask-differ",
    "ask-leaves",
    "ask-range",
    "ask-tree",
    "changes",
    "differs",
    "greeting",
    "greeting-answered",
    "later",
    "leaves",
    "nothing",
    "tree",
    "walk",
];

#[test]
fn one_source_and_two_followers_put_out_the_same_bytes_as_before() {
    let kinds = seeded_run("one_source_run.txt", 73, &[LOCAL_ZONE]);
    assert!(kinds.iter().eq(&KINDS), "{kinds:?}");
}

#[test]
fn three_sources_and_two_followers_put_out_the_same_bytes_as_before() {
    let kinds = seeded_run(
        "three_source_run.txt",
        74,
        &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION],
    );
    assert!(kinds.contains("ask-leave"), "{kinds:?}");
}
