//! The simulator's wire as a golden master: a seeded closed loop of batches, whose replies are held to hashes.
//!
//! The fixture `tests/fixtures/simulator_stream.txt` has a hash of the replies to each [`BLOCK`] batches, the count of
//! each kind of step and of event, and the hash of the whole output. It was written by the tree at 71566bd;
//! rewriting it (`WRITE_FIXTURES=1`) hides a change of the wire.
//!
//! `writePeer` and `sayLog` do not occur: the balancer of that tree gives neither `Action::Tell` nor `Action::Log`.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use common::Random;
use serde_json::{Value, json};
use spanspur::protocol::simulator::{Adapter, serve};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use xxhash_rust::xxh3::xxh3_64;

const SEED: u64 = 0x5eed_0038;
const BATCHES: u64 = 5000;
/// Batches that share a line of the fixture.
const BLOCK: u64 = 100;
const SERVERS: u64 = 14;
/// The wall time of the first batch, in milliseconds.
const START_MS: u64 = 100_000;
/// The part of the fleet that fails changes this often, and every fourth time it is the whole fleet.
const OUTAGE_MS: u64 = 9_000;
/// Live requests of an instance from which on no more are asked.
const MOST_LIVE: usize = 60;
/// A held request that has no answer this long after its end is dropped by its client.
const DROP_MS: u64 = 500;
const STATUSES: [&str; 8] = [
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
];

/// The settings of each instance: every semantics, both ways of discovery, each switch on and off.
fn configs() -> Vec<Value> {
    let class = |name: &str, on_time: f64, semantics: Value, group: Value| {
        json!({"name": name, "onTime": on_time, "hardLimit": 1.8, "semantics": semantics, "group": group,
            "repeatWindow": 0.6, "stream": true})
    };
    let all = json!([
        class("free", 0.3, json!("free"), Value::Null),
        class("once", 0.4, json!("single_shot"), Value::Null),
        class("all", 0.3, json!("guarded"), json!("all")),
        class("zone", 0.5, json!("guarded"), json!("zone")),
        class("cell", 0.25, json!("guarded"), json!("cell")),
        class("plain", 0.5, Value::Null, Value::Null),
        class("anywhere", 0.5, json!("guarded"), Value::Null)
    ]);
    let cold =
        json!({"askWithin": 8, "coldFrom": 0.3, "warmUp": 10, "fall": 2, "fallMultiple": 2.5});
    vec![
        json!({"balancers": 2, "myNumber": 0, "zone": "a", "classes": all, "membershipMode": "pushed",
            "domain": {"groups": true, "messageAim": [0.06], "tellsDelay": true},
            "limits": {"cancel": true, "retryAfter": true, "maxRetryAfter": 2.5, "maxAttempts": 3, "connectTimeout": 0.2},
            "rules": cold}),
        json!({"balancers": 2, "myNumber": 1, "zone": "b", "classes": all, "membershipMode": "on_request",
            "domain": {"messageAim": [null, 0.09, 0.3]}, "limits": {"cancel": false, "maxAttempts": 4},
            "rules": cold}),
        json!({"classes": all, "membershipMode": "on_request", "domain": {"messageAim": [0.06, 0.06]},
            "limits": {"cancel": true, "retryAfter": false, "maxRetryAfter": 9, "maxAttempts": 5, "mayTell": true},
            "rules": {"askWithin": 20, "drainGrace": 3}}),
        json!({"balancers": 5, "myNumber": 3, "zone": "c", "classes": all, "domain": {"messageAim": [0.2]},
            "limits": {"retryAfter": true, "maxAttempts": 2},
            "rules": {"coldFrom": 0, "warmUp": 4, "fall": 1, "fallMultiple": 1.5}}),
        json!({"classes": all, "domain": null, "limits": {"maxAttempts": 0}, "unheard": {"of": 1}}),
        json!({"classes": all}),
    ]
}

const CLASSES: [&str; 7] = ["free", "once", "all", "zone", "cell", "plain", "anywhere"];

#[derive(Clone, PartialEq)]
enum Phase {
    Held,
    Out { host: String, until: f64 },
    Standing { host: String },
}

