//! Log replication at a follower: appends the leader's entries if the logs match.

use crate::{AppendOutcome, Entry, Index, LogPosition, Message, NodeId, Payload, RaftNode, Term};

/// The part of [`Message::AppendEntries`] that concerns the follower's log.
pub(crate) struct AppendRequest {
    pub(crate) previous: LogPosition,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: Index,
}

impl RaftNode {
    pub(crate) fn on_append_entries(
        &mut self,
        from: NodeId,
        term: Term,
        request: AppendRequest,
        round: u64,
    ) {
        let outcome = if self.accept_leader(from, term) {
            self.append_as_follower(request)
        } else {
            // The response carries the newer term, which makes an outdated leader step down.
            AppendOutcome::Conflict(0)
        };
        let response = Message::AppendResponse {
            term: self.hard_state.term,
            outcome,
            round,
        };
        self.send_when_durable(from, response);
    }

    /// Appends the leader's entries if both logs have the same entry at `request.previous`.
    fn append_as_follower(&mut self, request: AppendRequest) -> AppendOutcome {
        let previous = request.previous;
        let base = self.log.base().index;
        if previous.index >= base && !self.log.contains(previous) {
            return AppendOutcome::Conflict(self.conflict_hint(previous));
        }
        let entries = request.entries;
        let end = entries.last().map_or(previous.index, |entry| entry.index);
        let is_known = |entry: &Entry| entry.index <= base || self.log.contains(entry.position());
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        let new_entries: Vec<_> = entries.into_iter().skip(known).collect();
        if !new_entries.is_empty() {
            self.replace_tail(new_entries);
        }
        self.commit = self.commit.max(request.commit.min(end));
        AppendOutcome::Matched(end)
    }

    /// Removes the entries that conflict with the new entries, then appends the new ones.
    /// Conflicting entries were never committed.
    fn replace_tail(&mut self, new_entries: Vec<Entry>) {
        let truncate_from = new_entries
            .first()
            .map(|first| first.index)
            .filter(|index| *index <= self.log.last_index());
        debug_assert!(truncate_from.is_none_or(|from| from > self.commit));
        if let Some(from) = truncate_from {
            self.log.truncate(from);
        }
        for entry in &new_entries {
            self.log.push(entry.clone());
        }
        let sets_membership = new_entries
            .iter()
            .any(|entry| matches!(entry.payload, Payload::Membership(_)));
        if sets_membership || truncate_from.is_some_and(|from| from <= self.membership.index) {
            self.membership = self.log.membership();
        }
        self.persist_entries(truncate_from, new_entries);
    }

    /// Returns an earlier index at which the logs may match. The leader probes with the entry after
    /// it. The index is at most the last index of this log, and skips all entries of a conflicting
    /// term that is newer than `previous.term`.
    fn conflict_hint(&self, previous: LogPosition) -> Index {
        let mut hint = self.log.last_index().min(previous.index.saturating_sub(1));
        let conflicting = self.log.term(hint);
        while hint > self.commit
            && conflicting.is_some_and(|term| term > previous.term)
            && self.log.term(hint) == conflicting
        {
            hint -= 1;
        }
        hint
    }
}
