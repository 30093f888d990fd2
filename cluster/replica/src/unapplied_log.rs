//! The part of the log that is not applied yet after a restart.
//!
//! A replica that has restarted has its log, but learns only from a leader which entries are
//! committed. What it needs in order to reach the other replicas, and so to elect that leader, it
//! takes from the log itself, as Raft does with the membership.

use violetgate_raft::{Index, LogPosition, Payload, RaftNode};
use violetgate_replicated_state::{Command, Store};

use crate::Replica;

/// The end of the log that a replica has read from its storage at its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecoveredLog {
    end: LogPosition,
}

impl RecoveredLog {
    pub(crate) fn of(raft: &RaftNode) -> Self {
        RecoveredLog {
            end: raft.log().last(),
        }
    }

    /// Returns whether an entry at this position can only be applied after all entries of the
    /// recovered log, except those that a later leader has replaced.
    fn is_applied_at(&self, applied: LogPosition) -> bool {
        applied.index >= self.end.index || applied.term > self.end.term
    }
}

impl Replica {
    /// Returns whether the log that the replica has recovered at its start is applied, as far as
    /// no leader has replaced it.
    #[must_use]
    pub fn has_applied_recovered_log(&self) -> bool {
        self.recovered_log.is_applied_at(self.applied)
    }

    /// Returns the state that results if all entries of the log are committed. They may still be
    /// replaced, so no request may be answered or routed by this state.
    #[must_use]
    pub fn store_at_log_end(&self) -> Store {
        let mut store = self.store.clone();
        let log = self.raft.log();
        let unapplied = self.applied.index + 1..=log.last_index();
        for command in unapplied.filter_map(|index| command_at(&self.raft, index)) {
            store.apply(&command);
        }
        store
    }
}

/// Returns the command in the log entry at an index; `None` if the entry has no command, or one
/// that can't be decoded.
fn command_at(raft: &RaftNode, index: Index) -> Option<Command> {
    match &raft.log().get(index)?.payload {
        Payload::Command(bytes) => postcard::from_bytes(bytes).ok(),
        Payload::Blank | Payload::Membership(_) => None,
    }
}
