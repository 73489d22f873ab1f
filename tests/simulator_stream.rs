//! Golden test of the simulator's protocol: a seeded simulation reacts to the replies with the next batch, and the
//! replies are compared with recorded hashes.
//!
//! The fixture `tests/fixtures/simulator_stream.txt` has a hash of the replies to each [`BLOCK`] batches, the count of
//! each kind of step and of event, and the hash of the whole output. It was written at commit 71566bd; rewriting it
//! (`WRITE_FIXTURES=1`) hides a change of the wire.
//!
//! The steps `writePeer` and `sayLog` of the protocol do not occur: the balancer has no actions for them.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use common::Random;
use serde_json::{Value, json};
use spanspur::protocol::simulator::{SimulatorAdapter, serve};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use xxhash_rust::xxh3::xxh3_64;

const SEED: u64 = 0x5eed_0038;
const BATCHES: u64 = 5000;
/// Batches per line of the fixture.
const BLOCK: u64 = 100;
const SERVERS: u64 = 14;
/// The wall time before the first batch, in milliseconds.
const START_MS: u64 = 100_000;
/// How long an outage lasts; one follows another. Each affects a fifth of the servers, but every fourth affects all.
const OUTAGE_MS: u64 = 9_000;
/// An instance with this many live requests gets no more from new clients.
const MAX_LIVE_REQUESTS: usize = 60;
/// The client of a request that is unanswered this long after its deadline disconnects.
const CLIENT_DROP_MS: u64 = 500;
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

/// The settings of each instance: all semantics, both discovery modes, each switch on and off.
fn configs() -> Vec<Value> {
    let class = |name: &str, on_time: f64, semantics: Value, group: Value| {
        json!({"name": name, "onTime": on_time, "hardLimit": 1.8, "semantics": semantics, "group": group,
            "repeatWindow": 0.6, "stream": true})
    };
    let classes = json!([
        class("free", 0.3, json!("free"), Value::Null),
        class("once", 0.4, json!("single_shot"), Value::Null),
        class("all", 0.3, json!("guarded"), json!("all")),
        class("zone", 0.5, json!("guarded"), json!("zone")),
        class("cell", 0.25, json!("guarded"), json!("cell")),
        class("plain", 0.5, Value::Null, Value::Null),
        class("anywhere", 0.5, json!("guarded"), Value::Null)
    ]);
    let rules =
        json!({"askWithin": 8, "coldFrom": 0.3, "warmUp": 10, "fall": 2, "fallMultiple": 2.5});
    vec![
        json!({"balancers": 2, "myNumber": 0, "zone": "a", "classes": classes, "membershipMode": "pushed",
            "domain": {"groups": true, "messageAim": [0.06], "tellsDelay": true},
            "limits": {"cancel": true, "retryAfter": true, "maxRetryAfter": 2.5, "maxAttempts": 3, "connectTimeout": 0.2},
            "rules": rules}),
        json!({"balancers": 2, "myNumber": 1, "zone": "b", "classes": classes, "membershipMode": "on_request",
            "domain": {"messageAim": [null, 0.09, 0.3]}, "limits": {"cancel": false, "maxAttempts": 4},
            "rules": rules}),
        json!({"classes": classes, "membershipMode": "on_request", "domain": {"messageAim": [0.06, 0.06]},
            "limits": {"cancel": true, "retryAfter": false, "maxRetryAfter": 9, "maxAttempts": 5, "mayTell": true},
            "rules": {"askWithin": 20, "drainGrace": 3}}),
        json!({"balancers": 5, "myNumber": 3, "zone": "c", "classes": classes, "domain": {"messageAim": [0.2]},
            "limits": {"retryAfter": true, "maxAttempts": 2},
            "rules": {"coldFrom": 0, "warmUp": 4, "fall": 1, "fallMultiple": 1.5}}),
        json!({"classes": classes, "domain": null, "limits": {"maxAttempts": 0}, "unheard": {"of": 1}}),
        json!({"classes": classes}),
    ]
}

const CLASSES: [&str; 7] = ["free", "once", "all", "zone", "cell", "plain", "anywhere"];

#[derive(Clone, PartialEq)]
enum Phase {
    /// Waits for an attempt: the first, or the next one after a failure.
    Queued,
    InFlight {
        host: String,
        until: f64,
    },
    Established {
        host: String,
    },
}

/// A request as its client and the servers see it.
#[derive(Clone)]
struct SimulatedRequest {
    who: u64,
    due_ms: u64,
    /// When the last attempt started; before the first, when the request arrived.
    attempted_ms: u64,
    attempts: u32,
    phase: Phase,
}

