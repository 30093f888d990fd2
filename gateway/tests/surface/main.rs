//! What operators and clients see, as snapshots: help texts, settings, metrics, paths with the keys
//! of their answers, and exit codes; and the small files that the processes of one instance share
//! in `$TMPDIR`.
//!
//! Values that differ from run to run are masked. A refactoring leaves every snapshot as it is.
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
