//! One member at work: messages, the disk's thread, timers, and those that wait for answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::mpsc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{Future, FutureExt};
use violetgate_consensus::{Change, Entry, Index, Members, Meta, NodeId, Rejected, Role, Term, Write};
use violetgate_disk::{Disk, Failure, Folder, Identity};
use violetgate_member::{Answer, Effect, Found, Manner, Member, Ticket};
use violetgate_state::{Micros, Revision, Stale, Step, Store};

use crate::transport::Transport;
use crate::wire::{Call, Frame};

/// How long a full disk is left alone before the same is tried again.
const FULL: Duration = Duration::from_millis(200);
/// How often a call that got no answer is made again, under the same request id.
const AGAIN: Duration = Duration::from_millis(150);
/// How long one try of a call to be agreed on may take before it is made again, and the pause between two.
const TRY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(20);
/// Calls of other members that are carried out at a time; more are turned away, and come again.
const MOST_ASKED: usize = 1_000;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The cluster's name.
    pub cluster: String,
    /// This member's id.
    pub id: NodeId,
    /// Its folder.
    pub folder: PathBuf,
    /// Where it listens.
    pub listen: SocketAddr,
    /// All members that are known, with their addresses.
    pub members: BTreeMap<NodeId, SocketAddr>,
    /// How it behaves.
    pub manner: Manner,
    /// For random numbers.
    pub seed: u64,
}

