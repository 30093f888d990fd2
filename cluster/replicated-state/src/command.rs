//! The commands that the replicas agree on, and their outcomes.
//!
//! Commands and outcomes are stored and sent in the postcard encoding. The order of variants and
//! fields defines the format; their names are not encoded.

use serde::{Deserialize, Serialize};

use crate::{Micros, Revision};

/// A condition that decides which changes a transaction makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Holds if the key was last changed in this revision. Revision 0 stands for a key that does
    /// not exist.
    RevisionIs(String, Revision),
    /// Holds if the key exists and has this value.
    ValueIs(String, Vec<u8>),
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Sets a key to a value. The key is created if it does not exist.
    Put {
        /// The key to set, 1 to [`MAX_KEY_BYTES`](crate::MAX_KEY_BYTES) long.
        key: String,
        /// The new value, at most [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES) long.
        value: Vec<u8>,
        /// The lease that the key is attached to: the key is deleted when the lease ends.
        lease: Option<u64>,
    },
    /// Deletes a key. Has no effect if the key does not exist.
    Delete(String),
}

/// A transaction. Depending on its conditions, one of two lists of changes is applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions. Without any, `then` is applied.
    pub conditions: Vec<Condition>,
    /// The changes to apply if all conditions hold.
    pub then: Vec<Mutation>,
    /// The changes to apply if at least one condition does not hold.
    pub otherwise: Vec<Mutation>,
}

/// The operation that a command carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Runs a transaction on the keys.
    Txn(Txn),
    /// Grants a lease, or renews the lease that already has this id.
    GrantLease {
        /// The id of the lease, chosen by its holder.
        id: u64,
        /// The duration of the lease in microseconds, counted from the store's time when the
        /// command is applied.
        ttl: Micros,
    },
    /// Ends the lease with this id at its holder's request.
    RevokeLease(u64),
    /// Ends a lease that has expired. Has no effect if the lease was renewed in the meantime.
    ExpireLease {
        /// The id of the lease.
        id: u64,
        /// The expiry time that the leader saw, in microseconds. A renewed lease has another one.
        expires_at: Micros,
    },
    /// Discards the history before this revision. The revision itself can still be read.
    Compact(Revision),
}

/// A command for the replicated state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The idempotency key, chosen by the client. A repeated request gets the outcome of the first
    /// one and changes nothing.
    pub request_id: Option<String>,
    /// The originator of the request, recorded in the change log.
    pub actor: String,
    /// The proposing leader's wall-clock time in microseconds. The store's time never goes back,
    /// even if a leader's clock does.
    pub time: Micros,
    /// The operation to carry out.
    pub operation: Operation,
}

/// The reason why a command was rejected. A rejected command changes no key and no lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// A key is empty or too long, a value is too long, or the transaction has too many conditions
    /// or changes.
    #[error("a key, a value or the transaction is too large")]
    TooLarge,
    /// The command would exceed the maximum number of keys or bytes in the store.
    #[error("the store is full: delete keys")]
    StoreFull,
    /// The lease does not exist: it was never granted, or it has ended.
    #[error("there is no lease {0}: grant it first")]
    UnknownLease(u64),
    /// The revision to compact is later than the store's current revision.
    #[error("there is no such revision yet")]
    FutureRevision,
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was carried out.
    Applied {
        /// The store's revision after the command.
        revision: Revision,
        /// For a transaction, whether its conditions held. For [`Operation::ExpireLease`], whether
        /// the lease was ended. Otherwise `true`.
        conditions_held: bool,
    },
    /// The command was rejected and changed no key and no lease.
    Rejected(CommandError),
}
