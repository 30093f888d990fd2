//! Real cluster members with their real transport and disks, in one process. The leader runs on the
//! calling thread and all others on a second one, so that their CPU time is measured separately.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::NodeId;
use violetgate_replica::ReplicaConfig;
use violetgate_replica_runtime::{Bootstrap, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::Revision;
use violetgate_test_harness::lock;

use crate::error::ScaleError;
use crate::usage::thread_cpu;

/// The member that leads while costs are measured.
pub const LEADER: NodeId = 1;
/// The members that vote; all others are learners.
pub const VOTERS: [NodeId; 3] = [1, 2, 3];
/// How often the thread of the other members updates its progress.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);
const CLUSTER: &str = "scale";
/// The memory budget of a member, in bytes: more than it needs.
const MEMORY_BYTES: usize = 256 << 20;

/// A revision that a member has applied, and when.
struct AppliedRevision {
    revision: Revision,
    at: Instant,
}

/// The state that the thread of the other members shares with the measuring thread.
#[derive(Default)]
pub struct MemberProgress {
    applied: Mutex<BTreeMap<NodeId, AppliedRevision>>,
    routing: AtomicUsize,
    others_cpu_ns: AtomicU64,
    stop: AtomicBool,
}

impl MemberProgress {
    /// Returns the latest time at which one of `members` members applied a revision, or `None` if
    /// not all of them have applied it.
    #[must_use]
    pub fn applied_by_all(&self, members: usize, revision: Revision) -> Option<Instant> {
        let applied = lock(&self.applied);
        let members_at = applied
            .values()
            .filter(|applied| applied.revision >= revision);
        let times: Vec<_> = members_at.map(|applied| applied.at).collect();
        let last = times.iter().max().copied();
        last.filter(|_| times.len() >= members)
    }

    /// Returns how many of the other members may route.
    #[must_use]
    pub fn routing(&self) -> usize {
        self.routing.load(SeqCst)
    }

    /// Returns the CPU time that the thread of the other members has used.
    #[must_use]
    pub fn others_cpu(&self) -> Duration {
        Duration::from_nanos(self.others_cpu_ns.load(SeqCst))
    }
}

/// Starts a member, and records in `progress` which revisions it applies.
///
/// # Errors
///
/// Returns an error if the member's folder or address can't be used.
pub fn start_member(
    executor: &Rc<LocalExecutor<'static>>,
    folders: &MemberFolders,
    addresses: &BTreeMap<NodeId, SocketAddr>,
    id: NodeId,
    listen: SocketAddr,
    progress: &Arc<MemberProgress>,
) -> Result<Rc<ReplicaRuntime>, ScaleError> {
    let failed = |reason| ScaleError::Member { id, reason };
    let folder = folders.root.join(id.to_string());
    let members = if VOTERS.contains(&id) {
        VOTERS.to_vec()
    } else {
        Vec::new()
    };
    let bootstrap = Bootstrap {
        initial_members: members,
        initial_state: Vec::new(),
    };
    ReplicaRuntime::initialize(CLUSTER, id, &folder, folders.seed ^ id, bootstrap)
        .map_err(|error| failed(error.to_string()))?;
    let options = ReplicaOptions {
        cluster: CLUSTER.to_owned(),
        id,
        folder,
        listen,
        members: addresses.clone(),
        config: ReplicaConfig::default(),
        seed: folders.seed.wrapping_add(id),
        memory: MemoryBudget::new(MEMORY_BYTES),
    };
    let member =
        ReplicaRuntime::start(executor, &options).map_err(|error| failed(error.to_string()))?;
    let progress = Arc::clone(progress);
    member.on_applied(Rc::new(move |store| {
        let applied = AppliedRevision {
            revision: store.revision(),
            at: Instant::now(),
        };
        lock(&progress.applied).insert(id, applied);
    }));
    Ok(member)
}

/// The folder of all members, and the seed of the test. Dropping it removes the folder.
pub struct MemberFolders {
    root: PathBuf,
    seed: u64,
}

impl MemberFolders {
    /// Chooses a folder for the members of this process, without creating it.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let process_id = std::process::id();
        MemberFolders {
            root: std::env::temp_dir().join(format!("violetgate-scale-{process_id}")),
            seed,
        }
    }
}

