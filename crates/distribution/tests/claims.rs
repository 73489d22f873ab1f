//! Versions as the claims of today give them are believed, and those beyond are not.

use spanspur_distribution::store::{MAX_VERSION, Store, Unfit};
use spanspur_leases::GossipEntry as Entry;
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{Clocks, InstanceId, LeaseConfig, LeaseId, LeaseManager, Output};
use std::collections::BTreeMap;

/// The first period that a lone voter gives when its wall clock says this.
fn first_period(wall: u64) -> u64 {
    let me = InstanceId(7);
    let config = LeaseConfig {
        instance: me,
        incarnation: 1,
        voters: vec![me],
        max_clock_skew: 1000,
        ranking: Ranking(|_, _| 1.0),
    };
    let now = |mono: u64| Clocks {
        monotonic: mono,
        wall: wall + mono,
    };
    let mut instance = LeaseManager::new(now(1000), config);
    instance.configure(now(1000), &BTreeMap::from([(LeaseId(1), 4000)]));
    for mono in (1000..60_000).step_by(50) {
        instance.wake(now(mono));
        for output in instance.take_outputs() {
            if let Output::Granted(grant) = output {
                return grant.fencing_token;
            }
        }
    }
    panic!("no grant within a minute");
}

#[test]
fn versions_of_the_claims_are_believed() {
    // 2026, and the end of 2099.
    for wall in [1_764_000_000_000, 4_102_444_799_000] {
        let version = first_period(wall) << 20 | ((1 << 20) - 1);
        let entry = Entry {
            key: 1,
            version,
            value: vec![1],
        };
        let mut store = Store::default();
        assert_eq!(store.take(&entry), Ok(true), "version {version:x}");
        let absurd = Entry {
            version: MAX_VERSION + 1,
            ..entry
        };
        assert_eq!(store.take(&absurd), Err(Unfit::Version));
    }
}
