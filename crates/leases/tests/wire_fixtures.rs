//! Compares the encoded bytes of lease messages and gossip messages with fixture files. Commit 71566bd wrote the files;
//! writing them again (`WRITE_FIXTURES=1`) would hide a change of the bytes between versions.

#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use serde::{Serialize, de::DeserializeOwned};
use spanspur_leases::gossip_store::{GossipEntry, GossipMessage, GossipStore, MAX_VALUE_BYTES};
use spanspur_leases::{Ballot, InstanceId, LeaseId, LeaseStatus, Message, RejectReason};
use wire_fixtures::Record;

/// The reasons, each with its label in the fixture files.
const REJECT_REASONS: [(&str, RejectReason); 6] = [
    ("abstains", RejectReason::Abstaining),
    ("held", RejectReason::LeaseHeld),
    ("outvoted", RejectReason::BallotTooLow),
    ("early", RejectReason::TermTooEarly),
    ("full", RejectReason::AtCapacity),
    ("unknown", RejectReason::NoPromise),
];

/// Generates field values of one magnitude. No two fields get the same number, so that swapped fields are detected.
struct Sample {
    name: &'static str,
    /// The next number, or, if `large` is set, its distance from the largest number.
    next: u64,
    large: bool,
}

impl Sample {
    fn all() -> [Self; 3] {
        [
            Self::new("small", 1, false),
            Self::new("middle", 1000, false),
            Self::new("large", 0, true),
        ]
    }

    fn new(name: &'static str, next: u64, large: bool) -> Self {
        Self { name, next, large }
    }

    fn number(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        if self.large {
            u64::MAX - number
        } else {
            number
        }
    }

    fn lease(&mut self) -> LeaseId {
        LeaseId(self.number())
    }

