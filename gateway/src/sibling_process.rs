//! Whether another process of the same gateway runs beside this one, as it does during an upgrade.
//!
//! Each process holds a shared lock on one file for as long as it lives. The kernel releases it
//! with the process, however that ends, so a file that remains means nothing.

use std::fs::{File, OpenOptions};
use std::path::Path;

use rustix::fs::FlockOperation;
use rustix::process::{Flock, FlockType};

/// This process's mark: its shared lock on the file, if it could be taken.
pub struct ProcessMark(Option<File>);

impl ProcessMark {
    /// Takes the shared lock on a file, which is created if need be.
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

    /// The mark of a process without such a file, which takes itself to be alone.
    #[must_use]
    pub fn without_file() -> Self {
        ProcessMark(None)
    }

    /// Whether another process holds the lock.
    #[must_use]
    pub fn has_sibling(&self) -> bool {
        // What would prevent this process from taking the lock exclusively is another's shared one.
        let exclusive = Flock::from(FlockType::WriteLock);
        self.0.as_ref().is_some_and(|file| {
            matches!(rustix::process::fcntl_getlk(file, &exclusive), Ok(Some(_)))
        })
    }
}
