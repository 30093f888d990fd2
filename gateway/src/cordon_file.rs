//! The cordon file: stores the names of the engines that operators have cordoned. The processes of
//! one gateway share the file, and it survives a restart.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::fs::FlockOperation;

use crate::log;

/// The maximum size of the file, in bytes. Longer content is not written, and a longer file counts
/// as corrupt.
const MAX_FILE_BYTES: usize = 4 << 20;
/// The pause before the lock is tried again.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// The maximum number of retries; after them, the change is made without the lock. A process holds
/// the lock for one update. The limit prevents that a process that is stopped during its update
/// blocks the other process.
const LOCK_RETRIES: u32 = 50;

/// Names of engines as the event bus lists them.
pub type EngineNames = BTreeSet<String>;

/// A change of the cordon of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CordonChange {
    /// Cordons the engine.
    Add,
    /// Lifts the cordon.
    Remove,
}

/// The cordon file, with a lock file beside it.
pub struct CordonFile {
    path: Option<PathBuf>,
}

impl CordonFile {
    /// Creates a handle for the file at `path`. Without a path, nothing is stored.
    #[must_use]
    pub fn new(path: Option<PathBuf>) -> Self {
        CordonFile { path }
    }

    /// Reads the names from the file. Returns `None` if there is no file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or is corrupt.
    pub fn load(&self) -> std::io::Result<Option<EngineNames>> {
        let Some(path) = &self.path else {
            return Ok(None);
        };
        let mut text = String::new();
        match File::open(path) {
            Ok(file) => file.take(MAX_FILE_BYTES as u64).read_to_string(&mut text)?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        Ok(Some(serde_json::from_str(&text)?))
    }

    /// Adds or removes a name, preserves what the other process has changed meanwhile, and returns
    /// the names that are now cordoned.
    ///
    /// If the file is missing, corrupt or can't be read, the change is applied to `known`, the
    /// names that this process knows. If the file can't be locked, that is logged, and the change
    /// is made without the lock. If the file can't be written, that is logged, and the change takes
    /// effect in this process only.
    pub fn update(&self, known: &EngineNames, name: &str, change: CordonChange) -> EngineNames {
        let _lock = self.path.as_deref().and_then(|path| {
            lock_file(path)
                .inspect_err(|error| log_failure(path, error))
                .ok()
        });
        let stored = self.load().ok().flatten();
        let mut names = stored.unwrap_or_else(|| known.clone());
        match change {
            CordonChange::Add => names.insert(name.to_owned()),
            CordonChange::Remove => names.remove(name),
        };
        if let Some(path) = &self.path {
            let _ = write(path, &names).inspect_err(|error| log_failure(path, error));
        }
        names
    }
}

fn log_failure(path: &Path, error: &std::io::Error) {
    log::write_line(format_args!(
        "cordons are not stored: {}: {error}",
        path.display()
    ));
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

/// Locks the file, so that the other process can't change it until the lock is dropped.
fn lock_file(path: &Path) -> std::io::Result<File> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(with_suffix(path, ".lock"))?;
    let mut retries_left = LOCK_RETRIES;
    loop {
        match rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(file),
            Err(error) if error == rustix::io::Errno::WOULDBLOCK && retries_left > 0 => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(error) => return Err(error.into()),
        }
        retries_left -= 1;
    }
}

/// Writes the names to a new file and renames it over the old one, so that a reader sees either
/// the complete new content or the old one.
fn write(path: &Path, names: &EngineNames) -> std::io::Result<()> {
    let new = with_suffix(path, ".new");
    let text = serde_json::to_vec(names)?;
    if text.len() > MAX_FILE_BYTES {
        let length = text.len();
        let detail =
            format!("{length} bytes, {MAX_FILE_BYTES} at most: lift cordons of old engines");
        return Err(std::io::Error::new(
            std::io::ErrorKind::FileTooLarge,
            detail,
        ));
    }
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
