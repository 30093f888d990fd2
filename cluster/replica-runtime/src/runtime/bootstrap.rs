//! Making the folder of a new replica.

use std::path::{Path, PathBuf};

use violetgate_raft::{Index, Membership, NodeId, SnapshotMetadata};
use violetgate_raft_storage::{FsDirectory, Identity, RaftStorage, StorageError};
use violetgate_replicated_state::{DecodeError, Store};

use super::ReplicaRuntime;

/// What the folder of a new replica holds at first.
#[derive(Debug, Clone)]
pub struct Bootstrap {
    /// The first voters of a new cluster; empty: the replica joins a cluster that exists.
    pub initial_members: Vec<NodeId>,
    /// The encoded state of the store to begin with; empty: an empty store.
    pub initial_state: Vec<u8>,
}

/// Why a replica's folder can't be made.
#[derive(Debug, thiserror::Error)]
pub enum InitializeError {
    /// The folder can't be made or used.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: std::io::Error,
    },
    /// The initial state is no encoded store.
    #[error("this is no saved state: {0}")]
    InitialState(#[from] DecodeError),
    /// The folder is another replica's already, or can't be written.
    #[error("{}: {source}", folder.display())]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: StorageError,
    },
}

impl ReplicaRuntime {
    /// Makes a replica's folder. This is done once: a replica without its old folder has forgotten
    /// its term and vote, and must not return under the same id. `disk_id` is a random number by
    /// which the others recognise the folder.
    ///
    /// # Errors
    ///
    /// The folder is another replica's already or can't be written, or the initial state is none.
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

/// The snapshot that the log begins with.
fn initial_snapshot(members: Vec<NodeId>, state: &[u8]) -> SnapshotMetadata {
    if members.is_empty() {
        return SnapshotMetadata::default();
    }
    SnapshotMetadata {
        // An initial state counts as the first entry, so that a replica without it is sent it.
        index: Index::from(!state.is_empty()),
        membership: Membership::bootstrap(members),
        ..SnapshotMetadata::default()
    }
}
