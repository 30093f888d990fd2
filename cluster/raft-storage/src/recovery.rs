//! Recovery: opens a replica's storage, reads its state back and discards an interrupted write.

use violetgate_raft::{Entry, HardState, Index, SnapshotMetadata, StorageWrite};

use crate::identity::IDENTITY_FILE;
use crate::record::{decode_file, RawRecord};
use crate::segment::{LogRecord, Segment, SEGMENT_PREFIX};
use crate::snapshot::{StoredSnapshot, SNAPSHOT_PREFIX, TEMPORARY_SUFFIX};
use crate::{Corruption, Directory, Identity, OwnershipError, RaftStorage, StorageError};

/// The state that a replica's storage held when it was opened.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredState {
    /// The random number chosen when the folder was created, see [`Identity::incarnation`].
    pub incarnation: u64,
    /// The latest durable term and vote.
    pub hard_state: HardState,
    /// The metadata of the latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The state machine's state in that snapshot.
    pub state: Vec<u8>,
    /// The log entries that follow the snapshot.
    pub entries: Vec<Entry>,
    /// The number of bytes of an interrupted write that were removed from the end of the log.
    pub discarded_bytes: usize,
}

impl RecoveredState {
    /// Returns the index of the last entry, or of the snapshot if there are no entries.
    fn last_index(&self) -> Index {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}

impl<D: Directory> RaftStorage<D> {
    /// Opens the storage of a replica, and returns it with the state that it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder does not belong to this replica, if the stored data is
    /// damaged, or if the log can't be repaired after a crash.
    pub fn open(
        mut directory: D,
        cluster: &str,
        replica_id: u64,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let mut files = directory.list().map_err(Corruption::io_error("folder"))?;
        files.sort();
        let identity = read_identity(&directory, &files, cluster, replica_id)?;
        let snapshot = load_latest_snapshot(&mut directory, &files)?;
        let mut recovered = RecoveredState {
            incarnation: identity.incarnation,
            snapshot: snapshot.metadata,
            state: snapshot.state,
            ..RecoveredState::default()
        };
        let mut storage = Self::empty(directory, recovered.snapshot.index);
        files.retain(|file| file.starts_with(SEGMENT_PREFIX));
        for (position, file) in files.iter().enumerate() {
            let is_last = position + 1 == files.len();
            storage.recover_segment(file, is_last, &mut recovered)?;
        }
        recovered.hard_state = storage.hard_state;
        storage.discard_older_log(&mut recovered)?;
        Ok((storage, recovered))
    }

    fn recover_segment(
        &mut self,
        file: &str,
        is_last: bool,
        recovered: &mut RecoveredState,
    ) -> Result<(), StorageError> {
        let number = file
            .trim_start_matches(SEGMENT_PREFIX)
            .parse()
            .map_err(|source| Corruption::SegmentName {
                file: file.to_owned(),
                source,
            })?;
        let bytes = self
            .directory
            .read(file)
            .map_err(Corruption::io_error(file))?;
        let valid_bytes = self.replay(file, &bytes, recovered)?;
        let rest = bytes.get(valid_bytes..).unwrap_or_default();
        if !rest.is_empty() {
            // Only the last write can have been interrupted. Damaged data before a valid record, or
            // in an earlier segment, was durable before.
            if !is_last || contains_record(rest) {
                let (file, offset) = (file.to_owned(), valid_bytes);
                return Err(Corruption::DamagedRecord { file, offset }.into());
            }
            recovered.discarded_bytes = rest.len();
            self.directory
                .truncate(file, valid_bytes as u64)
                .map_err(Corruption::io_error(file))?;
            self.directory
                .sync(file)
                .map_err(Corruption::io_error(file))?;
        }
        self.segments.push(Segment {
            number,
            bytes: valid_bytes,
            last_index: recovered.last_index(),
        });
        Ok(())
    }

