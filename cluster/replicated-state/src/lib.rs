//! The replicated state machine, without I/O.
//!
//! - [`Store`] holds keys and values with revisions. Only committed [`Command`]s change it, so
//!   replicas that have applied the same commands have byte-for-byte the same state.
//! - [`StalenessGuard`] decides whether a copy of the state is recent enough to route requests.
//!
//! This crate reads no clock: commands carry the time of the leader that proposed them, and the
//! caller passes the time to the guard. Times and durations are in microseconds.
//!
//! ```
//! use violetgate_replicated_state::{Command, Mutation, Operation, Outcome, Store, Txn};
//!
//! let put = Mutation::Put { key: "limit".to_owned(), value: b"300".to_vec(), lease: None };
//! let command = Command {
//!     request_id: Some("request-1".to_owned()),
//!     actor: "operator".to_owned(),
//!     time: 1_000_000,
//!     operation: Operation::Txn(Txn { then: vec![put], ..Txn::default() }),
//! };
//! let mut store = Store::default();
//! let outcome = store.apply(&command);
//! assert_eq!(outcome, Outcome::Applied { revision: 1, conditions_held: true });
//! // A repetition of the same request changes nothing.
//! assert_eq!(store.apply(&command), outcome);
//! let limit = store.get("limit").unwrap();
//! assert_eq!((limit.revision, limit.value), (1, b"300".as_slice()));
//! ```

mod command;
mod entries;
mod staleness_guard;
mod store;

pub use command::{Command, CommandError, Condition, Mutation, Operation, Outcome, Txn};
pub use entries::{CurrentValue, Entries, KeyValue};
pub use staleness_guard::{Stale, StalenessGuard};
pub use store::{
    Compacted, DecodeError, KeyChange, Listing, Store, MAX_KEY_BYTES, MAX_TXN_LENGTH,
    MAX_VALUE_BYTES,
};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// The number of a state of the store. The empty store has revision 0, and each command that
/// changes a key creates the next revision.
pub type Revision = u64;
