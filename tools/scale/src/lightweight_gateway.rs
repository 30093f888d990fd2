//! Lightweight gateways ("hollow front ends" on the command line): the control plane of
//! `violetgate serve` without client and engine connections, about a thousand in one process.
//!
//! They run the real parts of the gateway. This module only starts them, observes them and reports
//! on them.

pub mod change_sequence;
mod error;
mod gateway;
mod part;
pub mod process;
mod progress;
pub mod protocol;

pub use error::LightweightGatewayError;
pub use part::Part;
