//! Section `cluster`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_VOTERS, MIN_VOTERS, TAKEOVER_MARGIN_MS};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of probe intervals until a failed instance is suspected.
const DETECTION_PROBES: u64 = 3;

/// A cluster of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Name of this instance, which must be unique and stay the same after a restart. Defaults to the name of the
    /// balancer. Changes require a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Address on which datagrams of other instances are received. Changes require a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Addresses of other instances, which are contacted to join the cluster. Not all instances have to be listed.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// Names of the instances that vote on duties, the same list on all instances: an odd number, at least three. At
    /// most five of them vote on each duty. Changes require a restart of all instances.
    pub voters: Vec<String>,
    /// One or two secrets of the cluster, the same on all instances. Datagrams are signed with the first key and
    /// accepted with either key. To replace a key, add the new key as the second one on all instances, then move it to
    /// the first position on all instances, then remove the old key.
    pub keys: Vec<String>,
    /// Limit on the difference between the wall clocks of two instances, in milliseconds. A restarted instance votes on
    /// a duty again after this time plus 1.25 periods of the duty. Changes require a restart.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: u64,
    /// Timing of failure detection. Changes require a restart.
    #[serde(default)]
    pub pace: Pace,
}

fn default_clock_skew_ms() -> u64 {
    1000
}

/// Timing of failure detection between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pace {
    /// Interval in milliseconds at which each instance probes another one.
    pub probe_ms: u64,
    /// Timeout for the answer to a probe, in milliseconds.
    pub answer_ms: u64,
    /// Time in milliseconds after which a suspected instance that does not answer is considered failed.
    pub suspicion_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            probe_ms: 300,
            answer_ms: 100,
            suspicion_ms: 600,
        }
    }
}

impl Pace {
    /// Returns the time in milliseconds until another instance holds the lease of a failed one. The period of a duty
    /// must not be shorter.
    pub fn takeover_ms(&self) -> u64 {
        self.probe_ms
            .saturating_mul(DETECTION_PROBES)
            .saturating_add(self.suspicion_ms)
            .saturating_add(TAKEOVER_MARGIN_MS)
    }

    fn validate(&self, faults: &mut FaultCollector) {
        faults.require(
            self.answer_ms > 0 && self.probe_ms > self.answer_ms.saturating_mul(2),
            "cluster.pace.probe_ms",
            Problem::ProbeIntervalTooShort,
        );
        faults.require(
            self.suspicion_ms > 0,
            "cluster.pace.suspicion_ms",
            Problem::NotPositive,
        );
    }
}

impl Cluster {
    pub(crate) fn validate(&self, faults: &mut FaultCollector) {
        if let Some(name) = &self.name {
            faults.require_name("cluster.name", name);
        }
        self.validate_voters(faults);
        faults.require_keys("cluster.keys", &self.keys);
        let distinct_seeds: BTreeSet<_> = self.seeds.iter().collect();
        faults.require(
            distinct_seeds.len() == self.seeds.len(),
            "cluster.seeds",
            Problem::DuplicateSeed,
        );
        faults.require(
            self.listen.port() != 0,
            "cluster.listen",
            Problem::UnknownPort { peers: "others" },
        );
        faults.require_reachable("cluster.listen", self.listen);
        self.pace.validate(faults);
    }

    fn validate_voters(&self, faults: &mut FaultCollector) {
        for (index, voter) in self.voters.iter().enumerate() {
            let location = format!("cluster.voters[{index}]");
            faults.require_name(&location, voter);
            faults.require(
                !self.voters[..index].contains(voter),
                &location,
                Problem::DuplicateName {
                    name: voter.clone(),
                },
            );
        }
        let count = self.voters.len();
        let is_odd = count % 2 == 1;
        faults.require(
            is_odd && (MIN_VOTERS..=MAX_VOTERS).contains(&count),
            "cluster.voters",
            Problem::VoterCount { count },
        );
    }
}
