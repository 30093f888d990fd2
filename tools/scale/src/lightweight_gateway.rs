//! Lightweight gateways ("hollow front ends" on the command line): the control plane of
//! `violetgate serve` without client and engine connections, a thousand or so in one process.
//!
//! They run the program's own parts. What is here starts, observes and reports on them, and decides
//! nothing.

pub mod change_sequence;
mod error;
mod gateway;
mod part;
pub mod process;
mod progress;
pub mod protocol;

pub use error::LightweightGatewayError;
pub use part::Part;
