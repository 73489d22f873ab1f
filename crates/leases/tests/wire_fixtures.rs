//! The bytes that instances exchange about duties and boards, compared with fixture files. Written by the tree at
//! 71566bd; rewriting them (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use serde::{Serialize, de::DeserializeOwned};
use spanspur_leases::board::{Board, Entry, MAX_VALUE, News};
use spanspur_leases::{Ballot, DutyId, InstanceId, Item, Status, Why};
use wire_fixtures::Record;

const WHYS: [(&str, Why); 6] = [
    ("abstains", Why::Abstains),
    ("held", Why::Held),
    ("outvoted", Why::Outvoted),
    ("early", Why::Early),
    ("full", Why::Full),
    ("unknown", Why::Unknown),
];

/// Values of one size: no field shares its number with another, so that two fields that change places show.
struct Sample {
    name: &'static str,
    /// The next number to be drawn, or how far below the largest one it lies.
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

    fn duty(&mut self) -> DutyId {
        DutyId(self.number())
    }

    fn ballot(&mut self) -> Ballot {
        Ballot {
            count: self.number(),
            by: self.number(),
            boot: self.number(),
        }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

/// Compares the values' bytes with the file, and the file's values with these once they are decoded.
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

fn items_of(mut sample: Sample) -> Vec<(String, Item)> {
    let s = &mut sample;
    let mut items = vec![
        (
            "prepare".to_owned(),
            Item::Prepare {
                duty: s.duty(),
                ballot: s.ballot(),
                every: s.number(),
                trial: false,
            },
        ),
        (
            "prepare-trial".to_owned(),
            Item::Prepare {
                duty: s.duty(),
                ballot: s.ballot(),
                every: s.number(),
                trial: true,
            },
        ),
        (
            "promise".to_owned(),
            Item::Promise {
                duty: s.duty(),
                ballot: s.ballot(),
                floor: s.number(),
                since: Some(s.number()),
                last_by: s.ballot(),
                held: s.ballot(),
            },
        ),
        (
            "promise-without-vote".to_owned(),
            Item::Promise {
                duty: s.duty(),
                ballot: s.ballot(),
                floor: s.number(),
                since: None,
                last_by: s.ballot(),
                held: s.ballot(),
            },
        ),
        (
            "accept".to_owned(),
            Item::Accept {
                duty: s.duty(),
                ballot: s.ballot(),
                period: s.number(),
                every: s.number(),
            },
        ),
        (
            "accepted".to_owned(),
            Item::Accepted {
                duty: s.duty(),
                ballot: s.ballot(),
                period: s.number(),
            },
        ),
        (
            "yield".to_owned(),
            Item::Yield {
                duty: s.duty(),
                ballot: s.ballot(),
            },
        ),
        ("want".to_owned(), Item::Want { duty: s.duty() }),
    ];
    for (name, why) in WHYS {
        let refused = Item::Refused {
            duty: s.duty(),
            ballot: s.ballot(),
            why,
            held: s.ballot(),
            floor: s.number(),
            wait: s.number(),
        };
        items.push((format!("refused-{name}"), refused));
    }
    let size = sample.name;
    items
        .into_iter()
        .map(|(name, item)| (format!("{name}-{size}"), item))
        .collect()
}

#[test]
fn every_message_about_a_duty_keeps_its_bytes() {
    let items: Vec<(String, Item)> = Sample::all().into_iter().flat_map(items_of).collect();
    check_values("messages.txt", &items);
    let together: Vec<Item> = items.into_iter().map(|(_, item)| item).collect();
    let lists = [
        ("none".to_owned(), Vec::new()),
        ("all".to_owned(), together),
    ];
    check_values("message_lists.txt", &lists);
}

fn entry(key: u64, version: u64, length: usize) -> Entry {
    let value = (0..length).map(|at| at as u8 ^ key as u8).collect();
    Entry {
        key,
        version,
        value,
    }
}

#[test]
fn entries_and_news_of_a_board_keep_their_bytes() {
    let entries = vec![
        entry(0, 1, 0),
        entry(1, 127, 1),
        entry(0x0123_4567_89ab_cdef, 128, 90),
        entry(u64::MAX, u64::MAX, MAX_VALUE),
    ];
    let named = entries.iter().enumerate();
    let named: Vec<(String, Entry)> = named
        .map(|(at, entry)| (format!("entry-{at}"), entry.clone()))
        .collect();
    check_values("board_entries.txt", &named);
    let instances = vec![InstanceId(0), InstanceId(300), InstanceId(u64::MAX)];
    let mut board = Board::default();
    let empty = board.compare();
    board.publish(entries.clone(), &[]);
    let news = [
        (
            "entries-none".to_owned(),
            News::Entries(Vec::new(), Vec::new()),
        ),
        (
            "entries-to-nobody".to_owned(),
            News::Entries(entries.clone(), Vec::new()),
        ),
        (
            "entries-to-some".to_owned(),
            News::Entries(entries, instances),
        ),
        ("compare-empty-board".to_owned(), empty),
        ("compare-board".to_owned(), board.compare()),
        (
            "compare-samples".to_owned(),
            News::Compare(vec![0, 127, 128, u64::MAX]),
        ),
    ];
    check_values("board_news.txt", &news);
}

/// Adds what a board sends, in order.
fn push_sends(records: &mut Vec<Record>, step: &str, sends: &[(InstanceId, News)]) {
    records.push(Record::new(step, encode(&sends.len())));
    for (at, (to, news)) in sends.iter().enumerate() {
        records.push(Record::new(format!("{step}-{at}"), encode(&(to, news))));
    }
}

#[test]
fn what_a_board_sends_keeps_its_bytes() {
    let mut records = Vec::new();
    let others: Vec<InstanceId> = (2..30).map(InstanceId).collect();
    let mut first = Board::default();
    let sends = first.publish((0..3).map(|key| entry(key, 5, 8)).collect(), &others);
    push_sends(&mut records, "publish", &sends);
    let mut second = Board::default();
    let (to, news) = sends[0].clone();
    let (fresh, sends) = second.receive(InstanceId(1), news);
    records.push(Record::new("fresh", encode(&fresh)));
    push_sends(&mut records, "pass-on", &sends);
    first.publish((0..600).map(|key| entry(key, 6, 4)).collect(), &[]);
    for round in 0..3 {
        let (_, sends) = first.receive(to, second.compare());
        push_sends(&mut records, &format!("answer-{round}"), &sends);
        for (_, news) in sends {
            second.receive(InstanceId(1), news);
        }
    }
    let held: Vec<&Entry> = second.iter().collect();
    records.push(Record::new("held", encode(&held)));
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "board_exchange.txt", records);
}

#[test]
fn identifiers_and_status_keep_their_bytes() {
    let names = ["", "list", "list/head", "probe", "balancer-1", "é"];
    let mut records = Vec::new();
    for (at, name) in names.into_iter().enumerate() {
        let duty = DutyId::of(name);
        assert_eq!(duty.0, InstanceId::of(name).0);
        records.push(Record::new(
            format!("hash-{at}"),
            duty.0.to_le_bytes().into(),
        ));
        records.push(Record::new(format!("duty-{at}"), encode(&duty)));
        let instance = encode(&InstanceId::of(name));
        records.push(Record::new(format!("instance-{at}"), instance));
    }
    for mut sample in Sample::all() {
        let s = &mut sample;
        let mut status = Status {
            duty: s.duty(),
            every: s.number(),
            holder: Some(InstanceId(s.number())),
            period: s.number(),
            since: Some(s.number()),
            done: s.number(),
            missed: s.number(),
            minority: true,
        };
        let size = sample.name;
        records.push(Record::new(format!("status-{size}"), encode(&status)));
        (status.holder, status.since, status.minority) = (None, None, false);
        records.push(Record::new(
            format!("status-unknown-{size}"),
            encode(&status),
        ));
    }
    let statuses = records
        .iter()
        .filter(|record| record.name.starts_with("status"));
    for record in statuses {
        let decoded: Status = postcard::from_bytes(&record.bytes).expect("decodes");
        assert_eq!(encode(&decoded), record.bytes, "{}", record.name);
    }
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "identifiers.txt", records);
}
