//! The cordon file: the names of the engines that operators have cordoned, in a small file that the
//! processes of one gateway share and that outlasts them.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::fs::FlockOperation;

use crate::log;

/// A longer file is no list of engines.
const MAX_FILE_BYTES: u64 = 256 * 1024;
/// How often, and how many times, a lock that the other process holds is tried. It holds it for one
/// write; one that was stopped in the middle must not block this one too.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);
const LOCK_RETRIES: u32 = 50;

/// Names of engines.
pub type EngineNames = BTreeSet<String>;

/// A change of the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cordon {
    /// An engine is cordoned.
    Add,
    /// It no longer is.
    Remove,
}

/// The file, with a lock file beside it.
pub struct CordonFile {
    path: Option<PathBuf>,
}

impl CordonFile {
    /// The file at a path; without one, nothing is stored.
    #[must_use]
    pub fn new(path: Option<PathBuf>) -> Self {
        CordonFile { path }
    }

    /// The names in the file; `None`: there is no file.
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
            Ok(file) => file.take(MAX_FILE_BYTES).read_to_string(&mut text)?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        Ok(Some(serde_json::from_str(&text)?))
    }

    /// Adds a name or removes it, whatever the other process has changed meanwhile; the names in
    /// force then.
    ///
    /// A file that can't be read counts as `known`, which is what this process knows. One that
    /// can't be written is logged: the change is in force here all the same.
    pub fn update(&self, known: &EngineNames, name: &str, change: Cordon) -> EngineNames {
        let _lock = self.path.as_deref().and_then(|path| {
            lock_file(path)
                .inspect_err(|error| log_failure(path, error))
                .ok()
        });
        let stored = self.load().ok().flatten();
        let mut names = stored.unwrap_or_else(|| known.clone());
        match change {
            Cordon::Add => names.insert(name.to_owned()),
            Cordon::Remove => names.remove(name),
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

/// Prevents the other process from changing the file until the lock is dropped.
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

/// Writes to a file of its own and renames it, so that a reader sees all of it or what was there
/// before.
fn write(path: &Path, names: &EngineNames) -> std::io::Result<()> {
    let new = with_suffix(path, ".new");
    std::fs::write(&new, serde_json::to_vec(names)?)?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
