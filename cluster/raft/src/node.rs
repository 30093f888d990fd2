//! One member: what it does with time, messages, proposals and the ends of writes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Action, Entry, HardState, Index, Log, Membership, MembershipChange, Message, Micros, NodeId,
    Payload, ProposalError, SnapshotMetadata, StorageWrite, Term,
};

/// How a node behaves.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Without a sign of a leader for this long (up to twice as long, drawn anew each time) it asks for votes.
    pub election: Micros,
    /// How often a leader gives a sign.
    pub heartbeat: Micros,
    /// Bytes of entries in one message.
    pub message_bytes: usize,
    /// Messages with entries to one member that are not answered yet.
    pub in_flight: usize,
    /// Bytes of entries that are proposed and not agreed on; more are turned away.
    pub pending_bytes: usize,
    /// A learner is promoted once it lacks this many entries at most.
    pub promote_within: u64,
    /// Entries applied in one go.
    pub apply_batch: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            election: 500_000,
            heartbeat: 100_000,
            message_bytes: 64 << 10,
            in_flight: 16,
            pending_bytes: 8 << 20,
            promote_within: 1_000,
            apply_batch: 4_096,
        }
    }
}

/// What a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It follows.
    Follower,
    /// It asks whether it would be elected, or to be.
    Candidate,
    /// It leads.
    Leader,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Default)]
struct Peer {
    next: Index,
    matched: Index,
    /// Where its log agrees is not known yet: one message at a time.
    probing: bool,
    /// The last entries of the messages that are out.
    in_flight: VecDeque<Index>,
    /// The latest round that it has answered, and when that was.
    round: u64,
    heard: Micros,
    /// When the oldest message that is out left, or the last one was answered.
    since: Micros,
    /// It gets a snapshot, and was last sent a part of it then.
    snapshot: Option<(u64, Micros)>,
}

struct Read {
    ctx: u64,
    /// Who asked; itself, if nobody else did.
    from: NodeId,
    index: Index,
    round: u64,
}

enum State {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(Box<Leader>),
}

#[derive(Default)]
struct Leader {
    peers: BTreeMap<NodeId, Peer>,
    round: u64,
    beat: Micros,
    /// The first entry of this leadership.
    first: Index,
    reads: Vec<Read>,
    transfer: Option<(NodeId, Micros)>,
    pending: usize,
    /// Something was appended, or a read begun, that the others have not been told.
    dirty: bool,
}

/// One member of the cluster.
pub struct RaftNode {
    id: NodeId,
    config: Config,
    rng: ChaCha8Rng,
    now: Micros,
    hard: HardState,
    log: Log,
    /// The members by the last entry that names them, and that entry.
    members: (Index, Membership),
    state: State,
    leader: Option<NodeId>,
    commit: Index,
    applied: Index,
    election_at: Micros,
    /// When a leader last gave a sign.
    heard: Micros,
    seq: u64,
    /// Writes that are out, and the last entry once each is done.
    writing: VecDeque<(u64, Index)>,
    durable: Index,
    /// Messages that wait for a write.
    held: VecDeque<(u64, NodeId, Message)>,
    /// The snapshot that is coming in, and the next byte wanted of it; `None` while a part is being put aside.
    incoming: Option<(SnapshotMetadata, Option<u64>)>,
    out: Vec<Action>,
}

