//! Snapshots of what operators and clients see: help texts, settings, metrics, paths with the keys
//! of their responses, and exit codes. The tests also check the small files that the processes of
//! one gateway share in `$TMPDIR`.
//!
//! Values that differ from run to run are masked. A refactoring must not change a snapshot.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod answers;
mod command_line;
mod shared_files;
#[path = "../support/mod.rs"]
mod support;
