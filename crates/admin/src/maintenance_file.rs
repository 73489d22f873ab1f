//! Format of the maintenance file: a header line with the file type, its version and the checksum of the rest, then
//! JSON. In a hot restart the successor receives the same text.

use crate::maintenance::{MAX_ENTRIES, MaintenanceEntry, MaintenanceSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Limit on the size of the file, in bytes.
pub const MAX_FILE: u64 = 2 * 1024 * 1024;
/// Version of the file format.
const VERSION: u32 = 1;
/// Text at the start of the file, which identifies its type.
const MAGIC: &str = "spanspur outs";

/// Why a file is rejected.
#[derive(Debug, Error)]
pub enum MaintenanceFileError {
    /// The file is not UTF-8.
    #[error("not valid UTF-8")]
    NotText(#[source] std::str::Utf8Error),
    /// The header line has no line end.
    #[error("the header line is truncated")]
    HeaderTruncated,
    /// The file does not start with the text that identifies its type.
    #[error("not a maintenance file")]
    OtherKind,
    /// The header line does not have its two fields.
    #[error("the header line must have a version and a checksum")]
    InvalidHeader,
    /// The file has an unsupported version.
    #[error("unsupported version {found}, expected {VERSION}")]
    OtherVersion {
        /// The version in the header line.
        found: String,
    },
    /// The checksum in the header line does not match the rest of the file.
    #[error("wrong checksum: the file is truncated or corrupted")]
    WrongChecksum,
    /// The rest of the file is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

#[derive(Serialize, Deserialize)]
struct Body {
    entries: Vec<(String, u64, MaintenanceEntry)>,
    #[serde(rename = "seen")]
    listed: Vec<u64>,
}

impl MaintenanceSet {
    /// Returns the text of the file.
    pub fn to_text(&self) -> String {
        let entries = self.entries();
        let body = Body {
            entries: entries
                .map(|(name, id, entry)| (name.to_owned(), id, entry))
                .collect(),
            listed: self.listed().collect(),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let checksum = blake3::hash(body.as_bytes()).to_hex();
        format!("{MAGIC} {VERSION} {checksum}\n{body}")
    }

    /// Parses the text of a file. Entries whose times are not finite are ignored, as are those after the first
    /// [`MAX_ENTRIES`].
    ///
    /// # Errors
    /// If the text is not a complete maintenance file of this version.
    pub fn parse(text: &[u8]) -> Result<Self, MaintenanceFileError> {
        let text = str::from_utf8(text).map_err(MaintenanceFileError::NotText)?;
        let (header, body) = text
            .split_once('\n')
            .ok_or(MaintenanceFileError::HeaderTruncated)?;
        check_header(header, body)?;
        Ok(Self::from_body(serde_json::from_str(body)?))
    }

    fn from_body(body: Body) -> Self {
        let mut set = Self::default();
        let has_finite_times = |(_, _, entry): &(String, u64, MaintenanceEntry)| {
            entry.detached_at.is_finite() && entry.changed_at.is_finite()
        };
        let entries = body.entries.into_iter().filter(has_finite_times);
        for (name, id, entry) in entries.take(MAX_ENTRIES) {
            set.insert(&name, id, entry);
        }
        body.listed.into_iter().for_each(|id| set.record_listed(id));
        set
    }
}

fn check_header(header: &str, body: &str) -> Result<(), MaintenanceFileError> {
    let fields = header
        .strip_prefix(MAGIC)
        .ok_or(MaintenanceFileError::OtherKind)?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let [version, checksum] = fields[..] else {
        return Err(MaintenanceFileError::InvalidHeader);
    };
    if version != VERSION.to_string() {
        let found = version.to_owned();
        return Err(MaintenanceFileError::OtherVersion { found });
    }
    if checksum != blake3::hash(body.as_bytes()).to_hex().as_str() {
        return Err(MaintenanceFileError::WrongChecksum);
    }
    Ok(())
}
