//! The record of a run: what was sent, answered and run, with the time of each event.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates or replaces the file that the environment variable `RECORD` names.
    ///
    /// # Errors
    ///
    /// Fails if the variable is missing or the file can't be created.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::var("RECORD").map_err(std::io::Error::other)?;
        Ok(Record(Arc::new(Inner {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })))
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Adds a line, with the seconds since the start of the run before it.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
        let _ = file.flush();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
