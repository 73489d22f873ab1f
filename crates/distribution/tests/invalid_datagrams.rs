//! Invalid datagrams are counted by their reason and dropped: no panic, and none applied in part.

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

fn answer(part: ResponseBody) -> PollResponse {
    PollResponse {
        nonce: 1,
        data_age: Some(0),
        head: 100,
        body: part,
    }
}

fn changes() -> Vec<u8> {
    messages::encode_response(&answer(ResponseBody::Changes {
        after: 0,
        up_to: 100,
        last: true,
    }))
}

fn ask(want: Query) -> PollRequest {
    PollRequest {
        nonce: 1,
        is_primary: true,
        incarnation: 100,
        sequence: 0,
        root_hash: 0,
        window: MAX_WINDOW,
        query: want,
    }
}

fn put(bytes: &mut Vec<u8>, what: &impl Serialize) {
    bytes.extend(postcard::to_stdvec(what).expect("encoded"));
}

/// One follower of one source, and the source's sessions as a malicious with the right key would have them.
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
        // Another run of the source, which the follower has met.
        let me = handshake::id_of("control-0");
        let mut sessions = Sessions::new(me, 300, keys());
        let identity = identity("control-0", source_address(0), 300);
        let body = postcard::to_stdvec(&identity).expect("encoded");
        let hello = sessions.seal_answer(100, &body).expect("fits");
        sim.isolated.insert(source_address(0));
        sim.followers[0].receive(sim.now, source_address(0), &hello);
        for output in sim.followers[0].take_outputs() {
            if let spanspur_distribution::Output::Datagram(_, bytes) = output {
                let _ = sessions.open(&bytes);
            }
        }
        Self { sim, sessions }
    }

    fn say(&mut self, body: &[u8]) {
        let to = handshake::id_of("balancer-0");
        let bytes = self
            .sessions
            .seal(to, DatagramKind::Data, body)
            .expect("sealed");
        self.sim.followers[0].receive(self.sim.now, source_address(0), &bytes);
    }

    fn counted(&self, reason: &str) -> u64 {
        let counters = self.sim.followers[0].counters();
        counters.get(reason).copied().unwrap_or(0)
    }
}

#[test]
fn invalid_responses_under_the_right_key_are_rejected_whole_and_counted() {
    let mut malicious = MaliciousSource::new(51);
    let before = malicious.sim.followers[0].store().root_hash();
    let mut absurd = changes();
    messages::append_entry(&mut absurd, &entry(1, 50));
    messages::append_entry(&mut absurd, &entry(2, MAX_VERSION + 1));
    let mut zero = changes();
    messages::append_entry(&mut zero, &entry(1, 50));
    messages::append_entry(&mut zero, &entry(2, 0));
    let mut large = changes();
    messages::append_entry(&mut large, &entry(1, 50));
    let value = vec![0; 600];
    messages::append_entry(
        &mut large,
        &Entry {
            key: 3,
            version: 60,
            value,
        },
    );
    // A row that claims far more bytes than there are.
    let mut claims = changes();
    messages::append_entry(&mut claims, &entry(1, 50));
    put(&mut claims, &([9_u8; 8], 60_u64, u64::MAX));
    let mut cut = changes();
    messages::append_entry(&mut cut, &entry(1, 50));
    messages::append_entry(&mut cut, &entry(2, 50));
    cut.truncate(cut.len() - 1);
    let mut later = changes();
    messages::append_entry(&mut later, &entry(1, 50));
    later[1] = FORMAT_VERSION + 1;
    let back = messages::encode_response(&answer(ResponseBody::Changes {
        after: 50,
        up_to: 20,
        last: true,
    }));
    let beyond = messages::encode_response(&answer(ResponseBody::Changes {
        after: 0,
        up_to: 101,
        last: true,
    }));
    let mut leaves = messages::encode_response(&answer(ResponseBody::LeafHashes { last: true }));
    messages::append_leaf_hashes(&mut leaves, 64, &[0; 64]);
    let mut trailing = messages::encode_response(&answer(ResponseBody::AdoptHead));
    trailing.push(0);
    let tree = messages::encode_response(&answer(ResponseBody::BranchHashes));
    let asked = messages::encode_request(&ask(Query::Changes), &[]);
    let cases = [
        (absurd, "absurd-version"),
        (zero, "absurd-version"),
        (large, "value-too-large"),
        (claims, "garbled"),
        (cut, "garbled"),
        (later, "later-form"),
        (back, "absurd-cursor"),
        (beyond, "absurd-cursor"),
        (leaves, "absurd-leaf"),
        (trailing, "garbled"),
        (tree, "garbled"),
        (asked, "other-kind"),
        (vec![0, 1, 2, 3], "other-kind"),
        (Vec::new(), "garbled"),
        (vec![MAGIC, FORMAT_VERSION, 1], "garbled"),
    ];
    for (n, (body, reason)) in cases.into_iter().enumerate() {
        let counted = malicious.counted(reason);
        malicious.say(&body);
        assert_eq!(malicious.counted(reason), counted + 1, "case {n}: {reason}");
        assert_eq!(
            malicious.sim.followers[0].store().root_hash(),
            before,
            "case {n}"
        );
    }
    // The same ends still understand each other.
    let mut good = changes();
    messages::append_entry(&mut good, &entry(1, 50));
    malicious.say(&good);
    let held = malicious.sim.followers[0].store().get(1);
    assert_eq!(held.map(|entry| entry.version), Some(50));
}

