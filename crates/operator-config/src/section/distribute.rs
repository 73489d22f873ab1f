//! Section `distribute`.

use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_RATE};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A control instance's part in the distribution of the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Distribute {
    /// Where it takes its followers' datagrams; changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Its zone; changes with a restart.
    pub zone: String,
    /// Its region; changes with a restart.
    pub region: String,
    /// The secrets that it shares with its followers, one or two, replaced as those of the cluster are; the cluster's
    /// where missing.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Pieces, of at most a datagram each, that it gives its followers in a second at most; changes with a restart.
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
