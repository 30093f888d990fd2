//! One member at work: messages, the disk's thread, timers, and those that wait for answers.

mod calls;
mod disk_worker;
mod fleet_reports;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::mpsc;
use std::task::{Poll, Waker};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use violetgate_raft::{Index, Membership, NodeId, ProposalError, SnapshotMetadata};
use violetgate_raft_storage::{FsDirectory, Identity, RaftStorage};
use violetgate_replica::{CallId, Effect, InitialState, Replica, ReplicaConfig, Response};
use violetgate_replicated_state::{Stale, Store};

use crate::clock::{boot_time, wall_time, TickTimer};
use crate::transport::Transport;
use crate::wire::Frame;
use calls::{Slot, TRY};
use disk_worker::{write_for_ever, Done, Job};

pub use calls::CallOutcome;
pub use status::ReplicaStatus;

/// Calls of other members that are carried out at a time; more are turned away, and come again.
const MOST_ASKED: usize = 1_000;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
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
    pub config: ReplicaConfig,
    /// For random numbers.
    pub seed: u64,
}

/// What begins a member's folder.
#[derive(Debug, Clone)]
pub struct Bootstrap {
    /// The first members, or none for one that joins a cluster that runs.
    pub initial_members: Vec<NodeId>,
    /// A saved state to begin with; empty: nothing.
    pub initial_state: Vec<u8>,
}

/// What is called with the store once more is applied to it.
pub type AppliedCallback = Rc<dyn Fn(&Store)>;

/// A member at work.
pub struct ReplicaRuntime {
    me: Weak<ReplicaRuntime>,
    member: RefCell<Replica>,
    disk_id: u64,
    transport: Rc<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    /// Called in the very turn in which more is applied, before anything else can be decided on it.
    applied: RefCell<Vec<AppliedCallback>>,
    /// How far front ends are, as observers report it.
    fleet: RefCell<fleet_reports::Reports>,
    told: Cell<Index>,
    /// Calls that other members carry out for this one, and how many this one carries out for others.
    forwarded_calls: RefCell<BTreeMap<u64, Rc<Slot>>>,
    carrying: Cell<usize>,
    jobs: mpsc::Sender<Job>,
    pending_calls: RefCell<BTreeMap<CallId, Rc<Slot>>>,
    last_ticket: Cell<CallId>,
    alarm: Rc<TickTimer>,
    /// Those that wait for the state to move on, and why nothing can be written any more.
    watchers: RefCell<Vec<Waker>>,
    stop_reason: RefCell<Option<String>>,
    tasks: RefCell<Vec<Task<()>>>,
}

impl ReplicaRuntime {
    /// Makes a member's folder. It is done once: a folder that is lost can't be made again under the same id, as its
    /// promises are lost with it.
    ///
    /// # Errors
    ///
    /// The folder is somebody's already, or can't be written.
    pub fn initialize(
        cluster: &str,
        id: NodeId,
        folder: &Path,
        born: u64,
        bootstrap: Bootstrap,
    ) -> Result<(), String> {
        let place = folder.display();
        let files = FsDirectory::new(folder).map_err(|e| format!("{place}: {e}"))?;
        let identity = Identity {
            cluster: cluster.to_owned(),
            replica_id: id,
            incarnation: born,
        };
        // A state to begin with is the first entry, so that one that has nothing is sent it.
        let index = Index::from(!bootstrap.initial_state.is_empty());
        let base = match bootstrap.initial_members {
            members if members.is_empty() => SnapshotMetadata::default(),
            members => SnapshotMetadata {
                index,
                membership: Membership::bootstrap(members),
                ..SnapshotMetadata::default()
            },
        };
        if !bootstrap.initial_state.is_empty() {
            Store::from_snapshot(&bootstrap.initial_state)
                .map_err(|e| format!("this is no saved state: {e}"))?;
        }
        RaftStorage::create(files, &identity, &base, &bootstrap.initial_state)
            .map_err(|e| format!("{place}: {e}"))?;
        Ok(())
    }

