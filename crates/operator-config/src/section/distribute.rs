//! Section `distribute`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_RATE};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Distribution of the list of servers to balancers outside the cluster. An instance with this section is a control
/// instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Distribute {
    /// Address on which datagrams of followers are received. Changes require a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Zone of this control instance. Changes require a restart.
    pub zone: String,
    /// Region of this control instance. Changes require a restart.
    pub region: String,
    /// One or two secrets shared with the followers. They are replaced in the same way as `cluster.keys`, and default
    /// to them.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Limit on the datagrams with parts of the list that are sent to followers per second. Changes require a restart.
    #[serde(default = "default_rate")]
    pub rate: u32,
}

fn default_rate() -> u32 {
    4000
}

impl Distribute {
    pub(crate) fn validate(&self, faults: &mut FaultCollector) {
        faults.require_reachable("distribute.listen", self.listen);
        faults.require(
            self.listen.port() != 0,
            "distribute.listen",
            Problem::UnknownPort { peers: "followers" },
        );
        faults.require_name("distribute.zone", &self.zone);
        faults.require_name("distribute.region", &self.region);
        if !self.keys.is_empty() {
            faults.require_keys("distribute.keys", &self.keys);
        }
        faults.require(
            (1..=MAX_RATE).contains(&self.rate),
            "distribute.rate",
            Problem::RateOutOfRange { rate: self.rate },
        );
    }
}
