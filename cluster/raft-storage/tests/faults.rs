//! Storage faults: a log truncated at every byte, damaged bytes, failed syncs, a full disk, and a
//! crash between any two operations.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use std::path::PathBuf;

use violetgate_raft::{Entry, HardState, Membership, Payload, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{FsDirectory, Identity, RaftStorage, RecoveredState, StorageError};

mod memory;

use memory::Memory;

fn identity() -> Identity {
    Identity {
        cluster: "c".to_owned(),
        replica_id: 1,
        incarnation: 9,
    }
}

fn base() -> SnapshotMetadata {
    SnapshotMetadata {
        membership: Membership::bootstrap([1, 2, 3]),
        ..SnapshotMetadata::default()
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(vec![index as u8; 9]),
    }
}

fn write(term: u64, truncate: Option<u64>, indexes: std::ops::Range<u64>) -> StorageWrite {
    let hard = Some(HardState {
        term,
        vote: Some(term % 3 + 1),
    });
    StorageWrite {
        sequence: 0,
        hard_state: hard,
        truncate_from: truncate,
        append: indexes.map(|i| entry(i, term)).collect(),
    }
}

fn new_storage() -> RaftStorage<Memory> {
    RaftStorage::create(Memory::default(), &identity(), &base(), &[])
        .unwrap()
        .0
}

/// Opens a storage with these files, and returns the state that it recovers.
fn recover(files: &Memory) -> RecoveredState {
    RaftStorage::open(files.clone(), "c", 1).unwrap().1
}

/// A log of several writes, with the state that is recovered after each write.
struct WrittenLog {
    files: Memory,
    /// The file name of the log's only segment.
    name: String,
    /// The size of the log in bytes and the state recovered from it, before the first write and
    /// after each write.
    complete: Vec<(usize, RecoveredState)>,
}

impl WrittenLog {
    fn new() -> Self {
        let mut files = new_storage().into_directory();
        let mut complete = vec![(0, recover(&files))];
        for write in [
            write(1, None, 1..4),
            write(2, Some(3), 3..6),
            write(2, None, 6..7),
            write(3, None, 0..0),
        ] {
            let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
            storage.write(&[write]).unwrap();
            let bytes = storage.log_bytes();
            files = storage.into_directory();
            complete.push((bytes, recover(&files)));
        }
        let is_log = |name: &&String| name.starts_with("log-");
        let name = files.files.keys().find(is_log).unwrap().clone();
        WrittenLog {
            files,
            name,
            complete,
        }
    }

    fn bytes(&self) -> &[u8] {
        &self.files.files[&self.name]
    }

    fn with_bytes(&self, bytes: Vec<u8>) -> Memory {
        let mut files = self.files.clone();
        files.files.insert(self.name.clone(), bytes);
        files
    }
}

/// A crash can leave only a part of the last write. Truncated at any byte, the log recovers exactly
/// the complete writes, and accepts new ones.
#[test]
fn a_truncated_log_holds_complete_writes_only() {
    let log = WrittenLog::new();
    assert_eq!(new_storage().log_bytes(), log.complete[0].0);
    for cut in 0..=log.bytes().len() {
        let files = log.with_bytes(log.bytes()[..cut].to_vec());
        let (mut storage, recovered) = RaftStorage::open(files, "c", 1).unwrap();
        let mut complete = log.complete.iter().rev();
        let (bytes, expected) = complete.find(|(b, _)| *b <= cut).unwrap();
        assert_eq!(
            (recovered.hard_state, &recovered.entries),
            (expected.hard_state, &expected.entries),
            "truncated at byte {cut}"
        );
        if *bytes > 0 {
            assert_eq!(recovered.discarded_bytes, cut - bytes);
        }
        storage.write(&[write(9, Some(1), 1..2)]).unwrap();
        let reopened = recover(&storage.into_directory());
        assert_eq!(
            (reopened.hard_state.term, reopened.entries),
            (9, vec![entry(1, 9)])
        );
    }
}

/// A damaged write before a valid one was durable, so it must be reported, not discarded like an
/// interrupted write.
#[test]
fn a_flipped_bit_in_a_write_that_others_follow_is_reported() {
    let log = WrittenLog::new();
    for at in 0..log.complete[2].0 {
        let mut bytes = log.bytes().to_vec();
        bytes[at] ^= 4;
        let opened = RaftStorage::open(log.with_bytes(bytes), "c", 1);
        assert!(
            matches!(opened, Err(StorageError::Corrupt(_))),
            "flipped bit in byte {at}"
        );
    }
}

/// After a failed sync it is unknown what is durable, so all later writes and snapshots fail.
#[test]
fn after_a_failed_sync_nothing_is_written() {
    let mut storage = new_storage();
    storage.write(&[write(1, None, 1..2)]).unwrap();
    let mut files = storage.into_directory();
    files.syncs_fail = true;
    let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
    assert!(matches!(
        storage.write(&[write(2, None, 2..3)]),
        Err(StorageError::DurabilityUnknown(_))
    ));
    assert!(matches!(
        storage.write(&[write(2, None, 2..3)]),
        Err(StorageError::DurabilityUnknown(_))
    ));
    assert!(matches!(
        storage.save_snapshot(&base(), b"x"),
        Err(StorageError::DurabilityUnknown(_))
    ));
}

/// On a full disk a write is stored completely or not at all. Once there is space, writes succeed
/// again.
#[test]
fn a_write_on_a_full_disk_can_be_retried() {
    for free_bytes in 0..200 {
        let mut storage = new_storage();
        storage.write(&[write(1, None, 1..3)]).unwrap();
        let mut files = storage.into_directory();
        files.free_bytes = Some(free_bytes);
        let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
        let full = storage.write(&[write(2, None, 3..9)]);
        let mut files = storage.into_directory();
        let recovered = RaftStorage::open(files.clone(), "c", 1).unwrap().1;
        match full {
            Ok(()) => assert_eq!((recovered.hard_state.term, recovered.entries.len()), (2, 8)),
            Err(StorageError::WriteFailed(_)) => {
                assert_eq!(
                    (
                        recovered.hard_state.term,
                        recovered.entries.len(),
                        recovered.discarded_bytes
                    ),
                    (1, 2, 0)
                )
            }
            Err(e) => panic!("{e}"),
        }
        files.free_bytes = None;
        let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
        let next = recovered.entries.len() as u64 + 1;
        storage.write(&[write(3, None, next..next + 1)]).unwrap();
    }
}

/// Writes and snapshots alternate. After a crash at any operation, all that was durable is
/// recovered, and nothing that is incomplete.
#[test]
fn a_crash_between_any_operations_keeps_what_was_durable() {
    let run =
        |storage: &mut RaftStorage<Memory>, durable: &mut (u64, u64)| -> Result<(), StorageError> {
            for round in 1..6u64 {
                let from = (round - 1) * 4 + 1;
                storage.write(&[write(round, None, from..from + 4)])?;
                durable.0 = from + 3;
                let members = Membership::bootstrap([1, 2, 3]);
                storage.save_snapshot(
                    &SnapshotMetadata {
                        index: from + 1,
                        term: round,
                        membership: members,
                    },
                    &[round as u8; 30],
                )?;
                durable.1 = from + 1;
            }
            Ok(())
        };
    for operations in 0..60 {
        let mut files = new_storage().into_directory();
        files.operations_until_crash = Some(operations);
        let mut durable = (0, 0);
        let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
        let ended = run(&mut storage, &mut durable);
        let mut files = storage.into_directory();
        files.operations_until_crash = None;
        let recovered = RaftStorage::open(files, "c", 1)
            .unwrap_or_else(|e| panic!("after {operations} operations: {e}"))
            .1;
        let last = recovered
            .entries
            .last()
            .map_or(recovered.snapshot.index, |e| e.index);
        assert!(
            last >= durable.0 && recovered.snapshot.index >= durable.1,
            "after {operations} operations: recovered up to {last}, {durable:?} were durable"
        );
        assert_eq!(
            recovered.state.len(),
            if recovered.snapshot.index > 0 { 30 } else { 0 }
        );
        assert!(recovered
            .entries
            .first()
            .is_none_or(|e| e.index == recovered.snapshot.index + 1));
        assert!(ended.is_err() || operations > 20);
    }
}

/// A replica opens only its own folder. Another replica's folder, one without an identity and an
/// empty one are rejected, and no new replica is created in a folder that is in use.
#[test]
fn a_folder_belongs_to_one_replica() {
    let files = new_storage().into_directory();
    assert!(matches!(
        RaftStorage::open(files.clone(), "c", 2),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::create(files.clone(), &identity(), &base(), &[]),
        Err(StorageError::NotOwned(_))
    ));
    // A folder whose identity is missing belongs to no replica, but is still in use.
    let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
    storage.write(&[write(1, None, 1..2)]).unwrap();
    let mut files = storage.into_directory();
    files.files.remove("member").unwrap();
    assert!(matches!(
        RaftStorage::open(files.clone(), "c", 1),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::create(files, &identity(), &base(), &[]),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::open(Memory::default(), "c", 1),
        Err(StorageError::NotOwned(_))
    ));
}

/// A folder in the file system that is removed when this value is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let name = format!("violetgate-raft-storage-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&path);
        TemporaryFolder(path)
    }

    /// Creates a storage with 8 entries of 3 MiB in several segments.
    fn storage(&self) -> RaftStorage<FsDirectory> {
        let directory = FsDirectory::new(&self.0).unwrap();
        let (mut storage, _) = RaftStorage::create(directory, &identity(), &base(), &[]).unwrap();
        for index in 1..=8 {
            let large = Entry {
                term: 1,
                index,
                payload: Payload::Command(vec![7; 3 << 20]),
            };
            storage.write(&[append(large)]).unwrap();
        }
        storage
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

fn append(entry: Entry) -> StorageWrite {
    StorageWrite {
        append: vec![entry],
        ..StorageWrite::default()
    }
}

fn snapshot(index: u64, term: u64) -> SnapshotMetadata {
    SnapshotMetadata {
        index,
        term,
        membership: base().membership,
    }
}

#[test]
fn a_saved_snapshot_removes_the_segments_that_it_covers() {
    let folder = TemporaryFolder::new("save");
    let mut storage = folder.storage();
    let before = storage.log_bytes();
    storage.save_snapshot(&snapshot(7, 1), b"state").unwrap();
    let after = storage.log_bytes();
    assert!(after < before / 2, "{after} of {before} bytes are left");
    let (_, recovered) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    assert_eq!(
        (
            recovered.snapshot.index,
            recovered.state,
            recovered.entries.len()
        ),
        (7, b"state".to_vec(), 1)
    );
}

#[test]
fn an_installed_snapshot_replaces_the_log() {
    let folder = TemporaryFolder::new("install");
    let mut storage = folder.storage();
    storage.save_snapshot(&snapshot(7, 1), b"state").unwrap();
    let (mut storage, _) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    storage
        .install_snapshot(&snapshot(90, 4), b"theirs", &[])
        .unwrap();
    storage.write(&[append(entry(91, 4))]).unwrap();
    let (_, recovered) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    assert_eq!(
        (recovered.snapshot.index, recovered.state, recovered.entries),
        (90, b"theirs".to_vec(), vec![entry(91, 4)])
    );
}
