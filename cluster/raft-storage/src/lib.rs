//! Durable storage of a replica: its identity, its hard state (term and vote), its log and its
//! latest snapshot.
//!
//! | file | content |
//! | --- | --- |
//! | `member` | one record with the [`Identity`]; a folder without it belongs to no replica |
//! | `log-N` | segment N of the log, from 1; begins with the hard state, so older segments can go |
//! | `snapshot-I` | one record with the snapshot up to entry I |
//! | `*.new` | an incomplete file whose writing was interrupted; it is ignored |
//!
//! A record consists of its length and a checksum (4 bytes each, little-endian), then a postcard
//! value. Each [`StorageWrite`](violetgate_raft::StorageWrite) is stored as one record, so it is
//! recovered completely or not at all.
//!
//! [`RaftStorage`] does all I/O through [`Directory`], so that tests can truncate a file at any
//! byte, fail a sync or fill the disk. A write is durable when [`RaftStorage::write`] returns `Ok`,
//! and not before. After a failed sync all further writes fail: the operating system may have
//! dropped the data that it could not write, so a retry could succeed without making it durable.
//!
//! ```
//! use violetgate_raft::{HardState, Membership, SnapshotMetadata, StorageWrite};
//! use violetgate_raft_storage::{FsDirectory, Identity, RaftStorage};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let path = std::env::temp_dir().join(format!("raft-storage-doc-{}", std::process::id()));
//! let identity = Identity { cluster: "demo".to_owned(), replica_id: 1, incarnation: 42 };
//! let first = SnapshotMetadata { membership: Membership::bootstrap([1]), ..Default::default() };
//! let (mut storage, _) = RaftStorage::create(FsDirectory::new(&path)?, &identity, &first, &[])?;
//! let hard_state = HardState { term: 1, vote: Some(1) };
//! storage.write(&[StorageWrite { hard_state: Some(hard_state), ..Default::default() }])?;
//!
//! let (_, recovered) = RaftStorage::open(FsDirectory::new(&path)?, "demo", 1)?;
//! assert_eq!(recovered.hard_state, hard_state);
//! # std::fs::remove_dir_all(&path)?;
//! # Ok(())
//! # }
//! ```

mod directory;
mod error;
mod identity;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod storage;

pub use directory::{Directory, FsDirectory};
pub use error::{Corruption, OwnershipError, StorageError};
pub use identity::Identity;
pub use recovery::RecoveredState;
pub use storage::RaftStorage;
