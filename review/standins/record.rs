//! The record of a run: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("record.txt can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Seconds since the start of the run.
pub fn now() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

pub fn line(text: impl AsRef<str>) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(
            file,
            "{:9.3} {}",
            start.elapsed().as_secs_f64(),
            text.as_ref()
        );
    }
}

/// Copies text without a time in front, for logs that have their own.
pub fn copy(text: &str) {
    if let Some((_, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{text}");
    }
}
