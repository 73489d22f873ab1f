//! The types of the file, a module for each section.
//!
//! The JSON schema is made from them: names of types and fields, doc comments of both and defaults appear in it as they
//! stand here, so changing one changes `deploy/operator.schema.json`.

mod cluster;
mod control;
mod distribute;
mod duties;
mod follow;
mod log;

pub use cluster::{Cluster, Pace};
pub use control::Control;
pub use distribute::Distribute;
pub use duties::{Duties, ListDuty, Probe};
pub use follow::{Follow, FollowedSource};
pub use log::{Log, LogFormat};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "spanspur, the operator's settings")]
pub struct OperatorConfig {
    /// How the log is written.
    pub log: Log,
    /// Where the sub-commands ask a running process. Off where missing.
    pub control: Option<Control>,
    /// The instances that know of each other. Off where missing.
    pub cluster: Option<Cluster>,
    /// What they do once a period together. Needs `cluster`.
    pub duties: Duties,
    /// Gives the list of servers to balancers outside the cluster. Needs `cluster` and `duties.list`. Off where
    /// missing.
    pub distribute: Option<Distribute>,
    /// Follows control instances for the list of servers. Not together with `cluster`. Off where missing.
    pub follow: Option<Follow>,
}
