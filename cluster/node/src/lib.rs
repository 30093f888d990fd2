//! A member of the daemon's cluster at work: [`Cluster`] carries out what [`violetgate_member::Member`] asks for, over
//! TCP to the other members ([`transport`]) and on a disk that a thread of its own writes.
//!
//! It decides nothing: who leads, what is agreed on and whether state may be routed on is the member's.

mod clock;
mod connection;
mod runtime;
pub mod transport;
mod wire;

pub use runtime::{Answered, Beginning, Cluster, OnApplied, Options, Status};
pub use wire::{Call, Frame};
