//! Shared duties among real processes on loopback: killed, frozen, cut off, reloaded. What counts is the stand-in
//! servers' own record.

use spanspur_fleet_rig::real::*;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(2000);
const PROGRAM: &str = env!("CARGO_BIN_EXE_spanspur");

#[test]
fn forty_duties_of_five_instances_that_are_killed_frozen_and_restarted() {
    let servers = start_servers(40);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(PROGRAM, 5, discovery, &probe_duties(EVERY));
    wait_until("every server is probed", || all_probed(&servers));
    let from = Instant::now();
    let pause = |periods: u32| std::thread::sleep(EVERY * periods);

    cluster.kill(0);
    pause(4);
    cluster.start(0);
    pause(3);
    // Frozen for three periods and more, then let go.
    cluster.signal(1, "-STOP");
    pause(4);
    cluster.signal(1, "-CONT");
    pause(2);
    // Two, 50 ms apart.
    cluster.kill(2);
    std::thread::sleep(Duration::from_millis(50));
    cluster.kill(3);
    pause(4);
    cluster.start(2);
    cluster.start(3);
    pause(3);
    // One leaves in order: its duties go on without a gap.
    cluster.signal(4, "-TERM");
    assert_eq!(cluster.wait_for_exit(4), Some(0));
    pause(2);

    let found = find_violations(&servers, EVERY, from, Instant::now());
    assert!(
        found.is_empty(),
        "{found:#?}\nlogs: {}",
        cluster.dir.display()
    );
    let answer = cluster.query(0, "duties").expect("an answer");
    let rows = answer["duties"].as_array().expect("rows");
    assert_eq!(rows.len(), 40);
    assert!(
        rows.iter()
            .all(|row| row["every_ms"] == 2000 && row["period"].as_u64() > Some(0))
    );
    let members = cluster.query(0, "members").expect("an answer");
    let alive = members["members"]
        .as_array()
        .expect("rows")
        .iter()
        .filter(|m| m["alive"] == true);
    assert_eq!(alive.count(), 4, "{members}");
    let shown = cluster.query_as_text(0, "duties");
    assert!(
        shown.contains("holder") && shown.contains("probe/"),
        "{shown}"
    );
}

#[test]
fn a_server_that_hangs_is_avoided_by_all_though_one_probed_it() {
    let servers = start_servers(2);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let cluster = Cluster::new(PROGRAM, 3, discovery, &probe_duties(EVERY));
    wait_until("every server is probed", || all_probed(&servers));
    // Found by its answers to clients: the key that leads to the first server.
    let key = (0..100).map(|n| format!("{n:016x}")).find(|key| {
        let before = servers[0].requests.load(Ordering::Relaxed);
        cluster.open_connection(0, 0xa000, key);
        servers[0].requests.load(Ordering::Relaxed) > before
    });
    let key = key.expect("a key for each server");
    servers[0].unresponsive.store(true, Ordering::Relaxed);
    // Within this the next probe comes, waits for its answer in vain, and tells all.
    std::thread::sleep(EVERY + Duration::from_millis(500));
    for i in 0..3 {
        let start = Instant::now();
        let answer = cluster.open_connection(i, 0xb000 + i as u64, &key);
        assert_eq!(answer, "UP r1\r\n", "instance {i}");
        // Whoever tries the silent server first waits for it for an aim or more.
        assert!(
            start.elapsed() < Duration::from_millis(400),
            "instance {i}: {:?}",
            start.elapsed()
        );
    }
    servers[0].unresponsive.store(false, Ordering::Relaxed);
    let before = servers[0].requests.load(Ordering::Relaxed);
    wait_until("it is used again", || {
        cluster.open_connection(1, 0xc000, &key);
        servers[0].requests.load(Ordering::Relaxed) > before
    });
}

#[test]
fn one_watches_discovery_for_all_and_the_rest_ask_when_its_news_is_old() {
    let servers = start_servers(3);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let duties = r#"{"list":{"every_ms":2500,"max_age_ms":1500}}"#;
    let mut cluster = Cluster::new(PROGRAM, 3, discovery.clone(), duties);
    let relieved = |cluster: &Cluster| -> Vec<usize> {
        (0..3)
            .filter(|i| {
                let log = cluster.log(*i);
                let on =
                    log.rfind("discovery polling suspended: list confirmed by another instance");
                on.is_some() && on > log.rfind("discovery polling resumed: shared list is stale")
            })
            .collect()
    };
    wait_until("two of three are relieved", || {
        relieved(&cluster).len() == 2
    });
    let others = relieved(&cluster);
    let leader = (0..3).find(|i| !others.contains(i)).expect("one watches");
    // A drain told to the one that watches is kept by all within 300 ms.
    let mut entries = serving_entries(&servers);
    entries[1] = servers[1].entry("DRAINING");
    entries.remove(2);
    discovery.publish(entries.clone());
    std::thread::sleep(Duration::from_millis(300));
    let told = [1, 2].map(|n: usize| servers[n].requests.load(Ordering::Relaxed));
    for i in 0..3 {
        for n in 0..8 {
            assert_eq!(
                cluster.open_connection(i, 0xd000 + n, &format!("{n:x}")),
                "UP r1\r\n",
                "instance {i}"
            );
        }
    }
    let after = [1, 2].map(|n: usize| servers[n].requests.load(Ordering::Relaxed));
    assert_eq!(told, after, "new work after a drain was told");
    // The one that watches dies: the others ask themselves once its news is too old, and one takes the duty.
    cluster.kill(leader);
    let again = |cluster: &Cluster| {
        let takes = |i: &&usize| {
            cluster
                .log(**i)
                .contains("list lease held: publishing the endpoint list")
        };
        others.iter().filter(takes).count()
    };
    wait_until("another one takes the watch", || again(&cluster) == 1);
    entries.push(servers[2].entry("SERVING"));
    entries[0] = servers[0].entry("DRAINING");
    discovery.publish(entries);
    std::thread::sleep(Duration::from_millis(2500));
    let before = servers[2].requests.load(Ordering::Relaxed);
    for i in &others {
        assert_eq!(
            cluster.open_connection(*i, 0xe000, "1"),
            "UP r1\r\n",
            "instance {i}"
        );
    }
    assert_eq!(
        servers[2].requests.load(Ordering::Relaxed) - before,
        others.len()
    );
}

