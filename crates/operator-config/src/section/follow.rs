//! Section `follow`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_SOURCES, MIN_FOLLOWED_AGE_MS, MIN_SOURCES};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A balancer's part in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    /// This balancer's name, the same after a restart and like no other's; the balancer's own where missing. Changes
    /// with a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Where it takes the answers; port 0 takes one that is free. Changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Its zone; changes with a restart.
    pub zone: String,
    /// Its region; changes with a restart.
    pub region: String,
    /// The secrets that it shares with its sources, one or two, as `distribute.keys` (or `cluster.keys`) has them there.
    pub keys: Vec<String>,
    /// The control instances, two or more, the same list everywhere. It follows two of them: its own zone's first,
    /// then its region's. Changes with a restart.
    pub sources: Vec<FollowedSource>,
    /// Once what it knows is older than this it asks discovery itself.
    pub max_age_ms: u64,
}

/// A control instance that can be followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FollowedSource {
    /// Its name in the cluster.
    pub name: String,
    /// Its `distribute.listen`.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

impl Follow {
    pub(crate) fn validate(&self, faults: &mut FaultCollector) {
        if let Some(name) = &self.name {
            faults.require_name("follow.name", name);
        }
        faults.require_reachable("follow.listen", self.listen);
        faults.require_name("follow.zone", &self.zone);
        faults.require_name("follow.region", &self.region);
        faults.require_keys("follow.keys", &self.keys);
        let count = self.sources.len();
        faults.require(
            (MIN_SOURCES..=MAX_SOURCES).contains(&count),
            "follow.sources",
            Problem::SourceCount { count },
        );
        for (index, source) in self.sources.iter().enumerate() {
            let place = format!("follow.sources[{index}]");
            source.validate(&place, &self.sources[..index], faults);
        }
        faults.require(
            self.max_age_ms >= MIN_FOLLOWED_AGE_MS,
            "follow.max_age_ms",
            Problem::FollowedAgeTooShort,
        );
    }
}

impl FollowedSource {
    fn validate(&self, place: &str, earlier: &[Self], faults: &mut FaultCollector) {
        let address = self.address;
        faults.require_name(format!("{place}.name"), &self.name);
        faults.require(
            earlier.iter().all(|other| other.name != self.name),
            format!("{place}.name"),
            Problem::DuplicateName {
                name: self.name.clone(),
            },
        );
        faults.require(
            earlier.iter().all(|other| other.address != address),
            format!("{place}.address"),
            Problem::DuplicateAddress { address },
        );
        faults.require(
            address.port() != 0 && !address.ip().is_unspecified(),
            format!("{place}.address"),
            Problem::InvalidDestination { address },
        );
        faults.require_name(format!("{place}.zone"), &self.zone);
        faults.require_name(format!("{place}.region"), &self.region);
    }
}
