//! The replica: its parts, its clock, and the way of Raft's actions to whatever handles them.

use violetgate_raft::{
    Action, Entry, HardState, Index, LogPosition, Membership, Message, NodeId, Payload, RaftNode,
    Restored, Role, SnapshotMetadata,
};
use violetgate_replicated_state::{Command, Micros, Stale, StalenessGuard, Store};

use crate::config::ReplicaConfig;
use crate::proposals::PendingProposals;
use crate::reads::PendingReads;
use crate::snapshots::Snapshots;
use crate::{CallId, Effect, ReplicaError, Response};

/// What a replica's storage holds when it starts.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The encoded state in that snapshot; empty for a new replica.
    pub state: Vec<u8>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// One replica of the cluster.
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) raft: RaftNode,
    pub(crate) store: Store,
    pub(crate) guard: StalenessGuard,
    /// The last entry that is applied to the store.
    pub(crate) applied: LogPosition,
    pub(crate) pending_proposals: PendingProposals,
    pub(crate) reads: PendingReads,
    pub(crate) snapshots: Snapshots,
    confirm_at: Micros,
    /// Wall-clock time in microseconds, by which leases run.
    pub(crate) wall_clock: Micros,
    effects: Vec<Effect>,
}

impl Replica {
    /// A replica as its storage has it. `seed` feeds Raft's random time-outs; `now` is in
    /// microseconds.
    ///
    /// # Errors
    ///
    /// The settings are invalid, or the snapshot holds no state.
    pub fn new(
        id: NodeId,
        config: ReplicaConfig,
        seed: u64,
        initial: InitialState,
        now: Micros,
    ) -> Result<Self, ReplicaError> {
        config.raft.validate()?;
        let store = if initial.state.is_empty() {
            Store::default()
        } else {
            Store::from_snapshot(&initial.state)?
        };
        let mut guard = StalenessGuard::new(config.max_staleness);
        guard.applied_up_to(initial.snapshot.index);
        let snapshots = Snapshots::new(initial.snapshot.clone(), initial.state);
        let applied = initial.snapshot.position();
        let restored = Restored {
            hard_state: initial.hard_state,
            snapshot: initial.snapshot,
            entries: initial.entries,
        };
        Ok(Replica {
            config,
            raft: RaftNode::new(id, config.raft, seed, restored, now),
            store,
            guard,
            applied,
            pending_proposals: PendingProposals::default(),
            reads: PendingReads::default(),
            snapshots,
            confirm_at: now,
            wall_clock: 0,
            effects: Vec::new(),
        })
    }

    /// The replicated state, as far as it is applied here. To be read after
    /// [`Response::ReadReady`], or where old state is good enough.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its Raft node.
    #[must_use]
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// The membership of the cluster.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.raft.membership()
    }

    /// The last entry that is applied here.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied.index
    }

    /// Whether a request may be routed now by the state that is here.
    ///
    /// # Errors
    ///
    /// The state is stale: nothing new may be sent, and clients have to go to another instance.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.guard.check(now)
    }

    /// When [`Replica::tick`] is to be called next, in microseconds.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        self.raft.next_tick().min(self.confirm_at)
    }

    /// Advances time, in microseconds: `now` on the clock that counts suspended time, `wall_clock`
    /// since the epoch.
    pub fn tick(&mut self, now: Micros, wall_clock: Micros) {
        self.wall_clock = wall_clock;
        self.raft.tick(now);
        if now < self.confirm_at {
            return;
        }
        self.confirm_at = now.saturating_add(self.config.confirm_interval);
        self.begin_confirmation(now);
        if self.raft.role() == Role::Leader {
            self.propose_lease_expiries();
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, from: NodeId, message: Message) {
        self.raft.step(from, message);
    }

    /// All writes up to this sequence number are durable.
    pub fn persisted(&mut self, sequence: u64) {
        self.raft.persisted(sequence);
    }

    /// Nobody waits for this call any more.
    pub fn cancel(&mut self, call: CallId) {
        self.pending_proposals.cancel(call);
        self.reads.cancel(call);
    }

    /// Takes what is to be done since the last call, in order. Carrying it out may lead to more.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        loop {
            let actions = self.raft.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.handle_action(action);
            }
        }
        if self.raft.role() != Role::Leader {
            for call in self.pending_proposals.take_all() {
                self.respond(call, Response::OutcomeUnknown);
            }
        }
        std::mem::take(&mut self.effects)
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Persist(write) => self.effects.push(Effect::Persist(write)),
            Action::Send { to, message } => self.effects.push(Effect::Send { to, message }),
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
                self.complete_reads();
            }
            Action::ReadReady { read_id, index } => self.on_read_ready(read_id, index),
            Action::ReadFailed { read_id } => self.on_read_failed(read_id),
            Action::LoadSnapshotChunk { to, offset } => self.load_snapshot_chunk(to, offset),
            Action::StoreSnapshotChunk { from, chunk } => self.store_snapshot_chunk(from, chunk),
        }
    }

    /// Applies a committed entry, and responds to the call that proposed it.
    fn apply(&mut self, entry: Entry) {
        let waiting = self.pending_proposals.take(entry.index);
        let response = match &entry.payload {
            Payload::Blank => Response::OutcomeUnknown,
            Payload::Membership(_) => Response::MembershipChanged,
            // What can't be decoded can't be decoded by any replica: all skip it alike.
            Payload::Command(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => Response::Applied(self.store.apply(&command)),
                Err(_) => Response::OutcomeUnknown,
            },
        };
        if let Some(proposal) = waiting {
            // Another leader's entry may have taken the place of the one that was proposed.
            let is_its_own = proposal.term == entry.term;
            let response = if is_its_own {
                response
            } else {
                Response::OutcomeUnknown
            };
            self.respond(proposal.call, response);
        }
        self.applied = entry.position();
        self.snapshot_if_due();
    }

    pub(crate) fn respond(&mut self, call: CallId, response: Response) {
        self.push_effect(Effect::Respond { call, response });
    }

    pub(crate) fn push_effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}
