//! Zone identifiers: zones are compared by a hash of their names.

use crate::api::Key;

/// The identifier of the zone with this name: the lower 32 bits of the name's hash. `None` has the identifier of the
/// empty name.
pub fn zone_id(name: Option<&str>) -> u32 {
    Key::of(name.unwrap_or("")).0 as u32
}
