//! Real cluster members with their real transport and disks, in one process: the leader on the calling thread, all
//! others on a second one, so that their processor time is counted apart.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::NodeId;
use violetgate_replica::ReplicaConfig;
use violetgate_replica_runtime::{Bootstrap, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::Revision;

use crate::error::ScaleError;
use crate::usage::thread_cpu;

/// The member that leads while costs are measured.
pub const LEADER: NodeId = 1;
/// Members that vote; all others are learners.
pub const VOTERS: [NodeId; 3] = [1, 2, 3];
/// How often the thread of the other members looks after them.
const LOOK: Duration = Duration::from_millis(10);
const CLUSTER: &str = "scale";

/// What the threads know of each other.
#[derive(Default)]
pub struct Shared {
    applied: Mutex<BTreeMap<NodeId, (Revision, Instant)>>,
    routing: AtomicUsize,
    others_cpu_ns: AtomicU64,
    stop: AtomicBool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, (Revision, Instant)>> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the last of so many members had applied a revision; `None`: not all have.
    #[must_use]
    pub fn applied_by_all(&self, members: usize, revision: Revision) -> Option<Instant> {
        let applied = self.lock();
        let have = applied.values().filter(|(held, _)| *held >= revision);
        let at: Vec<_> = have.map(|(_, at)| *at).collect();
        at.iter().max().copied().filter(|_| at.len() >= members)
    }

    /// How many of the other members may route now.
    #[must_use]
    pub fn routing(&self) -> usize {
        self.routing.load(SeqCst)
    }

    /// Processor time of the other members' thread.
    #[must_use]
    pub fn others_cpu(&self) -> Duration {
        Duration::from_nanos(self.others_cpu_ns.load(SeqCst))
    }
}

/// Starts a member and notes what it applies.
///
/// # Errors
///
/// Its folder or address can't be used.
pub fn start_member(
    executor: &Rc<LocalExecutor<'static>>,
    place: &Place,
    addresses: &BTreeMap<NodeId, SocketAddr>,
    id: NodeId,
    listen: SocketAddr,
    shared: &Arc<Shared>,
) -> Result<Rc<ReplicaRuntime>, ScaleError> {
    let failed = |reason| ScaleError::Member { id, reason };
    let folder = place.0.join(id.to_string());
    let members = if VOTERS.contains(&id) {
        VOTERS.to_vec()
    } else {
        Vec::new()
    };
    let beginning = Bootstrap {
        initial_members: members,
        initial_state: Vec::new(),
    };
    ReplicaRuntime::initialize(CLUSTER, id, &folder, place.1 ^ id, beginning)
        .map_err(|error| failed(error.to_string()))?;
    let options = ReplicaOptions {
        cluster: CLUSTER.to_owned(),
        id,
        folder,
        listen,
        members: addresses.clone(),
        config: ReplicaConfig::default(),
        seed: place.1.wrapping_add(id),
    };
    let member =
        ReplicaRuntime::start(executor, &options).map_err(|error| failed(error.to_string()))?;
    let notes = Arc::clone(shared);
    member.on_applied(Rc::new(move |store| {
        notes.lock().insert(id, (store.revision(), Instant::now()));
    }));
    Ok(member)
}

/// The folder of all members, and the seed of the test. The folder goes with its owner.
pub struct Place(PathBuf, u64);

impl Place {
    /// A folder for members that is not there yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Place(
            std::env::temp_dir().join(format!("violetgate-scale-{}", std::process::id())),
            seed,
        )
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// More members, for the thread of the others.
pub struct Growth {
    /// Where the new ones listen.
    pub new: BTreeMap<NodeId, SocketAddr>,
    /// Where each member is reached by the others.
    pub addresses: BTreeMap<NodeId, SocketAddr>,
}

/// The thread of all members but the leader.
pub struct Others {
    growths: mpsc::Sender<Growth>,
    grown: mpsc::Receiver<Result<(), ScaleError>>,
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Others {
    fn drop(&mut self) {
        self.shared.stop.store(true, SeqCst);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

impl Others {
    /// Starts the thread, with no member yet.
    ///
    /// # Errors
    ///
    /// The machine gives no thread.
    pub fn start(place: &Rc<Place>, shared: &Arc<Shared>) -> Result<Self, ScaleError> {
        let (growths, to_grow) = mpsc::channel();
        let (tell, grown) = mpsc::channel();
        let (place, notes) = (Place(place.0.clone(), place.1), Arc::clone(shared));
        let thread = std::thread::Builder::new()
            .name("others".to_owned())
            .spawn(move || look_after(&place, &notes, &to_grow, &tell))
            .map_err(ScaleError::io("start a thread"))?;
        Ok(Others {
            growths,
            grown,
            shared: Arc::clone(shared),
            thread: Some(thread),
        })
    }

    /// Starts more members.
    ///
    /// # Errors
    ///
    /// One can't be started.
    pub fn grow(&self, growth: Growth) -> Result<(), ScaleError> {
        let ended = || ScaleError::Thread("others");
        self.growths.send(growth).map_err(|_| ended())?;
        self.grown.recv().map_err(|_| ended())?
    }
}

fn look_after(
    place: &Place,
    shared: &Arc<Shared>,
    to_grow: &mpsc::Receiver<Growth>,
    tell: &mpsc::Sender<Result<(), ScaleError>>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let members = RefCell::new(BTreeMap::new());
    async_io::block_on(executor.run(async {
        while !shared.stop.load(SeqCst) {
            while let Ok(growth) = to_grow.try_recv() {
                let grown = grow(&executor, place, shared, &mut members.borrow_mut(), &growth);
                if tell.send(grown).is_err() {
                    return;
                }
            }
            let routing = members
                .borrow()
                .values()
                .filter(|m| m.may_route().is_ok())
                .count();
            shared.routing.store(routing, SeqCst);
            let nanoseconds = u64::try_from(thread_cpu().as_nanos()).unwrap_or(u64::MAX);
            shared.others_cpu_ns.store(nanoseconds, SeqCst);
            Timer::after(LOOK).await;
        }
    }));
}

fn grow(
    executor: &Rc<LocalExecutor<'static>>,
    place: &Place,
    shared: &Arc<Shared>,
    members: &mut BTreeMap<NodeId, Rc<ReplicaRuntime>>,
    growth: &Growth,
) -> Result<(), ScaleError> {
    for (id, listen) in &growth.new {
        let member = start_member(executor, place, &growth.addresses, *id, *listen, shared)?;
        members.insert(*id, member);
    }
    members
        .values()
        .for_each(|member| member.transport().set_peers(&growth.addresses));
    Ok(())
}
