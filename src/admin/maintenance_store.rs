//! The file of the servers under maintenance, in `$TMPDIR`.

use crate::invariants;
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_admin::maintenance_file::{MAX_FILE, MaintenanceFileError};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The longest part of the balancer's name that is in the name of the file, in characters.
const MAX_NAME: usize = 64;
/// Extension of the file.
const EXTENSION: &str = "outs";
/// Extension of a file that is set aside.
const INVALID_EXTENSION: &str = "outs.bad";

/// The place of the file; none without `$TMPDIR`, which is this balancer's alone.
#[derive(Clone)]
pub struct MaintenanceStore {
    path: Option<PathBuf>,
}

impl MaintenanceStore {
    /// The store of the balancer with this name.
    pub fn open(name: &str) -> Self {
        let directory = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
        let file_name = file_name(name);
        Self {
            path: directory.map(|directory| Path::new(&directory).join(file_name)),
        }
    }

    /// The path of something else that is kept beside the file.
    pub fn sibling_path(&self, extension: &str) -> Option<PathBuf> {
        let path = self.path.as_ref()?;
        Some(path.with_extension(extension))
    }

    /// Reads the file. One that is invalid is set aside: it never keeps the process from starting.
    pub fn read(&self) -> Option<MaintenanceSet> {
        let path = self.path.as_ref()?;
        let text = match read_limited(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(file = %path.display(), %error, "unreadable maintenance file ignored");
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

    /// Replaces the file: whoever reads it finds the old state or the new one. Blocks; not for the event loop's thread.
    ///
    /// # Errors
    /// If the file cannot be written or renamed.
    pub fn write(&self, maintenance: &MaintenanceSet) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let fresh = path.with_extension(format!("{EXTENSION}.{}", std::process::id()));
        let mut file = File::create(&fresh)?;
        file.write_all(maintenance.to_text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&fresh, path)?;
        // The new name is durable only with its directory.
        path.parent()
            .map_or(Ok(()), |directory| File::open(directory)?.sync_all())
    }
}

fn file_name(balancer: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = balancer.chars().take(MAX_NAME).map(plain).collect();
    format!("spanspur-{name}.{EXTENSION}")
}

/// Reads a file; of one that is too long only what shows that it is.
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
