//! Validation of single fields, shared by the settings and the simulator's protocol.

use super::FieldError;

/// The value of a required field.
pub(crate) fn required_field<T>(value: Option<T>, field: &'static str) -> Result<T, FieldError> {
    value.ok_or(FieldError::Missing { field })
}

/// Checks that a number is finite and not negative.
pub(crate) fn non_negative(value: f64, field: &'static str) -> Result<f64, FieldError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(FieldError::OutOfRange { field, value })
}

/// Checks that a number is finite and not negative; `default` if it is absent.
pub(super) fn non_negative_or(
    value: Option<f64>,
    default: f64,
    field: &'static str,
) -> Result<f64, FieldError> {
    value.map_or(Ok(default), |value| non_negative(value, field))
}