    /// Applies the valid records at the start of a segment to `recovered`, and returns their total
    /// size in bytes.
    fn replay(
        &mut self,
        file: &str,
        bytes: &[u8],
        recovered: &mut RecoveredState,
    ) -> Result<usize, Corruption> {
        let mut offset = 0;
        while let Some(raw) = bytes.get(offset..).and_then(RawRecord::at_start) {
            let record: LogRecord =
                postcard::from_bytes(raw.content).map_err(|source| Corruption::Undecodable {
                    file: file.to_owned(),
                    offset,
                    source,
                })?;
            self.hard_state = record.hard_state.unwrap_or(self.hard_state);
            replay_entries(record, recovered).map_err(|gap| Corruption::MissingEntry {
                file: file.to_owned(),
                offset,
                actual: gap.actual,
                expected: gap.expected,
            })?;
            offset += raw.size;
        }
        Ok(offset)
    }

    /// Discards the recovered entries if the first one has an older term than the snapshot, and so
    /// can't follow it. Such entries remain after a crash between installing another replica's
    /// snapshot and writing the record that removes the old log.
    fn discard_older_log(&mut self, recovered: &mut RecoveredState) -> Result<(), StorageError> {
        let snapshot_term = recovered.snapshot.term;
        let is_older = |first: &Entry| first.term < snapshot_term;
        if !recovered.entries.first().is_some_and(is_older) {
            return Ok(());
        }
        recovered.entries.clear();
        self.write(&[StorageWrite {
            truncate_from: Some(0),
            ..StorageWrite::default()
        }])
    }
}

/// An entry whose index does not follow the previous entry's.
struct IndexGap {
    actual: Index,
    expected: Index,
}

fn replay_entries(record: LogRecord, recovered: &mut RecoveredState) -> Result<(), IndexGap> {
    if let Some(from) = record.truncate_from {
        let remaining = recovered
            .entries
            .partition_point(|entry| entry.index < from);
        recovered.entries.truncate(remaining);
    }
    let snapshot_index = recovered.snapshot.index;
    let uncovered = record.append.into_iter();
    for entry in uncovered.filter(|entry| entry.index > snapshot_index) {
        let expected = recovered.last_index() + 1;
        if entry.index != expected {
            let actual = entry.index;
            return Err(IndexGap { actual, expected });
        }
        recovered.entries.push(entry);
    }
    Ok(())
}

/// Returns whether a valid record begins anywhere after the first byte.
fn contains_record(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|offset| {
        bytes
            .get(offset..)
            .is_some_and(|rest| RawRecord::at_start(rest).is_some())
    })
}

fn read_identity(
    directory: &impl Directory,
    files: &[String],
    cluster: &str,
    replica_id: u64,
) -> Result<Identity, StorageError> {
    if !files.iter().any(|file| file == IDENTITY_FILE) {
        return Err(OwnershipError::Unowned.into());
    }
    let bytes = directory
        .read(IDENTITY_FILE)
        .map_err(Corruption::io_error(IDENTITY_FILE))?;
    let identity: Identity = decode_file(IDENTITY_FILE, &bytes)?;
    if identity.cluster != cluster || identity.replica_id != replica_id {
        return Err(OwnershipError::OtherReplica {
            replica_id: identity.replica_id,
            cluster: identity.cluster,
        }
        .into());
    }
    Ok(identity)
}

/// Reads the latest snapshot, and removes outdated snapshots and all incomplete files.
fn load_latest_snapshot(
    directory: &mut impl Directory,
    files: &[String],
) -> Result<StoredSnapshot, Corruption> {
    let is_snapshot = |file: &str| file.starts_with(SNAPSHOT_PREFIX);
    let is_temporary = |file: &str| file.ends_with(TEMPORARY_SUFFIX);
    // A snapshot gets its final name only once it is complete and durable. If the latest one is
    // damaged, it was complete before, so falling back to an older one would lose data.
    let latest = files
        .iter()
        .rev()
        .find(|file| is_snapshot(file) && !is_temporary(file))
        .ok_or(Corruption::NoSnapshot)?;
    let bytes = directory
        .read(latest)
        .map_err(Corruption::io_error(latest))?;
    let snapshot = decode_file(latest, &bytes)?;
    for file in files {
        if file != latest && (is_snapshot(file) || is_temporary(file)) {
            // A file that can't be removed now is removed at a later start.
            let _ = directory.remove(file);
        }
    }
    Ok(snapshot)
}
