//! The log in segments, snapshots beside it, and what is believed of them at a start.
//!
//! A record is its length, a checksum of both and its bytes; one write is one record, so it is there whole or not at
//! all. Each segment begins with term and vote as they are then, so that those before it can go.

use serde::{Deserialize, Serialize};
use violetgate_raft::{Entry, HardState, Index, SnapshotMetadata, StorageWrite};

use crate::Directory;

/// A segment that has grown beyond this is followed by another.
const SEGMENT: usize = 8 << 20;
/// A record that claims to be longer than this is none.
const LONGEST: usize = 64 << 20;
/// Bytes before a record: its length and its checksum.
const HEAD: usize = 8;

const IDENTITY: &str = "member";

/// Who keeps this folder. A member that has lost its disk has lost its promises with it: it has to come back under
/// another id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster.
    pub cluster: String,
    /// The member.
    pub replica_id: u64,
    /// Drawn at random when the folder was made: another disk under the same id has another one.
    pub incarnation: u64,
}

/// Why something could not be done.
#[derive(Debug)]
pub enum StorageError {
    /// The disk is full, or took nothing else for now. Nothing was written; the same may be tried again.
    WriteFailed(std::io::Error),
    /// Nothing can be written any more: it is not known what is durable. The member has to stop.
    DurabilityUnknown(String),
    /// What is on disk can't be believed.
    Corrupt(String),
    /// The folder is another member's, or nobody's.
    NotOwned(String),
}

impl std::fmt::Display for StorageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StorageError::WriteFailed(e) => write!(f, "nothing can be written for now: {e}"),
            StorageError::DurabilityUnknown(what) => {
                write!(f, "nothing can be written any more: {what}")
            }
            StorageError::Corrupt(what) => write!(f, "what is on disk can't be believed: {what}"),
            StorageError::NotOwned(what) => write!(f, "{what}"),
        }
    }
}

/// What was found at a start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredState {
    /// When the folder was made, this was drawn.
    pub incarnation: u64,
    /// Term and vote.
    pub hard: HardState,
    /// What the snapshot stands for.
    pub base: SnapshotMetadata,
    /// The snapshot's state.
    pub state: Vec<u8>,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// Bytes of a write that was under way and is not believed.
    pub discarded_bytes: usize,
}

#[derive(Serialize, Deserialize)]
struct Record {
    hard: Option<HardState>,
    truncate: Option<Index>,
    append: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    meta: SnapshotMetadata,
    state: Vec<u8>,
}

/// A segment: its number, its bytes and the last entry that was written up to its end.
#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    bytes: usize,
    last: Index,
}

/// A member's disk.
#[derive(Debug)]
pub struct RaftStorage<F> {
    files: F,
    hard: HardState,
    segments: Vec<Segment>,
    snapshot: Index,
    lost: Option<String>,
}

fn name(number: u64) -> String {
    format!("log-{number:016}")
}

fn snapshot_name(index: Index) -> String {
    format!("snapshot-{index:016}")
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let body = postcard::to_stdvec(value).map_err(|e| StorageError::Corrupt(e.to_string()))?;
    let length = u32::try_from(body.len()).map_err(|e| StorageError::Corrupt(e.to_string()))?;
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&checksum(length, &body).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(out)
}

fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&length.to_le_bytes());
    hash.update(body);
    hash.finalize()
}

/// The record at the start of `bytes`, and its size; `None`: there is no whole one.
fn record(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let (length, rest) = bytes.split_first_chunk()?;
    let (sum, rest) = rest.split_first_chunk()?;
    let length = u32::from_le_bytes(*length);
    let body = rest.get(..length as usize).filter(|b| b.len() <= LONGEST)?;
    // Nothing is no record: a file that the machine has lengthened with zeros holds none.
    (length > 0 && checksum(length, body) == u32::from_le_bytes(*sum))
        .then_some((body, HEAD + body.len()))
}

