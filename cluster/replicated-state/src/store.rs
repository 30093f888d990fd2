//! The replicated store: keys and values with revisions, leases, and the outcomes of requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Command, CommandError, CurrentValue, Micros, Operation, Outcome, Revision};

mod change_log;
mod idempotency;
mod leases;
mod revisions;
mod transactions;
mod watches;

pub use revisions::{Compacted, Listing};
pub use transactions::{MAX_KEY_BYTES, MAX_TXN_LENGTH, MAX_VALUE_BYTES};
pub use watches::KeyChange;

use change_log::ChangeLog;
use idempotency::RequestOutcomes;
use revisions::Version;
use transactions::LiveSize;

/// The state that all replicas share.
///
/// Snapshots hold it in the postcard encoding, so the order and the types of the fields define the
/// snapshot format.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    revision: Revision,
    /// The earliest revision that can be read. Earlier revisions were discarded by compaction.
    first_revision: Revision,
    /// The latest time in any applied command, in microseconds.
    time: Micros,
    /// The versions of each key that can still be read, oldest first.
    keys: BTreeMap<String, Vec<Version>>,
    live_size: LiveSize,
    changes: ChangeLog,
    /// The expiry time of each lease by its id, in microseconds.
    leases: BTreeMap<u64, Micros>,
    requests: RequestOutcomes,
}

/// The error for bytes that are not an encoded store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(#[source] postcard::Error);

impl Store {
    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the current value of a key, or `None` if the key does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<CurrentValue<'_>> {
        let latest = self.keys.get(key)?.last()?;
        let value = latest.value.as_ref()?;
        Some(CurrentValue {
            revision: latest.revision,
            value: &value.bytes,
        })
    }

    /// Applies a committed command and returns its outcome. A command whose request id is still
    /// remembered changes nothing and returns the remembered outcome.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let request_id = command.request_id.as_deref();
        if let Some(known) = request_id.and_then(|id| self.requests.outcome(id)) {
            return known.clone();
        }
        self.time = self.time.max(command.time);
        let outcome = match self.execute(command) {
            Ok(conditions_held) => Outcome::Applied {
                revision: self.revision,
                conditions_held,
            },
            Err(error) => Outcome::Rejected(error),
        };
        self.limit_history();
        if let Some(id) = request_id {
            self.requests.remember(id, &outcome);
        }
        outcome
    }

    /// Executes a command and returns the `conditions_held` of its outcome.
    fn execute(&mut self, command: &Command) -> Result<bool, CommandError> {
        let actor = &command.actor;
        match &command.operation {
            Operation::Txn(txn) => self.execute_transaction(txn, actor),
            Operation::GrantLease { id, ttl } => {
                self.grant_lease(*id, *ttl);
                Ok(true)
            }
            Operation::RevokeLease(id) => self.revoke_lease(*id, actor).map(|()| true),
            Operation::ExpireLease { id, expires_at } => {
                Ok(self.expire_lease(*id, *expires_at, actor))
            }
            Operation::Compact(revision) if *revision > self.revision => {
                Err(CommandError::FutureRevision)
            }
            Operation::Compact(revision) => {
                self.compact(*revision);
                Ok(true)
            }
        }
    }

    /// Returns the outcome of an earlier request with this id, if it is still remembered.
    #[must_use]
    pub fn outcome(&self, request_id: &str) -> Option<&Outcome> {
        self.requests.outcome(request_id)
    }

    /// Encodes the complete state. Equal states have equal encodings on every replica.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the state in a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot of a store.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeError> {
        postcard::from_bytes(bytes).map_err(DecodeError)
    }
}
