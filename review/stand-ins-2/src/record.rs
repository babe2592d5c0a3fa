//! What was sent, answered and run, in the order in which it happened.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = std::fs::File::create(folder.join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now().as_secs_f64());
    }

    /// As [`Record::note`], and on standard output.
    pub fn tell(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.note(text);
    }
}
