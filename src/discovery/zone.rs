//! Zone identifiers: a zone is compared by the hash of its name.

use crate::api::Key;

/// The identifier of the zone with this name. Endpoints without a zone share the zone of the empty name.
pub fn zone_id(name: Option<&str>) -> u32 {
    Key::of(name.unwrap_or("")).0 as u32
}
