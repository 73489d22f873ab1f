//! From the text of a file to its validated types.

use crate::fault::{Fault, Faults, Problem};
use crate::section::OperatorConfig;
use crate::validation::validate;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;

/// Places that hold secrets, as JSON pointers: their values stay out of messages.
const SECRETS: [&str; 3] = ["/cluster/keys", "/distribute/keys", "/follow/keys"];

/// The JSON schema of the file, made from its types.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

/// Reads the text of a file.
///
/// # Errors
/// All faults that can be found: those of the schema, or where there are none, those of the other rules.
pub fn parse(text: &str) -> Result<OperatorConfig, Faults> {
    let value =
        serde_json::from_str(text).map_err(|error| Faults::whole_file(Problem::NotJson(error)))?;
    check_schema(&value)?;
    // The schema knows no socket addresses: serde names the one at fault.
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
    Faults::none_or(faults)
}

/// Names the faults behind an error of the schema. A section that may be missing is 'anyOf' its type and null: its
/// faults are those that its type finds.
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
        place: place_of(&pointer),
        problem: Problem::SchemaViolation(message),
    });
}

/// The place that a JSON pointer names, as `cluster.keys[1]`.
fn place_of(pointer: &str) -> String {
    let mut place = String::new();
    for part in pointer.split('/').skip(1) {
        if part.parse::<usize>().is_ok() {
            place += &format!("[{part}]");
        } else {
            if !place.is_empty() {
                place.push('.');
            }
            place += part;
        }
    }
    place
}
