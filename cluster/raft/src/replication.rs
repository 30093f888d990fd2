//! Log replication at the leader: sends entries to the peers and handles their responses.

use crate::append_entries::AppendRequest;
use crate::progress::{Progress, ReplicationMode};
use crate::role::RoleState;
use crate::{Action, AppendOutcome, Entry, Index, LogPosition, Message, NodeId, RaftNode, Term};

impl RaftNode {
    /// Sends a peer the entries that it lacks, as far as its window of unanswered messages allows.
    /// Returns whether any were sent.
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

    /// Returns the next entries to send to a peer, and records them as sent. If the peer's next
    /// entry is compacted, returns `None` and requests a snapshot chunk for the peer if one is due.
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

    /// Sends a message with the given entries. Without entries it is a heartbeat.
    pub(crate) fn send_append(&mut self, to: NodeId, entries: Vec<Entry>) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let Some(progress) = leader.progress.get(&to) else {
            return;
        };
        // In replicate mode a heartbeat refers to the last entry that the peer is known to have. In
        // probe mode it refers to the entry before `next_index`, as a message with entries does.
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

    /// Handles a response that a peer has all entries up to `index`.
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
        // Nothing is sent after a stale response: the next heartbeat probes again. Otherwise every
        // duplicated message would start an endless exchange of messages.
        if changes {
            self.send_entries(from);
        }
    }

    /// Records that a peer has answered a heartbeat round, and returns its progress.
    fn responding_peer(&mut self, from: NodeId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress_mut(from)?;
        progress.last_response = now;
        progress.answered_round = progress.answered_round.max(round);
        Some(progress)
    }

    /// Returns a peer's progress, or `None` if this node is not the leader or the peer is not in
    /// the membership.
    pub(crate) fn progress_mut(&mut self, peer: NodeId) -> Option<&mut Progress> {
        match &mut self.role {
            RoleState::Leader(leader) => leader.progress.get_mut(&peer),
            _ => None,
        }
    }

    /// Returns the nodes that this leader replicates to, or nothing if it is not the leader.
    pub(crate) fn peers(&self) -> Vec<NodeId> {
        match &self.role {
            RoleState::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
