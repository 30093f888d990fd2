//! Snapshots: saving the own one, and installing another replica's.

use serde::{Deserialize, Serialize};
use violetgate_raft::{Entry, Index, SnapshotMetadata, StorageWrite};

use crate::record::encode;
use crate::{Directory, RaftStorage, StorageError};

/// Snapshots are named by this and their last entry.
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Files that are being written end with this.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";

/// The content of a snapshot's file. It is stored by postcard: the order of the fields is the
/// format.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    pub(crate) metadata: SnapshotMetadata,
    pub(crate) state: Vec<u8>,
}

/// The file of a snapshot up to an entry.
pub(crate) fn snapshot_file(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016}")
}

/// The name that a file has while it is being written.
pub(crate) fn temporary_file(file: &str) -> String {
    format!("{file}{TEMPORARY_SUFFIX}")
}

impl<D: Directory> RaftStorage<D> {
    /// Saves a snapshot in place of the one before, and removes the segments that it covers.
    /// Entries after it stay.
    ///
    /// # Errors
    ///
    /// As for [`RaftStorage::write`]; the snapshot before is still valid.
    pub fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        state: &[u8],
    ) -> Result<(), StorageError> {
        self.ensure_usable()?;
        let record = encode(&StoredSnapshot {
            metadata: metadata.clone(),
            state: state.to_vec(),
        })?;
        self.replace_file(&snapshot_file(metadata.index), &record)?;
        let previous = std::mem::replace(&mut self.snapshot_index, metadata.index);
        if previous != metadata.index {
            // What can't be removed now is removed at the next start.
            let _ = self.directory.remove(&snapshot_file(previous));
        }
        self.remove_covered_segments(metadata.index);
        Ok(())
    }

    /// Installs another replica's snapshot in place of everything but the hard state. `following`
    /// are the entries after it that stay.
    ///
    /// # Errors
    ///
    /// As for [`RaftStorage::write`].
    pub fn install_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        state: &[u8],
        following: &[Entry],
    ) -> Result<(), StorageError> {
        self.save_snapshot(metadata, state)?;
        // From here on the log is what follows the snapshot: a record of its own removes the rest.
        self.write(&[StorageWrite {
            truncate_from: Some(0),
            append: following.to_vec(),
            ..StorageWrite::default()
        }])
    }

    /// Writes a file under a temporary name, and renames it once it is complete and durable.
    pub(crate) fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = temporary_file(file);
        let is_remnant = |files: Vec<String>| files.contains(&temporary);
        if self.directory.list().is_ok_and(is_remnant) {
            self.directory
                .remove(&temporary)
                .map_err(StorageError::WriteFailed)?;
        }
        if let Err(error) = self.directory.append(&temporary, bytes) {
            let _ = self.directory.remove(&temporary);
            return Err(StorageError::WriteFailed(error));
        }
        self.directory
            .sync(&temporary)
            .map_err(|e| self.fail_permanently(format!("{temporary}: sync: {e}")))?;
        self.directory
            .rename(&temporary, file)
            .map_err(|e| self.fail_permanently(format!("{temporary}: rename: {e}")))?;
        self.sync_directory()
    }
}
