//! One member of the daemon's cluster: the consensus core, the state that is agreed on and the gate before routing,
//! tied together without I/O.
//!
//! A client's command is answered once it is agreed on and applied here, and not before; one whose fate is not known
//! is answered as that, and may be asked again under its request id. A read is answered from state that was current
//! after it was asked. It must never answer from its own copy alone.

use std::collections::BTreeMap;
use std::rc::Rc;

use violetgate_raft::{
    Action, Entry, Index, Membership, MembershipChange, Message, NodeId, Payload, ProposalError,
    RaftNode, Role, SnapshotMetadata, Term,
};
use violetgate_replicated_state::{Command, Micros, Operation, Stale, StalenessGuard, Store};

mod types;

pub use types::{CallId, Effect, InitialState, ReplicaConfig, Response};

/// The most bytes of a snapshot in one message.
const CHUNK: usize = 256 << 10;
/// The longest snapshot that is taken from another member.
const LONGEST: usize = 1 << 30;
/// Calls that wait for their answer; more are turned away.
const WAITING: usize = 10_000;

enum Asked {
    /// A client's read.
    Client(CallId),
    /// The gate's question.
    Gate(u64),
}

/// One member.
pub struct Replica {
    config: ReplicaConfig,
    node: RaftNode,
    store: Store,
    gate: StalenessGuard,
    applied: (Term, Index),
    /// Calls that wait for the entry at a place, with the term that has to be there.
    waiting: BTreeMap<Index, (Term, CallId)>,
    /// Questions to the cluster, and those that wait for entries to be applied.
    asked: BTreeMap<u64, Asked>,
    ready: Vec<(Index, Asked)>,
    next: u64,
    confirm_at: Micros,
    /// The time as people have it, by which leases run.
    wall: Micros,
    /// The latest snapshot, and the one that is being kept.
    snapshot: (SnapshotMetadata, Rc<Vec<u8>>),
    keeping: Option<(SnapshotMetadata, Rc<Vec<u8>>)>,
    incoming: Vec<u8>,
    out: Vec<Effect>,
}

impl Replica {
    /// A member as its disk has it.
    ///
    /// # Errors
    ///
    /// Its snapshot holds no state; the text says why.
    pub fn new(
        id: NodeId,
        config: ReplicaConfig,
        seed: u64,
        found: InitialState,
        now: Micros,
    ) -> Result<Self, String> {
        let InitialState {
            hard,
            base,
            state,
            entries,
        } = found;
        let store = if state.is_empty() {
            Store::default()
        } else {
            Store::load(&state)?
        };
        let mut gate = StalenessGuard::new(config.max_staleness);
        gate.applied_up_to(base.index);
        Ok(Replica {
            config,
            node: RaftNode::new(id, config.raft, seed, hard, base.clone(), entries, now),
            store,
            gate,
            applied: (base.term, base.index),
            waiting: BTreeMap::new(),
            asked: BTreeMap::new(),
            ready: Vec::new(),
            next: 0,
            confirm_at: now,
            wall: 0,
            snapshot: (base, Rc::new(state)),
            keeping: None,
            incoming: Vec::new(),
            out: Vec::new(),
        })
    }

    /// What the members agree on, as far as it is applied here. To be read after [`Response::ReadReady`], or for what
    /// may be old.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The core.
    #[must_use]
    pub fn raft(&self) -> &RaftNode {
        &self.node
    }

