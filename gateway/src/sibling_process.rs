//! Whether another process of the same front end runs beside this one, as it does during an upgrade.
//!
//! Each process holds a shared lock on one file for as long as it lives. The machine lets go of it with the
//! process, however that ends, so a file left behind means nothing.

use std::fs::{File, OpenOptions};
use std::path::Path;

use rustix::fs::FlockOperation;
use rustix::process::{Flock, FlockType};

/// This process's mark.
pub struct ProcessMark(Option<File>);

impl ProcessMark {
    /// Leaves the mark in a file. Where that can't be, this process takes itself to be alone.
    ///
    /// # Errors
    ///
    /// The file can't be used.
    pub fn enter(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        rustix::fs::fcntl_lock(&file, FlockOperation::NonBlockingLockShared)?;
        Ok(ProcessMark(Some(file)))
    }

    /// The presence of a process that has no such file.
    #[must_use]
    pub fn alone() -> Self {
        ProcessMark(None)
    }

    /// Whether another process holds its mark.
    #[must_use]
    pub fn other(&self) -> bool {
        // What would keep this process from locking the file for itself is another's mark.
        let all = Flock::from(FlockType::WriteLock);
        self.0
            .as_ref()
            .is_some_and(|file| matches!(rustix::process::fcntl_getlk(file, &all), Ok(Some(_))))
    }
}
