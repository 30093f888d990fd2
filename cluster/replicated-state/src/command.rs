//! The commands that replicas agree on, and their outcomes.
//!
//! They are stored and sent in postcard's encoding: the order of variants and fields is the
//! format, the names are free.

use serde::{Deserialize, Serialize};

use crate::{Micros, Revision};

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The key was last changed in this revision; 0: the key doesn't exist.
    RevisionIs(String, Revision),
    /// The key holds this value.
    ValueIs(String, Vec<u8>),
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: Vec<u8>,
        /// The lease with whose end the key is deleted.
        lease: Option<u64>,
    },
    /// Deletes a key, if it exists.
    Delete(String),
}

/// A transaction: all of its changes are made, or none, depending on conditions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions, all of which have to hold.
    pub conditions: Vec<Condition>,
    /// The changes if they hold.
    pub then: Vec<Mutation>,
    /// The changes if they don't.
    pub otherwise: Vec<Mutation>,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Changes keys.
    Txn(Txn),
    /// Grants or renews a lease.
    GrantLease {
        /// The lease's id, chosen by its holder.
        id: u64,
        /// How long it lasts from the command's time, in microseconds.
        ttl: Micros,
    },
    /// Ends a lease at its holder's request.
    RevokeLease(u64),
    /// Ends a lease that has expired. If it was renewed meanwhile, nothing happens.
    ExpireLease {
        /// The lease's id.
        id: u64,
        /// The expiry that was seen, in microseconds.
        expires_at: Micros,
    },
    /// Discards the history up to a revision.
    Compact(Revision),
}

/// A command for the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The idempotency key, chosen by the client: a repeated request gets the same outcome and
    /// changes nothing.
    pub request_id: Option<String>,
    /// Who made the request, for the change log.
    pub actor: String,
    /// The proposing leader's wall-clock time in microseconds. The store's time never goes back,
    /// even if a leader's does.
    pub time: Micros,
    /// What to do.
    pub operation: Operation,
}

/// Why a command did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// A key is empty or too long, a value is too long, or a transaction has too many parts.
    #[error("a key, a value or the transaction is too large")]
    TooLarge,
    /// The store is full.
    #[error("the store is full: delete keys")]
    StoreFull,
    /// The lease doesn't exist.
    #[error("there is no lease {0}: grant it first")]
    UnknownLease(u64),
    /// The revision doesn't exist yet.
    #[error("there is no such revision yet")]
    FutureRevision,
}

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was carried out.
    Applied {
        /// The store's revision after it.
        revision: Revision,
        /// For a transaction, whether its conditions held; for the expiry of a lease, whether it
        /// was ended.
        conditions_held: bool,
    },
    /// It did nothing.
    Rejected(CommandError),
}
