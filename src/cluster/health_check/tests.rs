//! Compares the encoded results of health checks and their keys with fixture files, so that instances of different
//! versions understand each other. The fixtures were written at commit 71566bd. `WRITE_FIXTURES=1` rewrites them, which
//! hides a change of the bytes.

use super::super::wire_fixtures::{self, Record};
use super::*;
use spanspur_cluster::{Cluster, NodeConfig};
use spanspur_leases::ranking::Ranking;
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use tokio::task::LocalSet;

#[test]
fn health_check_results_keep_their_bytes() {
    let results = [
        HealthCheckResult::Connected,
        HealthCheckResult::Answered { ms: 0 },
        HealthCheckResult::Answered { ms: 300 },
        HealthCheckResult::Answered { ms: u32::MAX },
        HealthCheckResult::Slow { ms: 0 },
        HealthCheckResult::Slow { ms: 300 },
        HealthCheckResult::Slow { ms: u32::MAX },
        HealthCheckResult::Refused,
        HealthCheckResult::TimedOut,
    ];
    let records = results.iter().enumerate().map(|(index, result)| {
        let bytes = postcard::to_stdvec(result).expect("the result encodes");
        Record::new(format!("found-{index}"), bytes)
    });
    let directory = env!("CARGO_MANIFEST_DIR");
    let fixtures = wire_fixtures::check(directory, "probe_results.txt", records.collect());
    for (result, fixture) in results.iter().zip(fixtures) {
        assert_eq!(
            HealthCheckResult::decode(&fixture.bytes).as_ref(),
            Ok(result)
        );
    }
}

fn node_config() -> NodeConfig {
    NodeConfig {
        identity: Identity {
            name: "balancer-1".into(),
            address: "127.0.0.1:0".parse().expect("a valid address"),
            incarnation: 1,
            refutations: 0,
        },
        keys: Keys(vec![Key::new(b"the secret of this test")]),
        seeds: Vec::new(),
        voters: vec!["balancer-1".into()],
        max_clock_skew: 500,
        probe_timing: ProbeTiming {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(1000),
        },
        ranking: Ranking(|_, _| 0.0),
        random_seed: 1,
    }
}

/// The health check of a server, at the only instance of a cluster.
async fn health_check_task(server: u64) -> HealthCheckTask {
    let (handle, _updates) = Cluster::start(node_config())
        .await
        .expect("the socket opens");
    HealthCheckTask {
        server: ServerId(server),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        settings: serde_json::from_str(r#"{"every_ms": 1000}"#).expect("valid settings"),
        instance: "balancer-1".into(),
        handle,
    }
}

/// The lease's id and the key of the result are hashes of the name.
#[test]
fn names_and_keys_of_health_checks_keep_their_values() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = LocalSet::new().block_on(&runtime, async {
        [
            health_check_task(0).await,
            health_check_task(300).await,
            health_check_task(u64::MAX).await,
        ]
    });
    let names = tasks.each_ref().map(|task| task.name());
    let expected = [
        "probe/0000000000000000",
        "probe/000000000000012c",
        "probe/ffffffffffffffff",
    ];
    assert_eq!(names, expected);
    let records = tasks.iter().enumerate().map(|(index, task)| {
        let key = task.result_key().to_le_bytes();
        Record::new(format!("key-{index}"), key.into())
    });
    wire_fixtures::check(
        env!("CARGO_MANIFEST_DIR"),
        "probe_keys.txt",
        records.collect(),
    );
}
