//! Shared parts of the acceptance tests: gateway processes and clusters of them, their CPU time and
//! memory, and an open-loop load generator.
//!
//! Each test is a separate program in `src/bin`, which `make prove-NAME` runs. Its last line of
//! output holds the figures that it measured.

pub mod cluster;
mod error;
mod gateway;
pub mod in_process;
pub mod load;
pub mod network;
pub mod slow_start;
mod verdict;

pub use error::{AcceptanceError, Result};
pub use gateway::{ConfiguredLimits, Gateway};
pub use load::{open_loop, LoadResult};
pub use verdict::{exit_code, Verdict};
