//! Starts a replica from its folder.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::mpsc;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::NodeId;
use violetgate_raft_storage::{
    FsDirectory, OwnershipError, RaftStorage, RecoveredState, StorageError,
};
use violetgate_replica::{InitialState, Replica, ReplicaConfig, ReplicaError};

use super::storage_worker::{self, StorageEvent, StorageJob};
use super::{on_storage_events, tick_when_due, ReplicaRuntime};
use crate::clock::boot_time;
use crate::transport::{MessageHandler, Transport};

/// The settings that a replica is started with.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
    /// The cluster's name. Replicas of other clusters are rejected.
    pub cluster: String,
    /// This replica's id, which must be the one that its folder was created with.
    pub id: NodeId,
    /// The replica's folder, created by [`ReplicaRuntime::initialize`].
    pub folder: PathBuf,
    /// The address where the replica listens for other replicas.
    pub listen: SocketAddr,
    /// The addresses of all replicas that are known.
    pub members: BTreeMap<NodeId, SocketAddr>,
    /// The limits and intervals of the core.
    pub config: ReplicaConfig,
    /// A seed of the core's random numbers, in addition to those of the operating system.
    pub seed: u64,
    /// The limit of the memory for messages of other replicas that arrive or are queued.
    pub memory: MemoryBudget,
}

/// The reason why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder can't be created or opened.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The content of the folder can't be used.
    #[error("{}: {source}", folder.display())]
    Storage {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the storage.
        source: StorageError,
    },
    /// The replica can't listen at its address.
    #[error("{address}: {source}")]
    Listen {
        /// The address for other replicas.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The core rejected the configuration or the state from the folder.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The operating system provides no random number to tell this process from earlier ones.
    #[error("no random number to tell this process from earlier ones: {0}")]
    Random(getrandom::Error),
    /// The storage thread can't be started.
    #[error("can't start the storage thread: {0}")]
    Thread(std::io::Error),
}

impl StartError {
    /// Whether the folder belongs to no replica yet and can be passed to
    /// [`ReplicaRuntime::initialize`].
    #[must_use]
    pub fn is_uninitialized_folder(&self) -> bool {
        matches!(
            self,
            StartError::Storage {
                source: StorageError::NotOwned(OwnershipError::Unowned),
                ..
            }
        )
    }
}

/// A replica's storage and the state that was read from it.
struct OpenedStorage {
    storage: RaftStorage<FsDirectory>,
    recovered: RecoveredState,
}

/// The two ends of the storage thread's channels.
struct StorageThread {
    jobs: mpsc::Sender<StorageJob>,
    events: Receiver<StorageEvent>,
}

impl ReplicaRuntime {
    /// Opens a replica's folder and starts its tasks on the executor.
    ///
    /// # Errors
    ///
    /// The folder, the address or the configuration can't be used, or the storage thread can't be
    /// started.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        options: &ReplicaOptions,
    ) -> Result<Rc<Self>, StartError> {
        let OpenedStorage { storage, recovered } = open_storage(options)?;
        let address = options.listen;
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|source| StartError::Listen { address, source })?;
        let disk_id = recovered.incarnation;
        let process_number = random_number().map_err(StartError::Random)?;
        let replica = new_replica(options, recovered, process_number)?;
        let StorageThread { jobs, events } = start_storage_thread(storage)?;
        let runtime = Rc::new_cyclic(|weak_self: &Weak<ReplicaRuntime>| ReplicaRuntime {
            weak_self: weak_self.clone(),
            notified_index: Cell::new(replica.applied()),
            replica: RefCell::new(replica),
            disk_id,
            transport: new_transport(executor, options, disk_id, weak_self.clone()),
            executor: Rc::clone(executor),
            callbacks: RefCell::default(),
            fleet_reports: RefCell::default(),
            forwarded_calls: RefCell::default(),
            calls_for_others: Cell::new(0),
            pending_calls: RefCell::default(),
            last_call: Cell::new(process_number),
            storage_jobs: jobs,
            tick_timer: Rc::default(),
            apply_wakers: RefCell::default(),
            stop_reason: RefCell::default(),
            tasks: RefCell::default(),
        });
        runtime.transport.set_peers(&options.members);
        runtime.spawn_tasks(listener, events);
        Ok(runtime)
    }

    fn spawn_tasks(self: &Rc<Self>, listener: Async<TcpListener>, events: Receiver<StorageEvent>) {
        let timer = Rc::clone(&self.tick_timer);
        let tasks = [
            self.executor
                .spawn(Rc::clone(&self.transport).listen(listener)),
            self.executor
                .spawn(tick_when_due(Rc::downgrade(self), timer)),
            self.executor
                .spawn(on_storage_events(Rc::downgrade(self), events)),
        ];
        self.tasks.borrow_mut().extend(tasks);
    }
}

/// Returns a random number of the operating system, which differs at each start even where the
/// settings and their seed stay the same.
fn random_number() -> Result<u64, getrandom::Error> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes)?;
    Ok(u64::from_le_bytes(bytes))
}

/// Creates the core from the state that was read from its folder.
fn new_replica(
    options: &ReplicaOptions,
    recovered: RecoveredState,
    process_number: u64,
) -> Result<Replica, ReplicaError> {
    let initial = InitialState {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        state: recovered.state,
        entries: recovered.entries,
    };
    let ReplicaOptions {
        id, config, seed, ..
    } = options;
    let (id, config, seed) = (*id, *config, *seed);
    Replica::new(id, config, seed ^ process_number, initial, boot_time())
}

fn new_transport(
    executor: &Rc<LocalExecutor<'static>>,
    options: &ReplicaOptions,
    disk_id: u64,
    runtime: Weak<ReplicaRuntime>,
) -> Rc<Transport> {
    let on_message: MessageHandler = Box::new(move |from, message| {
        if let Some(runtime) = runtime.upgrade() {
            runtime.on_message(from, message);
        }
    });
    let executor = Rc::clone(executor);
    Transport::new(
        executor,
        &options.cluster,
        options.id,
        disk_id,
        options.listen,
        options.memory.clone(),
        on_message,
    )
}

fn open_storage(options: &ReplicaOptions) -> Result<OpenedStorage, StartError> {
    let folder: &Path = &options.folder;
    let directory = FsDirectory::new(folder).map_err(|source| StartError::Folder {
        folder: folder.to_owned(),
        source,
    })?;
    let opened = RaftStorage::open(directory, &options.cluster, options.id);
    let (storage, recovered) = opened.map_err(|source| StartError::Storage {
        folder: folder.to_owned(),
        source,
    })?;
    if recovered.discarded_bytes > 0 {
        tracing::info!(
            "cluster cut {} bytes of a write that was under way off {}",
            recovered.discarded_bytes,
            folder.display()
        );
    }
    Ok(OpenedStorage { storage, recovered })
}

fn start_storage_thread(storage: RaftStorage<FsDirectory>) -> Result<StorageThread, StartError> {
    let (jobs, queued_jobs) = mpsc::channel();
    let (report, events) = async_channel::unbounded();
    std::thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || storage_worker::run(storage, &queued_jobs, &report))
        .map_err(StartError::Thread)?;
    Ok(StorageThread { jobs, events })
}
