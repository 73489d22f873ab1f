//! Configuration: the file that `BALANCER_CONFIG` names and the `BALANCER_*` variables, validated and with defaults.
//!
//! `raw` has the types of the file, `settings` and `process` convert them to validated values, and each [`ConfigError`]
//! names the invalid key. The simulator's protocol shares the settings of the balancer.

mod error;
mod field;
mod process;
pub(crate) mod raw;
mod settings;

pub use error::{ConfigError, FieldError, SettingsError};
pub(crate) use field::{non_negative, required_field};
pub use process::{LoadReason, ProcessConfig};
pub(crate) use settings::BalancerSettings;
