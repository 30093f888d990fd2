//! A simulated replica: its node while the process runs, its state machine, and its disk.

use violetgate_raft::*;

/// The state of the state machine: the applied commands with their indexes.
pub type AppliedCommands = Vec<(Index, Vec<u8>)>;

/// The durable content of a replica's disk, the writes in progress, and a snapshot in transfer.
#[derive(Default, Clone)]
pub struct Disk {
    pub hard_state: HardState,
    pub snapshot: SnapshotMetadata,
    pub snapshot_state: AppliedCommands,
    pub entries: Vec<Entry>,
    pub unwritten: Vec<StorageWrite>,
    /// The bytes received so far of a snapshot in transfer.
    pub received: Vec<u8>,
}

impl Disk {
    pub fn write(&mut self, write: StorageWrite) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        let snapshot_index = self.snapshot.index;
        let appended = write.append.into_iter();
        self.entries
            .extend(appended.filter(|entry| entry.index > snapshot_index));
    }

    /// Completes the writes in progress up to a sequence number.
    pub fn flush(&mut self, sequence: u64) {
        while self
            .unwritten
            .first()
            .is_some_and(|write| write.sequence <= sequence)
        {
            let write = self.unwritten.remove(0);
            self.write(write);
        }
    }

    /// Completes all writes in progress, then replaces the log by another replica's snapshot. A
    /// real disk also completes earlier writes first.
    pub fn install(&mut self, metadata: SnapshotMetadata, state: AppliedCommands) {
        for write in std::mem::take(&mut self.unwritten) {
            self.write(write);
        }
        let follows = self
            .entries
            .iter()
            .any(|entry| entry.position() == metadata.position());
        self.entries
            .retain(|entry| follows && entry.index > metadata.index);
        self.snapshot = metadata;
        self.snapshot_state = state;
    }

    pub fn restored(&self) -> Restored {
        Restored {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}

pub struct SimulatedReplica {
    /// The running node, or `None` while the process is down.
    pub node: Option<RaftNode>,
    pub disk: Disk,
    pub state: AppliedCommands,
    /// The time until which the process is suspended.
    pub paused_until: Micros,
    /// The number of times that the process was started. Events for an earlier process are
    /// ignored.
    pub starts: u64,
    pub next_tick: Micros,
}

impl SimulatedReplica {
    pub fn new(snapshot: SnapshotMetadata) -> Self {
        SimulatedReplica {
            node: None,
            disk: Disk {
                snapshot,
                ..Disk::default()
            },
            state: Vec::new(),
            paused_until: 0,
            starts: 0,
            next_tick: 0,
        }
    }

    pub fn node(&mut self) -> &mut RaftNode {
        self.node.as_mut().unwrap()
    }
}
