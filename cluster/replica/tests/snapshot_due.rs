//! When a replica saves a snapshot: a log of few but large entries is bounded, too.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use violetgate_raft::{Index, Membership, Role, SnapshotMetadata};
use violetgate_replica::{Effect, InitialState, Replica, ReplicaConfig};
use violetgate_replicated_state::{Mutation, Operation, Txn, MAX_VALUE_BYTES};

/// The size of the applied log at which a snapshot is due, in bytes, as the documentation states.
const MAX_LOG_BYTES: usize = 64 << 20;
/// The number of values of the maximum size in one transaction, here 4 MiB.
const VALUES: usize = 64;

/// The only voter of a cluster, whose writes are durable at once.
struct SingleReplica {
    replica: Replica,
    now: u64,
    /// The index of each snapshot that was to be saved.
    snapshots: Vec<Index>,
}

impl SingleReplica {
    fn new() -> Self {
        let snapshot = SnapshotMetadata {
            membership: Membership::bootstrap([1]),
            ..SnapshotMetadata::default()
        };
        let initial = InitialState {
            snapshot,
            ..InitialState::default()
        };
        let replica = Replica::new(1, ReplicaConfig::default(), 7, initial, 0).unwrap();
        let mut single = SingleReplica {
            replica,
            now: 0,
            snapshots: Vec::new(),
        };
        while single.replica.raft().role() != Role::Leader {
            single.now = single.replica.next_tick().max(single.now + 1);
            single.replica.tick(single.now, single.now);
            single.carry_out_effects();
        }
        single
    }

    fn carry_out_effects(&mut self) {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Persist(write) => self.replica.persisted(write.sequence),
                    Effect::SaveSnapshot { metadata, .. } => {
                        self.snapshots.push(metadata.index);
                        self.replica.snapshot_saved(metadata.index);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Commits a transaction of `values` values of the maximum size, always to the same keys.
    fn put(&mut self, values: usize) {
        let put = |number: usize| Mutation::Put {
            key: format!("key-{number}"),
            value: vec![7; MAX_VALUE_BYTES],
            lease: None,
        };
        let transaction = Txn {
            then: (0..values).map(put).collect(),
            ..Txn::default()
        };
        let operation = Operation::Txn(transaction);
        self.replica.propose(1, None, "test".to_owned(), operation);
        self.carry_out_effects();
    }
}

/// Guards against a log that grows with the size of the entries until `snapshot_interval` of them
/// are applied: gigabytes on disk and in memory, all read again at the next start.
#[test]
fn large_entries_make_a_snapshot_due_before_the_interval() {
    let mut single = SingleReplica::new();
    let entry_bytes = VALUES * MAX_VALUE_BYTES;
    let entries = 2 * MAX_LOG_BYTES / entry_bytes;
    for _ in 0..entries {
        single.put(VALUES);
        let log_bytes = single.replica.raft().log().len() * entry_bytes;
        // A snapshot, whose size the log may have, holds a full history and the values.
        let limit = MAX_LOG_BYTES + 2 * entry_bytes;
        assert!(log_bytes <= limit, "the log holds {log_bytes} bytes");
    }
    assert!(!single.snapshots.is_empty());
}

/// Guards against snapshots that are saved more often than entries are worth.
#[test]
fn small_entries_make_a_snapshot_due_after_the_interval() {
    let mut single = SingleReplica::new();
    let interval = ReplicaConfig::default().snapshot_interval;
    while single.snapshots.is_empty() {
        single
            .replica
            .propose(1, None, "test".to_owned(), Operation::Compact(0));
        single.carry_out_effects();
    }
    assert_eq!(single.snapshots, [interval]);
}
