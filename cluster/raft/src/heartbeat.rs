//! A leader's periodic work: heartbeat rounds, and stepping down without a majority.
//!
//! Each round has a number that its responses echo. From it the leader knows which peers have
//! answered since a given point in time, which linearizable reads require. The numbers of different
//! terms differ: a peer answers a delayed message of an earlier term, possibly of an earlier process
//! of the leader, with the current term and the number of the earlier round.

use crate::role::RoleState;
use crate::{NodeId, RaftNode, Term};

/// The number of heartbeat rounds in a term, more than any leader begins.
const ROUNDS_PER_TERM: u64 = 1 << 32;

/// The timeout of unanswered messages, in heartbeat intervals.
const TIMEOUT_IN_HEARTBEATS: u64 = 2;

/// Returns the number from which the rounds of a term are counted.
pub(crate) fn first_round(term: Term) -> u64 {
    term.saturating_mul(ROUNDS_PER_TERM)
}

impl RaftNode {
    /// Steps down if a majority has not answered for an election timeout. Otherwise sends
    /// heartbeats when they are due.
    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        // A leader without answers from a majority for an election timeout was partitioned or
        // suspended, and another node may lead by now. This is checked before the leader sends
        // anything in this tick.
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

    /// Begins a heartbeat round: sends every peer the entries that it lacks, or an empty message if
    /// there are none to send.
    pub(crate) fn begin_heartbeat_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.has_unsent = false;
        let timeout = TIMEOUT_IN_HEARTBEATS * self.config.heartbeat_interval;
        let oldest = self.now.saturating_sub(timeout);
        for progress in leader.progress.values_mut() {
            progress.restart_if_timed_out(oldest);
        }
        for peer in self.peers() {
            if !self.send_entries(peer) {
                self.send_append(peer, Vec::new());
            }
        }
        self.confirm_reads();
    }

    /// Sends the entries that were appended since the last call. Begins a heartbeat round instead
    /// if a read waits for one.
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
}