/// What a member is at.
#[derive(Debug, Clone)]
pub struct Status {
    /// Its id.
    pub id: NodeId,
    /// What it is.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<NodeId>,
    /// The last entry that is agreed on, and the last one that is applied here.
    pub commit: Index,
    /// The same, applied.
    pub applied: Index,
    /// The members.
    pub members: Members,
    /// The store's revision, as it is applied here.
    pub revision: Revision,
    /// Whether state may be routed on, or how old it is.
    pub fresh: Result<(), Stale>,
    /// For a leader, what each other member is known to have.
    pub progress: Vec<(NodeId, Index)>,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answered {
    /// It was answered.
    Yes(Answer),
    /// It was not, in the time that it had. A command may still come to be.
    Late,
}

/// What begins a member's folder.
#[derive(Debug, Clone)]
pub struct Beginning {
    /// The first members, or none for one that joins a cluster that runs.
    pub members: Vec<NodeId>,
    /// A saved state to begin with; empty: nothing.
    pub state: Vec<u8>,
}

enum Job {
    Write(Vec<Write>),
    Keep(Meta, Vec<u8>),
    Install(NodeId, Meta, Vec<u8>, Vec<Entry>),
}

enum Done {
    Persisted(u64),
    Kept(Index),
    Installed(NodeId, Meta, Vec<u8>),
    Full(String),
    Lost(String),
}

#[derive(Default)]
struct Slot {
    answer: RefCell<Option<Answer>>,
    waker: RefCell<Option<Waker>>,
}

/// What is called with the store once more is applied to it.
pub type OnApplied = Rc<dyn Fn(&Store)>;

/// A member at work.
pub struct Cluster {
    me: Weak<Cluster>,
    member: RefCell<Member>,
    born: u64,
    transport: Rc<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    /// Called in the very turn in which more is applied, before anything else can be decided on it.
    applied: RefCell<Option<OnApplied>>,
    told: Cell<Index>,
    /// Calls that other members carry out for this one, and how many this one carries out for others.
    asked: RefCell<BTreeMap<u64, Rc<Slot>>>,
    carrying: Cell<usize>,
    jobs: mpsc::Sender<Job>,
    waiting: RefCell<BTreeMap<Ticket, Rc<Slot>>>,
    next: Cell<Ticket>,
    armed: Cell<Micros>,
    waker: RefCell<Option<Waker>>,
    /// Those that wait for the state to move on, and why nothing can be written any more.
    watchers: RefCell<Vec<Waker>>,
    lost: RefCell<Option<String>>,
    tasks: RefCell<Vec<Task<()>>>,
}

/// The time that counts sleep, in microseconds since the machine's start.
#[must_use]
fn boot() -> Micros {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(at.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(at.tv_nsec).unwrap_or(0) / 1_000
}

fn wall() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

impl Cluster {
    /// Makes a member's folder. It is done once: a folder that is lost can't be made again under the same id, as its
    /// promises are lost with it.
    ///
    /// # Errors
    ///
    /// The folder is somebody's already, or can't be written.
    pub fn begin(cluster: &str, id: NodeId, folder: &Path, born: u64, from: Beginning) -> Result<(), String> {
        let place = folder.display();
        let files = Folder::new(folder).map_err(|e| format!("{place}: {e}"))?;
        let identity = Identity { cluster: cluster.to_owned(), member: id, born };
        // A state to begin with is the first entry, so that one that has nothing is sent it.
        let index = Index::from(!from.state.is_empty());
        let base = match from.members {
            members if members.is_empty() => Meta::default(),
            members => Meta { index, members: Members::first(members), ..Meta::default() },
        };
        if !from.state.is_empty() {
            Store::load(&from.state).map_err(|e| format!("this is no saved state: {e}"))?;
        }
        Disk::create(files, &identity, &base, &from.state).map_err(|e| format!("{place}: {e}"))?;
        Ok(())
    }

    /// Opens a member's disk and begins to take part.
    ///
    /// # Errors
    ///
    /// Its folder or its address can't be used; the text says why.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, options: &Options) -> Result<Rc<Self>, String> {
        let Options { cluster, id, folder, listen, members, manner, seed } = options.clone();
        let place = folder.display().to_string();
        let files = || Folder::new(&folder).map_err(|e| format!("{place}: {e}"));
        let (disk, kept) = Disk::open(files()?, &cluster, id).map_err(|e| format!("{place}: {e}"))?;
        let born = kept.born;
        if kept.cut > 0 {
            tracing::info!("cluster cut {} bytes of a write that was under way off {place}", kept.cut);
        }
        let listener = Async::<TcpListener>::bind(listen).map_err(|e| format!("{listen}: {e}"))?;
        let found = Found { hard: kept.hard, base: kept.base, state: kept.state, entries: kept.entries };
        let member = Member::new(id, manner, seed, found, boot())?;
        let (jobs, work) = mpsc::channel();
        let (tell, done) = async_channel::unbounded();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write_for_ever(disk, &work, &tell))
            .map_err(|e| format!("a thread for the disk: {e}"))?;
        let me = Rc::new_cyclic(|me: &Weak<Cluster>| {
            let of = me.clone();
            let incoming = Box::new(move |from, frame| {
                if let Some(cluster) = of.upgrade() {
                    cluster.hear(from, frame);
                }
            });
            Cluster {
                me: me.clone(),
                told: Cell::new(member.applied()),
                member: RefCell::new(member),
                born,
                transport: Transport::new(Rc::clone(executor), &cluster, id, born, incoming),
                executor: Rc::clone(executor),
                applied: RefCell::default(),
                asked: RefCell::default(),
                carrying: Cell::new(0),
                jobs,
                waiting: RefCell::default(),
                next: Cell::new(0),
                armed: Cell::new(Micros::MAX),
                waker: RefCell::default(),
                watchers: RefCell::default(),
                lost: RefCell::default(),
                tasks: RefCell::default(),
            }
        });
        me.transport.peers(&members);
        let tasks = [
            executor.spawn(Rc::clone(&me.transport).listen(listener)),
            executor.spawn(keep_time(Rc::downgrade(&me))),
            executor.spawn(hear_disk(Rc::downgrade(&me), done)),
        ];
        me.tasks.borrow_mut().extend(tasks);
        Ok(me)
    }

    /// The connections to other members.
    #[must_use]
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Does something with the member, told the time first, and carries out what follows.
    fn with<T>(&self, act: impl FnOnce(&mut Member) -> T) -> T {
        let (now, wall) = (boot(), wall());
        let done = {
            let mut member = self.member.borrow_mut();
            member.tick(now, wall);
            act(&mut member)
        };
        self.pump();
        done
    }

