//! The Raft node: its state, its clock, and the dispatch of messages to their handlers.

use std::collections::BTreeMap;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::durability::WriteTracker;
use crate::log::EffectiveMembership;
use crate::role::RoleState;
use crate::snapshot::IncomingSnapshot;
use crate::{
    Action, Config, Entry, HardState, Index, Log, Membership, Message, Micros, NodeId, Role,
    SnapshotMetadata, Term,
};

/// The durable state from which a node starts. The nodes of a new cluster start from an empty
/// snapshot whose membership is that of the new cluster. A node that joins later starts from an
/// empty snapshot with an empty membership.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// The stored term and vote.
    pub hard_state: HardState,
    /// The metadata of the latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// One node of a Raft cluster.
pub struct RaftNode {
    pub(crate) id: NodeId,
    pub(crate) config: Config,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// The membership at the end of the log.
    pub(crate) membership: EffectiveMembership,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<NodeId>,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) election_deadline: Micros,
    /// The time of the latest message from a leader.
    pub(crate) leader_seen_at: Micros,
    pub(crate) writes: WriteTracker,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) actions: Vec<Action>,
}

impl RaftNode {
    /// Creates a follower from its durable state. `seed` seeds the random election timeouts. `now`
    /// is the current time in microseconds.
    #[must_use]
    pub fn new(id: NodeId, config: Config, seed: u64, restored: Restored, now: Micros) -> Self {
        let commit = restored.snapshot.index;
        let log = Log::new(restored.snapshot, restored.entries);
        let mut node = RaftNode {
            id,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.rotate_left(32)),
            now,
            hard_state: restored.hard_state,
            membership: log.membership(),
            role: RoleState::Follower,
            leader: None,
            commit,
            applied: commit,
            election_deadline: 0,
            leader_seen_at: 0,
            writes: WriteTracker::new(log.last_index()),
            incoming_snapshot: None,
            actions: Vec::new(),
            log,
        };
        node.reset_election_deadline();
        // A node that is a majority by itself need not wait for a leader.
        if node.is_sole_quorum() {
            node.election_deadline = now;
        }
        node
    }

    /// Returns the node's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the node's current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role.role()
    }

    /// Returns the leader of the current term, if the node knows it.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the latest term that the node has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the index of the last entry that the node knows to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the node's log, including entries that are not durable or committed yet.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest membership in the node's log, which may be uncommitted.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership.membership
    }

    /// Returns the last index that each other node is known to have, by node id. It is empty on a
    /// node that is not the leader.
    #[must_use]
    pub fn match_indexes(&self) -> BTreeMap<NodeId, Index> {
        match &self.role {
            RoleState::Leader(leader) => leader
                .progress
                .iter()
                .map(|(id, progress)| (*id, progress.match_index))
                .collect(),
            _ => BTreeMap::new(),
        }
    }

    /// Returns the time by which [`RaftNode::tick`] must be called next, in microseconds.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        match &self.role {
            RoleState::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Takes the actions requested since the last call, in the order in which they must be
    /// performed. Performing them may lead to further actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.send_unsent();
        self.apply_committed();
        std::mem::take(&mut self.actions)
    }

    /// Advances the clock to `now`, in microseconds, and handles timeouts. The caller calls it
    /// before any other method when time has passed. The clock never goes backwards.
    pub fn tick(&mut self, now: Micros) {
        self.now = now.max(self.now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    /// Handles a message from the node `from`.
    pub fn step(&mut self, from: NodeId, message: Message) {
        match message {
            Message::RequestPreVote { .. }
            | Message::PreVoteResponse { .. }
            | Message::RequestVote { .. }
            | Message::VoteResponse { .. } => self.step_election(from, message),
            Message::AppendEntries { .. } | Message::AppendResponse { .. } => {
                self.step_replication(from, message);
            }
            Message::InstallSnapshot { term, chunk } => {
                self.on_install_snapshot(from, term, chunk);
            }
            Message::SnapshotResponse {
                term,
                index,
                next_offset,
            } => self.on_snapshot_response(from, term, index, next_offset),
            Message::ReadIndex { read_id } => self.begin_read(from, read_id),
            Message::ReadIndexResponse { read_id, index } => {
                self.on_read_index_response(read_id, index);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(from, term),
        }
    }

    /// Returns whether this node is a majority by itself.
    pub(crate) fn is_sole_quorum(&self) -> bool {
        self.membership().is_quorum(|id| id == self.id)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.membership().voters.contains(&self.id)
    }

    /// Returns all voters except this node.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.membership().voters.iter().copied();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Sends a message without waiting for writes. The message must not depend on one.
    pub(crate) fn send_now(&mut self, to: NodeId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }
}
