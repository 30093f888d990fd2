//! A replica at work: its core, its connections, its storage thread, its timer, and the calls that
//! wait for an answer.
//!
//! - [`bootstrap`]: making a replica's folder.
//! - [`startup`]: opening it and starting all tasks.
//! - [`effects`]: carrying out what the core requests.
//! - [`storage_worker`]: the thread that writes to disk.
//! - [`calls`], [`forwarding`]: calls of this program, carried out here or by the leader.
//! - [`fleet_reports`]: how far all gateways are, as observers report it.

mod bootstrap;
mod calls;
mod effects;
mod fleet_reports;
mod forwarding;
mod pending_answer;
mod startup;
mod status;
mod storage_worker;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::sync::mpsc;
use std::task::{Poll, Waker};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use violetgate_raft::{Index, NodeId};
use violetgate_raft_storage::StorageError;
use violetgate_replica::{CallId, Replica};
use violetgate_replicated_state::{Stale, Store};

use crate::clock::{boot_time, wall_time, TickTimer};
use crate::transport::Transport;
use crate::wire::PeerMessage;
use fleet_reports::FleetReports;
use pending_answer::PendingAnswer;
use storage_worker::{StorageEvent, StorageJob};

pub use bootstrap::{Bootstrap, InitializeError};
pub use calls::CallOutcome;
pub use startup::{ReplicaOptions, StartError};
pub use status::{MatchedIndex, ReplicaStatus};

/// Called with the store whenever more is applied to it.
pub type AppliedCallback = Rc<dyn Fn(&Store)>;

/// Why a replica has stopped: it takes part no more until it is started again.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StopReason {
    /// The storage thread has ended.
    #[error("the disk's thread has ended")]
    StorageThreadEnded,
    /// The storage can't be written any more.
    #[error("{0}")]
    Storage(Rc<StorageError>),
}

/// A replica at work. It ends with the last reference to it.
pub struct ReplicaRuntime {
    weak_self: Weak<ReplicaRuntime>,
    replica: RefCell<Replica>,
    disk_id: u64,
    transport: Rc<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    callbacks: RefCell<Vec<AppliedCallback>>,
    /// The index that the callbacks were last called at.
    notified_index: Cell<Index>,
    fleet_reports: RefCell<FleetReports>,
    /// Calls of this program that another replica carries out.
    forwarded_calls: RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>,
    /// How many calls of other replicas are carried out here.
    calls_for_others: Cell<usize>,
    /// Calls that are carried out here.
    pending_calls: RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>,
    last_call: Cell<CallId>,
    storage_jobs: mpsc::Sender<StorageJob>,
    tick_timer: Rc<TickTimer>,
    /// Woken when more is applied, or the replica stops.
    apply_wakers: RefCell<Vec<Waker>>,
    stop_reason: RefCell<Option<StopReason>>,
    tasks: RefCell<Vec<Task<()>>>,
}

impl ReplicaRuntime {
    /// This replica's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.replica.borrow().raft().id()
    }

    /// The executor that its tasks run on.
    pub(crate) fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// The connections to other replicas.
    #[must_use]
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// The random number that identifies this replica's folder.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Adds a callback. It is called at once, and then whenever more is applied, before anything
    /// else can be decided on the new state.
    pub fn on_applied(&self, callback: AppliedCallback) {
        callback(self.replica.borrow().store());
        self.callbacks.borrow_mut().push(callback);
    }

    /// The state, encoded for a backup.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        self.replica.borrow().store().to_snapshot()
    }

    /// Reads the store as it is applied here.
    pub fn store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(self.replica.borrow().store())
    }

    /// Whether requests may be routed on the state that is applied here.
    ///
    /// # Errors
    ///
    /// The state is too old, or the replica has stopped.
    pub fn may_route(&self) -> Result<(), Stale> {
        if self.has_stopped() {
            return Err(Stale { age: None });
        }
        self.replica.borrow().may_route(boot_time())
    }

    /// Waits until an index other than `index` is applied here, or the replica stops.
    pub async fn wait_for_apply(&self, index: Index) {
        poll_fn(|context| {
            if self.replica.borrow().applied() != index || self.has_stopped() {
                return Poll::Ready(());
            }
            self.apply_wakers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Why the replica has stopped, if it has.
    #[must_use]
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stop_reason.borrow().clone()
    }

    fn has_stopped(&self) -> bool {
        self.stop_reason.borrow().is_some()
    }

    /// Calls the core, after its tick, and carries out the effects that follow.
    fn drive<T>(&self, call: impl FnOnce(&mut Replica) -> T) -> T {
        let (now, wall) = (boot_time(), wall_time());
        let result = {
            let mut replica = self.replica.borrow_mut();
            replica.tick(now, wall);
            call(&mut replica)
        };
        self.carry_out_effects();
        result
    }

    /// Handles a message from another replica.
    fn on_message(&self, from: NodeId, message: PeerMessage) {
        match message {
            PeerMessage::Raft(message) => self.drive(|replica| replica.step(from, message)),
            PeerMessage::Progress(summary) => self.record_progress(from, summary),
            PeerMessage::CallAnswer { id, answer } => self.on_forwarded_answer(id, answer),
            PeerMessage::ForwardCall { id, call } => self.carry_out_for(from, id, call),
        }
    }
}

/// Calls the core's tick whenever it is due.
async fn tick_when_due(weak: Weak<ReplicaRuntime>, timer: Rc<TickTimer>) {
    while let Some(runtime) = weak.upgrade() {
        runtime.drive(|_| ());
        timer.set(runtime.replica.borrow().next_tick());
        drop(runtime);
        timer.wait().await;
    }
}

/// Passes on what the storage thread reports.
async fn on_storage_events(weak: Weak<ReplicaRuntime>, events: Receiver<StorageEvent>) {
    while let Ok(event) = events.recv().await {
        let Some(runtime) = weak.upgrade() else {
            return;
        };
        runtime.on_storage_event(event);
    }
}
