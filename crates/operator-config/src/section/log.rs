//! Section `log`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the log is written. What is written is chosen by `RUST_LOG`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form; changes with a restart.
    pub format: LogFormat,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Format")]
pub enum LogFormat {
    /// A line of text with fields.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}
