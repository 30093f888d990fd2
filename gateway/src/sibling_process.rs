//! Detects whether another process of the same gateway is running, as during an upgrade.
//!
//! Each process holds a shared lock on one file for as long as it lives. The kernel releases the
//! lock when the process ends, even after a crash, so a file without a lock doesn't mean that a
//! process is running.

use std::fs::{File, OpenOptions};
use std::path::Path;

use rustix::fs::FlockOperation;
use rustix::process::{Flock, FlockType};

/// Marks this process as running: holds its shared lock on the file. `None` if no file is used.
pub struct ProcessMark(Option<File>);

impl ProcessMark {
    /// Opens or creates the file, and takes the shared lock on it.
    ///
    /// # Errors
    ///
    /// The file can't be opened or locked.
    pub fn acquire(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        rustix::fs::fcntl_lock(&file, FlockOperation::NonBlockingLockShared)?;
        Ok(ProcessMark(Some(file)))
    }

    /// Creates the mark of a process that has no such file. It never detects a sibling.
    #[must_use]
    pub fn without_file() -> Self {
        ProcessMark(None)
    }

    /// Whether another process holds the lock.
    #[must_use]
    pub fn has_sibling(&self) -> bool {
        // Asks whether an exclusive lock, which isn't taken, would conflict with another process's
        // shared lock. This process's own lock doesn't conflict.
        let exclusive = Flock::from(FlockType::WriteLock);
        self.0.as_ref().is_some_and(|file| {
            matches!(rustix::process::fcntl_getlk(file, &exclusive), Ok(Some(_)))
        })
    }
}