    fn pump(&self) {
        if self.lost.borrow().is_some() {
            return;
        }
        let mut writes = Vec::new();
        loop {
            let effects = self.member.borrow_mut().effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    // All of a turn is one job, and one sync.
                    Effect::Write(write) => writes.push(write),
                    Effect::Send(to, message) => self.transport.send(to, &Frame::Core(message)),
                    Effect::Answer(ticket, answer) => self.answer(ticket, answer),
                    Effect::Keep(meta, state) => {
                        self.job(Job::Write(std::mem::take(&mut writes)));
                        self.job(Job::Keep(meta, state.to_vec()));
                    }
                    Effect::Install(from, meta, state) => {
                        let follows = self.member.borrow().follows(&meta);
                        self.job(Job::Write(std::mem::take(&mut writes)));
                        self.job(Job::Install(from, meta, state.to_vec(), follows));
                    }
                }
            }
        }
        self.job(Job::Write(writes));
        let member = self.member.borrow();
        if self.told.replace(member.applied()) != member.applied() {
            let applied = self.applied.borrow().clone();
            applied.into_iter().for_each(|f| f(member.store()));
            self.watchers.borrow_mut().drain(..).for_each(Waker::wake);
        }
        if member.next_tick() < self.armed.get() {
            self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
    }

    fn job(&self, job: Job) {
        let nothing = matches!(&job, Job::Write(writes) if writes.is_empty());
        if !nothing && self.jobs.send(job).is_err() {
            self.lose("the disk's thread has ended".to_owned());
        }
    }

    fn lose(&self, what: String) {
        tracing::info!("cluster member stops: {what}");
        *self.lost.borrow_mut() = Some(what);
        self.watchers.borrow_mut().drain(..).for_each(Waker::wake);
    }

    fn answer(&self, ticket: Ticket, answer: Answer) {
        let slot = self.waiting.borrow().get(&ticket).cloned();
        slot.into_iter().for_each(|slot| slot.fill(answer.clone()));
    }

    /// What another member says.
    fn hear(&self, from: NodeId, frame: Frame) {
        match frame {
            Frame::Core(message) => self.with(|m| m.step(from, message)),
            Frame::Told(number, answer) => {
                let slot = self.asked.borrow().get(&number).cloned();
                slot.into_iter().for_each(|slot| slot.fill(answer.clone()));
            }
            Frame::Ask(number, _) if self.carrying.get() >= MOST_ASKED => {
                self.transport.send(from, &Frame::Told(number, Answer::Rejected(Rejected::Busy)));
            }
            Frame::Ask(number, call) => {
                let Some(me) = self.me.upgrade() else { return };
                self.carrying.set(self.carrying.get() + 1);
                let carried = async move {
                    // One that gets no answer asks again.
                    if let Answered::Yes(answer) = me.here(call, TRY).await {
                        me.transport.send(from, &Frame::Told(number, answer));
                    }
                    me.carrying.set(me.carrying.get() - 1);
                };
                self.executor.spawn(carried).detach();
            }
        }
    }

    fn ticket(&self) -> Ticket {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Makes one call, and waits for its answer for so long at most.
    async fn call(&self, within: Duration, act: impl FnOnce(&mut Member, Ticket)) -> Answered {
        let ticket = self.ticket();
        let slot = Rc::new(Slot::default());
        self.waiting.borrow_mut().insert(ticket, Rc::clone(&slot));
        // Whichever way this ends, nobody waits for it any more: also where its future is dropped.
        let _forget = Forget(self, ticket);
        self.with(|m| act(m, ticket));
        slot.filled(within).await
    }

    /// Carries a call out here, if this member leads.
    async fn here(&self, call: Call, within: Duration) -> Answered {
        match call {
            Call::Propose { request, who, step } => self.propose(Some(request), &who, step, within).await,
            Call::Change(change) => self.change(change, within).await,
            Call::Transfer(to) => Answered::Yes(match self.transfer(to) {
                Ok(()) => Answer::Changed,
                Err(Rejected::NotLeader) => Answer::NotLeader(self.status().leader),
                Err(why) => Answer::Rejected(why),
            }),
        }
    }

    /// Has another member carry a call out.
    async fn there(&self, to: NodeId, call: Call, within: Duration) -> Answered {
        let number = self.ticket();
        let slot = Rc::new(Slot::default());
        self.asked.borrow_mut().insert(number, Rc::clone(&slot));
        let _forget = Unask(self, number);
        self.transport.send(to, &Frame::Ask(number, call));
        // One that is no longer held for the leader won't answer, or another one can sooner.
        let deposed = async {
            while self.member.borrow().node().leader() == Some(to) {
                Timer::after(PAUSE / 2).await;
            }
            Answered::Late
        };
        slot.filled(within).or(deposed).await
    }

    /// Has a call agreed on, whoever leads: asked again, under its one request id, until its fate is known or its
    /// time is over. [`Answered::Late`]: it may still come to be; the same call again tells.
    pub async fn agree(&self, call: Call, within: Duration) -> Answered {
        let until = Instant::now() + within;
        let mut unsure = false;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.lost.borrow().is_some() {
                return Answered::Late;
            }
            let Status { id, role, leader, .. } = self.status();
            let answered = match leader {
                _ if role == Role::Leader => self.here(call.clone(), left.min(TRY)).await,
                Some(leader) if leader != id => self.there(leader, call.clone(), left.min(TRY)).await,
                _ => Answered::Yes(Answer::NotLeader(None)),
            };
            match answered {
                Answered::Late | Answered::Yes(Answer::Unsure) => unsure = true,
                Answered::Yes(
                    Answer::NotLeader(_) | Answer::Rejected(Rejected::Busy | Rejected::Pending),
                ) => {}
                // A step that was taken by an earlier try can't be taken again.
                Answered::Yes(Answer::Rejected(_)) if unsure && self.taken(&call) => {
                    return Answered::Yes(Answer::Changed);
                }
                told => return told,
            }
            Timer::after(PAUSE.min(left)).await;
        }
    }

    fn taken(&self, call: &Call) -> bool {
        let member = self.member.borrow();
        let members = member.members();
        match call {
            Call::Change(Change::Add(id)) => members.contains(*id),
            Call::Change(Change::Promote(id)) => members.voters.contains(id),
            Call::Change(Change::Remove(id)) => !members.contains(*id),
            Call::Propose { .. } | Call::Transfer(_) => false,
        }
    }

    /// What was drawn when this member's disk was made.
    #[must_use]
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Names what is called in the very turn in which more is applied; it is called at once, too.
    pub fn on_applied(&self, f: OnApplied) {
        f(self.member.borrow().store());
        *self.applied.borrow_mut() = Some(f);
    }

    /// The whole state as bytes, to be saved.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        self.member.borrow().store().save()
    }

    /// Proposes a command here, once. `request` makes it safe to ask again.
    pub async fn propose(
        &self,
        request: Option<String>,
        who: &str,
        step: Step,
        within: Duration,
    ) -> Answered {
        self.call(within, |m, ticket| m.propose(ticket, request, who.to_owned(), step)).await
    }

    /// One step of the membership.
    pub async fn change(&self, change: Change, within: Duration) -> Answered {
        self.call(within, |m, ticket| m.change(ticket, change)).await
    }

    /// Waits until the store is current, by asking again where no answer comes. False: it was not, in that time.
    pub async fn current(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            if self.call(left.min(AGAIN), Member::read).await == Answered::Yes(Answer::Current) {
                return true;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        false
    }

    /// Reads the store as it is applied here.
    pub fn store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(self.member.borrow().store())
    }

    /// Whether a send may leave now on the state that is here.
    ///
    /// # Errors
    ///
    /// The state is too old, or nothing can be written any more.
    pub fn may_route(&self) -> Result<(), Stale> {
        if self.lost.borrow().is_some() {
            return Err(Stale { age: None });
        }
        self.member.borrow().may_route(boot())
    }

    /// Waits until more is applied here, or the member stops.
    pub async fn moved(&self, from: Index) {
        poll_fn(|cx| {
            if self.member.borrow().applied() != from || self.lost.borrow().is_some() {
                return Poll::Ready(());
            }
            self.watchers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Why the member has stopped, if it has.
    #[must_use]
    pub fn lost(&self) -> Option<String> {
        self.lost.borrow().clone()
    }

    /// Hands leadership over.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn transfer(&self, to: NodeId) -> Result<(), Rejected> {
        self.with(|m| m.transfer(to))
    }

    /// What the member is at.
    #[must_use]
    pub fn status(&self) -> Status {
        let member = self.member.borrow();
        let node = member.node();
        Status {
            id: node.id(),
            role: node.role(),
            term: node.term(),
            leader: node.leader(),
            commit: node.commit(),
            applied: member.applied(),
            members: member.members().clone(),
            revision: member.store().revision(),
            fresh: member.may_route(boot()),
            progress: node.progress(),
        }
    }
}

impl Slot {
    fn fill(&self, answer: Answer) {
        *self.answer.borrow_mut() = Some(answer);
        self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
    }

    async fn filled(&self, within: Duration) -> Answered {
        let answered = poll_fn(|cx| match self.answer.borrow_mut().take() {
            Some(answer) => Poll::Ready(Answered::Yes(answer)),
            None => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        });
        let late = async {
            Timer::after(within).await;
            Answered::Late
        };
        answered.or(late).await
    }
}

/// Takes a question back that nobody waits for.
struct Unask<'a>(&'a Cluster, u64);

