//! One node: its state, its clock, and the way of each message to the rule that handles it.

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

/// What a node's durable storage holds when it starts. A new cluster's nodes begin with an empty
/// snapshot that names the first members, a node that joins with one that names nobody.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The entries after it.
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
    /// When the last message from a leader came.
    pub(crate) leader_seen_at: Micros,
    pub(crate) writes: WriteTracker,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) actions: Vec<Action>,
}

impl RaftNode {
    /// A node as its storage has it. `seed` feeds the random election time-outs; `now` is in
    /// microseconds.
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
        // A node that is a majority by itself has nobody to wait for.
        if node.is_sole_quorum() {
            node.election_deadline = now;
        }
        node
    }

    /// This node's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Its role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role.role()
    }

    /// The leader of the current term, if this node knows it.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The latest term that it knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The last entry that it knows to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Its log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The membership at the end of its log.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership.membership
    }

    /// On a leader, the last entry that each other node is known to have; empty otherwise.
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

    /// When [`RaftNode::tick`] is to be called next, in microseconds.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        match &self.role {
            RoleState::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Takes what is to be done since the last call, in order. Carrying it out may lead to more.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.send_unsent();
        self.apply_committed();
        std::mem::take(&mut self.actions)
    }

    /// Advances the clock to `now`, in microseconds. To be called before anything else is done at
    /// a new time.
    pub fn tick(&mut self, now: Micros) {
        self.now = now.max(self.now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    /// Handles a message.
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

    /// Whether this node is a majority by itself.
    pub(crate) fn is_sole_quorum(&self) -> bool {
        self.membership().is_quorum(|id| id == self.id)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.membership().voters.contains(&self.id)
    }

    /// All voters but this node.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.membership().voters.iter().copied();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Sends a message that depends on no write.
    pub(crate) fn send_now(&mut self, to: NodeId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }
}
