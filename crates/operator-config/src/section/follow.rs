//! Section `follow`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_SOURCES, MIN_FOLLOWED_AGE_MS, MIN_SOURCES};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A balancer outside the cluster that follows control instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    /// Name of this follower, which must be unique and stay the same after a restart. Defaults to the name of the
    /// balancer. Changes require a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Address on which responses are received. Port 0 selects a free port. Changes require a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Zone of this balancer. Changes require a restart.
    pub zone: String,
    /// Region of this balancer. Changes require a restart.
    pub region: String,
    /// One or two secrets shared with the sources, the same as their `distribute.keys` (or `cluster.keys`).
    pub keys: Vec<String>,
    /// At least two control instances, the same list on all followers. Two of them are followed: those in the
    /// balancer's zone are preferred, then those in its region. Changes require a restart.
    pub sources: Vec<FollowedSource>,
    /// Age limit of the list, in milliseconds. Once the list is older, the balancer polls discovery itself.
    pub max_age_ms: u64,
}

/// A control instance that can be followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FollowedSource {
    /// Name in the cluster.
    pub name: String,
    /// Address, as in its `distribute.listen`.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Zone of the control instance.
    pub zone: String,
    /// Region of the control instance.
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
            let location = format!("follow.sources[{index}]");
            source.validate(&location, &self.sources[..index], faults);
        }
        faults.require(
            self.max_age_ms >= MIN_FOLLOWED_AGE_MS,
            "follow.max_age_ms",
            Problem::FollowedAgeTooShort,
        );
    }
}

impl FollowedSource {
    fn validate(&self, location: &str, earlier: &[Self], faults: &mut FaultCollector) {
        let address = self.address;
        faults.require_name(format!("{location}.name"), &self.name);
        faults.require(
            earlier.iter().all(|other| other.name != self.name),
            format!("{location}.name"),
            Problem::DuplicateName {
                name: self.name.clone(),
            },
        );
        faults.require(
            earlier.iter().all(|other| other.address != address),
            format!("{location}.address"),
            Problem::DuplicateAddress { address },
        );
        faults.require(
            address.port() != 0 && !address.ip().is_unspecified(),
            format!("{location}.address"),
            Problem::InvalidDestination { address },
        );
        faults.require_name(format!("{location}.zone"), &self.zone);
        faults.require_name(format!("{location}.region"), &self.region);
    }
}
