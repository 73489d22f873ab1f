//! The list of servers on its way from three control instances to six balancers outside their cluster, all real
//! processes on loopback: killed, frozen, cut off, restarted at once. What counts is the stand-in servers' and the
//! stand-in discovery's own record.

use spanspur_distribution::rate_limiter::RESERVATION_TOLERANCE;
use spanspur_fleet_rig::real::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_spanspur");
const CONTROLS: usize = 3;
const BALANCERS: usize = 6;
/// Ten pieces of rows, about.
const SERVERS: usize = 200;
/// Pieces a second that a control instance may give. Six balancers that start at once and all have the same first
/// source want sixty of it, so it binds.
const RATE: u64 = 20;
/// What may go at once, and the answer that is given whole when its place has come.
const BURST: u64 = 8 + 8;
const MAX_AGE: Duration = Duration::from_millis(2500);
/// A change is in force everywhere within this: asked for once a second, with room for a busy machine.
const IN_FORCE: Duration = Duration::from_secs(6);

struct Fleet {
    cluster: Cluster,
    servers: Vec<StubServer>,
    entries: Vec<String>,
    /// Where the balancers ask, apart from the control instances.
    outside: StubDiscovery,
    sources: Vec<SocketAddr>,
    opened: u64,
}

fn followers() -> std::ops::Range<usize> {
    CONTROLS..CONTROLS + BALANCERS
}