    fn ballot(&mut self) -> Ballot {
        Ballot {
            round: self.number(),
            proposer: self.number(),
            incarnation: self.number(),
        }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

/// Compares the encoded values with the file, and the values decoded from the file with the given ones.
fn check_values<T>(file: &str, values: &[(String, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let records = values
        .iter()
        .map(|(name, value)| Record::new(name, encode(value)));
    let golden = wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records.collect());
    for ((name, value), golden) in values.iter().zip(golden) {
        let decoded: T = postcard::from_bytes(&golden.bytes).expect("decodes");
        assert_eq!(&decoded, value, "{name}");
        assert_eq!(encode(&decoded), golden.bytes, "{name}");
    }
}

fn messages_of(mut sample: Sample) -> Vec<(String, Message)> {
    let s = &mut sample;
    let mut messages = vec![
        (
            "prepare".to_owned(),
            Message::Prepare {
                lease: s.lease(),
                ballot: s.ballot(),
                interval: s.number(),
                pre_vote: false,
            },
        ),
        (
            "prepare-trial".to_owned(),
            Message::Prepare {
                lease: s.lease(),
                ballot: s.ballot(),
                interval: s.number(),
                pre_vote: true,
            },
        ),
        (
            "promise".to_owned(),
            Message::Promise {
                lease: s.lease(),
                ballot: s.ballot(),
                highest_term: s.number(),
                accepted_ago: Some(s.number()),
                accepted_ballot: s.ballot(),
                previous_promise: s.ballot(),
            },
        ),
        (
            "promise-without-vote".to_owned(),
            Message::Promise {
                lease: s.lease(),
                ballot: s.ballot(),
                highest_term: s.number(),
                accepted_ago: None,
                accepted_ballot: s.ballot(),
                previous_promise: s.ballot(),
            },
        ),
        (
            "accept".to_owned(),
            Message::Accept {
                lease: s.lease(),
                ballot: s.ballot(),
                term: s.number(),
                interval: s.number(),
            },
        ),
        (
            "accepted".to_owned(),
            Message::Accepted {
                lease: s.lease(),
                ballot: s.ballot(),
                term: s.number(),
            },
        ),
        (
            "yield".to_owned(),
            Message::Release {
                lease: s.lease(),
                ballot: s.ballot(),
            },
        ),
        (
            "want".to_owned(),
            Message::RequestHandover { lease: s.lease() },
        ),
    ];
    for (name, reason) in REJECT_REASONS {
        let rejected = Message::Rejected {
            lease: s.lease(),
            ballot: s.ballot(),
            reason,
            promised: s.ballot(),
            highest_term: s.number(),
            retry_after: s.number(),
        };
        messages.push((format!("refused-{name}"), rejected));
    }
    let size = sample.name;
    messages
        .into_iter()
        .map(|(name, message)| (format!("{name}-{size}"), message))
        .collect()
}

#[test]
fn every_message_about_a_lease_keeps_its_bytes() {
    let messages: Vec<(String, Message)> =
        Sample::all().into_iter().flat_map(messages_of).collect();
    check_values("messages.txt", &messages);
    let together: Vec<Message> = messages.into_iter().map(|(_, message)| message).collect();
    let lists = [
        ("none".to_owned(), Vec::new()),
        ("all".to_owned(), together),
    ];
    check_values("message_lists.txt", &lists);
}

fn entry(key: u64, version: u64, length: usize) -> GossipEntry {
    let value = (0..length).map(|index| index as u8 ^ key as u8).collect();
    GossipEntry {
        key,
        version,
        value,
    }
}

#[test]
fn gossip_entries_and_messages_keep_their_bytes() {
    let entries = vec![
        entry(0, 1, 0),
        entry(1, 127, 1),
        entry(0x0123_4567_89ab_cdef, 128, 90),
        entry(u64::MAX, u64::MAX, MAX_VALUE_BYTES),
    ];
    let named = entries.iter().enumerate();
    let named: Vec<(String, GossipEntry)> = named
        .map(|(index, entry)| (format!("entry-{index}"), entry.clone()))
        .collect();
    check_values("board_entries.txt", &named);
    let instances = vec![InstanceId(0), InstanceId(300), InstanceId(u64::MAX)];
    let mut store = GossipStore::default();
    let empty = store.digest();
    store.publish(entries.clone(), &[]);
    let messages = [
        (
            "entries-none".to_owned(),
            GossipMessage::Entries {
                entries: Vec::new(),
                forward_to: Vec::new(),
            },
        ),
        (
            "entries-to-nobody".to_owned(),
            GossipMessage::Entries {
                entries: entries.clone(),
                forward_to: Vec::new(),
            },
        ),
        (
            "entries-to-some".to_owned(),
            GossipMessage::Entries {
                entries,
                forward_to: instances,
            },
        ),
        ("compare-empty-board".to_owned(), empty),
        ("compare-board".to_owned(), store.digest()),
        (
            "compare-samples".to_owned(),
            GossipMessage::Digest(vec![0, 127, 128, u64::MAX]),
        ),
    ];
    check_values("board_news.txt", &messages);
}

/// Adds a record for each message that a store sends, in order.
fn push_sends(records: &mut Vec<Record>, step: &str, sends: &[(InstanceId, GossipMessage)]) {
    records.push(Record::new(step, encode(&sends.len())));
    for (index, (to, message)) in sends.iter().enumerate() {
        records.push(Record::new(
            format!("{step}-{index}"),
            encode(&(to, message)),
        ));
    }
}

#[test]
fn the_messages_of_a_gossip_store_keep_their_bytes() {
    let mut records = Vec::new();
    let others: Vec<InstanceId> = (2..30).map(InstanceId).collect();
    let mut first = GossipStore::default();
    let sends = first.publish((0..3).map(|key| entry(key, 5, 8)).collect(), &others);
    push_sends(&mut records, "publish", &sends);
    let mut second = GossipStore::default();
    let (to, message) = sends[0].clone();
    let received = second.receive(InstanceId(1), message);
    records.push(Record::new("fresh", encode(&received.updated)));
    push_sends(&mut records, "pass-on", &received.outgoing);
    first.publish((0..600).map(|key| entry(key, 6, 4)).collect(), &[]);
    for round in 0..3 {
        let sends = first.receive(to, second.digest()).outgoing;
        push_sends(&mut records, &format!("answer-{round}"), &sends);
        for (_, message) in sends {
            second.receive(InstanceId(1), message);
        }
    }
    let held: Vec<&GossipEntry> = second.iter().collect();
    records.push(Record::new("held", encode(&held)));
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "board_exchange.txt", records);
}

#[test]
fn identifiers_and_status_keep_their_bytes() {
    let names = ["", "list", "list/head", "probe", "balancer-1", "é"];
    let mut records = Vec::new();
    for (index, name) in names.into_iter().enumerate() {
        let lease = LeaseId::of(name);
        assert_eq!(lease.0, InstanceId::of(name).0);
        records.push(Record::new(
            format!("hash-{index}"),
            lease.0.to_le_bytes().into(),
        ));
        records.push(Record::new(format!("duty-{index}"), encode(&lease)));
        let instance = encode(&InstanceId::of(name));
        records.push(Record::new(format!("instance-{index}"), instance));
    }
    for mut sample in Sample::all() {
        let s = &mut sample;
        let mut status = LeaseStatus {
            lease: s.lease(),
            interval: s.number(),
            holder: Some(InstanceId(s.number())),
            term: s.number(),
            term_age: Some(s.number()),
            completed: s.number(),
            missed: s.number(),
            is_quorum_lost: true,
        };
        let size = sample.name;
        records.push(Record::new(format!("status-{size}"), encode(&status)));
        (status.holder, status.term_age, status.is_quorum_lost) = (None, None, false);
        records.push(Record::new(
            format!("status-unknown-{size}"),
            encode(&status),
        ));
    }
    let statuses = records
        .iter()
        .filter(|record| record.name.starts_with("status"));
    for record in statuses {
        let decoded: LeaseStatus = postcard::from_bytes(&record.bytes).expect("decodes");
        assert_eq!(encode(&decoded), record.bytes, "{}", record.name);
    }
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "identifiers.txt", records);
}