impl<F: Directory> RaftStorage<F> {
    /// Makes a new member's disk: a snapshot that names the first members, of nothing or of a state to begin with; or
    /// of nothing that names nobody, for one that joins.
    ///
    /// # Errors
    ///
    /// The folder is somebody's already, or can't be written.
    pub fn create(
        files: F,
        identity: &Identity,
        base: &SnapshotMetadata,
        state: &[u8],
    ) -> Result<(Self, RecoveredState), StorageError> {
        let names = files.list().map_err(StorageError::WriteFailed)?;
        // What a start that was cut short has left is no more than this.
        let none = [
            snapshot_name(0),
            format!("{}.new", snapshot_name(0)),
            format!("{IDENTITY}.new"),
        ];
        if let Some(other) = names.iter().find(|n| !none.contains(n)) {
            return Err(StorageError::NotOwned(format!(
                "this folder is a member's already: it holds {other}"
            )));
        }
        let mut disk = RaftStorage {
            files,
            hard: HardState::default(),
            segments: Vec::new(),
            snapshot: 0,
            lost: None,
        };
        disk.save_snapshot(base, state)?;
        // Last: without it, nothing here is anybody's.
        disk.aside(IDENTITY, &encode(identity)?)?;
        let RaftStorage { files, .. } = disk;
        Self::open(files, &identity.cluster, identity.replica_id)
    }

    /// Opens a member's disk and reads what is kept there.
    ///
    /// # Errors
    ///
    /// It is another's, or can't be believed.
    pub fn open(
        mut files: F,
        cluster: &str,
        member: u64,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let spoilt = |what: String| StorageError::Corrupt(what);
        let io = |name: &str, e: std::io::Error| StorageError::Corrupt(format!("{name}: {e}"));
        let mut names = files.list().map_err(|e| io("folder", e))?;
        names.sort();
        if !names.iter().any(|n| n == IDENTITY) {
            return Err(StorageError::NotOwned(
                "this folder is no member's; one that lost its disk joins anew".to_owned(),
            ));
        }
        let bytes = files.read(IDENTITY).map_err(|e| io(IDENTITY, e))?;
        let found: Identity = record(&bytes)
            .and_then(|(body, _)| postcard::from_bytes(body).ok())
            .ok_or_else(|| spoilt(format!("{IDENTITY}: no record")))?;
        if found.cluster != cluster || found.replica_id != member {
            return Err(StorageError::NotOwned(format!(
                "this folder is member {} of {}",
                found.replica_id, found.cluster
            )));
        }
        let mut kept = RecoveredState {
            incarnation: found.incarnation,
            ..RecoveredState::default()
        };
        // A snapshot has its name only once it is whole: one that is spoilt was whole before.
        let Some(latest) = names
            .iter()
            .rev()
            .find(|n| n.starts_with("snapshot-") && !n.ends_with(".new"))
        else {
            return Err(spoilt("no snapshot".to_owned()));
        };
        let bytes = files.read(latest).map_err(|e| io(latest, e))?;
        let snapshot: Snapshot = record(&bytes)
            .and_then(|(body, _)| postcard::from_bytes(body).ok())
            .ok_or_else(|| spoilt(format!("{latest}: no record")))?;
        (kept.base, kept.state) = (snapshot.meta, snapshot.state);
        // What a crash left of others is of no use; what can't go now goes another time.
        for old in names
            .iter()
            .filter(|n| (n.starts_with("snapshot-") || n.ends_with(".new")) && *n != latest)
        {
            let _ = files.remove(old);
        }
        let mut disk = RaftStorage {
            files,
            hard: HardState::default(),
            segments: Vec::new(),
            snapshot: kept.base.index,
            lost: None,
        };
        let logs: Vec<String> = names
            .into_iter()
            .filter(|n| n.starts_with("log-"))
            .collect();
        for (n, name) in logs.iter().enumerate() {
            let number = name
                .trim_start_matches("log-")
                .parse()
                .map_err(|e| spoilt(format!("{name}: {e}")))?;
            let bytes = disk.files.read(name).map_err(|e| io(name, e))?;
            let good = disk
                .replay(&bytes, &mut kept)
                .map_err(|e| spoilt(format!("{name}: {e}")))?;
            if good < bytes.len() {
                let rest = bytes.get(good..).unwrap_or_default();
                // Only the last write of all can have been under way. What is spoilt before a good one, or in an
                // earlier segment, was durable once.
                let later =
                    (1..rest.len()).any(|at| rest.get(at..).is_some_and(|r| record(r).is_some()));
                if later || n + 1 < logs.len() {
                    return Err(spoilt(format!(
                        "{name}: a record at {good} is spoilt, and others follow"
                    )));
                }
                kept.discarded_bytes = rest.len();
                disk.files
                    .truncate(name, good as u64)
                    .map_err(|e| io(name, e))?;
                disk.files.sync(name).map_err(|e| io(name, e))?;
            }
            let last = kept.entries.last().map_or(kept.base.index, |e| e.index);
            disk.segments.push(Segment {
                number,
                bytes: good,
                last,
            });
        }
        kept.hard = disk.hard;
        // A crash between a snapshot of another member and the record that takes the old log away: what has an
        // older term than the snapshot can't follow it.
        if kept
            .entries
            .first()
            .is_some_and(|e| e.term < kept.base.term)
        {
            kept.entries.clear();
            disk.write(&[StorageWrite {
                truncate: Some(0),
                ..StorageWrite::default()
            }])?;
        }
        Ok((disk, kept))
    }

