//! The results of health checks in their bytes, compared with a fixture file. Written by the tree at 71566bd;
//! rewriting it (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

use super::super::wire_fixtures::{self, Record};
use super::*;
use spanspur_cluster::{Cluster, NodeConfig};
use spanspur_leases::ranking::Ranking;
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use tokio::task::LocalSet;

#[test]
fn health_check_results_keep_their_bytes() {
    let found = [
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
    let records = found.iter().enumerate().map(|(at, found)| {
        let bytes = postcard::to_stdvec(found).expect("encodes");
        Record::new(format!("found-{at}"), bytes)
    });
    let directory = env!("CARGO_MANIFEST_DIR");
    let golden = wire_fixtures::check(directory, "probe_results.txt", records.collect());
    for (found, golden) in found.iter().zip(golden) {
        assert_eq!(HealthCheckResult::decode(&golden.bytes).as_ref(), Ok(found));
    }
}

fn setup() -> NodeConfig {
    NodeConfig {
        identity: Identity {
            name: "balancer-1".into(),
            address: "127.0.0.1:0".parse().expect("an address"),
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

/// The task to check a server, of an instance without others.
async fn health_check_of(server: u64) -> HealthCheckTask {
    let (handle, _news) = Cluster::start(setup()).await.expect("a free port");
    HealthCheckTask {
        server: ServerId(server),
        address: "127.0.0.1:9".parse().expect("an address"),
        settings: serde_json::from_str(r#"{"every_ms": 1000}"#).expect("settings"),
        instance: "balancer-1".into(),
        handle,
    }
}

/// The name is hashed: into the lease's id and into the key of the result.
#[test]
fn the_names_and_keys_of_health_checks_stay() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = LocalSet::new().block_on(&runtime, async {
        [
            health_check_of(0).await,
            health_check_of(300).await,
            health_check_of(u64::MAX).await,
        ]
    });
    let names = tasks.each_ref().map(|task| task.name());
    let expected = [
        "probe/0000000000000000",
        "probe/000000000000012c",
        "probe/ffffffffffffffff",
    ];
    assert_eq!(names, expected);
    let records = tasks.iter().enumerate().map(|(at, task)| {
        let key = task.result_key().to_le_bytes();
        Record::new(format!("key-{at}"), key.into())
    });
    wire_fixtures::check(
        env!("CARGO_MANIFEST_DIR"),
        "probe_keys.txt",
        records.collect(),
    );
}
