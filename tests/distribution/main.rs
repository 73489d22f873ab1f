//! Tests the distribution of the endpoint list from three control instances to six balancers outside their cluster.
//! All are real processes on loopback that are killed, frozen (SIGSTOP), cut off from the cluster and restarted
//! together. Most checks use what the stub servers and the stub discovery recorded.

use spanspur_distribution::rate_limiter::RESERVATION_TOLERANCE;
use spanspur_fleet_rig::real::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_spanspur");
const CONTROLS: usize = 3;
const BALANCERS: usize = 6;
/// The rows of this many servers take about ten pieces.
const SERVERS: usize = 200;
/// Pieces per second that a control instance may send. Six balancers that start together with the same first source
/// need sixty pieces from it, so the limit takes effect.
const RATE: u64 = 20;
/// Pieces that may be sent at once: the burst of the rate limit, plus one answer that is sent whole once its
/// reservation is due.
const BURST: u64 = 8 + 8;
const MAX_AGE: Duration = Duration::from_millis(2500);
/// Time within which a change must be in force on all balancers. Followers ask once per second; the rest is allowance
/// for a busy machine.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);

struct Fleet {
    cluster: Cluster,
    servers: Vec<StubServer>,
    entries: Vec<String>,
    /// The discovery that the balancers poll; it serves the same list as that of the control instances and counts
    /// its polls separately.
    balancer_discovery: StubDiscovery,
    sources: Vec<SocketAddr>,
    /// Number of the last opened connection.
    last_connection: u64,
}

fn followers() -> std::ops::Range<usize> {
    CONTROLS..CONTROLS + BALANCERS
}

impl Fleet {
    fn new() -> Self {
        let servers = start_servers(SERVERS);
        let entries = serving_entries(&servers);
        let discovery = StubDiscovery::new(entries.clone());
        let balancer_discovery = discovery.share_list();
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
            cluster.non_members.insert(i, balancer_discovery.clone());
        }
        let mut fleet = Self {
            cluster,
            servers,
            entries,
            balancer_discovery,
            sources,
            last_connection: 0xa0000,
        };
        for i in followers() {
            fleet.set_follow_section(i, r#"["a secret of the followers"]"#, CONTROLS);
        }
        for i in 0..CONTROLS + BALANCERS {
            fleet.cluster.start(i);
        }
        fleet.wait_until_polling_is_suspended("at its start");
        fleet
    }

