//! Records of more than 64 MiB: a snapshot, and the log that follows an installed snapshot.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use violetgate_raft::{Entry, Membership, Payload, SnapshotMetadata};
use violetgate_raft_storage::{Identity, RaftStorage};

mod memory;

use memory::Memory;

/// A size in bytes above which records were once written but not read.
const FORMER_LIMIT: usize = 64 << 20;
/// The size of a large entry's command, in bytes.
const COMMAND_BYTES: usize = 8 << 20;

fn new_storage() -> RaftStorage<Memory> {
    let identity = Identity {
        cluster: "c".to_owned(),
        replica_id: 1,
        incarnation: 9,
    };
    let (storage, _) =
        RaftStorage::create(Memory::default(), &identity, &metadata(0), &[]).unwrap();
    storage
}

fn metadata(index: u64) -> SnapshotMetadata {
    SnapshotMetadata {
        index,
        term: 1,
        membership: Membership::bootstrap([1, 2, 3]),
    }
}

/// Guards against a replica that can't start again because its snapshot, although complete, is
/// taken for damaged.
#[test]
fn a_snapshot_of_more_than_64_mib_is_recovered() {
    let mut storage = new_storage();
    let state = vec![7; FORMER_LIMIT + 1];
    storage.save_snapshot(&metadata(10), &state).unwrap();
    let (_, recovered) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    assert_eq!(recovered.snapshot.index, 10);
    assert!(recovered.state == state, "the state differs");
}

/// Guards against durable entries that are discarded at the next start because the record that
/// holds them is taken for an interrupted write.
#[test]
fn a_log_record_of_more_than_64_mib_is_recovered() {
    let mut storage = new_storage();
    let following: Vec<_> = (11..20)
        .map(|index| Entry {
            term: 1,
            index,
            payload: Payload::Command(vec![7; COMMAND_BYTES]),
        })
        .collect();
    storage
        .install_snapshot(&metadata(10), b"state", &following)
        .unwrap();
    assert!(storage.log_bytes() > FORMER_LIMIT);
    let (_, recovered) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    assert_eq!(recovered.discarded_bytes, 0);
    assert!(recovered.entries == following, "the entries differ");
}
