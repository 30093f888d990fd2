//! The segments of the log: appends writes, and begins a new segment when the latest one is full.

use serde::{Deserialize, Serialize};
use violetgate_raft::{Entry, HardState, Index, StorageWrite};

use crate::record::encode;
use crate::{Directory, RaftStorage, StorageError};

/// The size in bytes at which a segment is full and the next write begins a new one.
const MAX_SEGMENT_BYTES: usize = 8 << 20;

/// The prefix of a segment's file name, followed by the segment's number.
pub(crate) const SEGMENT_PREFIX: &str = "log-";

/// The content of a log record. It is encoded by postcard, so the order of the fields is part of
/// the stored format.
#[derive(Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub(crate) hard_state: Option<HardState>,
    pub(crate) truncate_from: Option<Index>,
    pub(crate) append: Vec<Entry>,
}

/// The number, size and end of a segment of the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) bytes: usize,
    /// The last index of the log after all records up to the end of this segment.
    pub(crate) last_index: Index,
}

/// Returns the file name of a segment.
pub(crate) fn segment_file(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

impl<D: Directory> RaftStorage<D> {
    /// Appends writes to the log and makes them durable with one sync.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::WriteFailed`] if none of the writes is on disk and they may be
    /// retried, [`StorageError::DurabilityUnknown`] if the replica must stop, and
    /// [`StorageError::Corrupt`] if a write can't be encoded.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<(), StorageError> {
        self.ensure_usable()?;
        let segment = self.writable_segment()?;
        let mut bytes = Vec::new();
        let mut last_index = segment.last_index;
        let mut hard_state = self.hard_state;
        for write in writes {
            hard_state = write.hard_state.unwrap_or(hard_state);
            last_index = last_index_after(last_index, write);
            bytes.extend(encode(&LogRecord {
                hard_state: write.hard_state,
                truncate_from: write.truncate_from,
                append: write.append.clone(),
            })?);
        }
        self.append_to_segment(segment, &bytes)?;
        self.hard_state = hard_state;
        if let Some(latest) = self.segments.last_mut() {
            latest.bytes += bytes.len();
            latest.last_index = last_index;
        }
        Ok(())
    }

    /// Returns the size of the log on disk, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    fn append_to_segment(&mut self, segment: Segment, bytes: &[u8]) -> Result<(), StorageError> {
        let file = segment_file(segment.number);
        if let Err(error) = self.directory.append(&file, bytes) {
            // A part of the bytes may be in the file. If further records followed, the next
            // recovery would report the part as damage. If the part can't be removed, no more
            // writes are accepted.
            let undo_result = self.directory.truncate(&file, segment.bytes as u64);
            return Err(self.append_failed(&file, error, undo_result));
        }
        // After a failed sync the operating system may have dropped the data that it could not
        // write, so a retry could succeed without making it durable.
        self.directory
            .sync(&file)
            .map_err(|e| self.fail_permanently(format!("{file}: sync: {e}")))
    }

    /// Returns the latest segment, or begins a new one if there is none or the latest is full.
    fn writable_segment(&mut self) -> Result<Segment, StorageError> {
        match self.segments.last() {
            Some(segment) if segment.bytes < MAX_SEGMENT_BYTES => Ok(*segment),
            _ => self.begin_segment(),
        }
    }

    fn begin_segment(&mut self) -> Result<Segment, StorageError> {
        let previous = self.segments.last();
        let number = previous.map_or(1, |segment| segment.number + 1);
        let last_index = previous.map_or(self.snapshot_index, |segment| segment.last_index);
        // Each segment begins with the hard state, so that earlier segments can be removed.
        let head = encode(&LogRecord {
            hard_state: Some(self.hard_state),
            truncate_from: None,
            append: Vec::new(),
        })?;
        let file = segment_file(number);
        if let Err(error) = self.directory.append(&file, &head) {
            let undo_result = self.directory.remove(&file);
            return Err(self.append_failed(&file, error, undo_result));
        }
        self.directory
            .sync(&file)
            .map_err(|e| self.fail_permanently(format!("{file}: sync: {e}")))?;
        self.sync_directory()?;
        let segment = Segment {
            number,
            bytes: head.len(),
            last_index,
        };
        self.segments.push(segment);
        Ok(segment)
    }

    /// Returns the error for a failed append: one that can be retried if the append was undone,
    /// otherwise a permanent one.
    fn append_failed(
        &mut self,
        file: &str,
        error: std::io::Error,
        undo_result: std::io::Result<()>,
    ) -> StorageError {
        match undo_result {
            Ok(()) => StorageError::WriteFailed(error),
            Err(undo_err) => self.fail_permanently(format!("{file}: {error}, and then {undo_err}")),
        }
    }

    /// Removes the segments that a snapshot up to `index` covers, except the latest one. A segment
    /// that can't be removed is replayed without effect at the next start.
    pub(crate) fn remove_covered_segments(&mut self, index: Index) {
        while let [first, _, ..] = self.segments.as_slice() {
            let file = segment_file(first.number);
            if first.last_index > index || self.directory.remove(&file).is_err() {
                break;
            }
            self.segments.remove(0);
        }
    }
}

/// Returns the last index of the log after a write.
fn last_index_after(last_index: Index, write: &StorageWrite) -> Index {
    let remaining = write
        .truncate_from
        .map_or(last_index, |from| last_index.min(from.saturating_sub(1)));
    write.append.last().map_or(remaining, |entry| entry.index)
}