/// A request as the clients and servers see it.
#[derive(Clone)]
struct Asked {
    who: u64,
    due_ms: u64,
    sent_ms: u64,
    relays: u32,
    phase: Phase,
}

struct World {
    random: Random,
    now_ms: u64,
    requests: BTreeMap<String, Asked>,
    alarms: Vec<(f64, u64, u64)>,
    /// Instances that have asked for a list, and clients that come again after a move.
    to_list: Vec<u64>,
    to_return: Vec<u64>,
    started_ms: BTreeMap<u64, u64>,
    events: Vec<Value>,
    last_id: u64,
    versions: u64,
    counts: BTreeMap<String, u64>,
}

fn host(number: u64) -> String {
    format!("10.0.0.{number}:80")
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            now_ms: START_MS,
            requests: BTreeMap::new(),
            alarms: Vec::new(),
            to_list: Vec::new(),
            to_return: Vec::new(),
            started_ms: BTreeMap::new(),
            events: Vec::new(),
            last_id: 0,
            versions: 0,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: String) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn push(&mut self, event: Value) {
        let kind = event["kind"].as_str().expect("a kind").to_owned();
        self.count(format!("event {kind}"));
        self.events.push(event);
    }

    /// Whether a server fails most of what it is sent now.
    fn failing(&self, host: &str) -> bool {
        let outage = self.now_ms / OUTAGE_MS;
        let number = host
            .trim_start_matches("10.0.0.")
            .trim_end_matches(":80")
            .parse::<u64>()
            .expect("a number");
        outage % 4 == 3 || (number + outage).is_multiple_of(5)
    }

    fn spawn(&mut self, who: u64) {
        let config = configs()[who as usize].clone();
        let seed = self.random.below(1 << 31) << 31 | self.random.below(1 << 31);
        self.push(json!({"kind": "spawn", "who": who, "randomSeed": seed, "config": config}));
        // An instance that starts has its list as last known first.
        self.registry(who, 2);
    }

    fn define(&mut self, slot: u64, share: u64) {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            if self.random.below(share) == 0 {
                continue;
            }
            if self.random.below(40) == 0 {
                self.started_ms.insert(number, self.now_ms);
            }
            let readiness = match self.random.below(20) {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            let came_up = self.started_ms.get(&number).map(|ms| *ms as f64 / 1000.0);
            let size = match number % 4 {
                0 => json!(2),
                1 => json!(0.5),
                2 => Value::Null,
                _ => json!(1),
            };
            let hall = ["a", "b", "c"].get(number as usize % 4);
            entries.push(
                json!({"hall": hall, "readiness": readiness, "host": host(number), "size": size,
                "type": "t", "cameUp": came_up, "pod": number % 3}),
            );
        }
        self.push(json!({"kind": "defineList", "slot": slot, "membersList": entries}));
    }

    fn registry(&mut self, who: u64, mode: u64) {
        self.versions += 1;
        let slot = self.random.below(4);
        self.count(format!("event registry mode {mode}"));
        self.push(json!({"kind": "registry", "who": who, "mode": mode, "gen": self.versions, "slot": slot}));
    }

    /// The fields that `ask` and `takenOver` share.
    fn request(&mut self, kind: &str, who: u64, returned: bool) -> (String, Value) {
        self.last_id += 1;
        let id = format!(
            "{:016x}",
            self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ who
        );
        let life_ms = 300 + self.random.below(2000);
        let due_ms = self.now_ms + life_ms;
        let class = CLASSES[self.random.below(CLASSES.len() as u64) as usize];
        let mut opts = self.random.below(2);
        if self.random.below(12) == 0 {
            opts |= 8;
        }
        if returned {
            opts |= 16;
        }
        let client = self.random.below(400);
        let owner = match client % 3 {
            0 => Value::Null,
            1 => json!(0),
            _ => json!("tenant"),
        };
        let mut event = json!({"kind": kind, "who": who, "ref": id, "class": class, "owner": owner,
            "due": due_ms as f64 / 1000.0, "cost": (10_000 + 1000 * self.random.below(200)) as f64});
        let fields = event.as_object_mut().expect("an object");
        if !client.is_multiple_of(5) {
            fields.insert("partitionKey".into(), json!(format!("client {client}")));
        }
        if client % 7 < 3 {
            fields.insert("teamId".into(), json!(format!("team {}", client % 41)));
        }
        if !client.is_multiple_of(11) {
            fields.insert("opts".into(), json!(opts));
        }
        let asked = Asked {
            who,
            due_ms,
            sent_ms: self.now_ms,
            relays: 0,
            phase: Phase::Held,
        };
        self.requests.insert(id.clone(), asked);
        (id, event)
    }

    fn ask(&mut self, who: u64, returned: bool) {
        let (_, event) = self.request("ask", who, returned);
        self.push(event);
    }

    fn take_over(&mut self, who: u64) {
        let (id, mut event) = self.request("takenOver", who, false);
        let host = host(self.random.below(SERVERS));
        event["host"] = json!(host);
        let asked = self.requests.get_mut(&id).expect("just asked");
        asked.relays = 1;
        asked.phase = Phase::Standing { host };
        self.push(event);
    }

    fn done(&mut self, id: &str, host: &str, status: &str, settled: bool) {
        let asked = self.requests.get_mut(id).expect("a live request");
        let (who, shot) = (asked.who, asked.relays - 1);
        let took = (self.now_ms - asked.sent_ms) as f64 / 1000.0;
        asked.phase = Phase::Held;
        if settled {
            self.requests.remove(id);
        }
        self.count(format!("event done {status} settled {settled}"));
        self.push(
            json!({"kind": "done", "who": who, "ref": id, "status": status, "settled": settled,
            "timeTaken": took, "shot": shot, "host": host, "load": {"cpu": 0.5}}),
        );
    }

    fn progress(&mut self, id: &str, asked: &Asked) {
        match &asked.phase {
            Phase::Held if self.now_ms > asked.due_ms + DROP_MS => self.cancel(id),
            Phase::Held => {}
            Phase::Out { host, until } => self.connect(id, asked, host, *until),
            Phase::Standing { host } => self.stand(id, asked, host),
        }
    }

    /// An attempt that is out goes on: it stands, fails or is still under way.
    fn connect(&mut self, id: &str, asked: &Asked, host: &str, until: f64) {
        if self.now_ms as f64 / 1000.0 >= until {
            return self.done(id, host, "timeout", false);
        }
        let failing = self.failing(host);
        match self.random.below(100) {
            0..=34 if failing => {
                let status = STATUSES[1 + self.random.below(5) as usize];
                self.done(id, host, status, false);
            }
            0..=44 if !failing => {
                let took = (self.now_ms - asked.sent_ms) as f64 / 1000.0;
                let live = self.requests.get_mut(id).expect("a live request");
                live.phase = Phase::Standing {
                    host: host.to_owned(),
                };
                self.push(
                    json!({"kind": "underWay", "who": asked.who, "ref": id, "host": host,
                    "shot": asked.relays - 1, "timeTaken": took}),
                );
            }
            45..=48 => {
                let status = STATUSES[self.random.below(8) as usize];
                let settled = self.random.below(3) == 0;
                self.done(id, host, status, settled);
            }
            49..=51 => self.cancel(id),
            _ => {}
        }
    }

    fn stand(&mut self, id: &str, asked: &Asked, host: &str) {
        match self.random.below(200) {
            0..=1 => {
                let status = STATUSES[self.random.below(8) as usize];
                self.done(id, host, status, true);
            }
            2 => {
                let status = ["reset", "cancelled", "error", "moot"][self.random.below(4) as usize];
                self.done(id, host, status, false);
            }
            3 => self.cancel(id),
            4..=11 => {
                let level = 10_000 + 1000 * self.random.below(300);
                self.signal(id, asked, host, 1, level);
            }
            12..=14 => {
                // Busy from 20 ms on at the strictest aim here.
                let most = if self.failing(host) { 90 } else { 24 };
                let level = self.random.below(most);
                self.signal(id, asked, host, 2, level);
            }
            _ => {}
        }
    }

    fn signal(&mut self, id: &str, asked: &Asked, host: &str, topic: u64, level: u64) {
        self.count(format!("event signal topic {topic}"));
        self.push(
            json!({"kind": "signal", "who": asked.who, "ref": id, "topic": topic, "host": host,
            "shot": asked.relays - 1, "level": level as f64}),
        );
    }

    fn cancel(&mut self, id: &str) {
        let Some(asked) = self.requests.remove(id) else {
            return;
        };
        self.push(json!({"kind": "cancelledByClient", "who": asked.who, "ref": id}));
    }

    fn fire_alarms(&mut self) {
        let now = self.now_ms as f64 / 1000.0;
        let (due, later): (Vec<_>, Vec<_>) =
            self.alarms.drain(..).partition(|alarm| alarm.0 <= now);
        self.alarms = later;
        for (_, who, tag) in due {
            self.push(json!({"kind": "fired", "who": who, "tag": tag}));
        }
    }

    /// What does not follow from a step: lists, news without an effect, and instances that restart.
    fn surroundings(&mut self) {
        let instances = configs().len() as u64;
        let who = self.random.below(instances);
        match self.random.below(200) {
            0..=3 => {
                let slot = self.random.below(4);
                self.define(slot, 12);
            }
            4..=7 => {
                let mode = self.random.below(2);
                self.registry(who, mode);
            }
            8 => self.registry(who, 3),
            9..=11 => self.take_over(who),
            12..=13 => {
                let status = STATUSES[self.random.below(8) as usize];
                let host = host(self.random.below(SERVERS));
                self.push(json!({"kind": "probed", "who": who, "host": host, "status": status, "timeTaken": 0.02}));
            }
            14..=15 => {
                let sender = self.random.below(instances);
                self.push(
                    json!({"kind": "memo", "who": who, "sender": sender, "payload": "c3BhbnNwdXI="}),
                );
            }
            16 => self.push(json!({"kind": "fired", "who": who, "tag": 1u64 << 63})),
            17 if self.random.below(4) == 0 => {
                self.push(json!({"kind": "exit", "who": who}));
                self.requests.retain(|_, asked| asked.who != who);
                self.alarms.retain(|alarm| alarm.1 != who);
                self.spawn(who);
            }
            _ => {}
        }
    }

    /// The next batch's line.
    fn batch(&mut self, number: u64) -> String {
        self.now_ms += 5 + self.random.below(35);
        if number == 1 {
            (0..4).for_each(|slot| self.define(slot, 12));
            (0..configs().len() as u64).for_each(|who| self.spawn(who));
        }
        self.fire_alarms();
        for who in std::mem::take(&mut self.to_list) {
            let mode = [1, 1, 0, 3][self.random.below(4) as usize];
            self.registry(who, mode);
        }
        let live: Vec<(String, Asked)> = self
            .requests
            .iter()
            .map(|(id, asked)| (id.clone(), asked.clone()))
            .collect();
        for (id, asked) in &live {
            self.progress(id, asked);
        }
        for who in std::mem::take(&mut self.to_return) {
            self.ask(who, true);
        }
        for who in 0..configs().len() as u64 {
            let live = live.iter().filter(|(_, asked)| asked.who == who).count();
            if live < MOST_LIVE && self.random.below(3) == 0 {
                self.ask(who, false);
            }
        }
        self.surroundings();
        let happened = std::mem::take(&mut self.events);
        json!({"wall": self.now_ms as f64 / 1000.0, "n": number, "happened": happened}).to_string()
    }

    /// Clients, servers and alarms react to a reply.
    fn react(&mut self, reply: &[u8]) {
        let reply: Value = serde_json::from_slice(reply).expect("a reply of JSON");
        let now = self.now_ms as f64 / 1000.0;
        for step in reply["steps"].as_array().expect("steps") {
            let kind = step["kind"].as_str().expect("a kind");
            self.count(format!("step {kind}"));
            let who = step["who"].as_u64().expect("an instance");
            let id = step["ref"].as_str().unwrap_or_default();
            match kind {
                "relay" => {
                    let now_ms = self.now_ms;
                    if let Some(asked) = self.requests.get_mut(id) {
                        let host = step["host"].as_str().expect("a host").to_owned();
                        let until = step["until"].as_f64().expect("a time");
                        asked.relays += 1;
                        asked.sent_ms = now_ms;
                        asked.phase = Phase::Out { host, until };
                        let again = if asked.relays > 1 {
                            "repeated"
                        } else {
                            "first"
                        };
                        self.count(format!("step relay {again}"));
                    }
                }
                "shed" => {
                    let advice = step["holdOff"].as_f64().expect("a time") > 0.0;
                    self.count(format!("step shed with advice {advice}"));
                    self.requests.remove(id);
                }
                "finishError" => drop(self.requests.remove(id)),
                "goAway" => {
                    let asked = self.requests.get(id).cloned();
                    if let Some(Phase::Standing { host }) = asked.map(|asked| asked.phase) {
                        self.done(id, &host, "cancelled", true);
                        self.to_return.push(who);
                    }
                }
                "track" => self.to_list.push(who),
                "setAlarm" => {
                    let after = step["in"].as_f64().expect("a time");
                    self.alarms
                        .push((now + after, who, step["tag"].as_u64().expect("a tag")));
                }
                "withdraw" => {}
                other => panic!("a step that did not occur before: {other}"),
            }
        }
    }
}

