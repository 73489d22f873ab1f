//! Rules of the file that its schema cannot express. This module has the shared checks and the rules between sections;
//! each section has its own rules.

use crate::fault::{Fault, Faults, Problem};
use crate::section::{Cluster, Distribute, Duties, Follow, OperatorConfig};
use std::net::SocketAddr;

/// Minimum number of voters. With fewer, the failure of one voter leaves no majority.
pub(crate) const MIN_VOTERS: usize = 3;
/// Limit on voters. Their number is odd, so the effective maximum is one less.
pub(crate) const MAX_VOTERS: usize = 64;
/// Minimum length of a secret, in bytes.
pub(crate) const MIN_KEY_BYTES: usize = 16;
/// Limit on keys: the one in use and its replacement.
pub(crate) const MAX_KEYS: usize = 2;
/// Limit on the name of an instance, zone or region, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Minimum number of sources of a follower.
pub(crate) const MIN_SOURCES: usize = 2;
/// Limit on the sources of a follower.
pub(crate) const MAX_SOURCES: usize = 64;
/// Limit on the rate of a control instance, in datagrams per second.
pub(crate) const MAX_RATE: u32 = 100_000;
/// Minimum for the age limit of the endpoint list, which is confirmed every few hundred milliseconds.
pub(crate) const MIN_LIST_AGE_MS: u64 = 1000;
/// Minimum for the age limit of a followed endpoint list, which is polled once a second.
pub(crate) const MIN_FOLLOWED_AGE_MS: u64 = 2500;
/// Time that a takeover takes after a failure is detected, in milliseconds: to propose a lease and to have it granted.
pub(crate) const TAKEOVER_MARGIN_MS: u64 = 500;
/// Limit on the line that a health check sends and on the expected prefix of the answer, in bytes.
pub(crate) const MAX_PROBE_LINE_BYTES: usize = 1024;

/// Collects the faults of a file.
#[derive(Default)]
pub(crate) struct FaultCollector {
    faults: Vec<Fault>,
}

impl FaultCollector {
    /// Adds a fault at this location unless `is_valid`.
    pub fn require(&mut self, is_valid: bool, location: impl Into<String>, problem: Problem) {
        if !is_valid {
            self.faults.push(Fault {
                location: location.into(),
                problem,
            });
        }
    }

    /// Requires that `name` is valid for an instance, zone or region.
    pub fn require_name(&mut self, location: impl Into<String>, name: &str) {
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(char::is_whitespace);
        let name = name.to_owned();
        self.require(is_valid, location, Problem::InvalidName { name });
    }

    /// Requires one or two keys that are long enough.
    pub fn require_keys(&mut self, location: &str, keys: &[String]) {
        let count = keys.len();
        self.require(
            (1..=MAX_KEYS).contains(&count),
            location,
            Problem::KeyCount { count },
        );
        for (index, key) in keys.iter().enumerate() {
            self.require(
                key.len() >= MIN_KEY_BYTES,
                format!("{location}[{index}]"),
                Problem::ShortKey,
            );
        }
    }

    /// Requires that the IP address is not the unspecified one, because others are told to send to it.
    pub fn require_reachable(&mut self, location: &str, address: SocketAddr) {
        self.require(
            !address.ip().is_unspecified(),
            location,
            Problem::UnreachableAddress,
        );
    }

    /// Returns the collected faults as an error, or `Ok` if there are none.
    pub fn finish(self) -> Result<(), Faults> {
        Faults::into_result(self.faults)
    }
}

/// Checks the rules of every section and those between sections.
pub(crate) fn validate(config: &OperatorConfig) -> Result<(), Faults> {
    let mut faults = FaultCollector::default();
    if let Some(follow) = &config.follow {
        validate_follow(follow, config.cluster.as_ref(), &mut faults);
    }
    if let Some(distribute) = &config.distribute {
        validate_distribute(distribute, config, &mut faults);
    }
    match &config.cluster {
        Some(cluster) => {
            cluster.validate(&mut faults);
            config.duties.validate(cluster, &mut faults);
        }
        None => validate_without_cluster(&config.duties, &mut faults),
    }
    faults.finish()
}

fn validate_follow(follow: &Follow, cluster: Option<&Cluster>, faults: &mut FaultCollector) {
    faults.require(cluster.is_none(), "follow", Problem::ExcludesCluster);
    follow.validate(faults);
}

fn validate_distribute(
    distribute: &Distribute,
    config: &OperatorConfig,
    faults: &mut FaultCollector,
) {
    faults.require(
        config.cluster.is_some(),
        "distribute",
        Problem::NeedsCluster,
    );
    faults.require(
        config.duties.list.is_some(),
        "distribute",
        Problem::NeedsListDuty,
    );
    let cluster_address = config.cluster.as_ref().map(|cluster| cluster.listen);
    faults.require(
        cluster_address != Some(distribute.listen),
        "distribute.listen",
        Problem::AddressInUse,
    );
    distribute.validate(faults);
}

fn validate_without_cluster(duties: &Duties, faults: &mut FaultCollector) {
    let has_none = duties.probe.is_none() && duties.list.is_none();
    faults.require(has_none, "duties", Problem::DutiesNeedCluster);
}
