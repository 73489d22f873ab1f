//! Versions derived from lease terms are accepted, and versions above the maximum are rejected.

use spanspur_distribution::store::{EntryError, EntryStore, MAX_VERSION};
use spanspur_leases::GossipEntry as Entry;
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{Clocks, InstanceId, LeaseConfig, LeaseId, LeaseManager, Output};
use std::collections::BTreeMap;

/// The first term that a single voter without state grants at this wall-clock time.
fn first_term(wall: u64) -> u64 {
    let voter = InstanceId(7);
    let config = LeaseConfig {
        instance: voter,
        incarnation: 1,
        voters: vec![voter],
        max_clock_skew: 1000,
        ranking: Ranking(|_, _| 1.0),
    };
    let now = |monotonic: u64| Clocks {
        monotonic,
        wall: wall + monotonic,
    };
    let mut instance = LeaseManager::new(now(1000), config);
    instance.configure(now(1000), &BTreeMap::from([(LeaseId(1), 4000)]));
    for monotonic in (1000..60_000).step_by(50) {
        instance.wake(now(monotonic));
        for output in instance.take_outputs() {
            if let Output::Granted(grant) = output {
                return grant.fencing_token;
            }
        }
    }
    panic!("no grant within a minute");
}

#[test]
fn versions_of_lease_terms_are_accepted_and_higher_ones_rejected() {
    // In November 2025 and at the end of 2099.
    for wall in [1_764_000_000_000, 4_102_444_799_000] {
        let version = first_term(wall) << 20 | ((1 << 20) - 1);
        let entry = Entry {
            key: 1,
            version,
            value: vec![1],
        };
        let mut store = EntryStore::default();
        assert_eq!(
            store.insert_if_newer(&entry),
            Ok(true),
            "version {version:x}"
        );
        let too_high = Entry {
            version: MAX_VERSION + 1,
            ..entry
        };
        assert_eq!(
            store.insert_if_newer(&too_high),
            Err(EntryError::InvalidVersion)
        );
    }
}