#[test]
fn invalid_requests_are_rejected_and_counted() {
    let mut sim = Simulation::new(52, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..100, 10));
    let mut sessions = Sessions::new(handshake::id_of("liar"), 7, keys());
    let body = postcard::to_stdvec(&identity("liar", follower_address(0), 7)).expect("encoded");
    let hello = sessions.seal_answer(100, &body).expect("fits");
    sim.sources[0].receive(sim.now, follower_address(0), &hello);
    for output in sim.sources[0].take_outputs() {
        if let spanspur_distribution::Output::Datagram(_, bytes) = output {
            sessions.open(&bytes).expect("an answer");
        }
    }
    let mut leaves = messages::encode_request(&ask(Query::NewerEntries { from: 0 }), &[]);
    put(&mut leaves, &(9_u16, 0_u16));
    let mut twice = leaves.clone();
    put(&mut twice, &(9_u16, 0_u16));
    let mut beyond = leaves.clone();
    put(&mut beyond, &(4096_u16, 0_u16));
    let mut many = leaves.clone();
    put(&mut many, &(10_u16, u16::MAX));
    let (mut wide, mut none, mut ahead) = (
        ask(Query::Changes),
        ask(Query::Changes),
        ask(Query::Changes),
    );
    wide.window = MAX_WINDOW + 1;
    none.window = 0;
    ahead.sequence = 101;
    let cases = [
        (twice, "absurd-leaf"),
        (beyond, "absurd-leaf"),
        (many, "garbled"),
        (messages::encode_request(&wide, &[]), "absurd-window"),
        (messages::encode_request(&none, &[]), "absurd-window"),
        (messages::encode_request(&ahead, &[]), "absurd-cursor"),
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
        assert!(datagrams.is_empty(), "{reason}: answered");
    }
    let counters = sim.sources[0].counters();
    let refused = [
        "absurd-leaf",
        "garbled",
        "absurd-window",
        "absurd-cursor",
        "other-kind",
    ];
    let counts: Vec<u64> = refused.iter().map(|reason| counters[reason]).collect();
    assert_eq!(counts, [2, 1, 2, 1, 1]);
}

