//! What a member keeps on disk: who it is, what it has promised (term and vote), its log, and its latest snapshot.
//!
//! [`Disk`] does all I/O through [`Files`], so that tests can cut a file at any byte, fail a sync or fill the disk.
//! A write is durable when [`Disk::write`] returns, and not before. After a sync that failed nothing is written any
//! more: what the machine then holds of earlier writes can't be known, and a member must not carry on as if it did.
//! It must never decide what is written, nor know what entries mean.

mod disk;
mod files;

pub use disk::{Disk, Failure, Identity, Kept};
pub use files::{Files, Folder};
