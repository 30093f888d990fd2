//! The commit index, and the hand-over of committed entries to the state machine.

use crate::role::RoleState;
use crate::{Action, Index, LogPosition, RaftNode};

impl RaftNode {
    /// Commits what a majority has durably, if the last of it is of the leader's own term. An
    /// entry of an earlier term that a majority has may still be overwritten (section 5.4.2 of the
    /// paper).
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
        // The others learn of it with the next entries, or with the next heartbeat.
        self.commit = index;
        self.confirm_reads();
        if !self.is_voter() && self.membership.index <= self.commit {
            // Its own removal is committed: it lets the others know, and steps down.
            self.begin_heartbeat_round();
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// The last entry that a majority has durably; `None` on a node that doesn't lead.
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

    /// Hands over the entries that are committed, and durable here, in batches.
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