    /// The members.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.node.members()
    }

    /// The last entry that is applied here.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied.1
    }

    /// Whether a send may leave now on the state that is here.
    ///
    /// # Errors
    ///
    /// The state is too old: nothing new may be sent, and clients are told to go to another instance.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.gate.check(now)
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        self.node.next_tick().min(self.confirm_at)
    }

    /// Time has passed: `now` on the clock that counts sleep, `wall` as people have it.
    pub fn tick(&mut self, now: Micros, wall: Micros) {
        self.wall = wall;
        self.node.tick(now);
        if now < self.confirm_at {
            return;
        }
        self.confirm_at = now.saturating_add(self.config.confirm_interval);
        let question = self.gate.begin_confirmation(now);
        self.ask(Asked::Gate(question));
        if self.node.role() == Role::Leader {
            for step in self.store.expired_leases(wall) {
                // One that is lost is proposed again; one too many changes nothing.
                let command = Command {
                    request_id: None,
                    actor: "leases".to_owned(),
                    time: wall,
                    operation: step,
                };
                if let Ok(bytes) = postcard::to_stdvec(&command) {
                    let _ = self.node.propose(bytes);
                }
            }
        }
    }

    /// A message has come.
    pub fn step(&mut self, from: NodeId, message: Message) {
        self.node.step(from, message);
    }

    /// All writes up to this one are durable.
    pub fn persisted(&mut self, seq: u64) {
        self.node.persisted(seq);
    }

    /// A client's command; its time is set here.
    pub fn propose(
        &mut self,
        ticket: CallId,
        request: Option<String>,
        who: String,
        step: Operation,
    ) {
        let command = Command {
            request_id: request,
            actor: who,
            time: self.wall,
            operation: step,
        };
        let proposed = match postcard::to_stdvec(&command) {
            Ok(bytes) if self.waiting.len() < WAITING => self.node.propose(bytes),
            _ => Err(ProposalError::Busy),
        };
        self.proposed(ticket, proposed);
    }

    /// An operator's step of the membership.
    pub fn change_membership(&mut self, ticket: CallId, change: MembershipChange) {
        let proposed = self.node.change(change);
        self.proposed(ticket, proposed);
    }

    /// Hands leadership over, as far as that goes.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), ProposalError> {
        self.node.transfer(to)
    }

    fn proposed(&mut self, ticket: CallId, proposed: Result<(Term, Index), ProposalError>) {
        match proposed {
            Ok((term, index)) => drop(self.waiting.insert(index, (term, ticket))),
            Err(ProposalError::NotLeader) => {
                self.answer(ticket, Response::NotLeader(self.node.leader()))
            }
            Err(why) => self.answer(ticket, Response::Rejected(why)),
        }
    }

    /// A client's read: answered by [`Response::ReadReady`] once the store may be read. Where messages are lost it is
    /// not answered, and may be asked again.
    pub fn read(&mut self, ticket: CallId) {
        if self.asked.len() + self.ready.len() >= WAITING {
            return self.answer(ticket, Response::Rejected(ProposalError::Busy));
        }
        self.ask(Asked::Client(ticket));
    }

    /// Nobody waits for these calls any more.
    pub fn cancel(&mut self, ticket: CallId) {
        self.waiting.retain(|_, (_, t)| *t != ticket);
        self.asked
            .retain(|_, a| !matches!(a, Asked::Client(t) if *t == ticket));
        self.ready
            .retain(|(_, a)| !matches!(a, Asked::Client(t) if *t == ticket));
    }

    fn ask(&mut self, what: Asked) {
        self.next += 1;
        // Of the gate's questions that got no answer, the newest are worth keeping.
        let gate = |a: &Asked| matches!(a, Asked::Gate(_));
        if gate(&what) && self.asked.values().filter(|a| gate(a)).count() >= 16 {
            let oldest = self
                .asked
                .iter()
                .find(|(_, a)| gate(a))
                .map(|(ctx, _)| *ctx);
            if let Some(ctx) = oldest {
                self.asked.remove(&ctx);
            }
        }
        self.asked.insert(self.next, what);
        self.node.read(self.next);
    }

    fn answer(&mut self, ticket: CallId, answer: Response) {
        self.out.push(Effect::Respond(ticket, answer));
    }

    /// A snapshot is kept durably.
    pub fn snapshot_saved(&mut self, index: Index) {
        if let Some(kept) = self.keeping.take_if(|k| k.0.index == index) {
            self.node.compacted(kept.0.index, kept.0.term);
            self.snapshot = kept;
        }
    }

    /// A snapshot of another member is in place on disk.
    pub fn snapshot_installed(&mut self, from: NodeId, meta: SnapshotMetadata, state: Rc<Vec<u8>>) {
        if let Ok(store) = Store::load(&state) {
            (self.store, self.applied) = (store, (meta.term, meta.index));
            let next = state.len() as u64;
            (self.snapshot, self.keeping) = ((meta.clone(), state), None);
            self.node.stored(from, meta, next, true);
            self.settle();
        }
    }

    /// Entries that follow a snapshot of another member and stay, to be put in place with it.
    #[must_use]
    pub fn entries_after(&self, meta: &SnapshotMetadata) -> Vec<Entry> {
        let log = self.node.log();
        if log.term(meta.index) != Some(meta.term) {
            return Vec::new();
        }
        log.slice(meta.index + 1, log.last_index(), usize::MAX)
    }

    /// What is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        loop {
            let actions = self.node.actions();
            if actions.is_empty() {
                break;
            }
            actions.into_iter().for_each(|a| self.carry_out(a));
        }
        if self.node.role() != Role::Leader {
            let lost: Vec<_> = std::mem::take(&mut self.waiting).into_values().collect();
            lost.into_iter()
                .for_each(|(_, ticket)| self.answer(ticket, Response::OutcomeUnknown));
        }
        std::mem::take(&mut self.out)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Persist(write) => self.out.push(Effect::Persist(write)),
            Action::Send(to, message) => self.out.push(Effect::Send(to, message)),
            Action::Apply(entries) => {
                entries.into_iter().for_each(|e| self.apply(e));
                self.settle();
            }
            Action::ReadReady { ctx, index } => {
                if let Some(asked) = self.asked.remove(&ctx) {
                    self.ready.push((index, asked));
                    self.settle();
                }
            }
            Action::ReadFailed { ctx } => match self.asked.remove(&ctx) {
                Some(Asked::Client(ticket)) => {
                    self.answer(ticket, Response::NotLeader(self.node.leader()))
                }
                Some(Asked::Gate(question)) => self.gate.confirmation_failed(question),
                None => {}
            },
            Action::LoadSnapshotChunk { to, offset } => {
                let (meta, state) = self.snapshot.clone();
                let from = usize::try_from(offset)
                    .unwrap_or(usize::MAX)
                    .min(state.len());
                let end = from.saturating_add(CHUNK).min(state.len());
                let data = state.get(from..end).unwrap_or_default().to_vec();
                self.node
                    .chunk(to, meta, from as u64, data, end == state.len());
            }
            Action::StoreSnapshotChunk {
                from,
                meta,
                offset,
                data,
                done,
            } => {
                self.incoming
                    .truncate(usize::try_from(offset).unwrap_or(usize::MAX));
                self.incoming.extend_from_slice(&data);
                let next = self.incoming.len() as u64;
                if !done && self.incoming.len() <= LONGEST {
                    return self.node.stored(from, meta, next, false);
                }
                let state = std::mem::take(&mut self.incoming);
                // What is no state, or too long for one, is asked for again from its beginning.
                if done && Store::load(&state).is_ok() {
                    self.out
                        .push(Effect::InstallSnapshot(from, meta, Rc::new(state)));
                } else {
                    self.node.stored(from, meta, 0, false);
                }
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let waits = self.waiting.remove(&entry.index);
        let answer = match &entry.payload {
            Payload::Blank => Response::OutcomeUnknown,
            Payload::Membership(_) => Response::MembershipChanged,
            // What can't be read can't be read by anybody: all members pass it over alike.
            Payload::Command(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => Response::Applied(self.store.apply(&command)),
                Err(_) => Response::OutcomeUnknown,
            },
        };
        if let Some((term, ticket)) = waits {
            let answer = if term == entry.term {
                answer
            } else {
                Response::OutcomeUnknown
            };
            self.answer(ticket, answer);
        }
        self.applied = (entry.term, entry.index);
        let since = entry.index.saturating_sub(self.snapshot.0.index);
        if since >= self.config.snapshot_interval && self.keeping.is_none() {
            let members = self.node.log().members_at(entry.index);
            let meta = SnapshotMetadata {
                index: entry.index,
                term: entry.term,
                members,
            };
            let state = Rc::new(self.store.save());
            self.keeping = Some((meta.clone(), Rc::clone(&state)));
            self.out.push(Effect::SaveSnapshot(meta, state));
        }
    }

    /// Answers the reads, and tells the gate of the questions, for which enough is applied now.
    fn settle(&mut self) {
        let applied = self.applied.1;
        self.gate.applied_up_to(applied);
        let (done, rest) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready = rest;
        let done: Vec<(Index, Asked)> = done;
        for (index, asked) in done {
            match asked {
                Asked::Client(ticket) => self.answer(ticket, Response::ReadReady),
                Asked::Gate(question) => self.gate.confirmation_answered(question, index),
            }
        }
    }
}