    /// Sets the section `follow` of balancer `i`, with the first `sources` control instances.
    fn set_follow_section(&mut self, i: usize, keys: &str, sources: usize) {
        let source = |(n, address): (usize, &SocketAddr)| {
            format!(r#"{{"name":"n{n}","address":"{address}","zone":"z{n}","region":"r"}}"#)
        };
        let source_list: Vec<String> = self
            .sources
            .iter()
            .take(sources)
            .enumerate()
            .map(source)
            .collect();
        let section = format!(
            r#""follow":{{"listen":"127.0.0.1:0","zone":"z0","region":"r","keys":{keys},
            "sources":[{}],"max_age_ms":{}}}"#,
            source_list.join(","),
            MAX_AGE.as_millis()
        );
        self.cluster.sections.insert(i, section);
    }

    /// Waits until all balancers have suspended polling discovery and hold the same list.
    fn wait_until_polling_is_suspended(&self, when: &str) {
        let suspended = |i: usize| {
            let log = self.cluster.log(i);
            let suspended_at =
                log.rfind("discovery polling suspended: list confirmed by another instance");
            suspended_at.is_some()
                && suspended_at > log.rfind("discovery polling resumed: shared list is stale")
        };
        // A new list publisher makes all rows be sent again: wait until every balancer has received them.
        let same_root = || {
            let roots: Vec<serde_json::Value> = followers()
                .map(|i| self.follower_status(i)["root"].clone())
                .collect();
            roots.iter().all(|root| root.is_u64() && *root == roots[0])
        };
        wait_until(&format!("all balancers suspend polling {when}"), || {
            followers().all(suspended) && same_root()
        });
        // The stub discovery notices a cancelled poll a moment later.
        std::thread::sleep(Duration::from_millis(200));
    }

    /// Sends a request with `key` to balancer `i` and returns whether it reached `server`.
    fn reaches(&mut self, i: usize, key: &str, server: usize) -> bool {
        let before = self.servers[server].requests.load(Relaxed);
        self.last_connection += 1;
        assert_eq!(
            self.cluster.open_connection(i, self.last_connection, key),
            "UP r1\r\n",
            "instance {i}"
        );
        self.servers[server].requests.load(Relaxed) > before
    }

    /// Finds a key that all balancers place on `server`.
    fn find_key(&mut self, server: usize) -> String {
        let first = followers().start;
        let mut candidates = (0..4000).map(|n| format!("{n:016x}"));
        let key = candidates.find(|key| self.reaches(first, key, server));
        let key = key.expect("a key for each server");
        for i in followers() {
            assert!(
                self.reaches(i, &key, server),
                "instance {i} places {key} elsewhere"
            );
        }
        key
    }

    /// Publishes a new phase of `server` in both discoveries.
    fn publish_phase(&mut self, server: usize, phase: &str) {
        self.entries[server] = self.servers[server].entry(phase);
        self.cluster.discovery.publish(self.entries.clone());
    }

    /// Drains `server`, waits until no balancer sends new requests there and returns a key that was placed on it.
    fn drain(&mut self, server: usize, when: &str) -> String {
        let key = self.find_key(server);
        let start = Instant::now();
        self.publish_phase(server, "DRAINING");
        for i in followers() {
            while self.reaches(i, &key, server) {
                let elapsed = start.elapsed();
                assert!(
                    elapsed < MAX_CHANGE_DELAY,
                    "{when}: not in force on instance {i} after {elapsed:?}"
                );
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        println!(
            "{when}: in force on all balancers after {:?}",
            start.elapsed()
        );
        key
    }

    /// Asserts that for `span` no balancer sends a request with `key` to a drained server.
    fn assert_stays_drained(&mut self, key: &str, server: usize, span: Duration, when: &str) {
        let start = Instant::now();
        while start.elapsed() < span {
            for i in followers() {
                assert!(
                    !self.reaches(i, key, server),
                    "{when}: instance {i} uses the drained server again"
                );
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Polls of discovery by the balancers so far.
    fn balancer_polls(&self) -> usize {
        self.balancer_discovery.polls.load(Relaxed)
    }

    /// The status of follower `i` from its control socket; null if there is none.
    fn follower_status(&self, i: usize) -> serde_json::Value {
        let answer = self.cluster.query(i, "changes").unwrap_or_default();
        answer["follower"]["status"].clone()
    }

    /// Pieces that control instance `i` has sent; none if it does not answer.
    fn pieces_sent(&self, i: usize) -> Option<u64> {
        let answer = self.cluster.query(i, "changes")?;
        assert_eq!(answer["source"]["rate"], RATE, "{answer}");
        Some(answer["counters"]["pieces"].as_u64().unwrap_or(0))
    }

    /// The control instance that holds the list lease and polls discovery for all.
    fn list_holder(&self) -> usize {
        let answer = self.cluster.query(1, "duties").expect("an answer");
        let holder = answer["duties"][0]["holder"].as_str().map(str::to_owned);
        let holder = holder.unwrap_or_default();
        let index = self.cluster.names.iter().position(|name| *name == holder);
        index.unwrap_or_else(|| panic!("no known holder of the list lease: {answer}"))
    }
}

#[test]
fn changes_reach_six_balancers_while_three_control_instances_fail_in_turn() {
    let mut fleet = Fleet::new();

    // All control instances run: changes arrive without any balancer polling discovery.
    let polls = fleet.balancer_polls();
    fleet.drain(0, "all running");
    fleet.drain(1, "all running");
    assert_eq!(
        fleet.balancer_polls(),
        polls,
        "polls by balancers with three sources"
    );
    check_changes_output(&fleet);

    // The holder of the list lease is killed.
    let holder = fleet.list_holder();
    fleet.cluster.kill(holder);
    fleet.drain(2, "one killed");
    std::thread::sleep(MAX_AGE);
    fleet.wait_until_polling_is_suspended("without the killed instance");
    let polls = fleet.balancer_polls();
    fleet.drain(3, "one still down");
    assert_eq!(
        fleet.balancer_polls(),
        polls,
        "polls by balancers with two of three sources"
    );
    fleet.cluster.start(holder);
    wait_until("the restarted instance has a current list", || {
        let answer = fleet.cluster.query(holder, "changes").unwrap_or_default();
        answer["source"]["status"]["age"]
            .as_u64()
            .is_some_and(|age| age < 1500)
    });

    // One is frozen while a change is made, and resumes with its old list.
    let frozen = (holder + 1) % CONTROLS;
    fleet.cluster.signal(frozen, "-STOP");
    let key = fleet.drain(4, "one frozen");
    fleet.cluster.signal(frozen, "-CONT");
    fleet.assert_stays_drained(&key, 4, Duration::from_secs(2), "one resumed");
    fleet.wait_until_polling_is_suspended("after one resumed");

    // A different cluster key cuts one off from the other control instances but not from its followers, and it keeps
    // sending its old list. It is the first source of all balancers.
    let isolated = 0;
    let kept = std::mem::replace(
        &mut fleet.cluster.keys,
        r#"["a secret of nobody else"]"#.into(),
    );
    fleet.cluster.write_operator_config(isolated);
    fleet.cluster.signal(isolated, "-HUP");
    // If it held the list lease, the lease has expired after this: its list is old.
    std::thread::sleep(Duration::from_secs(3));
    let key = fleet.drain(5, "one cut off");
    // Its followers are restarted, so they have no list and ask it too.
    for i in followers() {
        fleet.cluster.kill(i);
    }
    let mut rate_check = RateCheck::default();
    rate_check.sample(&fleet);
    let restarted = Instant::now();
    for i in followers() {
        fleet.cluster.start(i);
    }
    for i in followers() {
        wait_until("it listens", || {
            rate_check.sample(&fleet);
            std::net::TcpStream::connect(fleet.cluster.listen_addresses[i]).is_ok()
        });
    }
    // The balancers get a list from discovery first, and the old list of the isolated instance must not replace it.
    while restarted.elapsed() < Duration::from_secs(1) {
        rate_check.sample(&fleet);
    }
    let all_full = |fleet: &Fleet| followers().all(|i| fleet.follower_status(i)["full"] == true);
    while restarted.elapsed() < Duration::from_secs(4) || !all_full(&fleet) {
        assert!(
            restarted.elapsed() < Duration::from_secs(30),
            "a follower has no full list"
        );
        rate_check.sample(&fleet);
        fleet.assert_stays_drained(&key, 5, Duration::from_millis(1), "restarted, one cut off");
    }
    println!(
        "six balancers restarted together: full lists after at most {:?}",
        restarted.elapsed()
    );
    fleet.wait_until_polling_is_suspended("after they were restarted");
    fleet.cluster.keys = kept;
    fleet.cluster.write_operator_config(isolated);
    fleet.cluster.signal(isolated, "-HUP");
    fleet.assert_stays_drained(&key, 5, Duration::from_secs(2), "one reconnected");
    fleet.wait_until_polling_is_suspended("after one reconnected");

    // An invalid section is reported on reload, and the running configuration stays.
    let first = followers().start;
    let kept = fleet.cluster.sections[&first].clone();
    fleet.set_follow_section(first, r#"["short"]"#, 1);
    fleet.cluster.write_operator_config(first);
    fleet.cluster.signal(first, "-HUP");
    wait_until("the rejected reload is logged", || {
        fleet.cluster.log(first).contains("not reloaded")
    });
    let log = fleet.cluster.log(first);
    for part in ["follow.keys[0]: shorter", "follow.sources: 1 sources"] {
        assert!(log.contains(part), "{part}");
    }
    fleet.cluster.sections.insert(first, kept);
    fleet.cluster.write_operator_config(first);
    fleet.drain(6, "after a rejected reload");
    fleet.wait_until_polling_is_suspended("after a rejected reload");
    let status = fleet.follower_status(first);
    let sources = status["sources"].as_array().map_or(0, Vec::len);
    assert_eq!(
        (sources, &status["dark"]),
        (CONTROLS, &false.into()),
        "{status}"
    );

    // All control instances are killed: the balancers keep serving, report the age of their list and poll discovery
    // themselves.
    let key = fleet.find_key(7);
    let polls = fleet.balancer_polls();
    for i in 0..CONTROLS {
        fleet.cluster.kill(i);
    }
    assert!(
        followers().all(|i| fleet.reaches(i, &key, 7)),
        "balancers serve without control instances"
    );
    std::thread::sleep(MAX_AGE);
    wait_until("discovery is polled", || {
        fleet.balancer_polls() >= polls + BALANCERS
    });
    fleet.drain(7, "all killed");
    for i in followers() {
        let status = fleet.follower_status(i);
        let age = status["age"].as_u64();
        assert!(age > Some(MAX_AGE.as_millis() as u64), "{i}: {status}");
        wait_until("it reports all sources disconnected", || {
            fleet.follower_status(i)["dark"] == true
        });
    }
    let table = fleet.cluster.query_as_text(first, "changes");
    assert!(table.contains("in the dark"), "{table}");
}

/// Checks the JSON and the table of the sub-command `changes` on a follower and on the sources.
fn check_changes_output(fleet: &Fleet) {
    let first = followers().start;
    let status = fleet.follower_status(first);
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
        "one entry per server and a header: {status}"
    );
    let table = fleet.cluster.query_as_text(first, "changes");
    for part in ["follower", "age", "first", "second", "n0", "n1", "n2"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    // Each balancer counts as a follower of its one first source, and all have confirmed the last change.
    let first_followers = |i: usize| {
        let answer = fleet.cluster.query(i, "changes").unwrap_or_default();
        let status = &answer["source"]["status"];
        let changes = status["changes"].as_array().map_or(0, Vec::len);
        let confirmed = status["changes"][0]["after"].is_u64() && status["lagging"] == 0;
        (changes > 0 && confirmed).then(|| status["first"].as_u64().unwrap_or(0))
    };
    wait_until("the last change is known to be in force", || {
        let firsts: Option<Vec<u64>> = (0..CONTROLS).map(first_followers).collect();
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

/// Pieces sent by each control instance over time, from its own counter. The instant is taken before the query.
#[derive(Default)]
struct RateCheck(BTreeMap<usize, Vec<(Instant, u64)>>);

impl RateCheck {
    /// Reads the counters and asserts that no span since an earlier sample exceeds the rate and the burst.
    fn sample(&mut self, fleet: &Fleet) {
        for i in 0..CONTROLS {
            let query_start = Instant::now();
            let Some(pieces) = fleet.pieces_sent(i) else {
                continue;
            };
            let query_end = Instant::now();
            let samples = self.0.entry(i).or_default();
            for (from, earlier) in samples.iter() {
                let span = query_end - *from;
                // A reservation may be used this much early or late.
                let span = span + Duration::from_millis(2 * RESERVATION_TOLERANCE);
                let limit = (span.as_secs_f64() * RATE as f64) as u64 + BURST + 1;
                let sent = pieces - earlier;
                assert!(sent <= limit, "control {i}: {sent} pieces in {span:?}");
            }
            samples.push((query_start, pieces));
        }
    }
}