impl RaftNode {
    /// A member as its disk has it: what it has promised, the latest snapshot and the entries after it. A new
    /// cluster's members begin with a snapshot of nothing that names them.
    #[must_use]
    pub fn new(
        id: NodeId,
        config: Config,
        seed: u64,
        hard: HardState,
        base: SnapshotMetadata,
        entries: Vec<Entry>,
        now: Micros,
    ) -> Self {
        let commit = base.index;
        let log = Log::new(base, entries);
        let mut node = RaftNode {
            id,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.rotate_left(32)),
            now,
            hard,
            members: log.members(),
            state: State::Follower,
            leader: None,
            commit,
            applied: commit,
            election_at: 0,
            heard: 0,
            seq: 0,
            writing: VecDeque::new(),
            durable: log.last_index(),
            held: VecDeque::new(),
            incoming: None,
            out: Vec::new(),
            log,
        };
        node.rest();
        // One that is a majority by itself has nobody to wait for.
        if node.members.1.is_quorum(|member| member == id) {
            node.election_at = now;
        }
        node
    }

    /// This member's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// What it is.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The leader that it knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The latest term that it knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The last entry that is agreed on, as far as it knows.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Its log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The members by its log.
    #[must_use]
    pub fn members(&self) -> &Membership {
        &self.members.1
    }

    /// For a leader, the last entry that each other member is known to have.
    #[must_use]
    pub fn progress(&self) -> Vec<(NodeId, Index)> {
        match &self.state {
            State::Leader(l) => l.peers.iter().map(|(id, p)| (*id, p.matched)).collect(),
            _ => Vec::new(),
        }
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        match &self.state {
            State::Leader(l) => l.beat,
            _ => self.election_at,
        }
    }

    /// What is to be done.
    pub fn actions(&mut self) -> Vec<Action> {
        self.flush();
        self.apply();
        std::mem::take(&mut self.out)
    }

    // Time.

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        self.now = now.max(self.now);
        let now = self.now;
        if let State::Leader(l) = &mut self.state {
            // A leader that a majority has not answered for so long has been cut off, or stood still: another
            // may lead by now. This is looked at before anything else is done with the new time.
            let since = now.saturating_sub(self.config.election);
            let (id, peers) = (self.id, &l.peers);
            let alive = |m: NodeId| m == id || peers.get(&m).is_some_and(|p| p.heard >= since);
            if !self.members.1.is_quorum(alive) {
                return self.follow(self.hard.term, None);
            }
            l.transfer.take_if(|(_, until)| *until <= now);
            if now >= l.beat {
                l.beat = now + self.config.heartbeat;
                self.round();
            }
        } else if now >= self.election_at {
            self.rest();
            if self.may_stand() {
                self.leader = None;
                self.ask_ahead();
            }
        }
    }

    /// A voter may ask for votes. So may one whose leaving is in its log and not agreed on, as far as it knows: it
    /// may hold the only log that the others' votes need.
    fn may_stand(&self) -> bool {
        let voter = |m: &Membership| m.voters.contains(&self.id);
        voter(&self.members.1)
            || (self.members.0 > self.commit && voter(&self.log.members_at(self.commit)))
    }

    fn rest(&mut self) {
        let span = self.config.election.max(1);
        self.election_at = self.now + span + self.rng.next_u64() % span;
    }

    // Elections.

    fn ask_ahead(&mut self) {
        let (term, last) = (self.hard.term + 1, self.log.last());
        self.state = State::PreCandidate(BTreeSet::from([self.id]));
        if self.members.1.is_quorum(|id| id == self.id) {
            return self.stand(false);
        }
        for to in self.others() {
            self.out
                .push(Action::Send(to, Message::PreVote { term, last }));
        }
    }

    fn stand(&mut self, transfer: bool) {
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        self.write(None, Vec::new(), true);
        self.state = State::Candidate(BTreeSet::new());
        self.leader = None;
        self.rest();
        let (term, last) = (self.hard.term, self.log.last());
        // Its own vote counts once it is durable, as those of others do: it comes back as a message to itself.
        self.say(
            self.id,
            Message::VoteReply {
                term,
                granted: true,
            },
        );
        for to in self.others() {
            self.say(
                to,
                Message::Vote {
                    term,
                    last,
                    transfer,
                },
            );
        }
    }

    fn others(&self) -> Vec<NodeId> {
        self.members
            .1
            .voters
            .iter()
            .copied()
            .filter(|id| *id != self.id)
            .collect()
    }

    fn lead(&mut self) {
        let last = self.log.last_index();
        let peer = || Peer {
            next: last + 1,
            probing: true,
            heard: self.now,
            ..Peer::default()
        };
        let peers = self
            .members
            .1
            .ids()
            .filter(|id| *id != self.id)
            .map(|id| (id, peer()))
            .collect();
        let leader = Leader {
            peers,
            first: last + 1,
            beat: self.now + self.config.heartbeat,
            ..Leader::default()
        };
        self.state = State::Leader(Box::new(leader));
        self.leader = Some(self.id);
        self.append(Payload::Blank);
        self.round();
    }

    fn follow(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.write(None, Vec::new(), true);
        }
        if let State::Leader(l) = std::mem::replace(&mut self.state, State::Follower) {
            for read in l.reads {
                self.answer_read(read.from, read.ctx, None);
            }
            self.rest();
        }
        self.leader = leader;
    }

    // What has to be durable first.

    fn write(&mut self, truncate: Option<Index>, append: Vec<Entry>, hard: bool) {
        self.seq += 1;
        if let Some(from) = truncate {
            self.durable = self.durable.min(from.saturating_sub(1));
            for (_, last) in &mut self.writing {
                *last = (*last).min(from.saturating_sub(1));
            }
        }
        self.writing.push_back((self.seq, self.log.last_index()));
        let hard = hard.then_some(self.hard);
        self.out.push(Action::Persist(StorageWrite {
            seq: self.seq,
            hard,
            truncate,
            append,
        }));
    }

    /// Says something that rests on all that was written so far: it leaves once that is durable.
    fn say(&mut self, to: NodeId, message: Message) {
        if self.writing.is_empty() {
            if to == self.id {
                return self.step(to, message);
            }
            self.out.push(Action::Send(to, message));
        } else {
            self.held.push_back((self.seq, to, message));
        }
    }

    /// All writes up to this one are durable.
    pub fn persisted(&mut self, seq: u64) {
        while let Some((_, last)) = self.writing.front().copied().filter(|(s, _)| *s <= seq) {
            self.writing.pop_front();
            self.durable = self.durable.max(last.min(self.log.last_index()));
        }
        while self.held.front().is_some_and(|(s, ..)| *s <= seq) {
            let Some((_, to, message)) = self.held.pop_front() else {
                break;
            };
            if to == self.id {
                self.step(to, message);
            } else {
                self.out.push(Action::Send(to, message));
            }
        }
        self.agree();
    }

    // Proposals.

    /// Proposes a command: where it stands, if it comes to be agreed on under this leadership.
    ///
    /// # Errors
    ///
    /// It was not taken.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), ProposalError> {
        let most = self.config.pending_bytes;
        let State::Leader(l) = &self.state else {
            return Err(ProposalError::NotLeader);
        };
        if l.transfer.is_some() || l.pending > most {
            return Err(ProposalError::Busy);
        }
        Ok(self.append(Payload::Command(command)))
    }

    /// Proposes one step of the membership.
    ///
    /// # Errors
    ///
    /// It can't be taken, or not now.
    pub fn change(&mut self, change: MembershipChange) -> Result<(Term, Index), ProposalError> {
        let State::Leader(l) = &self.state else {
            return Err(ProposalError::NotLeader);
        };
        // Two steps at a time, or one before an entry of this term is agreed on, could make two majorities that
        // share nobody.
        if self.members.0 > self.commit || l.first > self.commit || l.transfer.is_some() {
            return Err(ProposalError::ChangeInProgress);
        }
        let next = self.members.1.after_change(change)?;
        if let MembershipChange::PromoteLearner(id) = change {
            let lacks = |p: &Peer| self.log.last_index().saturating_sub(p.matched);
            if l.peers
                .get(&id)
                .is_none_or(|p| lacks(p) > self.config.promote_within)
            {
                return Err(ProposalError::LearnerBehind);
            }
        }
        let at = self.append(Payload::Membership(next.clone()));
        self.belong(at.1, next);
        Ok(at)
    }

    /// Hands leadership over to a voter. Nothing new is taken meanwhile, for an election's time at most.
    ///
    /// # Errors
    ///
    /// That can't be.
    pub fn transfer(&mut self, to: NodeId) -> Result<(), ProposalError> {
        let until = self.now + self.config.election;
        let voter = self.members.1.voters.contains(&to) && to != self.id;
        let State::Leader(l) = &mut self.state else {
            return Err(ProposalError::NotLeader);
        };
        if !voter {
            return Err(ProposalError::UnknownMember);
        }
        l.transfer = Some((to, until));
        self.hand_over(to);
        Ok(())
    }

    fn hand_over(&mut self, to: NodeId) {
        let (term, last) = (self.hard.term, self.log.last_index());
        let State::Leader(l) = &self.state else {
            return;
        };
        if l.transfer.is_some_and(|(t, _)| t == to)
            && l.peers.get(&to).is_some_and(|p| p.matched == last)
        {
            self.out
                .push(Action::Send(to, Message::TimeoutNow { term }));
        }
    }

    fn append(&mut self, payload: Payload) -> (Term, Index) {
        let entry = Entry {
            term: self.hard.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let at = (entry.term, entry.index);
        if let State::Leader(l) = &mut self.state {
            l.pending += entry.payload.bytes();
            l.dirty = true;
        }
        self.log.push(entry.clone());
        // Entries of one turn are one write.
        match self.out.last_mut() {
            Some(Action::Persist(w)) if w.truncate.is_none() && !w.append.is_empty() => {
                w.append.push(entry);
                if let Some(last) = self.writing.back_mut() {
                    last.1 = at.1;
                }
            }
            _ => self.write(None, vec![entry], false),
        }
        at
    }

    fn belong(&mut self, index: Index, members: Membership) {
        self.members = (index, members);
        let (next, now) = (self.log.last_index() + 1, self.now);
        let State::Leader(l) = &mut self.state else {
            return;
        };
        l.peers.retain(|id, _| self.members.1.contains(*id));
        for id in self.members.1.ids().filter(|id| *id != self.id) {
            l.peers.entry(id).or_insert_with(|| Peer {
                next,
                probing: true,
                heard: now,
                ..Peer::default()
            });
        }
    }

    // Replication.

    /// Begins a round: every member is asked for a sign of life, which also carries what it lacks.
    fn round(&mut self) {
        let State::Leader(l) = &mut self.state else {
            return;
        };
        l.round += 1;
        l.dirty = false;
        let lost = self.now.saturating_sub(2 * self.config.heartbeat);
        for p in l
            .peers
            .values_mut()
            .filter(|p| !p.in_flight.is_empty() && p.since < lost)
        {
            // What is out this long was lost, or its answer was: begin anew where it is known to agree.
            p.in_flight.clear();
            (p.probing, p.next) = (true, p.matched + 1);
        }
        let ids: Vec<_> = l.peers.keys().copied().collect();
        for id in ids {
            if !self.send_entries(id) {
                self.send_append(id, Vec::new());
            }
        }
        self.confirm();
    }

    /// Sends what was appended since, and nothing where nothing was.
    fn flush(&mut self) {
        let State::Leader(l) = &mut self.state else {
            return;
        };
        if std::mem::take(&mut l.dirty) {
            if l.reads.iter().any(|r| r.round > l.round) {
                return self.round();
            }
            let ids: Vec<_> = l.peers.keys().copied().collect();
            for id in ids {
                self.send_entries(id);
            }
        }
    }

    /// Sends a member what it lacks, as far as its window goes. False: nothing was sent.
    fn send_entries(&mut self, to: NodeId) -> bool {
        let mut any = false;
        loop {
            let (last, base) = (self.log.last_index(), self.log.base().index);
            let (now, wait, window, bytes) = (
                self.now,
                self.config.election,
                self.config.in_flight,
                self.config.message_bytes,
            );
            let State::Leader(l) = &mut self.state else {
                return any;
            };
            let Some(p) = l.peers.get_mut(&to) else {
                return any;
            };
            if p.next <= base {
                // What it lacks is not here any more. A part that got no answer is sent again.
                let (offset, again) = match p.snapshot {
                    Some((offset, sent)) => (offset, now >= sent + wait),
                    None => (0, true),
                };
                if again {
                    p.snapshot = Some((offset, now));
                    self.out.push(Action::LoadSnapshotChunk { to, offset });
                }
                return any;
            }
            p.snapshot = None;
            let most = if p.probing { 1 } else { window };
            if p.next > last || p.in_flight.len() >= most {
                return any;
            }
            let entries = self.log.slice(p.next, last, bytes);
            let Some(end) = entries.last().map(|e| e.index) else {
                return any;
            };
            if p.in_flight.is_empty() {
                p.since = now;
            }
            p.in_flight.push_back(end);
            let probing = p.probing;
            self.send_append(to, entries);
            any = true;
            let State::Leader(l) = &mut self.state else {
                return any;
            };
            if let Some(p) = l.peers.get_mut(&to).filter(|_| !probing) {
                p.next = end + 1;
            }
        }
    }

    fn send_append(&mut self, to: NodeId, entries: Vec<Entry>) {
        let (term, commit) = (self.hard.term, self.commit);
        let State::Leader(l) = &self.state else {
            return;
        };
        let Some(p) = l.peers.get(&to) else { return };
        // A bare sign of life rests on what it is known to have; while that is looked for, it looks, too.
        let bare = entries.is_empty() && !p.probing;
        let before = if bare {
            p.matched
        } else {
            p.next.saturating_sub(1)
        }
        .max(self.log.base().index);
        let round = l.round;
        let Some(prev) = self.log.term(before).map(|t| (t, before)) else {
            return;
        };
        self.out.push(Action::Send(
            to,
            Message::Append {
                term,
                prev,
                entries,
                commit,
                round,
            },
        ));
    }

    /// What a majority has is agreed on, if this leadership made it.
    fn agree(&mut self) {
        let State::Leader(l) = &mut self.state else {
            return;
        };
        let (id, durable) = (self.id, self.durable);
        let mut at: Vec<Index> = (self.members.1.voters.iter())
            .map(|m| {
                if *m == id {
                    durable
                } else {
                    l.peers.get(m).map_or(0, |p| p.matched)
                }
            })
            .collect();
        at.sort_unstable_by(|a, b| b.cmp(a));
        let index = at.get(self.members.1.quorum() - 1).copied().unwrap_or(0);
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            let freed = (self.commit + 1..=index)
                .filter_map(|i| self.log.get(i))
                .map(|e| e.payload.bytes());
            l.pending = l.pending.saturating_sub(freed.sum());
            // Others hear of it with the next entries, or with the next sign.
            self.commit = index;
            self.confirm();
            if !self.members.1.voters.contains(&self.id) && self.members.0 <= self.commit {
                // It has left, and all that it had to see through is agreed on; the others hear of it first.
                self.round();
                self.follow(self.hard.term, None);
            }
        }
    }

    fn apply(&mut self) {
        let to = self.commit.min(self.durable);
        while self.applied < to {
            let end = to.min(self.applied + self.config.apply_batch as u64);
            let entries: Vec<_> = (self.applied + 1..=end)
                .map_while(|i| self.log.get(i).cloned())
                .collect();
            let Some(last) = entries.last().map(|e| e.index) else {
                return;
            };
            self.applied = last;
            self.out.push(Action::Apply(entries));
        }
    }

    // Reads.

    /// Asks up to which entry this member must have applied so that what it then reads is current. The answer is
    /// [`Action::ReadReady`] or [`Action::ReadFailed`], or none where messages are lost: the asker asks again.
    pub fn read(&mut self, ctx: u64) {
        match (&self.state, self.leader) {
            (State::Leader(_), _) => self.begin_read(self.id, ctx),
            (_, Some(leader)) => self.out.push(Action::Send(leader, Message::Read { ctx })),
            _ => self.out.push(Action::ReadFailed { ctx }),
        }
    }

    fn begin_read(&mut self, from: NodeId, ctx: u64) {
        let commit = self.commit;
        let State::Leader(l) = &mut self.state else {
            return self.answer_read(from, ctx, None);
        };
        // Until an entry of its own is agreed on, a leader does not know what was agreed on before it.
        let index = commit.max(l.first);
        l.reads.push(Read {
            ctx,
            from,
            index,
            round: l.round + 1,
        });
        l.dirty = true;
    }

    /// Answers the reads whose round a majority has answered: until then this member surely led.
    fn confirm(&mut self) {
        let (id, commit) = (self.id, self.commit);
        let State::Leader(l) = &mut self.state else {
            return;
        };
        let (peers, members) = (&l.peers, &self.members.1);
        let sure = |r: &Read| {
            commit >= r.index
                && members
                    .is_quorum(|m| m == id || peers.get(&m).is_some_and(|p| p.round >= r.round))
        };
        let mut ready = Vec::new();
        let round = l.round;
        l.reads.retain(|r| {
            let done = r.round <= round && sure(r);
            if done {
                ready.push((r.from, r.ctx, r.index));
            }
            !done
        });
        for (from, ctx, index) in ready {
            self.answer_read(from, ctx, Some(index));
        }
    }

    fn answer_read(&mut self, from: NodeId, ctx: u64, index: Option<Index>) {
        self.out.push(match index {
            _ if from != self.id => Action::Send(from, Message::ReadReply { ctx, index }),
            Some(index) => Action::ReadReady { ctx, index },
            None => Action::ReadFailed { ctx },
        });
    }

    // Snapshots.

    /// The state up to an entry is durable elsewhere: the log up to there can go.
    pub fn compacted(&mut self, index: Index, term: Term) {
        if index > self.log.base().index && index <= self.applied {
            let members = self.log.members_at(index);
            self.log.compact(SnapshotMetadata {
                index,
                term,
                members,
            });
        }
    }

    /// A part of the latest snapshot, as [`Action::LoadSnapshotChunk`] asked.
    pub fn chunk(
        &mut self,
        to: NodeId,
        meta: SnapshotMetadata,
        offset: u64,
        data: Vec<u8>,
        done: bool,
    ) {
        let term = self.hard.term;
        if matches!(self.state, State::Leader(_)) {
            self.out.push(Action::Send(
                to,
                Message::Snapshot {
                    term,
                    meta,
                    offset,
                    data,
                    done,
                },
            ));
        }
    }

    /// A part of a snapshot is put aside; with the last one, all of it is in place.
    pub fn stored(&mut self, from: NodeId, meta: SnapshotMetadata, next: u64, done: bool) {
        let index = meta.index;
        if done {
            self.incoming = None;
            self.log.reset(meta.clone());
            self.members = self.log.members();
            self.durable = self.durable.min(self.log.last_index()).max(index);
            for (_, last) in &mut self.writing {
                *last = (*last).max(index);
            }
            self.commit = self.commit.max(index);
            self.applied = self.applied.max(index);
        } else {
            self.incoming = Some((meta, Some(next)));
        }
        let term = self.hard.term;
        let next = (!done).then_some(next);
        self.say(from, Message::SnapshotReply { term, index, next });
    }

    // Messages.

    /// A message has come.
    pub fn step(&mut self, from: NodeId, message: Message) {
        match message {
            Message::PreVote { term, last } => {
                let granted = term > self.hard.term && last >= self.log.last() && !self.led();
                let term = if granted { term } else { self.hard.term };
                self.say(from, Message::PreVoteReply { term, granted });
            }
            Message::PreVoteReply {
                term,
                granted: true,
            } => {
                let due = term == self.hard.term + 1;
                let State::PreCandidate(votes) = &mut self.state else {
                    return;
                };
                if due {
                    votes.insert(from);
                    if self.members.1.is_quorum(|id| votes.contains(&id)) {
                        self.stand(false);
                    }
                }
            }
            Message::PreVoteReply {
                term,
                granted: false,
            }
            | Message::VoteReply {
                term,
                granted: false,
            } => {
                if term > self.hard.term {
                    self.follow(term, None);
                }
            }
            Message::Vote {
                term,
                last,
                transfer,
            } => self.vote(from, term, last, transfer),
            Message::VoteReply {
                term,
                granted: true,
            } => {
                let due = term == self.hard.term;
                let State::Candidate(votes) = &mut self.state else {
                    return;
                };
                if due {
                    votes.insert(from);
                    if self.members.1.is_quorum(|id| votes.contains(&id)) {
                        self.lead();
                    }
                }
            }
            Message::Append {
                term,
                prev,
                entries,
                commit,
                round,
            } => {
                if self.hear(from, term) {
                    self.take(from, prev, entries, commit, round);
                } else {
                    let (term, matched) = (self.hard.term, Err(0));
                    self.say(
                        from,
                        Message::AppendReply {
                            term,
                            matched,
                            round,
                        },
                    );
                }
            }
            Message::AppendReply {
                term,
                matched,
                round,
            } => {
                if term > self.hard.term {
                    self.follow(term, None);
                } else if term == self.hard.term {
                    self.answered(from, matched, round);
                }
            }
            Message::Snapshot {
                term,
                meta,
                offset,
                data,
                done,
            } => {
                if self.hear(from, term) {
                    self.take_part(from, meta, offset, data, done);
                }
            }
            Message::SnapshotReply { term, index, next } => {
                if term > self.hard.term {
                    return self.follow(term, None);
                }
                let now = self.now;
                let State::Leader(l) = &mut self.state else {
                    return;
                };
                let Some(p) = l.peers.get_mut(&from) else {
                    return;
                };
                p.heard = now;
                match next {
                    Some(offset) if p.snapshot.is_some() => {
                        p.snapshot = Some((offset, now));
                        self.out
                            .push(Action::LoadSnapshotChunk { to: from, offset });
                    }
                    Some(_) => {}
                    None => self.answered(from, Ok(index), 0),
                }
            }
            Message::Read { ctx } => self.begin_read(from, ctx),
            Message::ReadReply {
                ctx,
                index: Some(index),
            } => self.out.push(Action::ReadReady { ctx, index }),
            Message::ReadReply { ctx, index: None } => self.out.push(Action::ReadFailed { ctx }),
            Message::TimeoutNow { term } => {
                if term == self.hard.term
                    && self.leader == Some(from)
                    && self.members.1.voters.contains(&self.id)
                {
                    self.stand(true);
                }
            }
        }
    }

    /// Whether a leader has given a sign so lately that asking for votes disturbs.
    fn led(&self) -> bool {
        match self.state {
            State::Leader(_) => true,
            _ => self.leader.is_some() && self.now < self.heard + self.config.election,
        }
    }

    fn vote(&mut self, from: NodeId, term: Term, last: (Term, Index), transfer: bool) {
        // One that was removed, or was cut off, must not end a leadership that works.
        if term > self.hard.term && self.led() && !transfer {
            return;
        }
        if term > self.hard.term {
            self.follow(term, None);
        }
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted =
            term == self.hard.term && free && last >= self.log.last() && self.leader.is_none();
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.write(None, Vec::new(), true);
        }
        if granted {
            self.rest();
        }
        let term = self.hard.term;
        self.say(from, Message::VoteReply { term, granted });
    }

    /// A leader has given a sign. False: its time is over.
    fn hear(&mut self, from: NodeId, term: Term) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow(term, Some(from));
        self.heard = self.now;
        self.rest();
        true
    }

    /// Takes a leader's entries, if its log and this one agree up to them.
    fn take(
        &mut self,
        from: NodeId,
        prev: (Term, Index),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let base = self.log.base().index;
        let agrees = prev.1 < base || self.log.term(prev.1) == Some(prev.0);
        let matched = if agrees {
            let end = entries.last().map_or(prev.1, |e| e.index);
            let known = |e: &Entry| e.index <= base || self.log.term(e.index) == Some(e.term);
            let skip = entries.iter().take_while(|e| known(e)).count();
            let mut fresh = entries.into_iter().skip(skip);
            if let Some(first) = fresh.next() {
                // What contradicts the leader goes, and was never agreed on.
                let cut = (first.index <= self.log.last_index()).then_some(first.index);
                debug_assert!(cut.is_none_or(|c| c > self.commit));
                if let Some(from) = cut {
                    self.log.truncate(from);
                }
                let append: Vec<_> = std::iter::once(first).chain(fresh).collect();
                append.iter().for_each(|e| self.log.push(e.clone()));
                let named = append
                    .iter()
                    .any(|e| matches!(e.payload, Payload::Membership(_)));
                if named || cut.is_some_and(|c| c <= self.members.0) {
                    self.members = self.log.members();
                }
                self.write(cut, append, false);
            }
            self.commit = self.commit.max(commit.min(end));
            Ok(end)
        } else {
            // Not beyond what is here, and before all that this term would have to give up.
            let mut hint = self.log.last_index().min(prev.1.saturating_sub(1));
            let term = self.log.term(hint);
            while hint > self.commit
                && term.is_some_and(|t| t > prev.0)
                && self.log.term(hint) == term
            {
                hint -= 1;
            }
            Err(hint)
        };
        let term = self.hard.term;
        self.say(
            from,
            Message::AppendReply {
                term,
                matched,
                round,
            },
        );
    }

    fn answered(&mut self, from: NodeId, matched: Result<Index, Index>, round: u64) {
        let (now, last) = (self.now, self.log.last_index());
        let State::Leader(l) = &mut self.state else {
            return;
        };
        let Some(p) = l.peers.get_mut(&from) else {
            return;
        };
        p.heard = now;
        p.round = p.round.max(round);
        match matched {
            Ok(index) => {
                let index = index.min(last);
                if index > p.matched {
                    // Only this shows that what is out arrives; a sign of life is answered all the same.
                    (p.matched, p.since) = (index, now);
                }
                p.in_flight.retain(|end| *end > p.matched);
                if p.probing {
                    p.in_flight.clear();
                    (p.probing, p.next) = (false, p.matched + 1);
                }
                p.next = p.next.max(p.matched + 1);
                if p.snapshot.is_some() && p.next > self.log.base().index {
                    p.snapshot = None;
                }
                self.agree();
                self.confirm();
                self.hand_over(from);
            }
            Err(hint) => {
                let next = (hint + 1).max(p.matched + 1).min(last + 1);
                // An answer that is old or doubled moves nothing, and is not answered in turn: the next sign asks
                // again. Else every doubled message would begin an exchange that never ends.
                let moves = !p.probing || next < p.next;
                p.in_flight.clear();
                (p.probing, p.next) = (true, next);
                self.confirm();
                if !moves {
                    return;
                }
            }
        }
        self.send_entries(from);
    }

    fn take_part(
        &mut self,
        from: NodeId,
        meta: SnapshotMetadata,
        offset: u64,
        data: Vec<u8>,
        done: bool,
    ) {
        let term = self.hard.term;
        if meta.index <= self.commit {
            let index = meta.index;
            return self.say(
                from,
                Message::SnapshotReply {
                    term,
                    index,
                    next: None,
                },
            );
        }
        let known = self.incoming.as_ref().filter(|(m, _)| *m == meta);
        let Some(expected) = known.map_or(Some(0), |(_, next)| *next) else {
            return;
        };
        if offset != expected {
            let index = meta.index;
            return self.say(
                from,
                Message::SnapshotReply {
                    term,
                    index,
                    next: Some(expected),
                },
            );
        }
        self.incoming = Some((meta.clone(), None));
        self.out.push(Action::StoreSnapshotChunk {
            from,
            meta,
            offset,
            data,
            done,
        });
    }
}
