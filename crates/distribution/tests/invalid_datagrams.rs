//! Invalid datagrams are counted by their reason and dropped. None of them causes a panic or is applied in part.

mod common;
use common::*;
use rand::RngExt;
use serde::Serialize;
use spanspur_distribution::messages::{
    self, FORMAT_VERSION, MAGIC, MAX_WINDOW, PollRequest, PollResponse, Query, ResponseBody,
};
use spanspur_distribution::store::{EntryError, MAX_VERSION};
use spanspur_distribution::{Entry, EntryStore};
use spanspur_membership::authentication::DatagramKind;
use spanspur_membership::{Key, Keys, Sessions, handshake};

fn response(body: ResponseBody) -> PollResponse {
    PollResponse {
        nonce: 1,
        data_age: Some(0),
        head: 100,
        body,
    }
}

fn changes() -> Vec<u8> {
    messages::encode_response(&response(ResponseBody::Changes {
        after: 0,
        up_to: 100,
        last: true,
    }))
}

fn request(query: Query) -> PollRequest {
    PollRequest {
        nonce: 1,
        is_primary: true,
        incarnation: 100,
        sequence: 0,
        root_hash: 0,
        window: MAX_WINDOW,
        query,
    }
}

fn append(bytes: &mut Vec<u8>, value: &impl Serialize) {
    bytes.extend(postcard::to_stdvec(value).expect("encoded"));
}

/// A follower of one source, and the sessions of a malicious source with the right key.
struct MaliciousSource {
    sim: Simulation,
    sessions: Sessions,
}

impl MaliciousSource {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE]);
        sim.publish_all(&entries(0..100, 10));
        sim.add_follower(LOCAL_ZONE);
        sim.run(3000);
        // Another incarnation of the source, which has completed a handshake with the follower.
        let id = handshake::id_of("control-0");
        let mut sessions = Sessions::new(id, 300, keys());
        let identity = identity("control-0", source_address(0), 300);
        let body = postcard::to_stdvec(&identity).expect("encoded");
        let answer = sessions.seal_answer(100, &body).expect("fits");
        sim.isolated.insert(source_address(0));
        sim.followers[0].receive(sim.now, source_address(0), &answer);
        for output in sim.followers[0].take_outputs() {
            if let spanspur_distribution::Output::Datagram(_, bytes) = output {
                let _ = sessions.open(&bytes);
            }
        }
        Self { sim, sessions }
    }

    fn send(&mut self, body: &[u8]) {
        let to = handshake::id_of("balancer-0");
        let bytes = self
            .sessions
            .seal(to, DatagramKind::Data, body)
            .expect("sealed");
        self.sim.followers[0].receive(self.sim.now, source_address(0), &bytes);
    }

    fn count_of(&self, reason: &str) -> u64 {
        let counters = self.sim.followers[0].counters();
        counters.get(reason).copied().unwrap_or(0)
    }
}

#[test]
fn invalid_responses_under_the_right_key_are_rejected_whole_and_counted() {
    let mut malicious = MaliciousSource::new(51);
    let before = malicious.sim.followers[0].store().root_hash();
    let mut version_too_high = changes();
    messages::append_entry(&mut version_too_high, &entry(1, 50));
    messages::append_entry(&mut version_too_high, &entry(2, MAX_VERSION + 1));
    let mut version_zero = changes();
    messages::append_entry(&mut version_zero, &entry(1, 50));
    messages::append_entry(&mut version_zero, &entry(2, 0));
    let mut value_too_large = changes();
    messages::append_entry(&mut value_too_large, &entry(1, 50));
    let value = vec![0; 600];
    messages::append_entry(
        &mut value_too_large,
        &Entry {
            key: 3,
            version: 60,
            value,
        },
    );
    // A row with a length beyond the end of the message.
    let mut length_too_large = changes();
    messages::append_entry(&mut length_too_large, &entry(1, 50));
    append(&mut length_too_large, &([9_u8; 8], 60_u64, u64::MAX));
    let mut truncated = changes();
    messages::append_entry(&mut truncated, &entry(1, 50));
    messages::append_entry(&mut truncated, &entry(2, 50));
    truncated.truncate(truncated.len() - 1);
    let mut later_version = changes();
    messages::append_entry(&mut later_version, &entry(1, 50));
    later_version[1] = FORMAT_VERSION + 1;
    let reversed_range = messages::encode_response(&response(ResponseBody::Changes {
        after: 50,
        up_to: 20,
        last: true,
    }));
    let range_beyond_head = messages::encode_response(&response(ResponseBody::Changes {
        after: 0,
        up_to: 101,
        last: true,
    }));
    let mut invalid_branch =
        messages::encode_response(&response(ResponseBody::LeafHashes { last: true }));
    messages::append_leaf_hashes(&mut invalid_branch, 64, &[0; 64]);
    let mut trailing = messages::encode_response(&response(ResponseBody::AdoptHead));
    trailing.push(0);
    let no_branch_hashes = messages::encode_response(&response(ResponseBody::BranchHashes));
    let request = messages::encode_request(&request(Query::Changes), &[]);
    let cases = [
        (version_too_high, "absurd-version"),
        (version_zero, "absurd-version"),
        (value_too_large, "value-too-large"),
        (length_too_large, "garbled"),
        (truncated, "garbled"),
        (later_version, "later-form"),
        (reversed_range, "absurd-cursor"),
        (range_beyond_head, "absurd-cursor"),
        (invalid_branch, "absurd-leaf"),
        (trailing, "garbled"),
        (no_branch_hashes, "garbled"),
        (request, "other-kind"),
        (vec![0, 1, 2, 3], "other-kind"),
        (Vec::new(), "garbled"),
        (vec![MAGIC, FORMAT_VERSION, 1], "garbled"),
    ];
    for (n, (body, reason)) in cases.into_iter().enumerate() {
        let before_count = malicious.count_of(reason);
        malicious.send(&body);
        assert_eq!(
            malicious.count_of(reason),
            before_count + 1,
            "case {n}: {reason}"
        );
        assert_eq!(
            malicious.sim.followers[0].store().root_hash(),
            before,
            "case {n}"
        );
    }
    // Valid messages in the same session are still accepted.
    let mut valid = changes();
    messages::append_entry(&mut valid, &entry(1, 50));
    malicious.send(&valid);
    let held = malicious.sim.followers[0].store().get(1);
    assert_eq!(held.map(|entry| entry.version), Some(50));
}

