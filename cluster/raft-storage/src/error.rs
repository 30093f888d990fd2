//! The errors of a replica's storage.

use std::io;

/// The reason why storage can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The write failed, for example because the disk is full. Nothing was written, and the same
    /// write may be retried.
    #[error("nothing can be written for now: {0}")]
    WriteFailed(#[source] io::Error),
    /// A sync, a rename or the undoing of a failed append failed, so it is unknown what is durable.
    /// All further writes fail, and the replica must stop.
    #[error("nothing can be written any more: {0}")]
    DurabilityUnknown(String),
    /// The stored data is damaged. The replica must be replaced by a new one.
    #[error("what is on disk can't be believed: {0}")]
    Corrupt(#[from] Corruption),
    /// The folder belongs to another replica, belongs to none, or is already in use.
    #[error(transparent)]
    NotOwned(#[from] OwnershipError),
}

/// The kind and the place of damaged data, or of a value that can't be stored.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A file, or the folder itself, can't be read or repaired.
    #[error("{file}: {source}")]
    Io {
        /// The name of the file, or `folder` for the folder itself.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file that should consist of one record holds no valid record.
    #[error("{file}: no record")]
    NoRecord {
        /// The name of the file.
        file: String,
    },
    /// There is no snapshot, although every replica is created with one.
    #[error("no snapshot")]
    NoSnapshot,
    /// The part of a segment's file name after the prefix is not a number.
    #[error("{file}: {source}")]
    SegmentName {
        /// The name of the file.
        file: String,
        /// The error from parsing the number.
        source: std::num::ParseIntError,
    },
    /// A record has a valid checksum, but its content can't be decoded.
    #[error("{file}: record at {offset}: {source}")]
    Undecodable {
        /// The name of the file.
        file: String,
        /// The offset of the record in the file, in bytes.
        offset: usize,
        /// The error from decoding the record.
        source: postcard::Error,
    },
    /// A record's entry doesn't follow the previous entry of the log.
    #[error("{file}: record at {offset}: entry {actual} where {expected} should be")]
    MissingEntry {
        /// The name of the file.
        file: String,
        /// The offset of the record in the file, in bytes.
        offset: usize,
        /// The index of the entry in the record.
        actual: u64,
        /// The index that comes next in the log.
        expected: u64,
    },
    /// A record is damaged although later data follows it. It was durable before, so it is not an
    /// interrupted write.
    #[error("{file}: a record at {offset} is spoilt, and others follow")]
    DamagedRecord {
        /// The name of the file.
        file: String,
        /// The offset of the record in the file, in bytes.
        offset: usize,
    },
    /// A value to be stored can't be encoded.
    #[error("{0}")]
    Encoding(postcard::Error),
    /// The encoded value is longer than the length field of a record can express.
    #[error("{0}")]
    RecordTooLong(std::num::TryFromIntError),
}

impl Corruption {
    /// Returns a function that adds the file name to an I/O error, for use with `map_err`.
    pub(crate) fn io_error(file: &str) -> impl FnOnce(io::Error) -> Corruption + '_ {
        move |source| Corruption::Io {
            file: file.to_owned(),
            source,
        }
    }
}

/// The reason why a replica must not use a folder.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum OwnershipError {
    /// A new replica can't be created in a folder that already holds files.
    #[error("this folder is a member's already: it holds {file}")]
    InUse {
        /// The name of a file in the folder.
        file: String,
    },
    /// The folder was not created for a replica, or its identity file is missing.
    #[error("this folder is no member's; one that lost its disk joins anew")]
    Unowned,
    /// The folder belongs to another replica or another cluster.
    #[error("this folder is member {replica_id} of {cluster}")]
    OtherReplica {
        /// The id of the replica that owns the folder.
        replica_id: u64,
        /// The name of the owner's cluster.
        cluster: String,
    },
}
