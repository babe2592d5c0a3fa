//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines to `record.txt`. Clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Begins a record in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written shows in its length.
        let _ = file.write_all(line.as_bytes());
    }
}
