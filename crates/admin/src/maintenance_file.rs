//! The file of the servers under maintenance: a line with the kind of the file, its version and the checksum of the rest,
//! then JSON. The text also goes to the successor in a hot restart.

use crate::maintenance::{MAX_ENTRIES, MaintenanceEntry, MaintenanceSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest file that is read, in bytes.
pub const MAX_FILE: u64 = 2 * 1024 * 1024;
/// The version of the file.
const VERSION: u32 = 1;
/// The first words of the file.
const MAGIC: &str = "spanspur outs";

/// Why a file cannot be trusted.
#[derive(Debug, Error)]
pub enum MaintenanceFileError {
    /// The file is not UTF-8.
    #[error("it is not text")]
    NotText(#[source] std::str::Utf8Error),
    /// The first line has no end.
    #[error("it is cut off in its first line")]
    HeaderTruncated,
    /// The file does not begin with the words of such a file.
    #[error("it is no file of this kind")]
    OtherKind,
    /// The first line does not have its two fields.
    #[error("its first line is not whole")]
    InvalidHeader,
    /// The file has another version.
    #[error("it has version {found}, not {VERSION}")]
    OtherVersion {
        /// The version that the file names.
        found: String,
    },
    /// The rest of the file does not have the checksum of the first line.
    #[error("its checksum is wrong: it is cut off or damaged")]
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
    /// The text of the file.
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

    /// Parses the text of a file.
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
        let has_times = |(_, _, entry): &(String, u64, MaintenanceEntry)| {
            entry.detached_at.is_finite() && entry.changed_at.is_finite()
        };
        let entries = body.entries.into_iter().filter(has_times);
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
