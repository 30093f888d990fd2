//! What can go wrong with a replica's storage.

use std::io;

/// Why storage can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk is full, or takes nothing for another reason. Nothing was written, and the same
    /// may be retried.
    #[error("nothing can be written for now: {0}")]
    WriteFailed(#[source] io::Error),
    /// It is not known what is durable, so nothing can be written any more: the replica has to
    /// stop.
    #[error("nothing can be written any more: {0}")]
    DurabilityUnknown(String),
    /// What is on disk is damaged. The replica has to be replaced by a new one.
    #[error("what is on disk can't be believed: {0}")]
    Corrupt(#[from] Corruption),
    /// The folder belongs to another replica, or to nobody.
    #[error(transparent)]
    NotOwned(#[from] OwnershipError),
}

/// What is damaged, or can't be put on disk in the first place.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A file, or the folder itself, can't be read or repaired.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// A file that is one record holds none.
    #[error("{file}: no record")]
    NoRecord {
        /// The file.
        file: String,
    },
    /// There is no snapshot; every replica begins with one.
    #[error("no snapshot")]
    NoSnapshot,
    /// The name of a segment is not a number.
    #[error("{file}: {source}")]
    SegmentName {
        /// The file.
        file: String,
        /// The cause.
        source: std::num::ParseIntError,
    },
    /// A record has the right checksum, but its content can't be decoded.
    #[error("{file}: record at {offset}: {source}")]
    Undecodable {
        /// The file.
        file: String,
        /// The place of the record, in bytes.
        offset: usize,
        /// The cause.
        source: postcard::Error,
    },
    /// An entry is missing.
    #[error("{file}: record at {offset}: entry {actual} where {expected} should be")]
    MissingEntry {
        /// The file.
        file: String,
        /// The place of the record, in bytes.
        offset: usize,
        /// The index in the record.
        actual: u64,
        /// The index that comes next in the log.
        expected: u64,
    },
    /// A record that others follow is damaged: it was durable once.
    #[error("{file}: a record at {offset} is spoilt, and others follow")]
    DamagedRecord {
        /// The file.
        file: String,
        /// The place of the record, in bytes.
        offset: usize,
    },
    /// A value can't be encoded.
    #[error("{0}")]
    Encoding(postcard::Error),
    /// A value is too long for a record.
    #[error("{0}")]
    RecordTooLong(std::num::TryFromIntError),
}

impl Corruption {
    /// For `map_err` on the I/O of a file.
    pub(crate) fn io_error(file: &str) -> impl FnOnce(io::Error) -> Corruption + '_ {
        move |source| Corruption::Io {
            file: file.to_owned(),
            source,
        }
    }
}

/// Whose a folder is, if it is not this replica's.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum OwnershipError {
    /// A new replica can't be made in a folder that is in use.
    #[error("this folder is a member's already: it holds {file}")]
    InUse {
        /// A file that is there.
        file: String,
    },
    /// The folder was never made for a replica, or its identity is missing.
    #[error("this folder is no member's; one that lost its disk joins anew")]
    Unowned,
    /// The folder is another replica's.
    #[error("this folder is member {replica_id} of {cluster}")]
    OtherReplica {
        /// The id of its owner.
        replica_id: u64,
        /// The cluster of its owner.
        cluster: String,
    },
}
