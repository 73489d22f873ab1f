//! The types of the file, with a module for each section.
//!
//! The JSON schema is generated from these types. It contains the names of types and fields, their doc comments and the
//! defaults, so a change to any of them changes `deploy/operator.schema.json`.

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

/// The operator's settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "spanspur, the operator's settings")]
pub struct OperatorConfig {
    /// Log output.
    pub log: Log,
    /// Control socket, on which subcommands query a running process. Disabled if missing.
    pub control: Option<Control>,
    /// The cluster that this instance is a member of. Disabled if missing.
    pub cluster: Option<Cluster>,
    /// Duties, each performed by one instance for the whole cluster. Requires `cluster`.
    pub duties: Duties,
    /// Distributes the list of servers to balancers outside the cluster. Requires `cluster` and `duties.list`. Disabled
    /// if missing.
    pub distribute: Option<Distribute>,
    /// Follows control instances for the list of servers. Excludes `cluster`. Disabled if missing.
    pub follow: Option<Follow>,
}
