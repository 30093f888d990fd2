//! Measurements of a cluster member that runs in the process of the test: the cost of the staleness
//! check before every send, and the time to recover a long log.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::{Entry, HardState, NodeId, Payload, StorageWrite};
use violetgate_raft_storage::{FsDirectory, RaftStorage};
use violetgate_replica::ReplicaConfig;
use violetgate_replica_runtime::{Bootstrap, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::{Command, Mutation, Operation, Txn};
use violetgate_test_harness::reserve_tcp_address;

use crate::{AcceptanceError, Result, Verdict};

const CLUSTER: &str = "inside";
const MEMBER: NodeId = 1;
/// The memory budget of the member, in bytes: more than it needs.
const MEMORY_BYTES: usize = 256 << 20;
/// The number of distinct keys in the recovered state.
const KEYS: u64 = 100_000;
/// The number of entries in each write to the log.
const ENTRIES_PER_WRITE: u64 = 1_000;
/// The number of calls of the staleness check.
const CHECKS: u32 = 2_000_000;
/// The longest mean time of a staleness check, in nanoseconds.
const MAX_CHECK_NS: f64 = 1_000.0;
/// The longest time of a recovery, in seconds.
const MAX_RECOVERY_S: f64 = 2.0;

fn replica_error(error: impl std::fmt::Display) -> AcceptanceError {
    AcceptanceError::Replica {
        id: MEMBER,
        reason: error.to_string(),
    }
}

/// The folder of a member. Dropping it removes the folder.
struct MemberFolder(PathBuf);

impl Drop for MemberFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl MemberFolder {
    /// Creates the folder of the only member of a new cluster.
    fn create(name: &str) -> Result<Self> {
        let process_id = std::process::id();
        let path = std::env::temp_dir().join(format!("violetgate-prove-{name}-{process_id}"));
        let folder = MemberFolder(path);
        let bootstrap = Bootstrap {
            initial_members: vec![MEMBER],
            initial_state: Vec::new(),
        };
        ReplicaRuntime::initialize(CLUSTER, MEMBER, &folder.0, 1, bootstrap)
            .map_err(replica_error)?;
        Ok(folder)
    }

    /// Starts the member on `executor`; it takes a snapshot every `snapshot_interval` entries.
    fn start(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        snapshot_interval: u64,
    ) -> Result<Rc<ReplicaRuntime>> {
        let listen = reserve_tcp_address()?;
        let options = ReplicaOptions {
            cluster: CLUSTER.to_owned(),
            id: MEMBER,
            folder: self.0.clone(),
            listen,
            members: BTreeMap::from([(MEMBER, listen)]),
            config: ReplicaConfig {
                snapshot_interval,
                ..ReplicaConfig::default()
            },
            seed: 7,
            memory: MemoryBudget::new(MEMORY_BYTES),
        };
        ReplicaRuntime::start(executor, &options).map_err(replica_error)
    }

    /// Writes a log of `entries` entries and returns its size in bytes.
    fn write_log(&self, entries: u64) -> Result<usize> {
        let directory = FsDirectory::new(&self.0)?;
        let (mut storage, _) =
            RaftStorage::open(directory, CLUSTER, MEMBER).map_err(replica_error)?;
        let mut next = 1;
        while next <= entries {
            let end = (next + ENTRIES_PER_WRITE).min(entries + 1);
            let write = StorageWrite {
                sequence: end,
                hard_state: Some(HardState {
                    term: 1,
                    vote: Some(MEMBER),
                }),
                append: (next..end).map(log_entry).collect(),
                ..StorageWrite::default()
            };
            storage.write(&[write]).map_err(replica_error)?;
            next = end;
        }
        Ok(storage.log_bytes())
    }
}

fn log_entry(index: u64) -> Entry {
    let command = put_command(index);
    Entry {
        term: 1,
        index,
        payload: Payload::Command(postcard::to_stdvec(&command).unwrap_or_default()),
    }
}

fn put_command(number: u64) -> Command {
    let put = Mutation::Put {
        key: format!("key/{:07}", number % KEYS),
        value: format!("value {number:026}").into_bytes(),
        lease: None,
    };
    let transaction = Txn {
        then: vec![put],
        ..Txn::default()
    };
    Command {
        request_id: None,
        actor: "proof".to_owned(),
        time: number,
        operation: Operation::Txn(transaction),
    }
}

/// Measures the mean time of the staleness check that precedes every send.
///
/// # Errors
///
/// A member can't be started.
pub fn measure_staleness_check(verdict: &mut Verdict) -> Result<()> {
    let folder = MemberFolder::create("gate")?;
    let executor = Rc::new(LocalExecutor::new());
    let member = folder.start(&executor, 10_000)?;
    async_io::block_on(executor.run(async {
        while member.may_route().is_err() {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
    let began = Instant::now();
    let open = (0..CHECKS)
        .filter(|_| std::hint::black_box(&member).may_route().is_ok())
        .count();
    let check_ns = began.elapsed().as_secs_f64() * 1e9 / f64::from(CHECKS);
    println!("staleness check: {CHECKS} calls, {open} allowed, {check_ns:.0} ns each");
    verdict.at_most("gate_ns", check_ns, MAX_CHECK_NS);
    Ok(())
}

/// Measures the start of a member that has a log of `entries` entries and no snapshot, until all
/// entries are applied.
///
/// # Errors
///
/// The log can't be written, or the member can't be started.
pub fn measure_recovery(entries: u64, verdict: &mut Verdict) -> Result<()> {
    let folder = MemberFolder::create("recovery")?;
    let log_bytes = folder.write_log(entries)?;
    let executor = Rc::new(LocalExecutor::new());
    let began = Instant::now();
    let member = folder.start(&executor, u64::MAX)?;
    let log_read = began.elapsed();
    async_io::block_on(executor.run(async {
        while member.status().applied < entries {
            Timer::after(Duration::from_millis(1)).await;
        }
    }));
    let all_applied = began.elapsed();
    let state_bytes = measure_snapshot(&member, entries, verdict);
    let log_to_state = log_bytes as f64 / state_bytes.max(1) as f64;
    let (read_s, applied_s) = (log_read.as_secs_f64(), all_applied.as_secs_f64());
    // The time until all entries are applied includes an election: the only member of a cluster has
    // to win one before it knows that its entries are committed.
    println!(
        "recovery of {entries} entries: {} MiB of log, {log_to_state:.1} times the state of \
         {} MiB; read after {read_s:.2} s, applied after {applied_s:.2} s",
        log_bytes >> 20,
        state_bytes >> 20,
    );
    verdict.figure("log_to_state_bytes", format!("{log_to_state:.2}"));
    verdict.figure("recovery_read_s", format!("{read_s:.2}"));
    verdict.at_most("recovery_s", applied_s, MAX_RECOVERY_S);
    Ok(())
}

/// Measures the creation of a snapshot, which blocks the thread that serves requests. Returns the
/// snapshot's size in bytes.
fn measure_snapshot(member: &ReplicaRuntime, entries: u64, verdict: &mut Verdict) -> usize {
    let began = Instant::now();
    let bytes = member.save().len();
    let snapshot_ms = began.elapsed().as_secs_f64() * 1e3;
    println!(
        "snapshot of {} keys and their recent changes: {snapshot_ms:.0} ms",
        entries.min(KEYS)
    );
    verdict.figure("snapshot_ms", format!("{snapshot_ms:.0}"));
    bytes
}
