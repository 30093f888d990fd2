//! Proposals of commands, and the reasons for which the leader rejects one.

use serde::{Deserialize, Serialize};

use crate::role::RoleState;
use crate::{Entry, LogPosition, Payload, RaftNode};

/// The reason why a proposal, a membership change or a leadership transfer was rejected. A rejected
/// call has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProposalError {
    /// This node is not the leader.
    #[error("this replica is not the leader")]
    NotLeader,
    /// An earlier membership change, or the first entry of this term, is not committed yet.
    #[error("an earlier change is not committed yet; retry later")]
    ChangeInProgress,
    /// The id of the new replica was assigned before. Ids are never reused.
    #[error("the id was assigned before; ids are never reused")]
    IdAlreadyUsed,
    /// There is no such replica, or it doesn't have the role (voter or learner) that the call
    /// requires.
    #[error("there is no such replica, or it is of another kind")]
    UnknownMember,
    /// The learner lacks too many entries to be promoted.
    #[error("the learner has not caught up yet; retry later")]
    LearnerBehind,
    /// The change would remove the last voter.
    #[error("the last voter can't be removed")]
    LastVoter,
    /// Too many bytes are uncommitted, or leadership is being transferred. The replica runtime also
    /// returns this error if too many calls are waiting.
    #[error("too much is uncommitted, or leadership is being transferred; retry later")]
    Busy,
}

impl RaftNode {
    /// Proposes a command, and returns the position of its entry. The command is committed only if
    /// the entry committed at that index has the same term.
    ///
    /// # Errors
    ///
    /// Returns an error if this node is not the leader, or if it accepts no proposals at the
    /// moment.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogPosition, ProposalError> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(ProposalError::NotLeader);
        };
        if leader.transfer.is_some() || leader.uncommitted_bytes > self.config.max_uncommitted_bytes
        {
            return Err(ProposalError::Busy);
        }
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Appends an entry of the current term to the leader's own log.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> LogPosition {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let position = entry.position();
        if let RoleState::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes += entry.payload.approximate_bytes();
            leader.has_unsent = true;
        }
        self.log.push(entry.clone());
        self.persist_appended(entry);
        position
    }
}
