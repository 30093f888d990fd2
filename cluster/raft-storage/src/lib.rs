//! What a member keeps on disk: who it is, what it has promised (term and vote), its log, and its latest snapshot.
//!
//! [`RaftStorage`] does all I/O through [`Directory`], so that tests can cut a file at any byte, fail a sync or fill the disk.
//! A write is durable when [`RaftStorage::write`] returns, and not before. After a sync that failed nothing is written any
//! more: what the machine then holds of earlier writes can't be known, and a member must not carry on as if it did.
//! It must never decide what is written, nor know what entries mean.

mod directory;
mod disk;

pub use directory::{Directory, FsDirectory};
pub use disk::{Identity, RaftStorage, RecoveredState, StorageError};
