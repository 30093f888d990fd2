//! Files cut at every byte, syncs that fail, a disk that is full, and a crash between any two
//! operations.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

use violetgate_raft::{Entry, HardState, Membership, Payload, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{Directory, FsDirectory, Identity, RaftStorage, StorageError};

/// A disk in memory that fails on demand.
#[derive(Debug, Clone, Default)]
struct Memory {
    files: BTreeMap<String, Vec<u8>>,
    /// Operations until a crash, after which all fail.
    operations_until_crash: Option<usize>,
    /// Bytes that still fit.
    free_bytes: Option<usize>,
    syncs_fail: bool,
}

impl Memory {
    fn operate(&mut self) -> Result<()> {
        match &mut self.operations_until_crash {
            Some(0) => Err(Error::other("crashed")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Directory for Memory {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.files
            .get(name)
            .cloned()
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        // A crash in the middle of an append writes a part.
        let result = self.operate();
        let fits = self
            .free_bytes
            .unwrap_or(usize::MAX)
            .min(if result.is_ok() {
                usize::MAX
            } else {
                bytes.len() / 2
            });
        let part = &bytes[..fits.min(bytes.len())];
        if self.operations_until_crash != Some(0) || result.is_err() {
            self.files
                .entry(name.to_owned())
                .or_default()
                .extend_from_slice(part);
        }
        result?;
        if let Some(free) = &mut self.free_bytes {
            *free -= part.len();
        }
        if part.len() < bytes.len() {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.operate()?;
        self.files.get_mut(name).unwrap().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> Result<()> {
        self.operate()?;
        if self.syncs_fail {
            Err(Error::other("sync"))
        } else {
            Ok(())
        }
    }
    fn sync_dir(&mut self) -> Result<()> {
        self.operate()
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.operate()?;
        let bytes = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), bytes);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.operate()?;
        self.files
            .remove(name)
            .map(drop)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

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

/// Truncated at any byte, the log holds exactly the complete writes, and takes new ones.
#[test]
fn a_truncated_log_holds_complete_writes_only() {
    let writes = [
        write(1, None, 1..4),
        write(2, Some(3), 3..6),
        write(2, None, 6..7),
        write(3, None, 0..0),
    ];
    let mut storage = new_storage();
    let mut complete = vec![(
        storage.log_bytes(),
        RaftStorage::open(storage.into_directory(), "c", 1)
            .unwrap()
            .1,
    )];
    let mut files = new_storage().into_directory();
    for w in &writes {
        storage = RaftStorage::open(files, "c", 1).unwrap().0;
        storage.write(std::slice::from_ref(w)).unwrap();
        let bytes = storage.log_bytes();
        files = storage.into_directory();
        complete.push((bytes, RaftStorage::open(files.clone(), "c", 1).unwrap().1));
    }
    let log = files
        .files
        .keys()
        .find(|n| n.starts_with("log-"))
        .unwrap()
        .clone();
    let all = files.files[&log].clone();
    for cut in 0..=all.len() {
        let mut cut_files = files.clone();
        cut_files.files.insert(log.clone(), all[..cut].to_vec());
        let (mut storage, recovered) = RaftStorage::open(cut_files, "c", 1).unwrap();
        let (bytes, expected) = complete.iter().rev().find(|(b, _)| *b <= cut).unwrap();
        assert_eq!(
            (recovered.hard_state, &recovered.entries),
            (expected.hard_state, &expected.entries),
            "cut at {cut}"
        );
        if *bytes > 0 {
            assert_eq!(recovered.discarded_bytes, cut - bytes);
        }
        storage.write(&[write(9, Some(1), 1..2)]).unwrap();
        let reopened = RaftStorage::open(storage.into_directory(), "c", 1)
            .unwrap()
            .1;
        assert_eq!(
            (reopened.hard_state.term, reopened.entries),
            (9, vec![entry(1, 9)])
        );
    }
    // A flipped bit in a write that others follow: the write was durable once, so it is reported
    // and not discarded.
    for at in 0..complete[2].0 {
        let mut damaged = files.clone();
        damaged.files.get_mut(&log).unwrap()[at] ^= 4;
        assert!(
            matches!(
                RaftStorage::open(damaged, "c", 1),
                Err(StorageError::Corrupt(_))
            ),
            "bit at {at}"
        );
    }
}

/// After a sync that failed nothing is written any more, even if syncs work again.
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

/// On a full disk a write is there completely or not at all, and once there is space it can be
/// retried.
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

/// With snapshots in between, a crash after any operation keeps what was durable, and nothing
/// incomplete.
#[test]
fn a_crash_between_any_operations_keeps_what_was_durable() {
    let run = |storage: &mut RaftStorage<Memory>,
               done: &mut (u64, u64)|
     -> std::result::Result<(), StorageError> {
        for round in 1..6u64 {
            let from = (round - 1) * 4 + 1;
            storage.write(&[write(round, None, from..from + 4)])?;
            done.0 = from + 3;
            let members = Membership::bootstrap([1, 2, 3]);
            storage.save_snapshot(
                &SnapshotMetadata {
                    index: from + 1,
                    term: round,
                    membership: members,
                },
                &[round as u8; 30],
            )?;
            done.1 = from + 1;
        }
        Ok(())
    };
    for operations in 0..60 {
        let mut files = new_storage().into_directory();
        files.operations_until_crash = Some(operations);
        let mut done = (0, 0);
        let mut storage = RaftStorage::open(files, "c", 1).unwrap().0;
        let ended = run(&mut storage, &mut done);
        let mut files = storage.into_directory();
        files.operations_until_crash = None;
        let recovered = RaftStorage::open(files, "c", 1)
            .unwrap_or_else(|e| panic!("after {operations}: {e}"))
            .1;
        let last = recovered
            .entries
            .last()
            .map_or(recovered.snapshot.index, |e| e.index);
        assert!(
            last >= done.0 && recovered.snapshot.index >= done.1,
            "after {operations}: {last} of {done:?}"
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

/// A replica's folder is its own: another id, another cluster or an empty folder is rejected.
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
    // Without its identity it belongs to nobody, and isn't used for a new replica.
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

/// Segments follow each other and are removed; another replica's snapshot replaces the log.
#[test]
fn segments_and_snapshots_work_on_real_files() {
    let path = std::env::temp_dir().join(format!("violetgate-raft-storage-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut storage, _) =
        RaftStorage::create(FsDirectory::new(&path).unwrap(), &identity(), &base(), &[]).unwrap();
    let large = |index| Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![7; 3 << 20]),
    };
    for index in 1..=8 {
        storage
            .write(&[StorageWrite {
                append: vec![large(index)],
                ..StorageWrite::default()
            }])
            .unwrap();
    }
    let before = storage.log_bytes();
    storage
        .save_snapshot(
            &SnapshotMetadata {
                index: 7,
                term: 1,
                membership: base().membership,
            },
            b"state",
        )
        .unwrap();
    assert!(
        storage.log_bytes() < before / 2,
        "{} of {before}",
        storage.log_bytes()
    );
    let (mut storage, recovered) = RaftStorage::open(storage.into_directory(), "c", 1).unwrap();
    assert_eq!(
        (
            recovered.snapshot.index,
            recovered.state,
            recovered.entries.len()
        ),
        (7, b"state".to_vec(), 1)
    );
    storage
        .install_snapshot(
            &SnapshotMetadata {
                index: 90,
                term: 4,
                membership: base().membership,
            },
            b"theirs",
            &[],
        )
        .unwrap();
    storage
        .write(&[StorageWrite {
            append: vec![entry(91, 4)],
            ..StorageWrite::default()
        }])
        .unwrap();
    let recovered = RaftStorage::open(storage.into_directory(), "c", 1)
        .unwrap()
        .1;
    assert_eq!(
        (recovered.snapshot.index, recovered.state, recovered.entries),
        (90, b"theirs".to_vec(), vec![entry(91, 4)])
    );
    std::fs::remove_dir_all(&path).unwrap();
}