impl Drop for Unask<'_> {
    fn drop(&mut self) {
        self.0.asked.borrow_mut().remove(&self.1);
    }
}

/// Takes a call back that nobody waits for.
struct Forget<'a>(&'a Cluster, Ticket);

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.0.waiting.borrow_mut().remove(&self.1);
        self.0.member.borrow_mut().forget(self.1);
    }
}

/// Tells the member the time whenever it wants to be.
async fn keep_time(of: Weak<Cluster>) {
    let mut timer = Timer::never();
    poll_fn(|cx| loop {
        let Some(cluster) = of.upgrade() else { return Poll::Ready(()) };
        *cluster.waker.borrow_mut() = Some(cx.waker().clone());
        let now = boot();
        if cluster.member.borrow().next_tick() <= now {
            cluster.armed.set(Micros::MAX);
            cluster.with(|_| ());
            *cluster.waker.borrow_mut() = Some(cx.waker().clone());
        }
        let at = cluster.member.borrow().next_tick();
        cluster.armed.set(at);
        timer.set_after(Duration::from_micros(at.saturating_sub(boot()).max(500)));
        if Pin::new(&mut timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
    })
    .await;
}

async fn hear_disk(of: Weak<Cluster>, done: Receiver<Done>) {
    while let Ok(done) = done.recv().await {
        let Some(cluster) = of.upgrade() else { return };
        match done {
            Done::Persisted(seq) => cluster.with(|m| m.persisted(seq)),
            Done::Kept(index) => cluster.with(|m| m.kept(index)),
            Done::Installed(from, meta, state) => cluster.with(|m| m.installed(from, meta, Rc::new(state))),
            Done::Full(what) => tracing::info!("cluster can't write for now: {what}"),
            Done::Lost(what) => cluster.lose(what),
        }
    }
}

/// The disk's thread: takes all jobs that wait, and makes the writes among them durable with one sync.
fn write_for_ever(mut disk: Disk<Folder>, work: &mpsc::Receiver<Job>, tell: &Sender<Done>) {
    let mut next = None;
    loop {
        let Some(job) = next.take().or_else(|| work.recv().ok()) else { return };
        let done = match job {
            Job::Write(mut writes) => {
                while let Ok(job) = work.try_recv() {
                    match job {
                        Job::Write(more) => writes.extend(more),
                        other => {
                            next = Some(other);
                            break;
                        }
                    }
                }
                let seq = writes.iter().map(|w| w.seq).max().unwrap_or(0);
                tried(tell, || disk.write(&writes)).map(|()| Done::Persisted(seq))
            }
            Job::Keep(meta, state) => {
                tried(tell, || disk.keep(&meta, &state)).map(|()| Done::Kept(meta.index))
            }
            Job::Install(from, meta, state, follows) => tried(tell, || disk.install(&meta, &state, &follows))
                .map(|()| Done::Installed(from, meta, state)),
        };
        let lost = done.is_err();
        if tell.send_blocking(done.unwrap_or_else(Done::Lost)).is_err() || lost {
            return;
        }
    }
}

/// Does something until it is done: a disk that is full is tried again, and told of once.
fn tried(tell: &Sender<Done>, mut act: impl FnMut() -> Result<(), Failure>) -> Result<(), String> {
    let mut told = false;
    loop {
        match act() {
            Ok(()) => return Ok(()),
            Err(Failure::Full(e)) => {
                if !std::mem::replace(&mut told, true)
                    && tell.send_blocking(Done::Full(e.to_string())).is_err()
                {
                    return Err("nobody waits for the disk".to_owned());
                }
                if tell.is_closed() {
                    return Err("nobody waits for the disk".to_owned());
                }
                std::thread::sleep(FULL);
            }
            Err(e) => return Err(e.to_string()),
        }
    }
}