    /// Takes in all whole records; how many bytes they are.
    fn replay(&mut self, bytes: &[u8], kept: &mut RecoveredState) -> Result<usize, String> {
        let mut at = 0;
        while let Some((body, size)) = bytes.get(at..).and_then(record) {
            let record: Record =
                postcard::from_bytes(body).map_err(|e| format!("record at {at}: {e}"))?;
            self.hard = record.hard.unwrap_or(self.hard);
            if let Some(from) = record.truncate {
                let keep = kept.entries.partition_point(|e| e.index < from);
                kept.entries.truncate(keep);
            }
            for entry in record
                .append
                .into_iter()
                .filter(|e| e.index > kept.base.index)
            {
                let next = kept.entries.last().map_or(kept.base.index, |e| e.index) + 1;
                if entry.index != next {
                    return Err(format!(
                        "record at {at}: entry {} where {next} should be",
                        entry.index
                    ));
                }
                kept.entries.push(entry);
            }
            at += size;
        }
        Ok(at)
    }

    fn usable(&self) -> Result<(), StorageError> {
        self.lost.as_ref().map_or(Ok(()), |what| {
            Err(StorageError::DurabilityUnknown(what.clone()))
        })
    }

    fn lose(&mut self, what: String) -> StorageError {
        self.lost = Some(what.clone());
        StorageError::DurabilityUnknown(what)
    }