impl Drop for MemberFolders {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// Asks the thread of [`OtherMembers`] to start more members.
pub struct Growth {
    /// The address at which each new member listens.
    pub new: BTreeMap<NodeId, SocketAddr>,
    /// The address at which the others reach each member.
    pub addresses: BTreeMap<NodeId, SocketAddr>,
}

/// The thread of all members except the leader. Dropping it ends the thread and its members.
pub struct OtherMembers {
    growths: mpsc::Sender<Growth>,
    results: mpsc::Receiver<Result<(), ScaleError>>,
    progress: Arc<MemberProgress>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for OtherMembers {
    fn drop(&mut self) {
        self.progress.stop.store(true, SeqCst);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

impl OtherMembers {
    /// Starts the thread, without members.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a thread.
    pub fn start(
        folders: &Rc<MemberFolders>,
        progress: &Arc<MemberProgress>,
    ) -> Result<Self, ScaleError> {
        let (growths, growth_receiver) = mpsc::channel();
        let (result_sender, results) = mpsc::channel();
        let folders = MemberFolders {
            root: folders.root.clone(),
            seed: folders.seed,
        };
        let thread_progress = Arc::clone(progress);
        let thread = std::thread::Builder::new()
            .name("others".to_owned())
            .spawn(move || {
                run_members(&folders, &thread_progress, &growth_receiver, &result_sender)
            })
            .map_err(ScaleError::io("start a thread"))?;
        Ok(OtherMembers {
            growths,
            results,
            progress: Arc::clone(progress),
            thread: Some(thread),
        })
    }

    /// Starts more members, and waits until they have started.
    ///
    /// # Errors
    ///
    /// Returns an error if a member can't be started or the thread has ended.
    pub fn grow(&self, growth: Growth) -> Result<(), ScaleError> {
        let ended = || ScaleError::Thread("others");
        self.growths.send(growth).map_err(|_| ended())?;
        self.results.recv().map_err(|_| ended())?
    }
}

/// Runs the other members on a thread of its own until the test ends.
fn run_members(
    folders: &MemberFolders,
    progress: &Arc<MemberProgress>,
    growths: &mpsc::Receiver<Growth>,
    results: &mpsc::Sender<Result<(), ScaleError>>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let members = RefCell::new(BTreeMap::new());
    async_io::block_on(executor.run(async {
        while !progress.stop.load(SeqCst) {
            while let Ok(growth) = growths.try_recv() {
                let grown = start_members(
                    &executor,
                    folders,
                    progress,
                    &mut members.borrow_mut(),
                    &growth,
                );
                if results.send(grown).is_err() {
                    return;
                }
            }
            let routing = members
                .borrow()
                .values()
                .filter(|member| member.may_route().is_ok())
                .count();
            progress.routing.store(routing, SeqCst);
            let nanoseconds = u64::try_from(thread_cpu().as_nanos()).unwrap_or(u64::MAX);
            progress.others_cpu_ns.store(nanoseconds, SeqCst);
            Timer::after(UPDATE_INTERVAL).await;
        }
    }));
}

/// Starts the new members of a growth, and gives all members the addresses of their peers.
fn start_members(
    executor: &Rc<LocalExecutor<'static>>,
    folders: &MemberFolders,
    progress: &Arc<MemberProgress>,
    members: &mut BTreeMap<NodeId, Rc<ReplicaRuntime>>,
    growth: &Growth,
) -> Result<(), ScaleError> {
    for (id, listen) in &growth.new {
        let member = start_member(executor, folders, &growth.addresses, *id, *listen, progress)?;
        members.insert(*id, member);
    }
    members
        .values()
        .for_each(|member| member.transport().set_peers(&growth.addresses));
    Ok(())
}
