//! The file under `$TMPDIR` that keeps which backends are taken out.

use crate::invariants;
use spanspur_admin::{maintenance::MaintenanceSet, maintenance_file::MAX_FILE};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Where it is; nowhere without `$TMPDIR`, which is this balancer's alone.
#[derive(Clone)]
pub struct MaintenanceStore {
    path: Option<PathBuf>,
}

impl MaintenanceStore {
    /// The file of the balancer with this name.
    pub fn open(name: &str) -> Self {
        let folder = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let name: String = name.chars().take(64).map(plain).collect();
        let file = |folder| Path::new(&folder).join(format!("spanspur-{name}.outs"));
        Self {
            path: folder.map(file),
        }
    }

    /// The path of something else that is kept beside it.
    pub fn beside(&self, extension: &str) -> Option<PathBuf> {
        self.path
            .as_ref()
            .map(|path| path.with_extension(extension))
    }

    /// What it holds. A file that cannot be trusted is set aside, and never a reason not to start.
    pub fn read(&self) -> Option<MaintenanceSet> {
        let path = self.path.as_ref()?;
        let text = match bytes(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                tracing::warn!(file = %path.display(), error = %e, "cannot be read, is left alone");
                return None;
            }
        };
        match MaintenanceSet::parse(&text) {
            Ok(outs) => Some(outs),
            Err(what) => {
                invariants::count("a file of servers taken out cannot be trusted");
                let aside = path.with_extension("outs.bad");
                let done = fs::rename(path, &aside);
                tracing::warn!(file = %path.display(), %what, aside = %aside.display(), ?done, "is set aside");
                None
            }
        }
    }

    /// Writes it whole: whoever reads finds the old state or the new one. Blocks; not for the runtime's thread.
    pub fn write(&self, outs: &MaintenanceSet) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let fresh = path.with_extension(format!("outs.{}", std::process::id()));
        let mut file = File::create(&fresh)?;
        file.write_all(outs.to_text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&fresh, path)?;
        // The name lasts only with its folder.
        path.parent()
            .map_or(Ok(()), |folder| File::open(folder)?.sync_all())
    }
}

fn bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?
        .take(MAX_FILE + 1)
        .read_to_end(&mut text)?;
    Ok(text)
}
