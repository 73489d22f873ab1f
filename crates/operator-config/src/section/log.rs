//! Section `log`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Log output. `RUST_LOG` selects what is logged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Log format. Changes require a restart.
    pub format: LogFormat,
}

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Format")]
pub enum LogFormat {
    /// A line of text with fields per event.
    #[default]
    Text,
    /// A JSON object per line.
    Json,
}
