//! Scale tests: what each role costs as its size grows, and the size at which it exceeds its
//! budget.
//!
//! Each role has a module with a function `measure`, which runs the gateway's own code at several
//! sizes and adds its figures. docs/CAPACITY.md is based on these figures.

pub mod client_side;
pub mod decisions;
pub mod engine_list;
pub mod engine_side;
pub mod error;
pub mod figures;
pub mod fit;
pub mod fleet_run;
pub mod gateway_driver;
mod gateway_process;
pub mod lightweight_gateway;
pub mod membership;
pub mod page;
pub mod replicated_state;
pub mod slope;
mod usage;

pub use error::ScaleError;
pub use figures::{Figures, Options};
