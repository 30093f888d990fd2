//! Files cut at every byte, syncs that fail, a disk that is full, and a crash between any two operations.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

use violetgate_raft::{Entry, HardState, Membership, Payload, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{Directory, FsDirectory, Identity, RaftStorage, StorageError};

/// A disk in memory that does as it is told.
#[derive(Debug, Clone, Default)]
struct Memory {
    files: BTreeMap<String, Vec<u8>>,
    /// Operations that still work; then all fail, as after a crash.
    left: Option<usize>,
    /// Bytes that still fit.
    room: Option<usize>,
    syncs_fail: bool,
}

impl Memory {
    fn works(&mut self) -> Result<()> {
        match &mut self.left {
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
        // A crash in the middle leaves a part.
        let works = self.works();
        let fits = self.room.unwrap_or(usize::MAX).min(if works.is_ok() {
            usize::MAX
        } else {
            bytes.len() / 2
        });
        let part = &bytes[..fits.min(bytes.len())];
        if self.left != Some(0) || works.is_err() {
            self.files
                .entry(name.to_owned())
                .or_default()
                .extend_from_slice(part);
        }
        works?;
        if let Some(room) = &mut self.room {
            *room -= part.len();
        }
        if part.len() < bytes.len() {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.works()?;
        self.files.get_mut(name).unwrap().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> Result<()> {
        self.works()?;
        if self.syncs_fail {
            Err(Error::other("sync"))
        } else {
            Ok(())
        }
    }
    fn sync_dir(&mut self) -> Result<()> {
        self.works()
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.works()?;
        let bytes = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), bytes);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.works()?;
        self.files
            .remove(name)
            .map(drop)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

fn me() -> Identity {
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

fn fresh() -> RaftStorage<Memory> {
    RaftStorage::create(Memory::default(), &me(), &base(), &[])
        .unwrap()
        .0
}

/// Cut at every byte, the log holds exactly the writes that are whole, and takes new ones.
#[test]
fn a_cut_file_holds_whole_writes_only() {
    let writes = [
        write(1, None, 1..4),
        write(2, Some(3), 3..6),
        write(2, None, 6..7),
        write(3, None, 0..0),
    ];
    let mut disk = fresh();
    let mut whole = vec![(
        disk.log_bytes(),
        RaftStorage::open(disk.into_directory(), "c", 1).unwrap().1,
    )];
    let mut files = fresh().into_directory();
    for w in &writes {
        disk = RaftStorage::open(files, "c", 1).unwrap().0;
        disk.write(std::slice::from_ref(w)).unwrap();
        let bytes = disk.log_bytes();
        files = disk.into_directory();
        whole.push((bytes, RaftStorage::open(files.clone(), "c", 1).unwrap().1));
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
        let (mut disk, kept) = RaftStorage::open(cut_files, "c", 1).unwrap();
        let (bytes, expected) = whole.iter().rev().find(|(b, _)| *b <= cut).unwrap();
        assert_eq!(
            (kept.hard_state, &kept.entries),
            (expected.hard_state, &expected.entries),
            "cut at {cut}"
        );
        if *bytes > 0 {
            assert_eq!(kept.discarded_bytes, cut - bytes);
        }
        disk.write(&[write(9, Some(1), 1..2)]).unwrap();
        let again = RaftStorage::open(disk.into_directory(), "c", 1).unwrap().1;
        assert_eq!(
            (again.hard_state.term, again.entries),
            (9, vec![entry(1, 9)])
        );
    }
    // A bit that turned in a write that others follow was durable once: it is not cut off, it is told.
    for at in 0..whole[2].0 {
        let mut bent = files.clone();
        bent.files.get_mut(&log).unwrap()[at] ^= 4;
        assert!(
            matches!(
                RaftStorage::open(bent, "c", 1),
                Err(StorageError::Corrupt(_))
            ),
            "bit at {at}"
        );
    }
}

/// After a sync that failed nothing is written any more, also when syncs work again.
#[test]
fn a_failed_sync_ends_it() {
    let mut disk = fresh();
    disk.write(&[write(1, None, 1..2)]).unwrap();
    let mut files = disk.into_directory();
    files.syncs_fail = true;
    let mut disk = RaftStorage::open(files, "c", 1).unwrap().0;
    assert!(matches!(
        disk.write(&[write(2, None, 2..3)]),
        Err(StorageError::DurabilityUnknown(_))
    ));
    assert!(matches!(
        disk.write(&[write(2, None, 2..3)]),
        Err(StorageError::DurabilityUnknown(_))
    ));
    assert!(matches!(
        disk.save_snapshot(&base(), b"x"),
        Err(StorageError::DurabilityUnknown(_))
    ));
}

/// On a full disk a write is there or not, and once there is room it can be tried again.
#[test]
fn a_full_disk_loses_nothing() {
    for room in 0..200 {
        let mut disk = fresh();
        disk.write(&[write(1, None, 1..3)]).unwrap();
        let mut files = disk.into_directory();
        files.room = Some(room);
        let mut disk = RaftStorage::open(files, "c", 1).unwrap().0;
        let full = disk.write(&[write(2, None, 3..9)]);
        let mut files = disk.into_directory();
        let kept = RaftStorage::open(files.clone(), "c", 1).unwrap().1;
        match full {
            Ok(()) => assert_eq!((kept.hard_state.term, kept.entries.len()), (2, 8)),
            Err(StorageError::WriteFailed(_)) => {
                assert_eq!(
                    (
                        kept.hard_state.term,
                        kept.entries.len(),
                        kept.discarded_bytes
                    ),
                    (1, 2, 0)
                )
            }
            Err(e) => panic!("{e}"),
        }
        files.room = None;
        let mut disk = RaftStorage::open(files, "c", 1).unwrap().0;
        let next = kept.entries.len() as u64 + 1;
        disk.write(&[write(3, None, next..next + 1)]).unwrap();
    }
}

/// A crash between any two operations of a life with snapshots leaves what was durable, and nothing half done.
#[test]
fn a_crash_anywhere_leaves_what_was_durable() {
    let life = |disk: &mut RaftStorage<Memory>,
                done: &mut (u64, u64)|
     -> std::result::Result<(), StorageError> {
        for round in 1..6u64 {
            let from = (round - 1) * 4 + 1;
            disk.write(&[write(round, None, from..from + 4)])?;
            done.0 = from + 3;
            let members = Membership::bootstrap([1, 2, 3]);
            disk.save_snapshot(
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
    for left in 0..60 {
        let mut files = fresh().into_directory();
        files.left = Some(left);
        let mut done = (0, 0);
        let mut disk = RaftStorage::open(files, "c", 1).unwrap().0;
        let ended = life(&mut disk, &mut done);
        let mut files = disk.into_directory();
        files.left = None;
        let kept = RaftStorage::open(files, "c", 1)
            .unwrap_or_else(|e| panic!("after {left}: {e}"))
            .1;
        let last = kept.entries.last().map_or(kept.snapshot.index, |e| e.index);
        assert!(
            last >= done.0 && kept.snapshot.index >= done.1,
            "after {left}: {last} of {done:?}"
        );
        assert_eq!(
            kept.state.len(),
            if kept.snapshot.index > 0 { 30 } else { 0 }
        );
        assert!(kept
            .entries
            .first()
            .is_none_or(|e| e.index == kept.snapshot.index + 1));
        assert!(ended.is_err() || left > 20);
    }
}

/// A member's folder is its own: another id, another cluster or an empty folder is turned away.
#[test]
fn a_folder_is_one_members() {
    let files = fresh().into_directory();
    assert!(matches!(
        RaftStorage::open(files.clone(), "c", 2),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::create(files.clone(), &me(), &base(), &[]),
        Err(StorageError::NotOwned(_))
    ));
    // Without its mark it is nobody's, and what it holds is not taken for a new member's.
    let mut disk = RaftStorage::open(files, "c", 1).unwrap().0;
    disk.write(&[write(1, None, 1..2)]).unwrap();
    let mut files = disk.into_directory();
    files.files.remove("member").unwrap();
    assert!(matches!(
        RaftStorage::open(files.clone(), "c", 1),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::create(files, &me(), &base(), &[]),
        Err(StorageError::NotOwned(_))
    ));
    assert!(matches!(
        RaftStorage::open(Memory::default(), "c", 1),
        Err(StorageError::NotOwned(_))
    ));
}

/// On the machine's own files: segments follow each other and go, a snapshot of another member replaces the log.
#[test]
fn on_real_files() {
    let path = std::env::temp_dir().join(format!("violetgate-disk-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut disk, _) =
        RaftStorage::create(FsDirectory::new(&path).unwrap(), &me(), &base(), &[]).unwrap();
    let large = |index| Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![7; 3 << 20]),
    };
    for index in 1..=8 {
        disk.write(&[StorageWrite {
            append: vec![large(index)],
            ..StorageWrite::default()
        }])
        .unwrap();
    }
    let before = disk.log_bytes();
    disk.save_snapshot(
        &SnapshotMetadata {
            index: 7,
            term: 1,
            membership: base().membership,
        },
        b"state",
    )
    .unwrap();
    assert!(
        disk.log_bytes() < before / 2,
        "{} of {before}",
        disk.log_bytes()
    );
    let (mut disk, kept) = RaftStorage::open(disk.into_directory(), "c", 1).unwrap();
    assert_eq!(
        (kept.snapshot.index, kept.state, kept.entries.len()),
        (7, b"state".to_vec(), 1)
    );
    disk.install_snapshot(
        &SnapshotMetadata {
            index: 90,
            term: 4,
            membership: base().membership,
        },
        b"theirs",
        &[],
    )
    .unwrap();
    disk.write(&[StorageWrite {
        append: vec![entry(91, 4)],
        ..StorageWrite::default()
    }])
    .unwrap();
    let kept = RaftStorage::open(disk.into_directory(), "c", 1).unwrap().1;
    assert_eq!(
        (kept.snapshot.index, kept.state, kept.entries),
        (90, b"theirs".to_vec(), vec![entry(91, 4)])
    );
    std::fs::remove_dir_all(&path).unwrap();
}
