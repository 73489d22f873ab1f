//! Compares requests and responses, the hashes of a store, and seeded runs of sources and followers with fixture
//! files. The files were written at commit 71566bd. Rewriting them (`WRITE_FIXTURES=1`) hides a change of the bytes
//! between versions.

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

/// The number of bytes that sealing puts before a message.
const SEAL_HEADER: usize = 34;
/// The number of bytes that sealing puts after a message.
const SEAL_TAG: usize = 16;
/// The offset of the kind in a sealed datagram.
const SEAL_KIND_OFFSET: usize = 1;

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

fn queries() -> Vec<(&'static str, Query)> {
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

fn held_versions() -> Vec<LeafVersions> {
    let version = |&(key, version): &(u64, u64)| EntryVersion { key, version };
    let leaf = |leaf, versions: &[(u64, u64)]| LeafVersions {
        leaf,
        versions: versions.iter().map(version).collect(),
    };
    vec![
        leaf(0, &[]),
        leaf(1, &[(0, 1), (u64::MAX, MAX_VERSION)]),
        leaf(4095, &[(0x0123_4567_89ab_cdef, 128)]),
    ]
}

#[test]
fn each_request_keeps_its_bytes() {
    let mut requests: Vec<(String, PollRequest, Vec<LeafVersions>)> = Vec::new();
    for (name, query) in queries() {
        let held = match query {
            Query::NewerEntries { .. } => held_versions(),
            _ => Vec::new(),
        };
        let small = PollRequest {
            nonce: 1,
            is_primary: false,
            incarnation: 2,
            sequence: 3,
            root_hash: 4,
            window: 5,
            query: query.clone(),
        };
        let large = PollRequest {
            nonce: u32::MAX,
            is_primary: true,
            incarnation: u64::MAX,
            sequence: u64::MAX - 1,
            root_hash: u64::MAX - 2,
            window: MAX_WINDOW,
            query,
        };
        requests.push((format!("{name}-of-small"), small, Vec::new()));
        requests.push((format!("{name}-of-large"), large, held));
    }
    let records = requests
        .iter()
        .map(|(name, request, held)| Record::new(name, messages::encode_request(request, held)));
    let golden = check("asks.txt", records.collect());
    for ((name, request, held), golden) in requests.iter().zip(golden) {
        let decoded = messages::decode_request(&golden.bytes).expect("decodes");
        assert_eq!((&decoded.0, &decoded.1), (request, held), "{name}");
        assert_eq!(
            messages::encode_request(&decoded.0, &decoded.1),
            golden.bytes,
            "{name}"
        );
    }
}

fn sample_entries() -> Vec<Entry> {
    let sample = |key: u64, version, length: usize| Entry {
        key,
        version,
        value: (0..length).map(|index| index as u8 ^ key as u8).collect(),
    };
    vec![
        sample(0, 1, 0),
        sample(1, 127, 1),
        sample(0x0123_4567_89ab_cdef, 128, 90),
        sample(u64::MAX, MAX_VERSION, MAX_VALUE_BYTES),
    ]
}

fn sample_branch_hashes() -> Vec<u64> {
    (0..store::BRANCHES as u64)
        .map(|branch| xxh3_64(&branch.to_le_bytes()))
        .collect()
}

fn sample_leaf_hashes() -> Vec<LeafHashes> {
    let count = store::LEAVES / store::BRANCHES;
    let leaves = |branch: u8| {
        let hash = |leaf: usize| xxh3_64(&[branch, leaf as u8]) as u32;
        LeafHashes {
            branch,
            hashes: (0..count).map(hash).collect(),
        }
    };
    vec![leaves(0), leaves(63)]
}

fn response_bodies() -> Vec<(&'static str, ResponseBody, Payload)> {
    let changes = |after, up_to, last| ResponseBody::Changes { after, up_to, last };
    let entries = |from, next, last| ResponseBody::Entries { from, next, last };
    let no_rows = || Payload::Entries(Vec::new());
    let some_rows = || Payload::Entries(sample_entries());
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
            Payload::BranchHashes(sample_branch_hashes()),
        ),
        (
            "leaves-none",
            ResponseBody::LeafHashes { last: false },
            Payload::LeafHashes(Vec::new()),
        ),
        (
            "leaves",
            ResponseBody::LeafHashes { last: true },
            Payload::LeafHashes(sample_leaf_hashes()),
        ),
        ("changes-none", changes(3, 3, true), no_rows()),
        ("changes", changes(4, 300, false), some_rows()),
        (
            "changes-large",
            changes(u64::MAX - 2, u64::MAX - 1, true),
            some_rows(),
        ),
        ("walk-none", entries(0, None, true), no_rows()),
        ("walk", entries(5, Some(300), false), some_rows()),
        (
            "walk-large",
            entries(u64::MAX - 1, Some(u64::MAX), true),
            some_rows(),
        ),
    ]
}

