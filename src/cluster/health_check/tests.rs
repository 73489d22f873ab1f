//! What probes find, in its bytes, compared with a fixture file. Written by the tree at 71566bd; rewriting it
//! (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

use super::super::wire_fixtures::{self, Record};
use super::*;
use spanspur_cluster::{Cluster, NodeConfig};
use spanspur_leases::ranking::Ranking;
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use tokio::task::LocalSet;

#[test]
fn what_a_probe_finds_keeps_its_bytes() {
    let found = [
        Probed::Up,
        Probed::Answered { ms: 0 },
        Probed::Answered { ms: 300 },
        Probed::Answered { ms: u32::MAX },
        Probed::Slow { ms: 0 },
        Probed::Slow { ms: 300 },
        Probed::Slow { ms: u32::MAX },
        Probed::Refused,
        Probed::Silent,
    ];
    let records = found.iter().enumerate().map(|(at, found)| {
        let bytes = postcard::to_stdvec(found).expect("encodes");
        Record::new(format!("found-{at}"), bytes)
    });
    let directory = env!("CARGO_MANIFEST_DIR");
    let golden = wire_fixtures::check(directory, "probe_results.txt", records.collect());
    for (found, golden) in found.iter().zip(golden) {
        assert_eq!(Probed::read(&golden.bytes).as_ref(), Ok(found));
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

/// The duty to probe a server, of an instance without others.
async fn probe_of(server: u64) -> ProbeDuty {
    let (handle, _news) = Cluster::start(setup()).await.expect("a free port");
    ProbeDuty {
        server: ServerId(server),
        address: "127.0.0.1:9".parse().expect("an address"),
        settings: serde_json::from_str(r#"{"every_ms": 1000}"#).expect("settings"),
        instance: "balancer-1".into(),
        handle,
    }
}

/// The name is hashed: into the duty's id and into the key on the board.
#[test]
fn the_names_and_keys_of_probes_stay() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let probes = LocalSet::new().block_on(&runtime, async {
        [
            probe_of(0).await,
            probe_of(300).await,
            probe_of(u64::MAX).await,
        ]
    });
    let names = probes.each_ref().map(|probe| probe.name());
    let expected = [
        "probe/0000000000000000",
        "probe/000000000000012c",
        "probe/ffffffffffffffff",
    ];
    assert_eq!(names, expected);
    let records = probes.iter().enumerate().map(|(at, probe)| {
        let key = probe.key().to_le_bytes();
        Record::new(format!("key-{at}"), key.into())
    });
    wire_fixtures::check(
        env!("CARGO_MANIFEST_DIR"),
        "probe_keys.txt",
        records.collect(),
    );
}