#[test]
fn invalid_requests_are_rejected_and_counted() {
    let mut sim = Simulation::new(52, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let mut sessions = Sessions::new(handshake::id_of("malicious"), 7, keys());
    let body =
        postcard::to_stdvec(&identity("malicious", follower_address(0), 7)).expect("encoded");
    let answer = sessions.seal_answer(100, &body).expect("fits");
    sim.sources[0].receive(sim.now, follower_address(0), &answer);
    for output in sim.sources[0].take_outputs() {
        if let spanspur_distribution::Output::Datagram(_, bytes) = output {
            sessions.open(&bytes).expect("a handshake answer");
        }
    }
    let mut leaves = messages::encode_request(&request(Query::NewerEntries { from: 0 }), &[]);
    append(&mut leaves, &(9_u16, 0_u16));
    let mut duplicate_leaf = leaves.clone();
    append(&mut duplicate_leaf, &(9_u16, 0_u16));
    let mut invalid_leaf = leaves.clone();
    append(&mut invalid_leaf, &(4096_u16, 0_u16));
    let mut count_too_large = leaves.clone();
    append(&mut count_too_large, &(10_u16, u16::MAX));
    let (mut window_too_large, mut window_zero, mut sequence_beyond_head) = (
        request(Query::Changes),
        request(Query::Changes),
        request(Query::Changes),
    );
    window_too_large.window = MAX_WINDOW + 1;
    window_zero.window = 0;
    sequence_beyond_head.sequence = 101;
    let cases = [
        (duplicate_leaf, "absurd-leaf"),
        (invalid_leaf, "absurd-leaf"),
        (count_too_large, "garbled"),
        (
            messages::encode_request(&window_too_large, &[]),
            "absurd-window",
        ),
        (messages::encode_request(&window_zero, &[]), "absurd-window"),
        (
            messages::encode_request(&sequence_beyond_head, &[]),
            "absurd-cursor",
        ),
        (changes(), "other-kind"),
    ];
    for (body, reason) in cases {
        let to = handshake::id_of("control-0");
        let bytes = sessions
            .seal(to, DatagramKind::Data, &body)
            .expect("sealed");
        sim.sources[0].receive(sim.now, follower_address(0), &bytes);
        let datagrams = sim.sources[0].take_outputs();
        assert!(sim.sources[0].counters()[reason] >= 1, "{reason}");
        assert!(datagrams.is_empty(), "{reason}: a response was sent");
    }
    let counters = sim.sources[0].counters();
    let reasons = [
        "absurd-leaf",
        "garbled",
        "absurd-window",
        "absurd-cursor",
        "other-kind",
    ];
    let counts: Vec<u64> = reasons.iter().map(|reason| counters[reason]).collect();
    assert_eq!(counts, [2, 1, 2, 1, 1]);
}

/// Datagrams with another key, truncated, with a flipped bit, of random bytes, or replayed change nothing.
#[test]
fn datagrams_not_authenticated_for_this_incarnation_change_nothing() {
    for seed in 530..534 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE]);
        sim.capture = Some(Vec::new());
        sim.publish_all(&entries(0..500, 10));
        sim.add_follower(LOCAL_ZONE);
        sim.run(5000);
        let capture = sim.capture.take().expect("captured");
        let (root_hash_before, status_before) = (
            sim.followers[0].store().root_hash(),
            sim.sources[0].status(sim.now),
        );
        let mut attempts = 0_u64;
        for _ in 0..4000 {
            let (_, from, to, sent) = &capture[sim.rng.random_range(0..capture.len())];
            let mut bytes = sent.clone();
            match sim.rng.random_range(0..4) {
                0 => bytes.truncate(sim.rng.random_range(0..sent.len())),
                1 => {
                    let at = sim.rng.random_range(0..bytes.len());
                    bytes[at] ^= 1 << sim.rng.random_range(0..8);
                }
                2 => {
                    let size = sim.rng.random_range(0..1500);
                    bytes = (0..size).map(|_| sim.rng.random()).collect();
                }
                // An unchanged replay.
                _ => {}
            }
            attempts += 1;
            sim.deliver(*from, *to, &bytes);
        }
        let other_keys = Keys(vec![Key::new(b"the secret of somebody else")]);
        let other_sessions = Sessions::new(handshake::id_of("control-0"), 100, other_keys);
        let forged = other_sessions.seal_answer(100, b"x").expect("fits");
        sim.deliver(source_address(0), follower_address(0), &forged);
        let rejected: u64 = [sim.sources[0].counters(), sim.followers[0].counters()]
            .iter()
            .flat_map(|counters| {
                ["size", "version", "forged", "replay", "other-run"]
                    .map(|reason| counters.get(reason).copied().unwrap_or(0))
            })
            .sum();
        println!("seed {seed}: {rejected} of {attempts} rejected before decoding");
        assert!(rejected * 10 > attempts * 9);
        assert_eq!(sim.followers[0].store().root_hash(), root_hash_before);
        assert_eq!(
            sim.sources[0].status(sim.now).followers,
            status_before.followers
        );
        sim.run(3000);
        assert!(sim.same_content(0, 0));
        sim.publish_all(&[entry(1, 11)]);
        sim.run(1500);
        assert!(sim.same_content(0, 0), "valid datagrams are still accepted");
    }
}

