//! One member of the daemon's cluster: the consensus core, the state that is agreed on and the gate before routing,
//! tied together without I/O.
//!
//! A client's command is answered once it is agreed on and applied here, and not before; one whose fate is not known
//! is answered as that, and may be asked again under its request id. A read is answered from state that was current
//! after it was asked. It must never answer from its own copy alone.

use std::collections::BTreeMap;
use std::rc::Rc;

use violetgate_raft::{
    Action, Change, Entry, Index, Members, Message, Meta, Node, NodeId, Payload, Rejected, Role,
    Term,
};
use violetgate_replicated_state::{Command, Gate, Micros, Stale, Step, Store};

mod types;

pub use types::{Answer, Effect, Found, MemberConfig, Ticket};

/// The most bytes of a snapshot in one message.
const CHUNK: usize = 256 << 10;
/// The longest snapshot that is taken from another member.
const LONGEST: usize = 1 << 30;
/// Calls that wait for their answer; more are turned away.
const WAITING: usize = 10_000;

enum Asked {
    /// A client's read.
    Client(Ticket),
    /// The gate's question.
    Gate(u64),
}

/// One member.
pub struct Member {
    config: MemberConfig,
    node: Node,
    store: Store,
    gate: Gate,
    applied: (Term, Index),
    /// Calls that wait for the entry at a place, with the term that has to be there.
    waiting: BTreeMap<Index, (Term, Ticket)>,
    /// Questions to the cluster, and those that wait for entries to be applied.
    asked: BTreeMap<u64, Asked>,
    ready: Vec<(Index, Asked)>,
    next: u64,
    confirm_at: Micros,
    /// The time as people have it, by which leases run.
    wall: Micros,
    /// The latest snapshot, and the one that is being kept.
    snapshot: (Meta, Rc<Vec<u8>>),
    keeping: Option<(Meta, Rc<Vec<u8>>)>,
    incoming: Vec<u8>,
    out: Vec<Effect>,
}

