//! Reads the operator's file named on the command line.

use super::error::OperatorFileError;
use crate::cli::Serve;
use spanspur_operator_config::OperatorConfig;

/// Returns the operator's settings, or the defaults if no file is named.
///
/// # Errors
/// If the file cannot be read or is invalid.
pub fn read(options: &Serve) -> Result<OperatorConfig, OperatorFileError> {
    let Some(path) = &options.operator else {
        return Ok(OperatorConfig::default());
    };
    let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Unreadable {
        path: path.clone(),
        source,
    })?;
    spanspur_operator_config::parse(&text).map_err(|faults| OperatorFileError::Invalid {
        path: path.clone(),
        faults,
    })
}
