//! The storage of one replica: its creation, and what happens after a failure.

use violetgate_raft::{HardState, Index, SnapshotMetadata};

use crate::identity::IDENTITY_FILE;
use crate::record::encode;
use crate::segment::Segment;
use crate::snapshot::{snapshot_file, temporary_file};
use crate::{Directory, Identity, OwnershipError, RecoveredState, StorageError};

/// The durable storage of one replica.
#[derive(Debug)]
pub struct RaftStorage<D> {
    pub(crate) directory: D,
    pub(crate) hard_state: HardState,
    pub(crate) segments: Vec<Segment>,
    /// The last entry of the latest snapshot.
    pub(crate) snapshot_index: Index,
    /// Why nothing can be written any more.
    failure: Option<String>,
}

impl<D: Directory> RaftStorage<D> {
    /// A storage without any log, whose snapshot is up to `snapshot_index`.
    pub(crate) fn empty(directory: D, snapshot_index: Index) -> Self {
        RaftStorage {
            directory,
            hard_state: HardState::default(),
            segments: Vec::new(),
            snapshot_index,
            failure: None,
        }
    }

    /// Creates the storage of a new replica, with a first snapshot: of an empty or a given state
    /// that names the first members, or of nothing that names nobody, for a replica that joins.
    ///
    /// # Errors
    ///
    /// The folder is in use, or can't be written.
    pub fn create(
        directory: D,
        identity: &Identity,
        snapshot: &SnapshotMetadata,
        state: &[u8],
    ) -> Result<(Self, RecoveredState), StorageError> {
        ensure_unused(&directory)?;
        let mut storage = Self::empty(directory, 0);
        storage.save_snapshot(snapshot, state)?;
        // Last: without its identity, nothing here belongs to anybody.
        storage.replace_file(IDENTITY_FILE, &encode(identity)?)?;
        Self::open(storage.directory, &identity.cluster, identity.replica_id)
    }

    /// The directory, for tests and for closing.
    #[must_use]
    pub fn into_directory(self) -> D {
        self.directory
    }

    /// Fails if nothing may be written any more.
    pub(crate) fn ensure_usable(&self) -> Result<(), StorageError> {
        match &self.failure {
            Some(cause) => Err(StorageError::DurabilityUnknown(cause.clone())),
            None => Ok(()),
        }
    }

    /// From now on nothing is written any more.
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

/// Fails if the folder holds more than an interrupted creation may have written.
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
