//! Compatibility of the stored format with commit 5065b36: a folder that it wrote is recovered
//! completely, and the same writes produce the same bytes.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use std::collections::BTreeMap;

use violetgate_raft::{Entry, HardState, Membership, Payload, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{Identity, RaftStorage};

mod memory;

use memory::Memory;

const STORED: [(&str, &[u8]); 3] = [
    (
        "log-0000000000000001",
        include_bytes!("fixtures/member/log-0000000000000001"),
    ),
    ("member", include_bytes!("fixtures/member/member")),
    (
        "snapshot-0000000000000003",
        include_bytes!("fixtures/member/snapshot-0000000000000003"),
    ),
];

fn identity() -> Identity {
    Identity {
        cluster: "fixture".to_owned(),
        replica_id: 2,
        incarnation: 0x1234_5678_9abc_def0,
    }
}

fn membership() -> Membership {
    let mut membership = Membership::bootstrap([1, 2, 3]);
    membership.learners = [4].into();
    membership.highest_id = 4;
    membership
}

fn entry(term: u64, index: u64, payload: Payload) -> Entry {
    Entry {
        term,
        index,
        payload,
    }
}

fn first_entries() -> Vec<Entry> {
    vec![
        entry(1, 1, Payload::Blank),
        entry(1, 2, Payload::Membership(membership())),
        entry(1, 3, Payload::Command(b"three".to_vec())),
        entry(1, 4, Payload::Command(b"four".to_vec())),
        entry(1, 5, Payload::Command(b"five, overwritten".to_vec())),
    ]
}

fn later_entries() -> Vec<Entry> {
    vec![
        entry(3, 5, Payload::Blank),
        entry(3, 6, Payload::Command(vec![0xff; 40])),
        entry(3, 7, Payload::Membership(Membership::bootstrap([1, 2, 3]))),
    ]
}

fn snapshot() -> SnapshotMetadata {
    SnapshotMetadata {
        index: 3,
        term: 1,
        membership: membership(),
    }
}

fn vote(term: u64, vote: Option<u64>) -> Option<HardState> {
    Some(HardState { term, vote })
}

/// Repeats the writes that produced the stored folder.
fn write_folder() -> RaftStorage<Memory> {
    let base = SnapshotMetadata {
        membership: Membership::bootstrap([1, 2, 3]),
        ..SnapshotMetadata::default()
    };
    let (mut storage, _) =
        RaftStorage::create(Memory::default(), &identity(), &base, b"begin").unwrap();
    let batch = [
        StorageWrite {
            sequence: 1,
            hard_state: vote(1, Some(1)),
            ..StorageWrite::default()
        },
        StorageWrite {
            sequence: 2,
            append: first_entries(),
            ..StorageWrite::default()
        },
    ];
    storage.write(&batch).unwrap();
    storage
        .save_snapshot(&snapshot(), b"state up to three")
        .unwrap();
    let conflict = StorageWrite {
        sequence: 3,
        hard_state: vote(3, Some(3)),
        truncate_from: Some(5),
        append: later_entries(),
    };
    storage.write(&[conflict]).unwrap();
    storage
}

#[test]
fn equal_writes_make_the_stored_bytes() {
    let files = write_folder().into_directory();
    let stored = STORED.map(|(name, bytes)| (name.to_owned(), bytes.to_vec()));
    assert_eq!(files.files, BTreeMap::from(stored));
}

#[test]
fn a_stored_folder_is_opened_with_all_that_it_holds() {
    let stored = STORED.map(|(name, bytes)| (name.to_owned(), bytes.to_vec()));
    let files = Memory {
        files: BTreeMap::from(stored),
        ..Memory::default()
    };
    let (storage, recovered) = RaftStorage::open(files.clone(), "fixture", 2).unwrap();
    assert_eq!(recovered.incarnation, 0x1234_5678_9abc_def0);
    assert_eq!(Some(recovered.hard_state), vote(3, Some(3)));
    assert_eq!(recovered.snapshot, snapshot());
    assert_eq!(recovered.state, b"state up to three");
    let mut entries = vec![first_entries()[3].clone()];
    entries.extend(later_entries());
    assert_eq!(recovered.entries, entries);
    assert_eq!(recovered.discarded_bytes, 0);
    assert_eq!(storage.log_bytes(), STORED[0].1.len());
    assert_eq!(
        storage.into_directory().files,
        files.files,
        "opening the folder changed it"
    );
}

/// Full segments are too large for a fixture, so their lengths and checksums are compared, before
/// and after another replica's snapshot is installed.
#[test]
fn segments_are_as_long_as_they_were_and_hold_the_same() {
    let (mut storage, _) = RaftStorage::create(
        Memory::default(),
        &identity(),
        &SnapshotMetadata::default(),
        &[],
    )
    .unwrap();
    for index in 1..=8 {
        let payload = Payload::Command(vec![index as u8; 3 << 20]);
        let write = StorageWrite {
            hard_state: vote(index, None),
            append: vec![entry(index, index, payload)],
            ..StorageWrite::default()
        };
        storage.write(&[write]).unwrap();
    }
    let summary = |files: &Memory| -> Vec<String> {
        let files = files.files.iter();
        files
            .map(|(name, bytes)| format!("{name} {} {:08x}", bytes.len(), crc32fast::hash(bytes)))
            .collect()
    };
    let files = storage.into_directory();
    let before = summary(&files);
    let (mut storage, recovered) = RaftStorage::open(files, "fixture", 2).unwrap();
    assert_eq!((recovered.entries.len(), recovered.hard_state.term), (8, 8));
    let theirs = SnapshotMetadata {
        index: 90,
        term: 9,
        membership: membership(),
    };
    let following = [entry(9, 91, Payload::Blank)];
    storage
        .install_snapshot(&theirs, b"theirs", &following)
        .unwrap();
    let after = summary(&storage.into_directory());
    assert_eq!(before, BEFORE);
    assert_eq!(after, AFTER);
}

/// The name, length in bytes and CRC-32 checksum of each file before the installation.
const BEFORE: [&str; 5] = [
    "log-0000000000000001 9437257 83108230",
    "log-0000000000000002 9437257 28157926",
    "log-0000000000000003 6291509 06c4c828",
    "member 26 89ffd9c8",
    "snapshot-0000000000000000 14 41055c5f",
];
/// The name, length in bytes and CRC-32 checksum of each file after the installation.
const AFTER: [&str; 3] = [
    "log-0000000000000003 6291524 352fd1ae",
    "member 26 89ffd9c8",
    "snapshot-0000000000000090 24 82802ad6",
];