    /// Opens a member's disk and begins to take part.
    ///
    /// # Errors
    ///
    /// Its folder or its address can't be used; the text says why.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        options: &ReplicaOptions,
    ) -> Result<Rc<Self>, String> {
        let ReplicaOptions {
            cluster,
            id,
            folder,
            listen,
            members,
            config,
            seed,
        } = options.clone();
        let place = folder.display().to_string();
        let files = || FsDirectory::new(&folder).map_err(|e| format!("{place}: {e}"));
        let (disk, kept) =
            RaftStorage::open(files()?, &cluster, id).map_err(|e| format!("{place}: {e}"))?;
        let born = kept.incarnation;
        if kept.discarded_bytes > 0 {
            tracing::info!(
                "cluster cut {} bytes of a write that was under way off {place}",
                kept.discarded_bytes
            );
        }
        let listener = Async::<TcpListener>::bind(listen).map_err(|e| format!("{listen}: {e}"))?;
        let found = InitialState {
            hard_state: kept.hard_state,
            snapshot: kept.snapshot,
            state: kept.state,
            entries: kept.entries,
        };
        let member =
            Replica::new(id, config, seed, found, boot_time()).map_err(|e| e.to_string())?;
        let (jobs, work) = mpsc::channel();
        let (tell, done) = async_channel::unbounded();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write_for_ever(disk, &work, &tell))
            .map_err(|e| format!("a thread for the disk: {e}"))?;
        let me = Rc::new_cyclic(|me: &Weak<ReplicaRuntime>| {
            let of = me.clone();
            let incoming = Box::new(move |from, frame| {
                if let Some(cluster) = of.upgrade() {
                    cluster.hear(from, frame);
                }
            });
            ReplicaRuntime {
                me: me.clone(),
                told: Cell::new(member.applied()),
                member: RefCell::new(member),
                disk_id: born,
                transport: Transport::new(Rc::clone(executor), &cluster, id, born, incoming),
                executor: Rc::clone(executor),
                applied: RefCell::default(),
                fleet: RefCell::default(),
                forwarded_calls: RefCell::default(),
                carrying: Cell::new(0),
                jobs,
                pending_calls: RefCell::default(),
                last_ticket: Cell::new(0),
                alarm: Rc::default(),
                watchers: RefCell::default(),
                stop_reason: RefCell::default(),
                tasks: RefCell::default(),
            }
        });
        me.transport.set_peers(&members);
        let tasks = [
            executor.spawn(Rc::clone(&me.transport).listen(listener)),
            executor.spawn(keep_time(Rc::downgrade(&me), Rc::clone(&me.alarm))),
            executor.spawn(hear_disk(Rc::downgrade(&me), done)),
        ];
        me.tasks.borrow_mut().extend(tasks);
        Ok(me)
    }

    /// This member's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.member.borrow().raft().id()
    }

    /// What its tasks run on.
    pub(crate) fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// The connections to other members.
    #[must_use]
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Does something with the member, told the time first, and carries out what follows.
    fn with<T>(&self, act: impl FnOnce(&mut Replica) -> T) -> T {
        let (now, wall) = (boot_time(), wall_time());
        let done = {
            let mut member = self.member.borrow_mut();
            member.tick(now, wall);
            act(&mut member)
        };
        self.pump();
        done
    }

    fn pump(&self) {
        if self.stop_reason.borrow().is_some() {
            return;
        }
        let mut writes = Vec::new();
        loop {
            let effects = self.member.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    // All of a turn is one job, and one sync.
                    Effect::Persist(write) => writes.push(write),
                    Effect::Send { to, message } => self.transport.send(to, &Frame::Raft(message)),
                    Effect::Respond { call, response } => self.answer(call, response),
                    Effect::SaveSnapshot {
                        metadata: meta,
                        state,
                    } => {
                        self.job(Job::Write(std::mem::take(&mut writes)));
                        self.job(Job::Keep(meta, state.to_vec()));
                    }
                    Effect::InstallSnapshot {
                        from,
                        metadata: meta,
                        state,
                    } => {
                        let follows = self.member.borrow().entries_after(&meta);
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
            applied.iter().for_each(|f| f(member.store()));
            self.watchers.borrow_mut().drain(..).for_each(Waker::wake);
        }
        self.alarm.set(member.next_tick());
    }

    fn job(&self, job: Job) {
        let nothing = matches!(&job, Job::Write(writes) if writes.is_empty());
        if !nothing && self.jobs.send(job).is_err() {
            self.lose("the disk's thread has ended".to_owned());
        }
    }

    fn lose(&self, what: String) {
        tracing::info!("cluster member stops: {what}");
        *self.stop_reason.borrow_mut() = Some(what);
        self.watchers.borrow_mut().drain(..).for_each(Waker::wake);
    }

    fn answer(&self, ticket: CallId, answer: Response) {
        let slot = self.pending_calls.borrow().get(&ticket).cloned();
        slot.into_iter().for_each(|slot| slot.fill(answer.clone()));
    }

    /// What another member says.
    fn hear(&self, from: NodeId, frame: Frame) {
        match frame {
            Frame::Raft(message) => self.with(|m| m.step(from, message)),
            Frame::Progress(summary) => self.progress_came(from, summary),
            Frame::CallAnswer { id: number, answer } => {
                let slot = self.forwarded_calls.borrow().get(&number).cloned();
                slot.into_iter().for_each(|slot| slot.fill(answer.clone()));
            }
            Frame::ForwardCall { id: number, .. } if self.carrying.get() >= MOST_ASKED => {
                self.transport.send(
                    from,
                    &Frame::CallAnswer {
                        id: number,
                        answer: Response::Rejected(ProposalError::Busy),
                    },
                );
            }
            Frame::ForwardCall { id: number, call } => {
                let Some(me) = self.me.upgrade() else { return };
                self.carrying.set(self.carrying.get() + 1);
                let carried = async move {
                    // One that gets no answer asks again.
                    if let CallOutcome::Completed(answer) = me.here(call, TRY).await {
                        me.transport
                            .send(from, &Frame::CallAnswer { id: number, answer });
                    }
                    me.carrying.set(me.carrying.get() - 1);
                };
                self.executor.spawn(carried).detach();
            }
        }
    }

    /// What was drawn when this member's disk was made.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Adds to what is called in the very turn in which more is applied; it is called at once, too.
    pub fn on_applied(&self, f: AppliedCallback) {
        f(self.member.borrow().store());
        self.applied.borrow_mut().push(f);
    }

    /// The whole state as bytes, to be saved.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        self.member.borrow().store().to_snapshot()
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
        if self.stop_reason.borrow().is_some() {
            return Err(Stale { age: None });
        }
        self.member.borrow().may_route(boot_time())
    }

    /// Waits until more is applied here, or the member stops.
    pub async fn wait_for_apply(&self, from: Index) {
        poll_fn(|cx| {
            if self.member.borrow().applied() != from || self.stop_reason.borrow().is_some() {
                return Poll::Ready(());
            }
            self.watchers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Why the member has stopped, if it has.
    #[must_use]
    pub fn stop_reason(&self) -> Option<String> {
        self.stop_reason.borrow().clone()
    }
}

/// Tells the member the time whenever it wants to be.
async fn keep_time(of: Weak<ReplicaRuntime>, alarm: Rc<TickTimer>) {
    while let Some(cluster) = of.upgrade() {
        cluster.with(|_| ());
        alarm.set(cluster.member.borrow().next_tick());
        drop(cluster);
        alarm.wait().await;
    }
}

async fn hear_disk(of: Weak<ReplicaRuntime>, done: Receiver<Done>) {
    while let Ok(done) = done.recv().await {
        let Some(cluster) = of.upgrade() else { return };
        match done {
            Done::Persisted(seq) => cluster.with(|m| m.persisted(seq)),
            Done::Kept(index) => cluster.with(|m| m.snapshot_saved(index)),
            Done::Installed(from, meta, state) => {
                cluster.with(|m| m.snapshot_installed(from, meta, Rc::new(state)))
            }
            Done::Full(what) => tracing::info!("cluster can't write for now: {what}"),
            Done::Lost(what) => cluster.lose(what),
        }
    }
}
