//! Storage errors keep the texts that they had in commit 5065b36, because operators see them when
//! a replica fails to start.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use violetgate_raft::{Entry, Membership, Payload, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{Identity, RaftStorage};

mod memory;

use memory::Memory;

const LOG: &str = "log-0000000000000001";

fn identity() -> Identity {
    Identity {
        cluster: "c".to_owned(),
        replica_id: 1,
        incarnation: 9,
    }
}

fn first_snapshot() -> SnapshotMetadata {
    SnapshotMetadata {
        membership: Membership::bootstrap([1, 2, 3]),
        ..SnapshotMetadata::default()
    }
}

fn append(indexes: impl IntoIterator<Item = u64>) -> StorageWrite {
    let entry = |index| Entry {
        term: 1,
        index,
        payload: Payload::Blank,
    };
    StorageWrite {
        append: indexes.into_iter().map(entry).collect(),
        ..StorageWrite::default()
    }
}

/// Returns the files of a replica with two writes in its log.
fn files() -> Memory {
    let (mut storage, _) =
        RaftStorage::create(Memory::default(), &identity(), &first_snapshot(), &[]).unwrap();
    storage.write(&[append([1]), append([2])]).unwrap();
    storage.into_directory()
}

fn open_error(files: Memory, cluster: &str) -> String {
    let opened = RaftStorage::open(files, cluster, 1);
    opened.unwrap_err().to_string()
}

#[test]
fn a_folder_of_another_owner_names_it() {
    let created = RaftStorage::create(files(), &identity(), &first_snapshot(), &[]);
    assert_eq!(
        created.unwrap_err().to_string(),
        "this folder is a member's already: it holds log-0000000000000001"
    );
    assert_eq!(open_error(files(), "d"), "this folder is member 1 of c");
    assert_eq!(
        open_error(Memory::default(), "c"),
        "this folder is no member's; one that lost its disk joins anew"
    );
}

#[test]
fn a_file_without_its_record_is_named() {
    let mut no_snapshot = files();
    no_snapshot.files.remove("snapshot-0000000000000000");
    assert_eq!(
        open_error(no_snapshot, "c"),
        "what is on disk can't be believed: no snapshot"
    );
    let mut no_identity = files();
    no_identity.files.get_mut("member").unwrap().clear();
    assert_eq!(
        open_error(no_identity, "c"),
        "what is on disk can't be believed: member: no record"
    );
    let mut odd_name = files();
    odd_name.files.insert("log-x".to_owned(), Vec::new());
    assert_eq!(
        open_error(odd_name, "c"),
        "what is on disk can't be believed: log-x: invalid digit found in string"
    );
}

#[test]
fn damage_in_the_log_is_located() {
    let mut damaged = files();
    damaged.files.get_mut(LOG).unwrap()[9] ^= 1;
    assert_eq!(
        open_error(damaged, "c"),
        "what is on disk can't be believed: log-0000000000000001: a record at 0 is spoilt, and \
         others follow"
    );
    let mut storage = RaftStorage::open(files(), "c", 1).unwrap().0;
    let offset = storage.log_bytes();
    storage.write(&[append([4])]).unwrap();
    assert_eq!(
        open_error(storage.into_directory(), "c"),
        format!(
            "what is on disk can't be believed: log-0000000000000001: record at {offset}: entry 4 \
             where 3 should be"
        )
    );
}

#[test]
fn failed_writes_say_whether_they_may_be_retried() {
    let mut full = files();
    full.free_bytes = Some(0);
    let mut storage = RaftStorage::open(full, "c", 1).unwrap().0;
    assert_eq!(
        storage.write(&[append([3])]).unwrap_err().to_string(),
        "nothing can be written for now: no storage space"
    );
    let mut failing = files();
    failing.syncs_fail = true;
    let mut storage = RaftStorage::open(failing, "c", 1).unwrap().0;
    let expected = "nothing can be written any more: log-0000000000000001: sync: sync";
    for _ in 0..2 {
        let error = storage.write(&[append([3])]).unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}