/// Datagrams under another key, truncated, with a flipped bit, of random bytes, or replayed change nothing.
#[test]
fn datagrams_not_authenticated_for_this_incarnation_change_nothing() {
    for seed in 530..534 {
        let mut sim = Simulation::new(seed, &[LOCAL_ZONE]);
        sim.capture = Some(Vec::new());
        sim.publish_all(&entries(0..500, 10));
        sim.add_follower(LOCAL_ZONE);
        sim.run(5000);
        let tape = sim.capture.take().expect("kept");
        let (store, acked) = (
            sim.followers[0].store().root_hash(),
            sim.sources[0].status(sim.now),
        );
        let mut tries = 0_u64;
        for _ in 0..4000 {
            let (_, from, to, good) = &tape[sim.rng.random_range(0..tape.len())];
            let mut bytes = good.clone();
            match sim.rng.random_range(0..4) {
                0 => bytes.truncate(sim.rng.random_range(0..good.len())),
                1 => {
                    let at = sim.rng.random_range(0..bytes.len());
                    bytes[at] ^= 1 << sim.rng.random_range(0..8);
                }
                2 => {
                    let size = sim.rng.random_range(0..1500);
                    bytes = (0..size).map(|_| sim.rng.random()).collect();
                }
                // Again, as it was.
                _ => {}
            }
            tries += 1;
            sim.deliver(*from, *to, &bytes);
        }
        let other = Keys(vec![Key::new(b"the secret of somebody else")]);
        let stranger = Sessions::new(handshake::id_of("control-0"), 100, other);
        let forged = stranger.seal_answer(100, b"x").expect("fits");
        sim.deliver(source_address(0), follower_address(0), &forged);
        let refused: u64 = [sim.sources[0].counters(), sim.followers[0].counters()]
            .iter()
            .flat_map(|counters| {
                ["size", "version", "forged", "replay", "other-run"]
                    .map(|why| counters.get(why).copied().unwrap_or(0))
            })
            .sum();
        println!("seed {seed}: {refused} of {tries} refused before they were read");
        assert!(refused * 10 > tries * 9);
        assert_eq!(sim.followers[0].store().root_hash(), store);
        assert_eq!(sim.sources[0].status(sim.now).followers, acked.followers);
        sim.run(3000);
        assert!(sim.same_content(0, 0));
        sim.publish_all(&[entry(1, 11)]);
        sim.run(1500);
        assert!(sim.same_content(0, 0), "they still understand each other");
    }
}

/// Authenticated, with random bytes inside, as a later or faulty program would send them.
#[test]
fn random_bodies_under_the_right_key_never_panic() {
    for seed in 540..544 {
        let mut malicious = MaliciousSource::new(seed);
        let mut good = changes();
        messages::append_entry(&mut good, &entry(1, 50));
        for _ in 0..5000 {
            let rng = &mut malicious.sim.rng;
            let mut body = good.clone();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..body.len());
                body[at] = rng.random();
            }
            body.truncate(rng.random_range(0..=body.len()));
            malicious.say(&body);
            let _ = malicious.sim.followers[0].take_outputs();
            let asked = messages::decode_request(&body);
            assert!(asked.is_err() || body[2] == 0);
        }
        for entry in malicious.sim.followers[0].store().iter() {
            assert!(entry.version <= MAX_VERSION && entry.value.len() <= 512);
        }
    }
}

#[test]
fn a_full_store_rejects_entries_with_the_reason() {
    let mut store = EntryStore::default();
    let large = |key, version| Entry {
        key,
        version,
        value: vec![1; 512],
    };
    let room = (16 << 20) / 512;
    for key in 0..room {
        assert_eq!(store.insert_if_newer(&large(key, 1)), Ok(true));
    }
    assert_eq!(
        store.insert_if_newer(&large(room, 1)),
        Err(EntryError::StoreFull)
    );
    assert_eq!(
        store.insert_if_newer(&large(3, 2)),
        Ok(true),
        "in place of the older"
    );
    let mut small = EntryStore::default();
    for key in 0..65_536 {
        let value = Vec::new();
        let entry = Entry {
            key,
            version: 1,
            value,
        };
        assert_eq!(small.insert_if_newer(&entry), Ok(true));
    }
    assert_eq!(
        small.insert_if_newer(&entry(70_000, 1)),
        Err(EntryError::StoreFull)
    );
    assert_eq!(
        small.insert_if_newer(&entry(1, 0)),
        Err(EntryError::InvalidVersion)
    );
    assert_eq!(
        small.insert_if_newer(&entry(1, MAX_VERSION + 1)),
        Err(EntryError::InvalidVersion)
    );
    assert_eq!(small.len(), 65_536);
}
