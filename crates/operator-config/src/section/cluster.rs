//! Section `cluster`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_VOTERS, MIN_VOTERS, TAKEOVER_MARGIN_MS};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Probe intervals until a dead instance is suspected at the latest.
const DETECTION_PROBES: u64 = 3;

/// A cluster of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// This instance's name, the same after a restart and like no other's; the balancer's name where missing.
    /// Changes with a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Where it takes the others' datagrams; changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where others may be found; some of them are enough.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The names of the instances that vote on duties, the same list at all instances: three or more, an odd
    /// number. Each duty is voted on by five of them. Changes with a restart of all instances.
    pub voters: Vec<String>,
    /// The cluster's secrets, alike at all instances, one or two. The first signs what is sent, both are taken:
    /// to replace a key, put the new one second everywhere, then first everywhere, then drop the old one.
    pub keys: Vec<String>,
    /// How far the instances' wall clocks may lie apart. A restarted instance votes again after this and a period.
    /// Changes with a restart.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: u64,
    /// How fast the instances look after each other; changes with a restart.
    #[serde(default)]
    pub pace: Pace,
}

fn default_clock_skew_ms() -> u64 {
    1000
}

/// How fast instances look after each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pace {
    /// Each instance looks at another one so often.
    pub probe_ms: u64,
    /// An answer takes no longer than this.
    pub answer_ms: u64,
    /// An instance that does not answer is held for gone after this.
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
    /// How long it takes, in milliseconds, until another instance has the lease of a dead one: no duty's period may be
    /// shorter.
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
            let place = format!("cluster.voters[{index}]");
            faults.require_name(&place, voter);
            faults.require(
                !self.voters[..index].contains(voter),
                &place,
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
