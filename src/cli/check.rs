//! `check`: validates a configuration file without a running process.

use super::CommandError;
use crate::config::{LoadReason, ProcessConfig};
use clap::Args;
use std::path::PathBuf;

/// What to check.
#[derive(Args)]
pub(super) struct Check {
    /// The operator's file.
    file: PathBuf,
    /// It is a balancer's configuration (as BALANCER_CONFIG names one) instead.
    #[arg(long)]
    config: bool,
}

impl Check {
    /// Prints that the file is valid, or fails with all that is wrong with it.
    pub fn run(&self) -> Result<(), CommandError> {
        let path = || self.file.clone();
        let text =
            std::fs::read_to_string(&self.file).map_err(|source| CommandError::UnreadableFile {
                path: path(),
                source,
            })?;
        if self.config {
            // The file alone is checked: no variable of the environment counts.
            ProcessConfig::parse(text.as_bytes(), LoadReason::Start, |_| None).map_err(
                |source| CommandError::InvalidConfig {
                    path: path(),
                    source,
                },
            )?;
        } else {
            spanspur_operator_config::parse(&text).map_err(|faults| {
                CommandError::FaultyOperatorFile {
                    path: path(),
                    faults,
                }
            })?;
        }
        println!("{}: no fault", self.file.display());
        Ok(())
    }
}
