//! Stores the servers under maintenance in a file in `$TMPDIR`.

use crate::invariants;
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_admin::maintenance_file::{MAX_FILE, MaintenanceFileError};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Limit on the characters of the balancer's name that are used in the file name.
const MAX_NAME: usize = 64;
/// Extension of the maintenance file.
const EXTENSION: &str = "outs";
/// Extension to which an invalid file is renamed.
const INVALID_EXTENSION: &str = "outs.bad";

/// Reads and writes the maintenance file. Without `$TMPDIR`, which is private to this balancer, nothing is stored.
#[derive(Clone)]
pub struct MaintenanceStore {
    path: Option<PathBuf>,
}

impl MaintenanceStore {
    /// Returns the store of the balancer with this name.
    pub fn open(name: &str) -> Self {
        let directory = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
        let file_name = file_name(name);
        Self {
            path: directory.map(|directory| Path::new(&directory).join(file_name)),
        }
    }

    /// Returns the path of the maintenance file with another extension, or `None` without `$TMPDIR`.
    pub fn sibling_path(&self, extension: &str) -> Option<PathBuf> {
        let path = self.path.as_ref()?;
        Some(path.with_extension(extension))
    }

    /// Reads the file, if there is one. An unreadable file is ignored, and an invalid one is also renamed: neither may
    /// prevent the process from starting.
    pub fn read(&self) -> Option<MaintenanceSet> {
        let path = self.path.as_ref()?;
        let text = match read_limited(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(file = %path.display(), %error, "cannot read the maintenance file, ignored");
                return None;
            }
        };
        match MaintenanceSet::parse(&text) {
            Ok(maintenance) => Some(maintenance),
            Err(error) => {
                set_aside(path, &error);
                None
            }
        }
    }

    /// Replaces the file atomically; does nothing without `$TMPDIR`. Blocking: must not run on the event loop's thread.
    ///
    /// # Errors
    /// If the file cannot be written or renamed.
    pub fn write(&self, maintenance: &MaintenanceSet) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let temporary = path.with_extension(format!("{EXTENSION}.{}", std::process::id()));
        let mut file = File::create(&temporary)?;
        file.write_all(maintenance.to_text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
        // The rename is durable only after the directory is synced.
        path.parent()
            .map_or(Ok(()), |directory| File::open(directory)?.sync_all())
    }
}

fn file_name(balancer: &str) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = balancer.chars().take(MAX_NAME).map(sanitize).collect();
    format!("spanspur-{name}.{EXTENSION}")
}

/// Reads a file up to one byte more than [`MAX_FILE`], so that a longer file is truncated and fails its checksum.
fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?
        .take(MAX_FILE + 1)
        .read_to_end(&mut text)?;
    Ok(text)
}

fn set_aside(path: &Path, error: &MaintenanceFileError) {
    invariants::count("invalid maintenance file");
    let aside = path.with_extension(INVALID_EXTENSION);
    let renamed = fs::rename(path, &aside);
    tracing::warn!(
        file = %path.display(),
        %error,
        aside = %aside.display(),
        ?renamed,
        "invalid maintenance file set aside"
    );
}
