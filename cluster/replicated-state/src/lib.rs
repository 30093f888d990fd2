//! What the daemon's members agree on, without I/O.
//!
//! - [`Store`]: keyed entries with revisions, changed by agreed [`Command`]s alone, so that every member that has
//!   applied the same commands has the same state, to the byte.
//! - [`StalenessGuard`]: whether this member's copy is young enough to route on.
//!
//! It must never read a clock: commands carry the time of the leader that proposed them, the gate is told the time.

mod entries;
mod staleness_guard;
mod store;

pub use entries::Entries;
pub use staleness_guard::{Stale, StalenessGuard};
pub use store::{
    Command, CommandError, Compacted, Condition, KeyChange, Listing, Mutation, Operation, Outcome,
    Store, Txn, MAX_KEY, MAX_OPS, MAX_VALUE,
};

/// A moment or a span in microseconds.
pub type Micros = u64;
/// A state of the store; each change makes the next one, from 1.
pub type Revision = u64;
