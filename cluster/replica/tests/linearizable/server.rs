//! A simulated server: its storage, and its replica while the process runs.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Result};

use violetgate_raft::{Membership, NodeId, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{Directory, Identity, RaftStorage, RecoveredState};
use violetgate_replica::{InitialState, Replica};
use violetgate_replicated_state::Micros;

const CLUSTER: &str = "c";

/// Files in memory that outlive the replica's process.
#[derive(Debug, Clone, Default)]
pub struct MemoryDirectory(BTreeMap<String, Vec<u8>>);

impl Directory for MemoryDirectory {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.0.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let bytes = self.0.get(name).cloned();
        bytes.ok_or_else(|| ErrorKind::NotFound.into())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let file = self.0.entry(name.to_owned()).or_default();
        file.extend_from_slice(bytes);
        Ok(())
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.0.get_mut(name).unwrap().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> Result<()> {
        Ok(())
    }
    fn sync_dir(&mut self) -> Result<()> {
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let bytes = self.0.remove(from).unwrap();
        self.0.insert(to.to_owned(), bytes);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        let removed = self.0.remove(name);
        removed.map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

pub struct Server {
    /// The replica, or `None` while the process is down.
    pub replica: Option<Replica>,
    pub storage: Option<RaftStorage<MemoryDirectory>>,
    /// Writes that are not durable yet. They are lost if the process is killed.
    pub pending_writes: Vec<StorageWrite>,
    /// The time until which the process is suspended.
    pub paused_until: Micros,
    /// The number of the process, incremented by each start and each kill. Events with a lower
    /// number are for an earlier process and are ignored.
    pub process: u64,
    /// The time of the scheduled tick, or `Micros::MAX` if none is scheduled.
    pub next_tick: Micros,
}

impl Server {
    /// Creates a server of a new cluster with an empty log. Its process is down.
    pub fn new(id: NodeId, voters: impl IntoIterator<Item = NodeId>) -> Self {
        let identity = Identity {
            cluster: CLUSTER.to_owned(),
            replica_id: id,
            incarnation: 0,
        };
        let snapshot = SnapshotMetadata {
            membership: Membership::bootstrap(voters),
            ..SnapshotMetadata::default()
        };
        let directory = MemoryDirectory::default();
        let (storage, _) = RaftStorage::create(directory, &identity, &snapshot, &[]).unwrap();
        Server {
            replica: None,
            storage: Some(storage),
            pending_writes: vec![],
            paused_until: 0,
            process: 0,
            next_tick: 0,
        }
    }

    /// Reopens the storage as a new process does, and returns its contents.
    pub fn reopen_storage(&mut self, id: NodeId) -> InitialState {
        let directory = self.storage.take().unwrap().into_directory();
        let (storage, recovered) = RaftStorage::open(directory, CLUSTER, id).unwrap();
        self.storage = Some(storage);
        self.pending_writes.clear();
        initial_state(recovered)
    }

    pub fn storage(&mut self) -> &mut RaftStorage<MemoryDirectory> {
        self.storage.as_mut().unwrap()
    }

    /// Returns the running replica.
    ///
    /// Panics if the process is down.
    pub fn replica(&mut self) -> &mut Replica {
        self.replica.as_mut().unwrap()
    }

    /// Writes all pending writes. Returns their highest sequence number, or 0 if there were none.
    pub fn flush(&mut self) -> u64 {
        let writes = std::mem::take(&mut self.pending_writes);
        self.storage().write(&writes).unwrap();
        let sequences = writes.iter().map(|write| write.sequence);
        sequences.max().unwrap_or(0)
    }
}

fn initial_state(recovered: RecoveredState) -> InitialState {
    InitialState {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        state: recovered.state,
        entries: recovered.entries,
    }
}
