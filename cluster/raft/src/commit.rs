//! Advances the commit index and passes committed entries to the state machine.

use crate::role::RoleState;
use crate::{Action, Index, LogPosition, RaftNode};

impl RaftNode {
    /// Commits the entries that are durable on a majority, if the last of them is of the leader's
    /// own term. An entry of an earlier term may still be overwritten although a majority has it
    /// (section 5.4.2 of the Raft paper).
    pub(crate) fn advance_commit(&mut self) {
        let Some(index) = self.majority_index() else {
            return;
        };
        let of_this_term = LogPosition {
            term: self.hard_state.term,
            index,
        };
        if index <= self.commit || !self.log.contains(of_this_term) {
            return;
        }
        let committed_bytes = (self.commit + 1..=index)
            .filter_map(|index| self.log.get(index))
            .map(|entry| entry.payload.approximate_bytes())
            .sum();
        if let RoleState::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(committed_bytes);
        }
        // The followers learn the new commit index from the next message with entries or the next
        // heartbeat.
        self.commit = index;
        self.confirm_reads();
        if !self.is_voter() && self.membership.index <= self.commit {
            // This leader's own removal is committed. A last heartbeat round passes the commit
            // index on to the followers, then the leader steps down.
            self.begin_heartbeat_round();
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Returns the highest index that is durable on a majority, or `None` on a node that is not
    /// the leader.
    fn majority_index(&self) -> Option<Index> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let membership = self.membership();
        let mut indexes: Vec<Index> = membership
            .voters
            .iter()
            .map(|voter| match leader.progress.get(voter) {
                _ if *voter == self.id => self.writes.durable(),
                Some(progress) => progress.match_index,
                None => 0,
            })
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        Some(indexes.get(membership.quorum() - 1).copied().unwrap_or(0))
    }

    /// Requests that the entries that are committed and durable on this node be applied, in
    /// batches of at most `max_apply_batch` entries.
    pub(crate) fn apply_committed(&mut self) {
        let ready = self.commit.min(self.writes.durable());
        while self.applied < ready {
            let batch_end = ready.min(self.applied + self.config.max_apply_batch as u64);
            let entries: Vec<_> = (self.applied + 1..=batch_end)
                .map_while(|index| self.log.get(index).cloned())
                .collect();
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return;
            };
            self.applied = last;
            self.actions.push(Action::Apply(entries));
        }
    }
}