/// Authenticated datagrams with random contents, as a later or faulty version would send them, cause no panic.
#[test]
fn random_bodies_under_the_right_key_never_panic() {
    for seed in 540..544 {
        let mut malicious = MaliciousSource::new(seed);
        let mut valid = changes();
        messages::append_entry(&mut valid, &entry(1, 50));
        for _ in 0..5000 {
            let rng = &mut malicious.sim.rng;
            let mut body = valid.clone();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..body.len());
                body[at] = rng.random();
            }
            body.truncate(rng.random_range(0..=body.len()));
            malicious.send(&body);
            let _ = malicious.sim.followers[0].take_outputs();
            let request = messages::decode_request(&body);
            assert!(request.is_err() || body[2] == 0);
        }
        for entry in malicious.sim.followers[0].store().iter() {
            assert!(entry.version <= MAX_VERSION && entry.value.len() <= 512);
        }
    }
}

#[test]
fn a_full_store_rejects_entries_with_the_reason() {
    let mut store = EntryStore::default();
    let max_size_entry = |key, version| Entry {
        key,
        version,
        value: vec![1; 512],
    };
    let capacity = (16 << 20) / 512;
    for key in 0..capacity {
        assert_eq!(store.insert_if_newer(&max_size_entry(key, 1)), Ok(true));
    }
    assert_eq!(
        store.insert_if_newer(&max_size_entry(capacity, 1)),
        Err(EntryError::StoreFull)
    );
    assert_eq!(
        store.insert_if_newer(&max_size_entry(3, 2)),
        Ok(true),
        "replaces the older version"
    );
    let mut full_of_keys = EntryStore::default();
    for key in 0..65_536 {
        let value = Vec::new();
        let entry = Entry {
            key,
            version: 1,
            value,
        };
        assert_eq!(full_of_keys.insert_if_newer(&entry), Ok(true));
    }
    assert_eq!(
        full_of_keys.insert_if_newer(&entry(70_000, 1)),
        Err(EntryError::StoreFull)
    );
    assert_eq!(
        full_of_keys.insert_if_newer(&entry(1, 0)),
        Err(EntryError::InvalidVersion)
    );
    assert_eq!(
        full_of_keys.insert_if_newer(&entry(1, MAX_VERSION + 1)),
        Err(EntryError::InvalidVersion)
    );
    assert_eq!(full_of_keys.len(), 65_536);
}
