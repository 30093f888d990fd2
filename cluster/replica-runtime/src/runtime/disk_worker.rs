//! The disk's thread: what it is asked for, what it tells, and its loop.

use std::sync::mpsc;
use std::time::Duration;

use async_channel::Sender;
use violetgate_raft::{Entry, Index, NodeId, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{FsDirectory, RaftStorage, StorageError};

/// How long a full disk is left alone before the same is tried again.
const FULL: Duration = Duration::from_millis(200);

/// What the disk is asked for.
pub(super) enum Job {
    Write(Vec<StorageWrite>),
    Keep(SnapshotMetadata, Vec<u8>),
    Install(NodeId, SnapshotMetadata, Vec<u8>, Vec<Entry>),
}

/// What the disk tells.
pub(super) enum Done {
    Persisted(u64),
    Kept(Index),
    Installed(NodeId, SnapshotMetadata, Vec<u8>),
    Full(String),
    Lost(String),
}

/// The disk's thread: takes all jobs that wait, and makes the writes among them durable with one sync.
pub(super) fn write_for_ever(
    mut disk: RaftStorage<FsDirectory>,
    work: &mpsc::Receiver<Job>,
    tell: &Sender<Done>,
) {
    let mut next = None;
    loop {
        let Some(job) = next.take().or_else(|| work.recv().ok()) else {
            return;
        };
        let done = match job {
            Job::Write(mut writes) => {
                while let Ok(job) = work.try_recv() {
                    match job {
                        Job::Write(more) => writes.extend(more),
                        other => {
                            next = Some(other);
                            break;
                        }
                    }
                }
                let seq = writes.iter().map(|w| w.sequence).max().unwrap_or(0);
                tried(tell, || disk.write(&writes)).map(|()| Done::Persisted(seq))
            }
            Job::Keep(meta, state) => {
                tried(tell, || disk.save_snapshot(&meta, &state)).map(|()| Done::Kept(meta.index))
            }
            Job::Install(from, meta, state, follows) => {
                tried(tell, || disk.install_snapshot(&meta, &state, &follows))
                    .map(|()| Done::Installed(from, meta, state))
            }
        };
        let lost = done.is_err();
        if tell.send_blocking(done.unwrap_or_else(Done::Lost)).is_err() || lost {
            return;
        }
    }
}

/// Does something until it is done: a disk that is full is tried again, and told of once.
fn tried(
    tell: &Sender<Done>,
    mut act: impl FnMut() -> Result<(), StorageError>,
) -> Result<(), String> {
    let mut told = false;
    loop {
        match act() {
            Ok(()) => return Ok(()),
            Err(StorageError::WriteFailed(e)) => {
                if !std::mem::replace(&mut told, true)
                    && tell.send_blocking(Done::Full(e.to_string())).is_err()
                {
                    return Err("nobody waits for the disk".to_owned());
                }
                if tell.is_closed() {
                    return Err("nobody waits for the disk".to_owned());
                }
                std::thread::sleep(FULL);
            }
            Err(e) => return Err(e.to_string()),
        }
    }
}