#[test]
fn a_key_is_replaced_without_a_stop_and_a_bad_file_changes_nothing() {
    let servers = start_servers(3);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(PROGRAM, 3, discovery, &probe_duties(EVERY));
    wait_until("every server is probed", || all_probed(&servers));
    let from = Instant::now();
    let steps = [
        r#"["a secret of this test","another one, for later"]"#,
        r#"["another one, for later","a secret of this test"]"#,
        r#"["another one, for later"]"#,
    ];
    for keys in steps {
        cluster.keys = keys.into();
        for i in 0..3 {
            cluster.write_operator_config(i);
            cluster.signal(i, "-HUP");
            std::thread::sleep(Duration::from_millis(150));
        }
    }
    std::thread::sleep(EVERY * 3);
    // Too fast for a take-over, and a key that nobody knows: both are named, and all stays as it was.
    cluster.duties = probe_duties(EVERY).replace("\"every_ms\":2000", "\"every_ms\":900,\"odd\":1");
    cluster.write_operator_config(1);
    cluster.signal(1, "-HUP");
    wait_until("the fault is logged", || {
        cluster.log(1).contains("not reloaded")
    });
    assert!(
        cluster.log(1).contains("'odd' was unexpected"),
        "{}",
        cluster.log(1)
    );
    std::thread::sleep(EVERY * 2);
    let found = find_violations(&servers, EVERY, from, Instant::now());
    assert!(found.is_empty(), "{found:#?}");
    let counters = &cluster.query(2, "members").expect("an answer")["counters"];
    assert_eq!(counters["forged"].as_u64().unwrap_or(0), 0, "{counters}");
}

#[test]
fn without_an_operators_file_there_is_one_listener_and_no_datagram_socket() {
    let discovery = StubDiscovery::new(Vec::new());
    let listen = free_address();
    let config = std::env::temp_dir().join(format!("spanspur-off-{}.json", std::process::id()));
    let text = include_str!("../../examples/config.json")
        .replace("127.0.0.1:8000", &listen.to_string())
        .replace("127.0.0.1:8500", &discovery.address.to_string());
    std::fs::write(&config, text).expect("written");
    let mut child = std::process::Command::new(PROGRAM)
        .env("BALANCER_CONFIG", &config)
        .env_remove("SPANSPUR_OPERATOR")
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("it starts");
    wait_until("it listens", || {
        std::net::TcpStream::connect(listen).is_ok()
    });
    wait_until("it watches", || discovery.polls.load(Ordering::Relaxed) > 0);
    let proc = std::path::PathBuf::from(format!("/proc/{}", child.id()));
    let held: Vec<String> = std::fs::read_dir(proc.join("fd"))
        .expect("its descriptors")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|link| {
            let link = link.to_string_lossy().into_owned();
            Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let among = |table: &str, state: &str| {
        let table = std::fs::read_to_string(proc.join("net").join(table)).unwrap_or_default();
        let rows = table.lines().skip(1).filter(|row| row.contains(state));
        // Each socket once, by its inode: the table is read in pieces, and while others come and go a row may come twice.
        let inodes = rows.filter_map(|row| row.split_whitespace().nth(9));
        let own: BTreeSet<&str> = inodes
            .filter(|inode| held.iter().any(|h| h == inode))
            .collect();
        own.len()
    };
    // State 0A of a row is 'listens'.
    let found = (among("tcp", " 0A "), among("udp", ""), among("udp6", ""));
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(&config);
    assert_eq!(found, (1, 0, 0), "listeners and datagram sockets");
}

#[test]
fn check_names_every_fault() {
    let file = std::env::temp_dir().join(format!("spanspur-check-{}.json", std::process::id()));
    let text = format!(
        r#"{{"cluster":{{"listen":"{}","voters":["a","b"],"keys":["short"],"seed":[]}},
        "duties":{{"probe":{{"every_ms":100}}}}}}"#,
        free_address()
    );
    std::fs::write(&file, text.replace("\"seed\"", "\"seeds\"")).expect("written");
    let run = || {
        let done = std::process::Command::new(PROGRAM)
            .arg("check")
            .arg(&file)
            .output()
            .expect("it runs");
        (
            done.status.code(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    };
    let (code, told) = run();
    assert_eq!(code, Some(1));
    for part in [
        "cluster.voters: 2 voters",
        "cluster.keys[0]: shorter",
        "duties.probe.every_ms: 100 ms is less",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
    std::fs::write(&file, text).expect("written");
    assert!(run().1.contains("'seed' was unexpected"));
    let _ = std::fs::remove_file(&file);
}
