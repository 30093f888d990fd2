//! A directory in memory, for tests with disk failures.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

use violetgate_raft_storage::Directory;

/// A [`Directory`] in memory that fails on demand.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    pub files: BTreeMap<String, Vec<u8>>,
    /// The number of operations that still succeed before a crash. All later ones fail.
    pub operations_until_crash: Option<usize>,
    /// The free space in bytes; `None` if it is unlimited.
    pub free_bytes: Option<usize>,
    pub syncs_fail: bool,
}

impl Memory {
    fn count_operation(&mut self) -> Result<()> {
        match &mut self.operations_until_crash {
            Some(0) => Err(Error::other("crashed")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Directory for Memory {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.files
            .get(name)
            .cloned()
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        // A crash during an append writes the first half of the bytes.
        let result = self.count_operation();
        let fits = self
            .free_bytes
            .unwrap_or(usize::MAX)
            .min(if result.is_ok() {
                usize::MAX
            } else {
                bytes.len() / 2
            });
        let part = &bytes[..fits.min(bytes.len())];
        if self.operations_until_crash != Some(0) || result.is_err() {
            self.files
                .entry(name.to_owned())
                .or_default()
                .extend_from_slice(part);
        }
        result?;
        if let Some(free) = &mut self.free_bytes {
            *free -= part.len();
        }
        if part.len() < bytes.len() {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.count_operation()?;
        self.files.get_mut(name).unwrap().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> Result<()> {
        self.count_operation()?;
        if self.syncs_fail {
            Err(Error::other("sync"))
        } else {
            Ok(())
        }
    }
    fn sync_dir(&mut self) -> Result<()> {
        self.count_operation()
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.count_operation()?;
        let bytes = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), bytes);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.count_operation()?;
        self.files
            .remove(name)
            .map(drop)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}
