//! Section `control`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Where a running process can be asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// A Unix socket, which only the owner of the process may open; changes with a restart.
    pub socket: PathBuf,
}