fn encode_response(response: &PollResponse, payload: &Payload) -> Vec<u8> {
    let mut bytes = messages::encode_response(response);
    match payload {
        Payload::Empty => {}
        Payload::BranchHashes(hashes) => messages::append_branch_hashes(&mut bytes, hashes),
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
    let mut responses: Vec<(String, PollResponse, Payload)> = Vec::new();
    for (name, body, payload) in response_bodies() {
        let ages = [
            ("unheard", None),
            ("young", Some(2)),
            ("old", Some(u64::MAX)),
        ];
        for (age_name, age) in ages {
            let response = PollResponse {
                nonce: if age.is_none() { 1 } else { u32::MAX },
                data_age: age,
                head: u64::MAX - 1,
                body: body.clone(),
            };
            responses.push((format!("{name}-{age_name}"), response, payload.clone()));
        }
    }
    let records = responses
        .iter()
        .map(|(name, response, payload)| Record::new(name, encode_response(response, payload)));
    let golden = check("answers.txt", records.collect());
    for ((name, response, payload), golden) in responses.iter().zip(golden) {
        let decoded = messages::decode_response(&golden.bytes).expect("decodes");
        assert_eq!((&decoded.0, &decoded.1), (response, payload), "{name}");
        assert_eq!(
            encode_response(&decoded.0, &decoded.1),
            golden.bytes,
            "{name}"
        );
    }
}

#[test]
fn positions_and_hashes_of_a_store_keep_their_values() {
    let mut records = Vec::new();
    for (index, key) in [0, 1, 127, 0x0123_4567_89ab_cdef, u64::MAX]
        .into_iter()
        .enumerate()
    {
        let position = store::position(key);
        let leaf = store::leaf_of(position);
        let range = store::leaf_range(leaf);
        let bytes = encode(&(position, leaf, range.start(), range.end()));
        records.push(Record::new(format!("position-{index}"), bytes));
    }
    let mut store = EntryStore::default();
    for entry in sample_entries().iter().chain(&entries(0..200, 7)) {
        store.insert_if_newer(entry).expect("fits");
    }
    let summary = (
        store.len(),
        store.root_hash(),
        store.newest_version(),
        store.value_bytes(),
    );
    records.push(Record::new("store", encode(&summary)));
    let order: Vec<u64> = store.iter().map(|entry| entry.key).collect();
    records.push(Record::new("order", encode(&order)));
    records.push(Record::new("branches", encode(&store.branch_hashes())));
    for (branch, salt) in [(0, 0), (17, 1), (63, u32::MAX)] {
        let name = format!("leaves-{branch}");
        records.push(Record::new(name, encode(&store.leaf_hashes(branch, salt))));
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
    let counters = [
        EntryError::InvalidVersion,
        EntryError::ValueTooLarge,
        EntryError::StoreFull,
    ]
    .map(EntryError::counter);
    assert_eq!(
        counters,
        ["absurd-version", "value-too-large", "store-full"]
    );
}

#[test]
fn locations_and_statuses_keep_their_bytes() {
    let followed_source = FollowedSourceStatus {
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
        sources: vec![followed_source],
    };
    let change = ChangeStatus {
        key: 1,
        version: 2,
        age: 3,
        propagated_after: Some(4),
        followers: 5,
    };
    let delayed = |name: &str, delay| FollowerDelay {
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
        lagging_followers: vec![delayed("balancer-1", 11)],
        disconnected: 12,
        disconnected_followers: vec![delayed("", 13)],
        backlog: 14,
    };
    let location = Location { zone: 1, region: 2 };
    let records = vec![
        Record::new("place", encode(&location)),
        Record::new("follower", encode(&follower)),
        Record::new("source", encode(&source)),
    ];
    let golden = check("statuses.txt", records);
    assert_eq!(postcard::from_bytes(&golden[0].bytes), Ok(location));
    assert_eq!(postcard::from_bytes(&golden[1].bytes), Ok(follower));
    assert_eq!(postcard::from_bytes(&golden[2].bytes), Ok(source));
}

/// Adds the kind of a datagram to those that a run has sent. The tests check these kinds, because a run that no longer
/// sends a kind doesn't cover its bytes.
fn add_kinds(kinds: &mut BTreeSet<&'static str>, datagram: &[u8]) {
    if datagram[SEAL_KIND_OFFSET] == DatagramKind::Greeting as u8 {
        kinds.insert("handshake-greeting");
        return;
    }
    if datagram[SEAL_KIND_OFFSET] == DatagramKind::Answer as u8 {
        kinds.insert("handshake-answer");
        return;
    }
    let body = &datagram[SEAL_HEADER..datagram.len() - SEAL_TAG];
    let kind = match (
        messages::decode_request(body),
        messages::decode_response(body),
    ) {
        (Ok((request, _)), _) => match request.query {
            Query::Changes => "request-changes",
            Query::BranchHashes => "request-branch-hashes",
            Query::LeafHashes { .. } => "request-leaf-hashes",
            Query::Entries { .. } => "request-entries",
            Query::NewerEntries { .. } => "request-newer-entries",
            Query::Unsubscribe => "request-unsubscribe",
        },
        (_, Ok((response, _))) => match response.body {
            ResponseBody::UpToDate { .. } => "up-to-date",
            ResponseBody::AdoptHead => "adopt-head",
            ResponseBody::ContentDiffers => "content-differs",
            ResponseBody::RetryAfter { .. } => "retry-after",
            ResponseBody::BranchHashes => "branch-hashes",
            ResponseBody::LeafHashes { .. } => "leaf-hashes",
            ResponseBody::Changes { .. } => "changes",
            ResponseBody::Entries { .. } => "entries",
        },
        _ => panic!("neither a request nor a response"),
    };
    kinds.insert(kind);
}

fn event_bytes(event: &Event) -> Vec<u8> {
    match event {
        Event::SourceDisconnected(name) => encode(&(0u8, name)),
        Event::SourceReconnected(name) => encode(&(1u8, name)),
        Event::Disconnected(disconnected) => encode(&(2u8, disconnected)),
        Event::Synchronized => encode(&3u8),
    }
}

/// Everything that the instances have sent and reported since the last call, followed by their statuses and counters.
fn take_outputs(sim: &mut Simulation, kinds: &mut BTreeSet<&'static str>) -> Vec<u8> {
    let mut outputs = Vec::new();
    for (at, from, to, bytes) in sim.capture.replace(Vec::new()).unwrap_or_default() {
        add_kinds(kinds, &bytes);
        outputs.extend(encode(&(at, from, to, bytes)));
    }
    let now = sim.now;
    for observations in &mut sim.observations {
        for (at, event) in std::mem::take(&mut observations.events) {
            outputs.extend(encode(&at));
            outputs.extend(event_bytes(&event));
        }
        outputs.extend(encode(&observations.versions));
    }
    for source in &sim.sources {
        outputs.extend(encode(&(source.status(now), source.counters())));
    }
    for follower in &sim.followers {
        let state = (follower.status(now), follower.counters());
        outputs.extend(encode(&state));
    }
    outputs
}

/// Rates far below what there is to send, so that followers have to wait for their slots.
const LIMITS: Limits = Limits {
    datagrams_per_second: 20,
    burst: 10,
    requests_per_second: 100,
    handshakes_per_second: 10,
    max_followers: 8,
    change_log_capacity: 30,
};
const RUN_SECONDS: u64 = 170;

/// The changes and faults at the start of a second.
fn apply_scenario(sim: &mut Simulation, second: u64) {
    match second {
        0 => sim.publish_all(&entries(0..600, 10)),
        // A few changes per second.
        12..20 => sim.publish_all(&entries(second * 10..second * 10 + 3, 11 + second)),
        // A follower is isolated during more changes than the log retains.
        25 => {
            sim.isolated.insert(follower_address(0));
        }
        28 => sim.publish_all(&entries(100..240, 40)),
        34 => sim.isolated.clear(),
        // The first source restarts with the same content.
        50 => {
            let held: Vec<Entry> = sim.sources[0].store().iter().cloned().collect();
            sim.restart_source(0, 200);
            sim.publish(0, &held);
        }
        // A source is paused for a while.
        60 => {
            sim.paused.insert(source_address(0));
        }
        66 => sim.publish_all(&entries(0..5, 70)),
        72 => sim.paused.clear(),
        // A follower restarts with an empty store.
        85 => {
            let follower = sim.new_follower(1, OTHER_ZONE, 300);
            sim.followers[1] = follower;
            sim.observations[1] = Observations::default();
        }
        // The round-trip time exceeds the longest response timeout.
        100 => sim.delay = 2100,
        110 | 120 => sim.publish_all(&entries(second..second + 3, 80)),
        150 => sim.delay = 5,
        _ => {}
    }
}

/// Runs a seeded simulation, compares each second with the fixture file, and returns the kinds of datagrams sent.
fn seeded_run(file: &str, seed: u64, source_locations: &[Location]) -> BTreeSet<&'static str> {
    let mut sim = Simulation::new(seed, source_locations);
    sim.limits = LIMITS;
    (sim.loss, sim.duplication) = (0.05, 0.02);
    sim.capture = Some(Vec::new());
    for source in 0..source_locations.len() {
        sim.restart_source(source, 150);
    }
    let mut kinds = BTreeSet::new();
    let mut records = Vec::new();
    for second in 0..RUN_SECONDS {
        apply_scenario(&mut sim, second);
        if second == 1 {
            sim.add_follower(LOCAL_ZONE);
            sim.add_follower(OTHER_ZONE);
        }
        sim.run(1000);
        let outputs = take_outputs(&mut sim, &mut kinds);
        let mut bytes = xxh3_64(&outputs).to_le_bytes().to_vec();
        bytes.extend((outputs.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{kinds:?}");
    check(file, records);
    assert_eq!(sim.version_regressions(), 0);
    assert!(sim.same_content(0, 0) && sim.same_content(1, 0));
    kinds
}

/// All kinds of datagrams that a run with one source can send. A follower never unsubscribes, because there is no
/// other source.
const ONE_SOURCE_KINDS: [&str; 15] = [
    "adopt-head",
    "branch-hashes",
    "changes",
    "content-differs",
    "entries",
    "handshake-answer",
    "handshake-greeting",
    "leaf-hashes",
    "request-branch-hashes",
    "request-changes",
    "request-entries",
    "request-leaf-hashes",
    "request-newer-entries",
    "retry-after",
    "up-to-date",
];

#[test]
fn one_source_and_two_followers_send_the_recorded_bytes() {
    let kinds = seeded_run("one_source_run.txt", 73, &[LOCAL_ZONE]);
    assert!(kinds.iter().eq(&ONE_SOURCE_KINDS), "{kinds:?}");
}

#[test]
fn three_sources_and_two_followers_send_the_recorded_bytes() {
    let kinds = seeded_run(
        "three_source_run.txt",
        74,
        &[LOCAL_ZONE, OTHER_ZONE, OTHER_REGION],
    );
    assert!(kinds.contains("request-unsubscribe"), "{kinds:?}");
}