#[test]
fn the_replies_to_a_seeded_stream_are_those_of_the_fixture() {
    println!("seed {SEED:#x}");
    let mut world = World::new(SEED);
    let mut adapter = Adapter::default();
    let (mut input, mut output, mut block) = (String::new(), Vec::new(), Vec::new());
    let mut text = String::new();
    for number in 1..=BATCHES {
        let line = world.batch(number);
        let reply = adapter
            .batch(&line)
            .unwrap_or_else(|what| panic!("batch {number}: {what}\n{line}"));
        world.react(&reply);
        input.push_str(&line);
        input.push('\n');
        output.extend_from_slice(&reply);
        block.extend_from_slice(&reply);
        if number % BLOCK == 0 {
            let first = number + 1 - BLOCK;
            let _ = writeln!(
                text,
                "batches {first} to {number}: {:016x}",
                xxh3_64(&block)
            );
            block.clear();
        }
    }
    for (what, count) in &world.counts {
        let _ = writeln!(text, "{what}: {count}");
    }
    let _ = writeln!(
        text,
        "output: {} bytes, {:016x}",
        output.len(),
        xxh3_64(&output)
    );
    fixture::assert_text("simulator_stream.txt", &text);
    occurred_often(&world.counts);

    let mut served = Vec::new();
    serve(input.as_bytes(), &mut served).unwrap_or_else(|what| panic!("{what}"));
    assert!(
        served == output,
        "the stream as a whole is served otherwise than line by line"
    );
}