struct Simulation {
    random: Random,
    now_ms: u64,
    requests: BTreeMap<String, SimulatedRequest>,
    /// When each timer is due, in seconds, its instance and its token.
    timers: Vec<(f64, u64, u64)>,
    /// Instances that have requested a list.
    polling: Vec<u64>,
    /// The instance of each client that reconnects after a migration.
    reconnecting: Vec<u64>,
    /// When each server last started, by its number.
    started_ms: BTreeMap<u64, u64>,
    events: Vec<Value>,
    last_id: u64,
    last_version: u64,
    /// How often each kind of step and event occurred.
    counts: BTreeMap<String, u64>,
}

fn host(number: u64) -> String {
    format!("10.0.0.{number}:80")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            now_ms: START_MS,
            requests: BTreeMap::new(),
            timers: Vec::new(),
            polling: Vec::new(),
            reconnecting: Vec::new(),
            started_ms: BTreeMap::new(),
            events: Vec::new(),
            last_id: 0,
            last_version: 0,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, name: String) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn push_event(&mut self, event: Value) {
        let kind = event["kind"].as_str().expect("a kind").to_owned();
        self.count(format!("event {kind}"));
        self.events.push(event);
    }

    /// Whether the current outage affects the server. It then establishes no connection, and fails most attempts.
    fn is_failing(&self, host: &str) -> bool {
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
        self.push_event(json!({"kind": "spawn", "who": who, "randomSeed": seed, "config": config}));
        // An instance starts with a cached list.
        self.update_list(who, 2);
    }

    fn define_list(&mut self, slot: u64, share: u64) {
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
        self.push_event(json!({"kind": "defineList", "slot": slot, "membersList": entries}));
    }

    /// Updates the endpoint list of an instance. Mode 0 is a delta, 1 a full list, 2 a cached list, 3 a failure of
    /// discovery.
    fn update_list(&mut self, who: u64, mode: u64) {
        self.last_version += 1;
        let slot = self.random.below(4);
        self.count(format!("event registry mode {mode}"));
        self.push_event(json!({"kind": "registry", "who": who, "mode": mode, "gen": self.last_version, "slot": slot}));
    }

    /// A request and its event, with the fields that `ask` and `takenOver` share.
    fn new_request(&mut self, kind: &str, who: u64, is_reconnect: bool) -> (String, Value) {
        self.last_id += 1;
        let id = format!(
            "{:016x}",
            self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ who
        );
        let timeout_ms = 300 + self.random.below(2000);
        let due_ms = self.now_ms + timeout_ms;
        let class = CLASSES[self.random.below(CLASSES.len() as u64) as usize];
        let mut opts = self.random.below(2);
        if self.random.below(12) == 0 {
            // In the middle of a flow.
            opts |= 8;
        }
        if is_reconnect {
            // The client reconnects.
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
        let request = SimulatedRequest {
            who,
            due_ms,
            attempted_ms: self.now_ms,
            attempts: 0,
            phase: Phase::Queued,
        };
        self.requests.insert(id.clone(), request);
        (id, event)
    }

    fn send_request(&mut self, who: u64, is_reconnect: bool) {
        let (_, event) = self.new_request("ask", who, is_reconnect);
        self.push_event(event);
    }

    /// Adds a connection that was established before the instance started.
    fn hand_over(&mut self, who: u64) {
        let (id, mut event) = self.new_request("takenOver", who, false);
        let host = host(self.random.below(SERVERS));
        event["host"] = json!(host);
        let request = self.requests.get_mut(&id).expect("just created");
        request.attempts = 1;
        request.phase = Phase::Established { host };
        self.push_event(event);
    }

    fn end_attempt(&mut self, id: &str, host: &str, status: &str, settled: bool) {
        let request = self.requests.get_mut(id).expect("a live request");
        let (who, shot) = (request.who, request.attempts - 1);
        let time_taken = (self.now_ms - request.attempted_ms) as f64 / 1000.0;
        request.phase = Phase::Queued;
        if settled {
            self.requests.remove(id);
        }
        self.count(format!("event done {status} settled {settled}"));
        self.push_event(
            json!({"kind": "done", "who": who, "ref": id, "status": status, "settled": settled,
            "timeTaken": time_taken, "shot": shot, "host": host, "load": {"cpu": 0.5}}),
        );
    }

    fn progress_request(&mut self, id: &str, request: &SimulatedRequest) {
        match &request.phase {
            Phase::Queued if self.now_ms > request.due_ms + CLIENT_DROP_MS => {
                self.disconnect_client(id)
            }
            Phase::Queued => {}
            Phase::InFlight { host, until } => self.progress_attempt(id, request, host, *until),
            Phase::Established { host } => self.progress_established(id, request, host),
        }
    }

    /// Continues an attempt in flight: it is established, fails or stays in flight.
    fn progress_attempt(&mut self, id: &str, request: &SimulatedRequest, host: &str, until: f64) {
        if self.now_ms as f64 / 1000.0 >= until {
            return self.end_attempt(id, host, "timeout", false);
        }
        let failing = self.is_failing(host);
        match self.random.below(100) {
            0..=34 if failing => {
                let status = STATUSES[1 + self.random.below(5) as usize];
                self.end_attempt(id, host, status, false);
            }
            0..=44 if !failing => {
                let time_taken = (self.now_ms - request.attempted_ms) as f64 / 1000.0;
                let live = self.requests.get_mut(id).expect("a live request");
                live.phase = Phase::Established {
                    host: host.to_owned(),
                };
                self.push_event(
                    json!({"kind": "underWay", "who": request.who, "ref": id, "host": host,
                    "shot": request.attempts - 1, "timeTaken": time_taken}),
                );
            }
            45..=48 => {
                let status = STATUSES[self.random.below(8) as usize];
                let settled = self.random.below(3) == 0;
                self.end_attempt(id, host, status, settled);
            }
            49..=51 => self.disconnect_client(id),
            _ => {}
        }
    }

    fn progress_established(&mut self, id: &str, request: &SimulatedRequest, host: &str) {
        match self.random.below(200) {
            0..=1 => {
                let status = STATUSES[self.random.below(8) as usize];
                self.end_attempt(id, host, status, true);
            }
            2 => {
                let status = ["reset", "cancelled", "error", "moot"][self.random.below(4) as usize];
                self.end_attempt(id, host, status, false);
            }
            3 => self.disconnect_client(id),
            4..=11 => {
                let level = 10_000 + 1000 * self.random.below(300);
                self.report(id, request, host, 1, level);
            }
            12..=14 => {
                // With the strictest `messageAim` of these settings, a server is busy from 20 ms on.
                let max_level = if self.is_failing(host) { 90 } else { 24 };
                let level = self.random.below(max_level);
                self.report(id, request, host, 2, level);
            }
            _ => {}
        }
    }

    /// Reports a load (topic 1, microseconds of work per second) or a message latency (topic 2, milliseconds).
    fn report(&mut self, id: &str, request: &SimulatedRequest, host: &str, topic: u64, level: u64) {
        self.count(format!("event signal topic {topic}"));
        self.push_event(
            json!({"kind": "signal", "who": request.who, "ref": id, "topic": topic, "host": host,
            "shot": request.attempts - 1, "level": level as f64}),
        );
    }

    fn disconnect_client(&mut self, id: &str) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.push_event(json!({"kind": "cancelledByClient", "who": request.who, "ref": id}));
    }

    fn fire_timers(&mut self) {
        let now = self.now_ms as f64 / 1000.0;
        let (due, later): (Vec<_>, Vec<_>) =
            self.timers.drain(..).partition(|timer| timer.0 <= now);
        self.timers = later;
        for (_, who, tag) in due {
            self.push_event(json!({"kind": "fired", "who": who, "tag": tag}));
        }
    }

    /// Adds events that no step causes: lists, connections established before the start, events without effect, and
    /// restarts of instances.
    fn add_external_events(&mut self) {
        let instances = configs().len() as u64;
        let who = self.random.below(instances);
        match self.random.below(200) {
            0..=3 => {
                let slot = self.random.below(4);
                self.define_list(slot, 12);
            }
            4..=7 => {
                let mode = self.random.below(2);
                self.update_list(who, mode);
            }
            8 => self.update_list(who, 3),
            9..=11 => self.hand_over(who),
            12..=13 => {
                let status = STATUSES[self.random.below(8) as usize];
                let host = host(self.random.below(SERVERS));
                self.push_event(
                    json!({"kind": "probed", "who": who, "host": host, "status": status, "timeTaken": 0.02}),
                );
            }
            14..=15 => {
                let sender = self.random.below(instances);
                self.push_event(
                    json!({"kind": "memo", "who": who, "sender": sender, "payload": "c3BhbnNwdXI="}),
                );
            }
            16 => self.push_event(json!({"kind": "fired", "who": who, "tag": 1u64 << 63})),
            17 if self.random.below(4) == 0 => {
                self.push_event(json!({"kind": "exit", "who": who}));
                self.requests.retain(|_, request| request.who != who);
                self.timers.retain(|timer| timer.1 != who);
                self.spawn(who);
            }
            _ => {}
        }
    }

    /// The line of the next batch.
    fn next_batch(&mut self, number: u64) -> String {
        self.now_ms += 5 + self.random.below(35);
        if number == 1 {
            (0..4).for_each(|slot| self.define_list(slot, 12));
            (0..configs().len() as u64).for_each(|who| self.spawn(who));
        }
        self.fire_timers();
        for who in std::mem::take(&mut self.polling) {
            let mode = [1, 1, 0, 3][self.random.below(4) as usize];
            self.update_list(who, mode);
        }
        let live: Vec<(String, SimulatedRequest)> = self
            .requests
            .iter()
            .map(|(id, request)| (id.clone(), request.clone()))
            .collect();
        for (id, request) in &live {
            self.progress_request(id, request);
        }
        for who in std::mem::take(&mut self.reconnecting) {
            self.send_request(who, true);
        }
        for who in 0..configs().len() as u64 {
            let live = live
                .iter()
                .filter(|(_, request)| request.who == who)
                .count();
            if live < MAX_LIVE_REQUESTS && self.random.below(3) == 0 {
                self.send_request(who, false);
            }
        }
        self.add_external_events();
        let happened = std::mem::take(&mut self.events);
        json!({"wall": self.now_ms as f64 / 1000.0, "n": number, "happened": happened}).to_string()
    }

    /// Lets clients, servers and timers react to a reply.
    fn apply_reply(&mut self, reply: &[u8]) {
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
                    if let Some(request) = self.requests.get_mut(id) {
                        let host = step["host"].as_str().expect("a host").to_owned();
                        let until = step["until"].as_f64().expect("a time");
                        request.attempts += 1;
                        request.attempted_ms = now_ms;
                        request.phase = Phase::InFlight { host, until };
                        let ordinal = if request.attempts > 1 {
                            "repeated"
                        } else {
                            "first"
                        };
                        self.count(format!("step relay {ordinal}"));
                    }
                }
                "shed" => {
                    let has_retry_after = step["holdOff"].as_f64().expect("a time") > 0.0;
                    self.count(format!("step shed with advice {has_retry_after}"));
                    self.requests.remove(id);
                }
                "finishError" => drop(self.requests.remove(id)),
                "goAway" => {
                    let request = self.requests.get(id).cloned();
                    if let Some(Phase::Established { host }) = request.map(|request| request.phase)
                    {
                        self.end_attempt(id, &host, "cancelled", true);
                        self.reconnecting.push(who);
                    }
                }
                "track" => self.polling.push(who),
                "setAlarm" => {
                    let after = step["in"].as_f64().expect("a time");
                    self.timers
                        .push((now + after, who, step["tag"].as_u64().expect("a tag")));
                }
                "withdraw" => {}
                other => panic!("unknown step: {other}"),
            }
        }
    }
}

