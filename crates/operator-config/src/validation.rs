//! The rules of a file that its schema cannot express. Each section has its own; here is what they share, and the
//! rules between sections.

use crate::fault::{Fault, Faults, Problem};
use crate::section::{Cluster, Distribute, Duties, Follow, OperatorConfig};
use std::net::SocketAddr;

/// The least number of voters: fewer have no majority without one of them.
pub(crate) const MIN_VOTERS: usize = 3;
/// The limit on voters; as their number is odd, the largest is one less.
pub(crate) const MAX_VOTERS: usize = 64;
/// The shortest secret.
pub(crate) const MIN_KEY_CHARACTERS: usize = 16;
/// Secrets at one time: the one in use and its replacement.
pub(crate) const MAX_KEYS: usize = 2;
/// The longest name of an instance, zone or region.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// The least number of sources that a follower may choose from.
pub(crate) const MIN_SOURCES: usize = 2;
/// The largest number of sources that a follower may choose from.
pub(crate) const MAX_SOURCES: usize = 64;
/// The highest rate of a control instance, in pieces a second.
pub(crate) const MAX_RATE: u32 = 100_000;
/// The least age at which the endpoint list may count as too old: it is confirmed every few hundred milliseconds.
pub(crate) const MIN_LIST_AGE_MS: u64 = 1000;
/// The least age at which followed knowledge may count as too old: it is polled once a second.
pub(crate) const MIN_FOLLOWED_AGE_MS: u64 = 2500;
/// What a take-over takes besides the detection of a failure: to propose and to be granted a lease.
pub(crate) const TAKEOVER_MARGIN_MS: u64 = 500;
/// The longest line of a health check, and the longest beginning of an answer.
pub(crate) const MAX_PROBE_LINE_BYTES: usize = 1024;

/// Collects the faults of a file.
#[derive(Default)]
pub(crate) struct FaultCollector {
    faults: Vec<Fault>,
}

impl FaultCollector {
    /// Notes the problem at this place unless the rule holds.
    pub fn require(&mut self, holds: bool, place: impl Into<String>, problem: Problem) {
        if !holds {
            self.faults.push(Fault {
                place: place.into(),
                problem,
            });
        }
    }

    /// The text is the name of an instance, zone or region.
    pub fn require_name(&mut self, place: impl Into<String>, name: &str) {
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(char::is_whitespace);
        let name = name.to_owned();
        self.require(is_valid, place, Problem::InvalidName { name });
    }

    /// The keys are one secret or two, each long enough.
    pub fn require_keys(&mut self, place: &str, keys: &[String]) {
        let count = keys.len();
        self.require(
            (1..=MAX_KEYS).contains(&count),
            place,
            Problem::KeyCount { count },
        );
        for (index, key) in keys.iter().enumerate() {
            self.require(
                key.len() >= MIN_KEY_CHARACTERS,
                format!("{place}[{index}]"),
                Problem::ShortKey,
            );
        }
    }

    /// The address is told to others.
    pub fn require_reachable(&mut self, place: &str, address: SocketAddr) {
        self.require(
            !address.ip().is_unspecified(),
            place,
            Problem::UnreachableAddress,
        );
    }

    /// All that was collected, as an error unless there is nothing.
    pub fn finish(self) -> Result<(), Faults> {
        Faults::none_or(self.faults)
    }
}

/// Checks the rules of every section and between them.
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
    let taken = config.cluster.as_ref().map(|cluster| cluster.listen);
    faults.require(
        taken != Some(distribute.listen),
        "distribute.listen",
        Problem::AddressInUse,
    );
    distribute.validate(faults);
}

fn validate_without_cluster(duties: &Duties, faults: &mut FaultCollector) {
    let has_none = duties.probe.is_none() && duties.list.is_none();
    faults.require(has_none, "duties", Problem::DutiesNeedCluster);
}
