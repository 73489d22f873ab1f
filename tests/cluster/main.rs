//! Tests of duties shared by real processes on loopback that are killed, frozen (SIGSTOP), restarted and reloaded.
//! Most checks use what the stub servers recorded.

use spanspur_fleet_rig::real::*;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval of the probe duty.
const PROBE_INTERVAL: Duration = Duration::from_millis(2000);
const PROGRAM: &str = env!("CARGO_BIN_EXE_spanspur");

#[test]
fn forty_probe_duties_keep_their_interval_while_instances_are_killed_frozen_and_restarted() {
    let servers = start_servers(40);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(PROGRAM, 5, discovery, &probe_duties(PROBE_INTERVAL));
    wait_until("every server is probed", || all_probed(&servers));
    let from = Instant::now();
    let sleep_periods = |periods: u32| std::thread::sleep(PROBE_INTERVAL * periods);

    cluster.kill(0);
    sleep_periods(4);
    cluster.start(0);
    sleep_periods(3);
    // Frozen for four periods, then resumed.
    cluster.signal(1, "-STOP");
    sleep_periods(4);
    cluster.signal(1, "-CONT");
    sleep_periods(2);
    // Two instances are killed 50 ms apart.
    cluster.kill(2);
    std::thread::sleep(Duration::from_millis(50));
    cluster.kill(3);
    sleep_periods(4);
    cluster.start(2);
    cluster.start(3);
    sleep_periods(3);
    // One instance shuts down in an orderly way: others take over its duties without a gap.
    cluster.signal(4, "-TERM");
    assert_eq!(cluster.wait_for_exit(4), Some(0));
    sleep_periods(2);

    let violations = find_violations(&servers, PROBE_INTERVAL, from, Instant::now());
    assert!(
        violations.is_empty(),
        "{violations:#?}\nlogs: {}",
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
    let table = cluster.query_as_text(0, "duties");
    assert!(
        table.contains("holder") && table.contains("probe/"),
        "{table}"
    );
}

#[test]
fn a_hanging_server_is_avoided_by_all_instances_after_one_failed_probe() {
    let servers = start_servers(2);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let cluster = Cluster::new(PROGRAM, 3, discovery, &probe_duties(PROBE_INTERVAL));
    wait_until("every server is probed", || all_probed(&servers));
    // A key that is placed on the first server, found by sending requests.
    let key = (0..100).map(|n| format!("{n:016x}")).find(|key| {
        let before = servers[0].requests.load(Ordering::Relaxed);
        cluster.open_connection(0, 0xa000, key);
        servers[0].requests.load(Ordering::Relaxed) > before
    });
    let key = key.expect("a key for each server");
    servers[0].unresponsive.store(true, Ordering::Relaxed);
    // Long enough for the next probe to start, time out and be gossiped to all instances.
    std::thread::sleep(PROBE_INTERVAL + Duration::from_millis(500));
    for i in 0..3 {
        let start = Instant::now();
        let answer = cluster.open_connection(i, 0xb000 + i as u64, &key);
        assert_eq!(answer, "UP r1\r\n", "instance {i}");
        // An instance that tried the hanging server first would take longer, since it waits there for an answer.
        assert!(
            start.elapsed() < Duration::from_millis(400),
            "instance {i}: {:?}",
            start.elapsed()
        );
    }
    servers[0].unresponsive.store(false, Ordering::Relaxed);
    let before = servers[0].requests.load(Ordering::Relaxed);
    wait_until("the server is used again", || {
        cluster.open_connection(1, 0xc000, &key);
        servers[0].requests.load(Ordering::Relaxed) > before
    });
}

#[test]
fn one_instance_polls_discovery_for_all_and_the_others_poll_when_the_shared_list_is_stale() {
    let servers = start_servers(3);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let duties = r#"{"list":{"every_ms":2500,"max_age_ms":1500}}"#;
    let mut cluster = Cluster::new(PROGRAM, 3, discovery.clone(), duties);
    let suspended = |cluster: &Cluster| -> Vec<usize> {
        (0..3)
            .filter(|i| {
                let log = cluster.log(*i);
                let suspended_at =
                    log.rfind("discovery polling suspended: list confirmed by another instance");
                suspended_at.is_some()
                    && suspended_at > log.rfind("discovery polling resumed: shared list is stale")
            })
            .collect()
    };
    wait_until("two of three instances suspend polling", || {
        suspended(&cluster).len() == 2
    });
    let others = suspended(&cluster);
    let leader = (0..3)
        .find(|i| !others.contains(i))
        .expect("one instance polls");
    // A drain that the polling instance learns is in force on all instances within 300 ms.
    let mut entries = serving_entries(&servers);
    entries[1] = servers[1].entry("DRAINING");
    entries.remove(2);
    discovery.publish(entries.clone());
    std::thread::sleep(Duration::from_millis(300));
    let before = [1, 2].map(|n: usize| servers[n].requests.load(Ordering::Relaxed));
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
    assert_eq!(before, after, "requests to a draining or removed server");
    // The polling instance is killed: the others poll discovery themselves once the shared list is stale, and one of
    // them takes over the list lease.
    cluster.kill(leader);
    let publishers = |cluster: &Cluster| {
        let publishes = |i: &&usize| {
            cluster
                .log(**i)
                .contains("list lease held: publishing the endpoint list")
        };
        others.iter().filter(publishes).count()
    };
    wait_until("another instance takes over the list lease", || {
        publishers(&cluster) == 1
    });
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
fn keys_are_rotated_by_reload_without_a_gap_and_an_invalid_file_changes_nothing() {
    let servers = start_servers(3);
    let discovery = StubDiscovery::new(serving_entries(&servers));
    let mut cluster = Cluster::new(PROGRAM, 3, discovery, &probe_duties(PROBE_INTERVAL));
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
    std::thread::sleep(PROBE_INTERVAL * 3);
    // An interval that is too short for a takeover, and an unknown field: the reload is rejected, and the running
    // configuration stays.
    cluster.duties =
        probe_duties(PROBE_INTERVAL).replace("\"every_ms\":2000", "\"every_ms\":900,\"odd\":1");
    cluster.write_operator_config(1);
    cluster.signal(1, "-HUP");
    wait_until("the rejected reload is logged", || {
        cluster.log(1).contains("not reloaded")
    });
    assert!(
        cluster.log(1).contains("'odd' was unexpected"),
        "{}",
        cluster.log(1)
    );
    std::thread::sleep(PROBE_INTERVAL * 2);
    let violations = find_violations(&servers, PROBE_INTERVAL, from, Instant::now());
    assert!(violations.is_empty(), "{violations:#?}");
    let counters = &cluster.query(2, "members").expect("an answer")["counters"];
    assert_eq!(counters["forged"].as_u64().unwrap_or(0), 0, "{counters}");
}

#[test]
fn without_an_operator_file_there_is_one_listener_and_no_udp_socket() {
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
    wait_until("it polls discovery", || {
        discovery.polls.load(Ordering::Relaxed) > 0
    });
    let proc = std::path::PathBuf::from(format!("/proc/{}", child.id()));
    let own_inodes: Vec<String> = std::fs::read_dir(proc.join("fd"))
        .expect("its file descriptors")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|link| {
            let link = link.to_string_lossy().into_owned();
            Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let count_sockets = |table: &str, state: &str| {
        let table = std::fs::read_to_string(proc.join("net").join(table)).unwrap_or_default();
        let rows = table.lines().skip(1).filter(|row| row.contains(state));
        // Count each inode once: the kernel returns the table in several reads, and a row can appear twice if sockets
        // open or close in between.
        let inodes = rows.filter_map(|row| row.split_whitespace().nth(9));
        let own: BTreeSet<&str> = inodes
            .filter(|inode| own_inodes.iter().any(|o| o == inode))
            .collect();
        own.len()
    };
    // State 0A is LISTEN.
    let counts = (
        count_sockets("tcp", " 0A "),
        count_sockets("udp", ""),
        count_sockets("udp6", ""),
    );
    child.kill().expect("killed");
    child.wait().expect("ended");
    let _ = std::fs::remove_file(&config);
    assert_eq!(counts, (1, 0, 0), "TCP listeners, UDP and UDP6 sockets");
}

#[test]
fn check_reports_every_invalid_setting() {
    let file = std::env::temp_dir().join(format!("spanspur-check-{}.json", std::process::id()));
    let text = format!(
        r#"{{"cluster":{{"listen":"{}","voters":["a","b"],"keys":["short"],"seed":[]}},
        "duties":{{"probe":{{"every_ms":100}}}}}}"#,
        free_address()
    );
    std::fs::write(&file, text.replace("\"seed\"", "\"seeds\"")).expect("written");
    let run = || {
        let output = std::process::Command::new(PROGRAM)
            .arg("check")
            .arg(&file)
            .output()
            .expect("it runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let (code, stderr) = run();
    assert_eq!(code, Some(1));
    for part in [
        "cluster.voters: 2 voters",
        "cluster.keys[0]: shorter",
        "duties.probe.every_ms: 100 ms is less",
    ] {
        assert!(stderr.contains(part), "{part}: {stderr}");
    }
    std::fs::write(&file, text).expect("written");
    assert!(run().1.contains("'seed' was unexpected"));
    let _ = std::fs::remove_file(&file);
}