    /// Makes writes durable, all with one sync.
    ///
    /// # Errors
    ///
    /// [`StorageError::WriteFailed`]: none of them is on disk, and they may be tried again. [`StorageError::DurabilityUnknown`]: the member stops.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<(), StorageError> {
        self.usable()?;
        if self.segments.last().is_none_or(|s| s.bytes >= SEGMENT) {
            self.begin_segment()?;
        }
        let Some(segment) = self.segments.last().copied() else {
            return Err(StorageError::DurabilityUnknown("no segment".into()));
        };
        let (mut bytes, mut last, mut hard) = (Vec::new(), segment.last, self.hard);
        for w in writes {
            hard = w.hard.unwrap_or(hard);
            last = w
                .truncate
                .map_or(last, |from| last.min(from.saturating_sub(1)));
            last = w.append.last().map_or(last, |e| e.index);
            let record = Record {
                hard: w.hard,
                truncate: w.truncate,
                append: w.append.clone(),
            };
            bytes.extend(encode(&record)?);
        }
        let file = name(segment.number);
        if let Err(e) = self.files.append(&file, &bytes) {
            // A part may be there, and would be taken for a write that was cut short; it goes, or all ends.
            return Err(match self.files.truncate(&file, segment.bytes as u64) {
                Ok(()) => StorageError::WriteFailed(e),
                Err(again) => self.lose(format!("{file}: {e}, and then {again}")),
            });
        }
        // After this, the machine may have dropped what it could not write: a second try could only seem to do it.
        self.files
            .sync(&file)
            .map_err(|e| self.lose(format!("{file}: sync: {e}")))?;
        self.hard = hard;
        if let Some(s) = self.segments.last_mut() {
            (s.bytes, s.last) = (s.bytes + bytes.len(), last);
        }
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), StorageError> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let last = self.segments.last().map_or(self.snapshot, |s| s.last);
        let head = encode(&Record {
            hard: Some(self.hard),
            truncate: None,
            append: Vec::new(),
        })?;
        let file = name(number);
        if let Err(e) = self.files.append(&file, &head) {
            return Err(match self.files.remove(&file) {
                Ok(()) => StorageError::WriteFailed(e),
                Err(again) => self.lose(format!("{file}: {e}, and then {again}")),
            });
        }
        self.files
            .sync(&file)
            .map_err(|e| self.lose(format!("{file}: sync: {e}")))?;
        self.files
            .sync_dir()
            .map_err(|e| self.lose(format!("folder: sync: {e}")))?;
        self.segments.push(Segment {
            number,
            bytes: head.len(),
            last,
        });
        Ok(())
    }

    /// Writes a file aside and gives it its name once it is whole and durable.
    fn aside(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let new = format!("{name}.new");
        if self.files.list().is_ok_and(|names| names.contains(&new)) {
            self.files.remove(&new).map_err(StorageError::WriteFailed)?;
        }
        if let Err(e) = self.files.append(&new, bytes) {
            let _ = self.files.remove(&new);
            return Err(StorageError::WriteFailed(e));
        }
        self.files
            .sync(&new)
            .map_err(|e| self.lose(format!("{new}: sync: {e}")))?;
        self.files
            .rename(&new, name)
            .map_err(|e| self.lose(format!("{new}: rename: {e}")))?;
        self.files
            .sync_dir()
            .map_err(|e| self.lose(format!("folder: sync: {e}")))
    }

    /// Keeps a snapshot in place of the one before, and lets go of segments that it covers. Entries after it stay.
    ///
    /// # Errors
    ///
    /// As [`RaftStorage::write`]; the snapshot before still holds.
    pub fn save_snapshot(
        &mut self,
        meta: &SnapshotMetadata,
        state: &[u8],
    ) -> Result<(), StorageError> {
        self.usable()?;
        self.aside(
            &snapshot_name(meta.index),
            &encode(&Snapshot {
                meta: meta.clone(),
                state: state.to_vec(),
            })?,
        )?;
        let before = std::mem::replace(&mut self.snapshot, meta.index);
        // What is no longer needed goes; what can't go is read over at the next start, and goes then.
        if before != meta.index {
            let _ = self.files.remove(&snapshot_name(before));
        }
        while let [first, _, ..] = self.segments.as_slice() {
            if first.last > meta.index || self.files.remove(&name(first.number)).is_err() {
                break;
            }
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Puts a snapshot of another member in place of all that is here but term and vote.
    ///
    /// # Errors
    ///
    /// As [`RaftStorage::write`].
    pub fn install_snapshot(
        &mut self,
        meta: &SnapshotMetadata,
        state: &[u8],
        follows: &[Entry],
    ) -> Result<(), StorageError> {
        self.save_snapshot(meta, state)?;
        // From here on the log is what follows the snapshot: the rest is taken away by a record of its own.
        let write = StorageWrite {
            truncate: Some(0),
            append: follows.to_vec(),
            ..StorageWrite::default()
        };
        self.write(&[write])
    }

    /// Bytes of the log on disk.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// The files, for tests and for closing.
    #[must_use]
    pub fn into_files(self) -> F {
        self.files
    }
}
