//! Runs a replica: its core, its connections, its storage thread, its timer, and the calls that
//! wait for an answer.
//!
//! - [`bootstrap`]: creates a replica's folder.
//! - [`startup`]: opens the folder and starts all tasks.
//! - [`effects`]: carries out the effects that the core requests.
//! - [`storage_worker`]: runs the thread that writes to disk.
//! - [`calls`], [`forwarding`]: carry out calls of this process here or at the leader.
//! - [`fleet_reports`]: collects which revisions the gateways have applied, as observers report it.

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

/// A callback that receives the store whenever further entries were applied to it.
pub type AppliedCallback = Rc<dyn Fn(&Store)>;

/// The reason why a replica has stopped. It takes no part in the cluster until it is started again.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StopReason {
    /// The storage thread has ended.
    #[error("the storage thread has ended")]
    StorageThreadEnded,
    /// The storage failed, and nothing more can be written to it.
    #[error("{0}")]
    Storage(Rc<StorageError>),
}

/// A running replica. Dropping the last reference stops it.
pub struct ReplicaRuntime {
    weak_self: Weak<ReplicaRuntime>,
    replica: RefCell<Replica>,
    disk_id: u64,
    transport: Rc<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    callbacks: RefCell<Vec<AppliedCallback>>,
    /// The applied index at the last call of the callbacks.
    notified_index: Cell<Index>,
    fleet_reports: RefCell<FleetReports>,
    /// Calls of this process that another replica carries out.
    forwarded_calls: RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>,
    /// The number of calls that are being carried out here for other replicas.
    calls_for_others: Cell<usize>,
    /// Calls that are being carried out here.
    pending_calls: RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>,
    /// The id of the latest call. The first one follows a random number.
    last_call: Cell<CallId>,
    storage_jobs: mpsc::Sender<StorageJob>,
    tick_timer: Rc<TickTimer>,
    /// Tasks to wake when further entries were applied or the replica stops.
    apply_wakers: RefCell<Vec<Waker>>,
    stop_reason: RefCell<Option<StopReason>>,
    tasks: RefCell<Vec<Task<()>>>,
}

impl ReplicaRuntime {
    /// Returns this replica's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.replica.borrow().raft().id()
    }

    /// Returns the executor that runs the replica's tasks.
    pub(crate) fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Returns the connections to other replicas.
    #[must_use]
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Returns the random number that identifies this replica's folder.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Adds a callback. It is called at once, and then whenever further entries were applied,
    /// before another task can use the new state.
    pub fn on_applied(&self, callback: AppliedCallback) {
        callback(self.replica.borrow().store());
        self.callbacks.borrow_mut().push(callback);
    }

    /// Returns the state, encoded for a backup.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        self.replica.borrow().store().to_snapshot()
    }

    /// Reads this replica's store. It may lag behind the leader's.
    pub fn store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(self.replica.borrow().store())
    }

    /// Returns whether the log that this replica has recovered at its start is applied.
    #[must_use]
    pub fn has_applied_recovered_log(&self) -> bool {
        self.replica.borrow().has_applied_recovered_log()
    }

    /// Reads the state that results if all entries of this replica's log are committed. It serves
    /// to reach the other replicas after a restart, before a leader has confirmed the log.
    pub fn store_at_log_end<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(&self.replica.borrow().store_at_log_end())
    }

    /// Checks whether the state applied here is fresh enough to route requests on it.
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

    /// Returns the reason why the replica has stopped, if it has.
    #[must_use]
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stop_reason.borrow().clone()
    }

    fn has_stopped(&self) -> bool {
        self.stop_reason.borrow().is_some()
    }

    /// Calls the core's tick and then `call`, and carries out the effects that the core requests.
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

/// Handles the storage thread's reports until the runtime is dropped or the thread ends.
async fn on_storage_events(weak: Weak<ReplicaRuntime>, events: Receiver<StorageEvent>) {
    while let Ok(event) = events.recv().await {
        let Some(runtime) = weak.upgrade() else {
            return;
        };
        runtime.on_storage_event(event);
    }
}
