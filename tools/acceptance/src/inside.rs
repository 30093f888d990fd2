//! What is measured inside a process: the cost of the gate, and the start of a member with a long log.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::{Entry, HardState, Payload, StorageWrite};
use violetgate_raft_storage::{FsDirectory, RaftStorage};
use violetgate_replica::ReplicaConfig;
use violetgate_replica_runtime::{Bootstrap, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::{Command, Mutation, Operation, Txn};

use crate::Verdict;

/// Keys of the state that is recovered.
const KEYS: u64 = 100_000;

/// A folder that goes with its owner.
struct Place(std::path::PathBuf);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Place {
    fn new(name: &str) -> Self {
        Place(std::env::temp_dir().join(format!("violetgate-prove-{name}-{}", std::process::id())))
    }

    fn options(&self, snapshot_every: u64) -> Result<ReplicaOptions> {
        let [at] = crate::free()?;
        let listen = at.parse().map_err(Error::other)?;
        Ok(ReplicaOptions {
            cluster: "inside".to_owned(),
            id: 1,
            folder: self.0.clone(),
            listen,
            members: BTreeMap::from([(1, listen)]),
            config: ReplicaConfig {
                snapshot_interval: snapshot_every,
                ..ReplicaConfig::default()
            },
            seed: 7,
        })
    }

    fn begin(&self) -> Result<()> {
        let from = Bootstrap {
            initial_members: vec![1],
            initial_state: Vec::new(),
        };
        ReplicaRuntime::initialize("inside", 1, &self.0, 1, from).map_err(Error::other)
    }
}

fn put(n: u64) -> Command {
    let key = format!("key/{:07}", n % KEYS);
    let op = Mutation::Put {
        key,
        value: format!("value {n:026}").into_bytes(),
        lease: None,
    };
    let step = Operation::Txn(Txn {
        then: vec![op],
        ..Txn::default()
    });
    Command {
        request_id: None,
        actor: "proof".to_owned(),
        time: n,
        operation: step,
    }
}

/// What one question to the gate costs, as it is asked before every send.
///
/// # Errors
///
/// A member can't be started.
pub fn gate(verdict: &mut Verdict) -> Result<()> {
    let place = Place::new("gate");
    place.begin()?;
    let executor = Rc::new(LocalExecutor::new());
    let cluster =
        ReplicaRuntime::start(&executor, &place.options(10_000)?).map_err(Error::other)?;
    async_io::block_on(executor.run(async {
        while cluster.may_route().is_err() {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
    let (count, begun) = (2_000_000_u32, Instant::now());
    let open = (0..count)
        .filter(|_| std::hint::black_box(&cluster).may_route().is_ok())
        .count();
    let ns = begun.elapsed().as_secs_f64() * 1e9 / f64::from(count);
    println!("the gate is asked {count} times, open {open}: {ns:.0} ns each");
    verdict.at_most("gate_ns", ns, 1_000.0);
    Ok(())
}

/// The start of a member whose log holds so many entries and no snapshot, until all of them are applied.
///
/// # Errors
///
/// The log can't be written, or the member not started.
pub fn recovery(entries: u64, verdict: &mut Verdict) -> Result<()> {
    let place = Place::new("recovery");
    place.begin()?;
    let folder = || FsDirectory::new(&place.0);
    let (mut disk, _) =
        RaftStorage::open(folder()?, "inside", 1).map_err(|e| Error::other(e.to_string()))?;
    let entry = |index: u64| {
        let bytes = encode(&put(index));
        Entry {
            term: 1,
            index,
            payload: Payload::Command(bytes),
        }
    };
    let (mut at, batch) = (1, 1_000);
    while at <= entries {
        let append: Vec<_> = (at..(at + batch).min(entries + 1)).map(entry).collect();
        at += append.len() as u64;
        let hard_state = Some(HardState {
            term: 1,
            vote: Some(1),
        });
        disk.write(&[StorageWrite {
            sequence: at,
            hard_state,
            append,
            ..StorageWrite::default()
        }])
        .map_err(|e| Error::other(e.to_string()))?;
    }
    let bytes = disk.log_bytes();
    drop(disk);
    let options = place.options(u64::MAX)?;
    let executor = Rc::new(LocalExecutor::new());
    let begun = Instant::now();
    let cluster = ReplicaRuntime::start(&executor, &options).map_err(Error::other)?;
    let opened = begun.elapsed();
    async_io::block_on(executor.run(async {
        while cluster.status().applied < entries {
            Timer::after(Duration::from_millis(1)).await;
        }
    }));
    let took = begun.elapsed();
    // A snapshot is made on the thread that serves, which stands still meanwhile.
    let begun = Instant::now();
    let state = cluster.save().len();
    let saved = begun.elapsed().as_secs_f64() * 1e3;
    println!(
        "a snapshot of {} keys and their last changes takes {saved:.0} ms",
        entries.min(KEYS)
    );
    verdict.figure("snapshot_ms", format!("{saved:.0}"));
    // An election's time passes before one that is alone knows that its entries are agreed on.
    println!(
        "{entries} entries ({} MiB of log, {:.1} times the state of {} MiB): read after {:.2} s, applied after {:.2} s",
        bytes >> 20,
        bytes as f64 / state.max(1) as f64,
        state >> 20,
        opened.as_secs_f64(),
        took.as_secs_f64()
    );
    verdict.figure(
        "log_to_state_bytes",
        format!("{:.2}", bytes as f64 / state.max(1) as f64),
    );
    verdict.figure("recovery_read_s", format!("{:.2}", opened.as_secs_f64()));
    verdict.at_most("recovery_s", took.as_secs_f64(), 2.0);
    Ok(())
}

fn encode(command: &Command) -> Vec<u8> {
    postcard::to_stdvec(command).unwrap_or_default()
}
