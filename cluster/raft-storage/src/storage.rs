//! The storage of one replica: its creation, and its state after a permanent failure.

use violetgate_raft::{HardState, Index, SnapshotMetadata};

use crate::identity::IDENTITY_FILE;
use crate::record::encode;
use crate::segment::Segment;
use crate::snapshot::{snapshot_file, temporary_file};
use crate::{Directory, Identity, OwnershipError, RecoveredState, StorageError};

/// The durable storage of one replica in a [`Directory`].
#[derive(Debug)]
pub struct RaftStorage<D> {
    pub(crate) directory: D,
    pub(crate) hard_state: HardState,
    pub(crate) segments: Vec<Segment>,
    /// The index of the last entry that the latest snapshot covers.
    pub(crate) snapshot_index: Index,
    /// The failure after which all writes are rejected, if there was one.
    failure: Option<String>,
}

impl<D: Directory> RaftStorage<D> {
    /// Returns a storage that has no log segments and whose snapshot covers the entries up to
    /// `snapshot_index`. It writes nothing.
    pub(crate) fn empty(directory: D, snapshot_index: Index) -> Self {
        RaftStorage {
            directory,
            hard_state: HardState::default(),
            segments: Vec::new(),
            snapshot_index,
            failure: None,
        }
    }

    /// Creates the storage of a new replica with its first snapshot. In a new cluster the snapshot
    /// holds the first membership and the initial state, which may be empty. For a replica that
    /// joins a cluster, membership and state are empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is in use or can't be written.
    pub fn create(
        directory: D,
        identity: &Identity,
        snapshot: &SnapshotMetadata,
        state: &[u8],
    ) -> Result<(Self, RecoveredState), StorageError> {
        ensure_unused(&directory)?;
        let mut storage = Self::empty(directory, 0);
        storage.save_snapshot(snapshot, state)?;
        // The identity is written last: an interrupted creation leaves a folder without an owner,
        // in which the creation can be repeated.
        storage.replace_file(IDENTITY_FILE, &encode(identity)?)?;
        Self::open(storage.directory, &identity.cluster, identity.replica_id)
    }

    /// Closes the storage and returns its directory.
    #[must_use]
    pub fn into_directory(self) -> D {
        self.directory
    }

    /// Returns an error if an earlier failure forbids further writes.
    pub(crate) fn ensure_usable(&self) -> Result<(), StorageError> {
        match &self.failure {
            Some(cause) => Err(StorageError::DurabilityUnknown(cause.clone())),
            None => Ok(()),
        }
    }

    /// Rejects all further writes, and returns the error for the failed one.
    pub(crate) fn fail_permanently(&mut self, cause: String) -> StorageError {
        self.failure = Some(cause.clone());
        StorageError::DurabilityUnknown(cause)
    }

    pub(crate) fn sync_directory(&mut self) -> Result<(), StorageError> {
        self.directory
            .sync_dir()
            .map_err(|e| self.fail_permanently(format!("folder: sync: {e}")))
    }
}

/// Returns an error if the folder holds files other than those that an interrupted creation may
/// have left.
fn ensure_unused(directory: &impl Directory) -> Result<(), StorageError> {
    let first_snapshot = snapshot_file(0);
    let remnants = [
        temporary_file(&first_snapshot),
        temporary_file(IDENTITY_FILE),
        first_snapshot,
    ];
    let files = directory.list().map_err(StorageError::WriteFailed)?;
    match files.into_iter().find(|file| !remnants.contains(file)) {
        Some(file) => Err(OwnershipError::InUse { file }.into()),
        None => Ok(()),
    }
}
