//! Creates the folder of a new replica.

use std::path::{Path, PathBuf};

use violetgate_raft::{Index, Membership, NodeId, SnapshotMetadata};
use violetgate_raft_storage::{FsDirectory, Identity, RaftStorage, StorageError};
use violetgate_replicated_state::{DecodeError, Store};

use super::ReplicaRuntime;

/// The initial content of a new replica's folder.
#[derive(Debug, Clone)]
pub struct Bootstrap {
    /// The first voters of a new cluster. If this is empty, the replica joins an existing cluster.
    pub initial_members: Vec<NodeId>,
    /// The encoded initial state of the store. If this is empty, the store is empty.
    pub initial_state: Vec<u8>,
}

/// The reason why a replica's folder can't be created.
#[derive(Debug, thiserror::Error)]
pub enum InitializeError {
    /// The folder can't be created or opened.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The initial state can't be decoded as a store.
    #[error("the initial state can't be decoded: {0}")]
    InitialState(#[from] DecodeError),
    /// The folder already belongs to a replica, or can't be written.
    #[error("{}: {source}", folder.display())]
    Storage {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the storage.
        source: StorageError,
    },
}

impl ReplicaRuntime {
    /// Creates a replica's folder. This may be done only once per id: a replica that has lost its
    /// folder no longer knows its term and vote, and must not return under the same id. `disk_id`
    /// is a random number by which the other replicas recognise the folder.
    ///
    /// # Errors
    ///
    /// The folder already belongs to a replica or can't be written, or the initial state can't be
    /// decoded.
    pub fn initialize(
        cluster: &str,
        id: NodeId,
        folder: &Path,
        disk_id: u64,
        bootstrap: Bootstrap,
    ) -> Result<(), InitializeError> {
        let directory = FsDirectory::new(folder).map_err(|source| InitializeError::Folder {
            folder: folder.to_owned(),
            source,
        })?;
        let identity = Identity {
            cluster: cluster.to_owned(),
            replica_id: id,
            incarnation: disk_id,
        };
        let Bootstrap {
            initial_members,
            initial_state,
        } = bootstrap;
        if !initial_state.is_empty() {
            Store::from_snapshot(&initial_state)?;
        }
        let snapshot = initial_snapshot(initial_members, &initial_state);
        RaftStorage::create(directory, &identity, &snapshot, &initial_state).map_err(|source| {
            InitializeError::Storage {
                folder: folder.to_owned(),
                source,
            }
        })?;
        Ok(())
    }
}

/// Returns the metadata of the snapshot that the log begins with.
fn initial_snapshot(members: Vec<NodeId>, state: &[u8]) -> SnapshotMetadata {
    if members.is_empty() {
        return SnapshotMetadata::default();
    }
    SnapshotMetadata {
        // An initial state counts as the first entry, so that the leader sends a snapshot to a
        // replica that was created without it.
        index: Index::from(!state.is_empty()),
        membership: Membership::bootstrap(members),
        ..SnapshotMetadata::default()
    }
}
