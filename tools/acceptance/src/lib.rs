//! What all acceptance tests share: the gateway under test, its use of the machine, and a load that
//! does not wait for answers. Each test is a command of its own in `src/bin`, run by
//! `make prove-NAME`; its last line holds its figures.

pub mod cluster;
mod error;
mod gateway;
pub mod in_process;
pub mod load;
pub mod network;
pub mod slow_start;
mod verdict;

pub use error::{AcceptanceError, Result};
pub use gateway::Gateway;
pub use load::{open_loop, LoadResult};
pub use verdict::{exit_code, Verdict};