impl Member {
    /// A member as its disk has it.
    ///
    /// # Errors
    ///
    /// Its snapshot holds no state; the text says why.
    pub fn new(
        id: NodeId,
        config: MemberConfig,
        seed: u64,
        found: Found,
        now: Micros,
    ) -> Result<Self, String> {
        let Found {
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
        let mut gate = Gate::new(config.drain_limit);
        gate.applied(base.index);
        Ok(Member {
            config,
            node: Node::new(id, config.core, seed, hard, base.clone(), entries, now),
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

    /// What the members agree on, as far as it is applied here. To be read after [`Answer::Current`], or for what
    /// may be old.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The core.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The members.
    #[must_use]
    pub fn members(&self) -> &Members {
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
        self.confirm_at = now.saturating_add(self.config.confirm_every);
        let question = self.gate.ask(now);
        self.ask(Asked::Gate(question));
        if self.node.role() == Role::Leader {
            for step in self.store.run_out(wall) {
                // One that is lost is proposed again; one too many changes nothing.
                let command = Command {
                    request: None,
                    who: "leases".to_owned(),
                    time: wall,
                    step,
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
    pub fn propose(&mut self, ticket: Ticket, request: Option<String>, who: String, step: Step) {
        let command = Command {
            request,
            who,
            time: self.wall,
            step,
        };
        let proposed = match postcard::to_stdvec(&command) {
            Ok(bytes) if self.waiting.len() < WAITING => self.node.propose(bytes),
            _ => Err(Rejected::Busy),
        };
        self.proposed(ticket, proposed);
    }

    /// An operator's step of the membership.
    pub fn change(&mut self, ticket: Ticket, change: Change) {
        let proposed = self.node.change(change);
        self.proposed(ticket, proposed);
    }

    /// Hands leadership over, as far as that goes.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn transfer(&mut self, to: NodeId) -> Result<(), Rejected> {
        self.node.transfer(to)
    }

    fn proposed(&mut self, ticket: Ticket, proposed: Result<(Term, Index), Rejected>) {
        match proposed {
            Ok((term, index)) => drop(self.waiting.insert(index, (term, ticket))),
            Err(Rejected::NotLeader) => self.answer(ticket, Answer::NotLeader(self.node.leader())),
            Err(why) => self.answer(ticket, Answer::Rejected(why)),
        }
    }

    /// A client's read: answered by [`Answer::Current`] once the store may be read. Where messages are lost it is
    /// not answered, and may be asked again.
    pub fn read(&mut self, ticket: Ticket) {
        if self.asked.len() + self.ready.len() >= WAITING {
            return self.answer(ticket, Answer::Rejected(Rejected::Busy));
        }
        self.ask(Asked::Client(ticket));
    }

    /// Nobody waits for these calls any more.
    pub fn forget(&mut self, ticket: Ticket) {
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

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.out.push(Effect::Answer(ticket, answer));
    }

    /// A snapshot is kept durably.
    pub fn kept(&mut self, index: Index) {
        if let Some(kept) = self.keeping.take_if(|k| k.0.index == index) {
            self.node.compacted(kept.0.index, kept.0.term);
            self.snapshot = kept;
        }
    }

    /// A snapshot of another member is in place on disk.
    pub fn installed(&mut self, from: NodeId, meta: Meta, state: Rc<Vec<u8>>) {
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
    pub fn follows(&self, meta: &Meta) -> Vec<Entry> {
        let log = self.node.log();
        if log.term(meta.index) != Some(meta.term) {
            return Vec::new();
        }
        log.slice(meta.index + 1, log.last_index(), usize::MAX)
    }

    /// What is to be done.
    pub fn effects(&mut self) -> Vec<Effect> {
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
                .for_each(|(_, ticket)| self.answer(ticket, Answer::Unsure));
        }
        std::mem::take(&mut self.out)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.out.push(Effect::Write(write)),
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
                    self.answer(ticket, Answer::NotLeader(self.node.leader()))
                }
                Some(Asked::Gate(question)) => self.gate.failed(question),
                None => {}
            },
            Action::LoadChunk { to, offset } => {
                let (meta, state) = self.snapshot.clone();
                let from = usize::try_from(offset)
                    .unwrap_or(usize::MAX)
                    .min(state.len());
                let end = from.saturating_add(CHUNK).min(state.len());
                let data = state.get(from..end).unwrap_or_default().to_vec();
                self.node
                    .chunk(to, meta, from as u64, data, end == state.len());
            }
            Action::StoreChunk {
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
                    self.out.push(Effect::Install(from, meta, Rc::new(state)));
                } else {
                    self.node.stored(from, meta, 0, false);
                }
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let waits = self.waiting.remove(&entry.index);
        let answer = match &entry.payload {
            Payload::Blank => Answer::Unsure,
            Payload::Members(_) => Answer::Changed,
            // What can't be read can't be read by anybody: all members pass it over alike.
            Payload::Command(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => Answer::Done(self.store.apply(&command)),
                Err(_) => Answer::Unsure,
            },
        };
        if let Some((term, ticket)) = waits {
            let answer = if term == entry.term {
                answer
            } else {
                Answer::Unsure
            };
            self.answer(ticket, answer);
        }
        self.applied = (entry.term, entry.index);
        let since = entry.index.saturating_sub(self.snapshot.0.index);
        if since >= self.config.snapshot_every && self.keeping.is_none() {
            let members = self.node.log().members_at(entry.index);
            let meta = Meta {
                index: entry.index,
                term: entry.term,
                members,
            };
            let state = Rc::new(self.store.save());
            self.keeping = Some((meta.clone(), Rc::clone(&state)));
            self.out.push(Effect::Keep(meta, state));
        }
    }

    /// Answers the reads, and tells the gate of the questions, for which enough is applied now.
    fn settle(&mut self) {
        let applied = self.applied.1;
        self.gate.applied(applied);
        let (done, rest) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready = rest;
        let done: Vec<(Index, Asked)> = done;
        for (index, asked) in done {
            match asked {
                Asked::Client(ticket) => self.answer(ticket, Answer::Current),
                Asked::Gate(question) => self.gate.answered(question, index),
            }
        }
    }
}
