//! Log replication: heartbeats, sending entries to the peers, and appending them at a follower.

use crate::progress::{Progress, ReplicationMode};
use crate::role::RoleState;
use crate::{
    Action, AppendOutcome, Entry, Index, LogPosition, Message, NodeId, Payload, RaftNode, Term,
};

/// Unanswered messages time out after this many heartbeat intervals.
const TIMEOUT_IN_HEARTBEATS: u64 = 2;

/// The entries of one [`Message::AppendEntries`], as a follower handles them.
struct AppendRequest {
    previous: LogPosition,
    entries: Vec<Entry>,
    commit: Index,
}

impl RaftNode {
    /// Steps down if a majority has not answered for an election time-out; otherwise sends
    /// heartbeats when due.
    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        // A leader that a majority has not answered for so long was cut off, or stood still:
        // another may lead by now. This is checked before anything else is done at the new time.
        let oldest = now.saturating_sub(self.config.election_timeout);
        let (id, progress) = (self.id, &leader.progress);
        let is_alive = |peer: NodeId| {
            peer == id
                || progress
                    .get(&peer)
                    .is_some_and(|p| p.last_response >= oldest)
        };
        if !self.membership.membership.is_quorum(is_alive) {
            return self.become_follower(self.hard_state.term, None);
        }
        leader.transfer.take_if(|t| t.deadline <= now);
        if now >= leader.next_heartbeat {
            leader.next_heartbeat = now + self.config.heartbeat_interval;
            self.begin_heartbeat_round();
        }
    }

    /// Begins a heartbeat round: every peer gets a message that also carries the entries that it
    /// lacks.
    pub(crate) fn begin_heartbeat_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.has_unsent = false;
        let patience = TIMEOUT_IN_HEARTBEATS * self.config.heartbeat_interval;
        let deadline = self.now.saturating_sub(patience);
        for progress in leader.progress.values_mut() {
            progress.restart_if_timed_out(deadline);
        }
        for peer in self.peers() {
            if !self.send_entries(peer) {
                self.send_append(peer, Vec::new());
            }
        }
        self.confirm_reads();
    }

    /// Sends what was appended since the last call; if a read waits for a round, begins one.
    pub(crate) fn send_unsent(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if !std::mem::take(&mut leader.has_unsent) {
            return;
        }
        let round = leader.round;
        if leader.pending_reads.iter().any(|read| read.round > round) {
            return self.begin_heartbeat_round();
        }
        for peer in self.peers() {
            self.send_entries(peer);
        }
    }

    /// Sends a peer the entries that it lacks, as far as its window allows. Returns whether any
    /// were sent.
    pub(crate) fn send_entries(&mut self, to: NodeId) -> bool {
        let mut sent_any = false;
        while let Some(entries) = self.next_entries(to) {
            let Some(end) = entries.last().map(|entry| entry.index) else {
                break;
            };
            self.send_append(to, entries);
            sent_any = true;
            if let Some(progress) = self.progress_mut(to) {
                if progress.mode == ReplicationMode::Replicate {
                    progress.next_index = end + 1;
                }
            }
        }
        sent_any
    }

    /// The entries that may be sent to a peer now. A peer whose next entry is compacted away gets
    /// a snapshot instead.
    fn next_entries(&mut self, to: NodeId) -> Option<Vec<Entry>> {
        let now = self.now;
        let last = self.log.last_index();
        let base = self.log.base().index;
        let config = self.config;
        let progress = self.progress_mut(to)?;
        if progress.next_index <= base {
            if let Some(offset) = progress.snapshot_chunk_due(now, config.election_timeout) {
                self.actions.push(Action::LoadSnapshotChunk { to, offset });
            }
            return None;
        }
        progress.snapshot = None;
        let next_index = progress.next_index;
        let window = progress.window(config.max_inflight_messages);
        if next_index > last || progress.in_flight.len() >= window {
            return None;
        }
        let entries = self.log.slice(next_index, last, config.max_message_bytes);
        let end = entries.last()?.index;
        self.progress_mut(to)?.on_sent(end, now);
        Some(entries)
    }

    /// Sends one message with these entries, or a heartbeat without any.
    fn send_append(&mut self, to: NodeId, entries: Vec<Entry>) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let Some(progress) = leader.progress.get(&to) else {
            return;
        };
        // A heartbeat refers to the last entry that the peer is known to have; while that is
        // searched for, it probes, too.
        let is_heartbeat = entries.is_empty() && progress.mode == ReplicationMode::Replicate;
        let previous_index = if is_heartbeat {
            progress.match_index
        } else {
            progress.next_index.saturating_sub(1)
        };
        let index = previous_index.max(self.log.base().index);
        let Some(term) = self.log.term(index) else {
            return;
        };
        let message = Message::AppendEntries {
            term: self.hard_state.term,
            previous: LogPosition { term, index },
            entries,
            commit: self.commit,
            round: leader.round,
        };
        self.send_now(to, message);
    }

    pub(crate) fn step_replication(&mut self, from: NodeId, message: Message) {
        match message {
            Message::AppendEntries {
                term,
                previous,
                entries,
                commit,
                round,
            } => {
                let request = AppendRequest {
                    previous,
                    entries,
                    commit,
                };
                self.on_append_entries(from, term, request, round);
            }
            Message::AppendResponse {
                term,
                outcome,
                round,
            } => self.on_append_response(from, term, outcome, round),
            _ => {}
        }
    }

    fn on_append_entries(&mut self, from: NodeId, term: Term, request: AppendRequest, round: u64) {
        let outcome = if self.accept_leader(from, term) {
            self.append_as_follower(request)
        } else {
            // An outdated leader learns of the newer term.
            AppendOutcome::Conflict(0)
        };
        let response = Message::AppendResponse {
            term: self.hard_state.term,
            outcome,
            round,
        };
        self.send_when_durable(from, response);
    }

    /// Appends the leader's entries if this log matches the leader's at the entry before them.
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

    /// Appends new entries in place of those that contradict them, which were never committed.
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

    /// Where the logs may match, for the leader to try next: not beyond this log, and before all
    /// entries of the conflicting term.
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

    fn on_append_response(&mut self, from: NodeId, term: Term, outcome: AppendOutcome, round: u64) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        } else if term == self.hard_state.term {
            match outcome {
                AppendOutcome::Matched(index) => self.on_matched(from, index, round),
                AppendOutcome::Conflict(hint) => self.on_conflict(from, hint, round),
            }
        }
    }

    /// A peer has all entries up to `index`.
    pub(crate) fn on_matched(&mut self, from: NodeId, index: Index, round: u64) {
        let now = self.now;
        let last = self.log.last_index();
        let base = self.log.base().index;
        let Some(progress) = self.responding_peer(from, round) else {
            return;
        };
        progress.on_matched(index.min(last), now);
        if progress.next_index > base {
            progress.snapshot = None;
        }
        self.advance_commit();
        self.confirm_reads();
        self.try_finish_transfer(from);
        self.send_entries(from);
    }

    fn on_conflict(&mut self, from: NodeId, hint: Index, round: u64) {
        let last = self.log.last_index();
        let Some(progress) = self.responding_peer(from, round) else {
            return;
        };
        let changes = progress.on_conflict(hint, last);
        self.confirm_reads();
        // A stale answer is not answered again: the next heartbeat probes again. Otherwise every
        // duplicated message would begin an exchange that never ends.
        if changes {
            self.send_entries(from);
        }
    }

    /// Records that a peer has answered a heartbeat round.
    fn responding_peer(&mut self, from: NodeId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress_mut(from)?;
        progress.last_response = now;
        progress.answered_round = progress.answered_round.max(round);
        Some(progress)
    }

    /// A peer's progress; `None` if this node doesn't lead, or the peer is no member.
    pub(crate) fn progress_mut(&mut self, peer: NodeId) -> Option<&mut Progress> {
        match &mut self.role {
            RoleState::Leader(leader) => leader.progress.get_mut(&peer),
            _ => None,
        }
    }

    fn peers(&self) -> Vec<NodeId> {
        match &self.role {
            RoleState::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