#[test]
fn the_replies_to_a_seeded_stream_match_the_fixture() {
    println!("seed {SEED:#x}");
    let mut simulation = Simulation::new(SEED);
    let mut adapter = SimulatorAdapter::default();
    let (mut input, mut output, mut block) = (String::new(), Vec::new(), Vec::new());
    let mut text = String::new();
    for number in 1..=BATCHES {
        let line = simulation.next_batch(number);
        let reply = adapter
            .handle_batch(&line)
            .unwrap_or_else(|error| panic!("batch {number}: {error}\n{line}"));
        simulation.apply_reply(&reply);
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
    for (name, count) in &simulation.counts {
        let _ = writeln!(text, "{name}: {count}");
    }
    let _ = writeln!(
        text,
        "output: {} bytes, {:016x}",
        output.len(),
        xxh3_64(&output)
    );
    fixture::assert_text("simulator_stream.txt", &text);
    assert_all_kinds_occur(&simulation.counts);

    let mut served = Vec::new();
    serve(input.as_bytes(), &mut served).unwrap_or_else(|error| panic!("{error}"));
    assert!(
        served == output,
        "serving the whole stream gives other replies than serving it line by line"
    );
}

/// Checks that each kind of step and event occurs often enough for the stream to be a meaningful test.
fn assert_all_kinds_occur(counts: &BTreeMap<String, u64>) {
    let assert_count = |name: &str, minimum: u64| {
        let count = counts.get(name).copied().unwrap_or_default();
        assert!(count >= minimum, "{name}: {count}, fewer than {minimum}");
    };
    for (step, minimum) in [
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
        assert_count(&format!("step {step}"), minimum);
    }
    for (event, minimum) in [
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
        assert_count(&format!("event {event}"), minimum);
    }
    for status in STATUSES {
        assert_count(&format!("event done {status} settled true"), 20);
        assert_count(&format!("event done {status} settled false"), 20);
    }
}
