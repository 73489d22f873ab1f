//! Section `control`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Control socket of a running process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of the Unix socket, which only the owner of the process may open. Changes require a restart.
    pub socket: PathBuf,
}
