//! The log in segments: appending writes, and beginning a new segment when one is full.

use serde::{Deserialize, Serialize};
use violetgate_raft::{Entry, HardState, Index, StorageWrite};

use crate::record::encode;
use crate::{Directory, RaftStorage, StorageError};

/// A segment that has grown beyond this is followed by another.
const MAX_SEGMENT_BYTES: usize = 8 << 20;

/// Segments are named by this and their number.
pub(crate) const SEGMENT_PREFIX: &str = "log-";

/// The content of a record of the log. It is stored by postcard: the order of the fields is the
/// format.
#[derive(Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub(crate) hard_state: Option<HardState>,
    pub(crate) truncate_from: Option<Index>,
    pub(crate) append: Vec<Entry>,
}

/// A segment of the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) bytes: usize,
    /// The last entry of the log as of the end of this segment.
    pub(crate) last_index: Index,
}

/// The file of a segment.
pub(crate) fn segment_file(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

impl<D: Directory> RaftStorage<D> {
    /// Makes writes durable, all with one sync.
    ///
    /// # Errors
    ///
    /// [`StorageError::WriteFailed`]: none of them is on disk, and they may be retried.
    /// [`StorageError::DurabilityUnknown`]: the replica has to stop.
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

    /// Bytes of the log on disk.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    fn append_to_segment(&mut self, segment: Segment, bytes: &[u8]) -> Result<(), StorageError> {
        let file = segment_file(segment.number);
        if let Err(error) = self.directory.append(&file, bytes) {
            // A part may be there, and would be taken for an interrupted write: it is removed, or
            // the storage stops.
            let undone = self.directory.truncate(&file, segment.bytes as u64);
            return Err(self.append_failed(&file, error, undone));
        }
        // After a failed sync the system may have dropped what it could not write: a retry could
        // only seem to work.
        self.directory
            .sync(&file)
            .map_err(|e| self.fail_permanently(format!("{file}: sync: {e}")))
    }

    /// The latest segment, or a new one where it is full.
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
        // Each segment begins with the hard state, so that those before it can be removed.
        let head = encode(&LogRecord {
            hard_state: Some(self.hard_state),
            truncate_from: None,
            append: Vec::new(),
        })?;
        let file = segment_file(number);
        if let Err(error) = self.directory.append(&file, &head) {
            let undone = self.directory.remove(&file);
            return Err(self.append_failed(&file, error, undone));
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

    /// The error of an append, which can be retried if the file could be restored.
    fn append_failed(
        &mut self,
        file: &str,
        error: std::io::Error,
        undone: std::io::Result<()>,
    ) -> StorageError {
        match undone {
            Ok(()) => StorageError::WriteFailed(error),
            Err(again) => self.fail_permanently(format!("{file}: {error}, and then {again}")),
        }
    }

    /// Removes the segments that a snapshot up to `index` covers. One that can't be removed is
    /// replayed without effect at the next start.
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

/// The last entry of the log after a write.
fn last_index_after(last_index: Index, write: &StorageWrite) -> Index {
    let remaining = write
        .truncate_from
        .map_or(last_index, |from| last_index.min(from.saturating_sub(1)));
    write.append.last().map_or(remaining, |entry| entry.index)
}