impl Fleet {
    fn new() -> Self {
        let servers = start_servers(SERVERS);
        let entries = serving_entries(&servers);
        let discovery = StubDiscovery::new(entries.clone());
        let outside = discovery.share_list();
        let duties = r#"{"list":{"every_ms":2500,"max_age_ms":1500}}"#;
        let mut cluster = Cluster::prepare(PROGRAM, CONTROLS + BALANCERS, discovery, duties);
        let sources: Vec<SocketAddr> = (0..CONTROLS).map(|_| free_address()).collect();
        for (i, listen) in sources.iter().enumerate() {
            let section = format!(
                r#""distribute":{{"listen":"{listen}","zone":"z{i}","region":"r","rate":{RATE},
                "keys":["a secret of the followers"]}}"#
            );
            cluster.sections.insert(i, section);
        }
        for i in followers() {
            cluster.non_members.insert(i, outside.clone());
        }
        let mut fleet = Self {
            cluster,
            servers,
            entries,
            outside,
            sources,
            opened: 0xa0000,
        };
        for i in followers() {
            fleet.follow(i, r#"["a secret of the followers"]"#, CONTROLS);
        }
        for i in 0..CONTROLS + BALANCERS {
            fleet.cluster.start(i);
        }
        fleet.rests("at its start");
        fleet
    }

    /// The section of a balancer.
    fn follow(&mut self, i: usize, keys: &str, sources: usize) {
        let at = |(n, address): (usize, &SocketAddr)| {
            format!(r#"{{"name":"n{n}","address":"{address}","zone":"z{n}","region":"r"}}"#)
        };
        let named: Vec<String> = self
            .sources
            .iter()
            .take(sources)
            .enumerate()
            .map(at)
            .collect();
        let section = format!(
            r#""follow":{{"listen":"127.0.0.1:0","zone":"z0","region":"r","keys":{keys},
            "sources":[{}],"max_age_ms":{}}}"#,
            named.join(","),
            MAX_AGE.as_millis()
        );
        self.cluster.sections.insert(i, section);
    }

    /// All balancers take the control instances' word and leave discovery alone.
    fn rests(&self, when: &str) {
        let rests = |i: usize| {
            let log = self.cluster.log(i);
            let on = log.rfind("discovery polling suspended: list confirmed by another instance");
            on.is_some() && on > log.rfind("discovery polling resumed: shared list is stale")
        };
        // After a change of hands all rows travel anew: none is still on its way.
        let same = || {
            let roots: Vec<serde_json::Value> = followers()
                .map(|i| self.status(i)["root"].clone())
                .collect();
            roots.iter().all(|root| root.is_u64() && *root == roots[0])
        };
        wait_until(&format!("all rest {when}"), || {
            followers().all(rests) && same()
        });
        // A call that was given up is seen by discovery a moment later.
        std::thread::sleep(Duration::from_millis(200));
    }

    /// A request for this key at a balancer: whether it came to this server.
    fn goes(&mut self, i: usize, key: &str, server: usize) -> bool {
        let before = self.servers[server].requests.load(Relaxed);
        self.opened += 1;
        assert_eq!(
            self.cluster.open_connection(i, self.opened, key),
            "UP r1\r\n",
            "instance {i}"
        );
        self.servers[server].requests.load(Relaxed) > before
    }

    /// A key that leads to this server at all balancers.
    fn key(&mut self, server: usize) -> String {
        let first = followers().start;
        let key = (0..4000).map(|n| format!("{n:016x}"));
        let key = key.into_iter().find(|key| self.goes(first, key, server));
        let key = key.expect("a key for each server");
        for i in followers() {
            assert!(
                self.goes(i, &key, server),
                "instance {i} places {key} elsewhere"
            );
        }
        key
    }

    fn tell(&mut self, server: usize, phase: &str) {
        self.entries[server] = self.servers[server].entry(phase);
        self.cluster.discovery.publish(self.entries.clone());
    }

    /// Drains a server and waits until no balancer sends anything new there.
    fn drains(&mut self, server: usize, when: &str) -> String {
        let key = self.key(server);
        let start = Instant::now();
        self.tell(server, "DRAINING");
        for i in followers() {
            while self.goes(i, &key, server) {
                let late = start.elapsed();
                assert!(
                    late < IN_FORCE,
                    "{when}: not in force at {i} after {late:?}"
                );
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        println!("{when}: in force at all after {:?}", start.elapsed());
        key
    }

    /// For so long nobody sends anything to a server that drained.
    fn stays_drained(&mut self, key: &str, server: usize, span: Duration, when: &str) {
        let start = Instant::now();
        while start.elapsed() < span {
            for i in followers() {
                assert!(!self.goes(i, key, server), "{when}: it went back at {i}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn calls(&self) -> usize {
        self.outside.polls.load(Relaxed)
    }

    /// What a follower says of itself.
    fn status(&self, i: usize) -> serde_json::Value {
        let answer = self.cluster.query(i, "changes").unwrap_or_default();
        answer["follower"]["status"].clone()
    }

    fn pieces(&self, i: usize) -> Option<u64> {
        let answer = self.cluster.query(i, "changes")?;
        assert_eq!(answer["source"]["rate"], RATE, "{answer}");
        Some(answer["counters"]["pieces"].as_u64().unwrap_or(0))
    }

    /// The control instance that watches discovery for all.
    fn leader(&self) -> usize {
        let answer = self.cluster.query(1, "duties").expect("an answer");
        let holder = answer["duties"][0]["holder"].as_str().map(str::to_owned);
        let holder = holder.unwrap_or_default();
        let found = self.cluster.names.iter().position(|name| *name == holder);
        found.unwrap_or_else(|| panic!("no holder: {answer}"))
    }
}

#[test]
fn changes_reach_six_balancers_whatever_becomes_of_three_control_instances() {
    let mut fleet = Fleet::new();

    // Through the control instances alone.
    let calls = fleet.calls();
    fleet.drains(0, "all well");
    fleet.drains(1, "all well");
    assert_eq!(fleet.calls(), calls, "calls of balancers that follow");
    shown(&fleet);

    // The one that watches discovery is killed.
    let leader = fleet.leader();
    fleet.cluster.kill(leader);
    fleet.drains(2, "one killed");
    std::thread::sleep(MAX_AGE);
    fleet.rests("without the one that was killed");
    let calls = fleet.calls();
    fleet.drains(3, "one dead");
    assert_eq!(
        fleet.calls(),
        calls,
        "calls of balancers that follow two of three"
    );
    fleet.cluster.start(leader);
    wait_until("it has all again", || {
        let answer = fleet.cluster.query(leader, "changes").unwrap_or_default();
        answer["source"]["status"]["age"]
            .as_u64()
            .is_some_and(|age| age < 1500)
    });

    // One is frozen while changes are made, and wakes with what it had.
    let frozen = (leader + 1) % CONTROLS;
    fleet.cluster.signal(frozen, "-STOP");
    let key = fleet.drains(4, "one frozen");
    fleet.cluster.signal(frozen, "-CONT");
    fleet.stays_drained(&key, 4, Duration::from_secs(2), "one woken");
    fleet.rests("after one woke");

    // One is cut off from the others, not from its followers, and goes on giving what it has.
    // It is the first source of them all.
    let cut = 0;
    let kept = std::mem::replace(
        &mut fleet.cluster.keys,
        r#"["a secret of nobody else"]"#.into(),
    );
    fleet.cluster.write_operator_config(cut);
    fleet.cluster.signal(cut, "-HUP");
    // If it watched discovery for all, its turn is over by then: what it has is old.
    std::thread::sleep(Duration::from_secs(3));
    let key = fleet.drains(5, "one cut off");
    // Its followers lose what they know, and ask it too.
    for i in followers() {
        fleet.cluster.kill(i);
    }
    let mut spent = Spent::default();
    spent.look(&fleet);
    let restarted = Instant::now();
    for i in followers() {
        fleet.cluster.start(i);
    }
    for i in followers() {
        wait_until("it listens", || {
            spent.look(&fleet);
            std::net::TcpStream::connect(fleet.cluster.listen_addresses[i]).is_ok()
        });
    }
    // Discovery's own word comes first, and what the one that is cut off has must not undo it.
    while restarted.elapsed() < Duration::from_secs(1) {
        spent.look(&fleet);
    }
    let full = |fleet: &Fleet| followers().all(|i| fleet.status(i)["full"] == true);
    while restarted.elapsed() < Duration::from_secs(4) || !full(&fleet) {
        assert!(restarted.elapsed() < Duration::from_secs(30), "not full");
        spent.look(&fleet);
        fleet.stays_drained(&key, 5, Duration::from_millis(1), "restarted, one cut off");
    }
    println!("six started at once: full before {:?}", restarted.elapsed());
    fleet.rests("after they were restarted");
    fleet.cluster.keys = kept;
    fleet.cluster.write_operator_config(cut);
    fleet.cluster.signal(cut, "-HUP");
    fleet.stays_drained(&key, 5, Duration::from_secs(2), "one healed");
    fleet.rests("after one was healed");

    // A section that is wrong is named, and what was there stays.
    let first = followers().start;
    let kept = fleet.cluster.sections[&first].clone();
    fleet.follow(first, r#"["short"]"#, 1);
    fleet.cluster.write_operator_config(first);
    fleet.cluster.signal(first, "-HUP");
    wait_until("the fault is logged", || {
        fleet.cluster.log(first).contains("not reloaded")
    });
    let log = fleet.cluster.log(first);
    for part in ["follow.keys[0]: shorter", "follow.sources: 1 sources"] {
        assert!(log.contains(part), "{part}");
    }
    fleet.cluster.sections.insert(first, kept);
    fleet.cluster.write_operator_config(first);
    fleet.drains(6, "one reloaded in vain");
    fleet.rests("after a reload in vain");
    let status = fleet.status(first);
    let sources = status["sources"].as_array().map_or(0, Vec::len);
    assert_eq!(
        (sources, &status["dark"]),
        (CONTROLS, &false.into()),
        "{status}"
    );

    // All are gone: the balancers go on, say how old what they have is, and ask discovery themselves.
    let key = fleet.key(7);
    let calls = fleet.calls();
    for i in 0..CONTROLS {
        fleet.cluster.kill(i);
    }
    assert!(followers().all(|i| fleet.goes(i, &key, 7)), "they go on");
    std::thread::sleep(MAX_AGE);
    wait_until("discovery is asked", || fleet.calls() >= calls + BALANCERS);
    fleet.drains(7, "all gone");
    for i in followers() {
        let status = fleet.status(i);
        let age = status["age"].as_u64();
        assert!(age > Some(MAX_AGE.as_millis() as u64), "{i}: {status}");
        wait_until("it is in the dark", || fleet.status(i)["dark"] == true);
    }
    let shown = fleet.cluster.query_as_text(first, "changes");
    assert!(shown.contains("in the dark"), "{shown}");
}

/// The sub-command at both ends, for people and programs.
fn shown(fleet: &Fleet) {
    let first = followers().start;
    let status = fleet.status(first);
    assert_eq!(
        (&status["full"], &status["dark"]),
        (&true.into(), &false.into()),
        "{status}"
    );
    assert!(
        status["age"].as_u64() < Some(MAX_AGE.as_millis() as u64),
        "{status}"
    );
    let entries = status["entries"].as_u64();
    assert_eq!(
        entries,
        Some(SERVERS as u64 + 1),
        "rows and their head: {status}"
    );
    let table = fleet.cluster.query_as_text(first, "changes");
    for part in ["follower", "age", "first", "second", "n0", "n1", "n2"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    // Each balancer has one first source, and all of them have confirmed the last changes.
    let in_force = |i: usize| {
        let answer = fleet.cluster.query(i, "changes").unwrap_or_default();
        let status = &answer["source"]["status"];
        let changes = status["changes"].as_array().map_or(0, Vec::len);
        let force = status["changes"][0]["after"].is_u64() && status["lagging"] == 0;
        (changes > 0 && force).then(|| status["first"].as_u64().unwrap_or(0))
    };
    wait_until("the last change is known to be in force", || {
        let firsts: Option<Vec<u64>> = (0..CONTROLS).map(in_force).collect();
        firsts.is_some_and(|firsts| firsts.iter().sum::<u64>() == BALANCERS as u64)
    });
    let table = fleet.cluster.query_as_text(0, "changes");
    for part in [
        "source",
        "in force",
        "after",
        "followers",
        "budget",
        "20 pieces a second",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
}

/// What the control instances had spent, and when, by their own count.
#[derive(Default)]
struct Spent(BTreeMap<usize, Vec<(Instant, u64)>>);

impl Spent {
    /// No span may have cost more than the rate and what may go at once.
    fn look(&mut self, fleet: &Fleet) {
        for i in 0..CONTROLS {
            let asked = Instant::now();
            let Some(pieces) = fleet.pieces(i) else {
                continue;
            };
            let told = Instant::now();
            let before = self.0.entry(i).or_default();
            for (from, earlier) in before.iter() {
                let span = told - *from;
                // A place in the schedule may be taken so much early or late.
                let span = span + Duration::from_millis(2 * RESERVATION_TOLERANCE);
                let most = (span.as_secs_f64() * RATE as f64) as u64 + BURST + 1;
                let spent = pieces - earlier;
                assert!(spent <= most, "control {i}: {spent} pieces in {span:?}");
            }
            before.push((asked, pieces));
        }
    }
}