/// A stream that misses a kind of step or event says little.
fn occurred_often(counts: &BTreeMap<String, u64>) {
    let often = |what: &str, least: u64| {
        let count = counts.get(what).copied().unwrap_or_default();
        assert!(count >= least, "{what}: {count}, fewer than {least}");
    };
    for (step, least) in [
        ("relay first", 5000),
        ("relay repeated", 1000),
        ("shed", 500),
        ("shed with advice true", 100),
        ("shed with advice false", 100),
        ("finishError", 300),
        ("withdraw", 100),
        ("goAway", 100),
        ("track", 20),
        ("setAlarm", 500),
    ] {
        often(&format!("step {step}"), least);
    }
    for (event, least) in [
        ("defineList", 50),
        ("spawn", 10),
        ("exit", 4),
        ("registry mode 0", 20),
        ("registry mode 1", 20),
        ("registry mode 2", 10),
        ("registry mode 3", 10),
        ("ask", 5000),
        ("takenOver", 40),
        ("underWay", 2000),
        ("signal topic 1", 1000),
        ("signal topic 2", 500),
        ("cancelledByClient", 300),
        ("fired", 500),
        ("probed", 20),
        ("memo", 20),
    ] {
        often(&format!("event {event}"), least);
    }
    for status in STATUSES {
        often(&format!("event done {status} settled true"), 20);
        often(&format!("event done {status} settled false"), 20);
    }
}
