//! Snapshots: saves a snapshot of this replica, and installs one from another replica.

use serde::{Deserialize, Serialize};
use violetgate_raft::{Entry, Index, SnapshotMetadata, StorageWrite};

use crate::record::encode;
use crate::{Directory, RaftStorage, StorageError};

/// The prefix of a snapshot's file name, followed by the index of its last entry.
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";
/// The suffix of a file's name while the file is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";

/// The content of a snapshot's file. It is encoded by postcard, so the order of the fields is part
/// of the stored format.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    pub(crate) metadata: SnapshotMetadata,
    pub(crate) state: Vec<u8>,
}

/// Returns the file name of a snapshot up to the entry at `index`.
pub(crate) fn snapshot_file(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016}")
}

/// Returns the name that a file has while it is being written.
pub(crate) fn temporary_file(file: &str) -> String {
    format!("{file}{TEMPORARY_SUFFIX}")
}

impl<D: Directory> RaftStorage<D> {
    /// Replaces the previous snapshot, and removes the log segments that the new snapshot covers.
    /// The entries after the new snapshot are kept.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`RaftStorage::write`]. The previous snapshot stays valid.
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
            // A file that can't be removed now is removed at the next start.
            let _ = self.directory.remove(&snapshot_file(previous));
        }
        self.remove_covered_segments(metadata.index);
        Ok(())
    }

    /// Replaces the previous snapshot and the whole log by another replica's snapshot and the
    /// entries `following` it. The hard state is kept.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`RaftStorage::write`].
    pub fn install_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        state: &[u8],
        following: &[Entry],
    ) -> Result<(), StorageError> {
        self.save_snapshot(metadata, state)?;
        // This record removes all earlier entries, so that the log consists of `following`.
        self.write(&[StorageWrite {
            truncate_from: Some(0),
            append: following.to_vec(),
            ..StorageWrite::default()
        }])
    }

    /// Creates or replaces a file: writes it under a temporary name, and renames it once it is
    /// complete and durable.
    pub(crate) fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = temporary_file(file);
        let contains_temporary = |files: Vec<String>| files.contains(&temporary);
        if self.directory.list().is_ok_and(contains_temporary) {
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
