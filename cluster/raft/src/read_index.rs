//! Linearizable reads by the read-index protocol (section 6.4 of Ongaro's thesis).
//!
//! The leader records its commit index, and answers with it once a majority has responded to a
//! heartbeat round that began after the read. That proves that it was still the leader when the
//! read began. A node that has applied all entries up to that index may serve the read.

use crate::role::RoleState;
use crate::{Action, Index, Message, NodeId, RaftNode};

/// A read for which the leader waits until a majority has answered a heartbeat round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    pub(crate) read_id: u64,
    /// The node that requested the read, possibly the leader itself.
    pub(crate) from: NodeId,
    /// The index up to which entries must be applied before the read is served.
    index: Index,
    /// The heartbeat round that a majority must answer.
    pub(crate) round: u64,
}

impl RaftNode {
    /// Requests the index that this node must have applied to serve a linearizable read. The
    /// result is [`Action::ReadReady`] or [`Action::ReadFailed`]. If messages are dropped there may
    /// be no result, and the caller must retry.
    pub fn read_index(&mut self, read_id: u64) {
        match (&self.role, self.leader) {
            (RoleState::Leader(_), _) => self.begin_read(self.id, read_id),
            (_, Some(leader)) => self.send_now(leader, Message::ReadIndex { read_id }),
            _ => self.actions.push(Action::ReadFailed { read_id }),
        }
    }

    pub(crate) fn begin_read(&mut self, from: NodeId, read_id: u64) {
        let RoleState::Leader(leader) = &mut self.role else {
            return self.answer_read(from, read_id, None);
        };
        leader.pending_reads.push(PendingRead {
            read_id,
            from,
            // Until an entry of its own term is committed, a leader doesn't know the last index
            // that earlier leaders have committed.
            index: self.commit.max(leader.first_index),
            round: leader.round + 1,
        });
        leader.has_unsent = true;
    }

    /// Answers the pending reads whose heartbeat round a majority has answered and whose index is
    /// committed.
    pub(crate) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = &leader.progress;
        let is_confirmed = |read: &PendingRead| {
            let answered = |peer: NodeId| {
                let answered_round = progress.get(&peer).map(|p| p.answered_round);
                peer == self.id || answered_round.is_some_and(|round| round >= read.round)
            };
            read.round <= leader.round
                && self.commit >= read.index
                && self.membership.membership.is_quorum(answered)
        };
        let pending = std::mem::take(&mut leader.pending_reads);
        let (confirmed, pending): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_confirmed);
        leader.pending_reads = pending;
        for read in confirmed {
            self.answer_read(read.from, read.read_id, Some(read.index));
        }
    }

    pub(crate) fn on_read_index_response(&mut self, read_id: u64, index: Option<Index>) {
        self.actions.push(match index {
            Some(index) => Action::ReadReady { read_id, index },
            None => Action::ReadFailed { read_id },
        });
    }

    /// Answers the node that requested a read. `index` is `None` if this node is not the leader.
    pub(crate) fn answer_read(&mut self, from: NodeId, read_id: u64, index: Option<Index>) {
        if from == self.id {
            self.on_read_index_response(read_id, index);
        } else {
            self.send_now(from, Message::ReadIndexResponse { read_id, index });
        }
    }
}
