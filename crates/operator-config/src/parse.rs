//! Parses and validates the operator's file.

use crate::fault::{Fault, Faults, Problem};
use crate::section::OperatorConfig;
use crate::validation::validate;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;

/// JSON pointers to secrets. Their values must not appear in messages.
const SECRETS: [&str; 3] = ["/cluster/keys", "/distribute/keys", "/follow/keys"];

/// Returns the JSON schema of the file, generated from its types.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

/// Parses and validates the text of a file.
///
/// # Errors
/// A single fault if the text is not JSON or a value cannot be converted to its type. Otherwise all violations of the
/// schema, or if there are none, all violations of the other rules.
pub fn parse(text: &str) -> Result<OperatorConfig, Faults> {
    let value =
        serde_json::from_str(text).map_err(|error| Faults::whole_file(Problem::NotJson(error)))?;
    check_schema(&value)?;
    // The schema does not check socket addresses. An invalid one is reported by serde.
    let config: OperatorConfig = serde_json::from_value(value)
        .map_err(|error| Faults::whole_file(Problem::Malformed(error)))?;
    validate(&config)?;
    Ok(config)
}

fn check_schema(value: &serde_json::Value) -> Result<(), Faults> {
    let validator = jsonschema::validator_for(&schema())
        .map_err(|error| Faults::whole_file(Problem::InvalidSchema(Box::new(error))))?;
    let mut faults = Vec::new();
    for error in validator.iter_errors(value) {
        collect_faults(&error, &mut faults);
    }
    Faults::into_result(faults)
}

/// Collects the faults behind a schema error. An optional section is `anyOf` its type and null: its faults are the
/// errors of the first branch, its type.
fn collect_faults(error: &ValidationError<'_>, faults: &mut Vec<Fault>) {
    if let ValidationErrorKind::AnyOf { context } = error.kind()
        && let Some(branch) = context.first().filter(|branch| !branch.is_empty())
    {
        return branch
            .iter()
            .for_each(|inner| collect_faults(inner, faults));
    }
    let pointer = error.instance_path().to_string();
    let is_secret = SECRETS.iter().any(|secret| pointer.starts_with(secret));
    let message = match is_secret {
        true => error.masked().to_string(),
        false => error.to_string(),
    };
    faults.push(Fault {
        location: location_of(&pointer),
        problem: Problem::SchemaViolation(message),
    });
}

/// Converts a JSON pointer to a location such as `cluster.keys[1]`.
fn location_of(pointer: &str) -> String {
    let mut location = String::new();
    for part in pointer.split('/').skip(1) {
        if part.parse::<usize>().is_ok() {
            location += &format!("[{part}]");
        } else {
            if !location.is_empty() {
                location.push('.');
            }
            location += part;
        }
    }
    location
}
