//! The replica: its components, its clock, and the dispatch of Raft's actions.

use violetgate_raft::{
    Action, Entry, HardState, Index, LogPosition, Membership, Message, NodeId, Payload, RaftNode,
    Restored, Role, SnapshotMetadata,
};
use violetgate_replicated_state::{Command, Micros, Stale, StalenessGuard, Store};

use crate::config::ReplicaConfig;
use crate::proposals::PendingProposals;
use crate::reads::PendingReads;
use crate::snapshots::Snapshots;
use crate::unapplied_log::RecoveredLog;
use crate::{CallId, Effect, ReplicaError, Response};

/// The contents of a replica's storage when the replica starts.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// The term and the vote of the Raft node.
    pub hard_state: HardState,
    /// The log position and the membership of the latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The encoded state in that snapshot. Empty for a new replica.
    pub state: Vec<u8>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// One replica of the cluster, driven by its caller.
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) raft: RaftNode,
    pub(crate) store: Store,
    pub(crate) guard: StalenessGuard,
    /// The position of the last entry that is applied to the store.
    pub(crate) applied: LogPosition,
    pub(crate) recovered_log: RecoveredLog,
    pub(crate) pending_proposals: PendingProposals,
    pub(crate) reads: PendingReads,
    pub(crate) snapshots: Snapshots,
    /// The time of the next confirmation, in microseconds.
    confirm_at: Micros,
    /// Wall-clock time in microseconds since the epoch, which decides when leases expire.
    pub(crate) wall_clock: Micros,
    effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica from the contents of its storage. `seed` determines Raft's random
    /// timeouts, and the ids of reads follow it. It has to be a random number that is new with each
    /// start of the replica: otherwise the leader's answer to a read of the process before could
    /// complete a read of this one. `now` is in microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, or the snapshot cannot be decoded.
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
        let raft = RaftNode::new(id, config.raft, seed, restored, now);
        Ok(Replica {
            config,
            recovered_log: RecoveredLog::of(&raft),
            raft,
            store,
            guard,
            applied,
            pending_proposals: PendingProposals::default(),
            reads: PendingReads::new(seed),
            snapshots,
            confirm_at: now,
            wall_clock: 0,
            effects: Vec::new(),
        })
    }

    /// Returns the replicated state as far as it is applied to this replica. It may be old unless
    /// the caller has received [`Response::ReadReady`] for a read.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the Raft node of the replica.
    #[must_use]
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the latest membership in this replica's log, whether committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.raft.membership()
    }

    /// Returns the index of the last entry that is applied to the store.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied.index
    }

    /// Checks whether the local state is recent enough to route a request now.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if it is not. No new requests may be sent to engines, and clients have to
    /// use another gateway instance.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.guard.check(now)
    }

    /// Returns the time of the next call to [`Replica::tick`], in microseconds.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        self.raft.next_tick().min(self.confirm_at)
    }

    /// Advances the time and runs the periodic work that is due. `now` is the time in microseconds
    /// on a clock that counts suspended time; `wall_clock` is in microseconds since the epoch.
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

    /// Reports that all writes up to this sequence number are durable.
    pub fn persisted(&mut self, sequence: u64) {
        self.raft.persisted(sequence);
    }

    /// Drops the pending response to a call that its client has given up.
    pub fn cancel(&mut self, call: CallId) {
        self.pending_proposals.cancel(call);
        self.reads.cancel(call);
    }

    /// Returns the effects since the last call, in order. The caller calls this again after it has
    /// carried them out, because that may cause more effects.
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

    /// Applies a committed entry and responds to the call that proposed it.
    fn apply(&mut self, entry: Entry) {
        let waiting = self.pending_proposals.take(entry.index);
        let response = match &entry.payload {
            Payload::Blank => Response::OutcomeUnknown,
            Payload::Membership(_) => Response::MembershipChanged,
            // A command that cannot be decoded fails on every replica, so all of them skip it.
            Payload::Command(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => Response::Applied(self.store.apply(&command)),
                Err(_) => Response::OutcomeUnknown,
            },
        };
        if let Some(proposal) = waiting {
            // Another leader's entry may have replaced the proposed entry at this index.
            let is_proposed_entry = proposal.term == entry.term;
            let response = if is_proposed_entry {
                response
            } else {
                Response::OutcomeUnknown
            };
            self.respond(proposal.call, response);
        }
        self.applied = entry.position();
        self.snapshots.count_applied(&entry);
        self.snapshot_if_due();
    }

    pub(crate) fn respond(&mut self, call: CallId, response: Response) {
        self.push_effect(Effect::Respond { call, response });
    }

    pub(crate) fn push_effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}
