//! Runs a group of replicas on loopback with real files, all on one thread.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::{NodeId, Role};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{Bootstrap, CallOutcome, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::{Mutation, Operation, Outcome, Txn};
use violetgate_test_harness::reserve_tcp_address;

/// The timeout of each wait. It is long enough for a busy machine.
pub const WAIT: Duration = Duration::from_secs(30);

/// Returns an operation that puts one key.
pub fn put_operation(key: &str, value: &[u8]) -> Operation {
    let put = Mutation::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease: None,
    };
    Operation::Txn(Txn {
        then: vec![put],
        ..Txn::default()
    })
}

/// A group of replicas, of which `members` are running.
pub struct ReplicaGroup {
    pub executor: Rc<LocalExecutor<'static>>,
    pub folder: PathBuf,
    addresses: BTreeMap<NodeId, SocketAddr>,
    /// The replicas that a replica's own settings name. Without an entry they name all.
    pub named: BTreeMap<NodeId, Vec<NodeId>>,
    pub members: BTreeMap<NodeId, Rc<ReplicaRuntime>>,
    /// The memory budget that all replicas of the group share.
    pub memory: MemoryBudget,
}

/// The memory budget of a group, in bytes: more than most tests need.
const MEMORY_BYTES: usize = 256 << 20;

impl Drop for ReplicaGroup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ReplicaGroup {
    pub fn new(name: &str, ids: std::ops::RangeInclusive<NodeId>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("violetgate-cluster-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let addresses = ids.map(|id| (id, reserve_tcp_address().unwrap())).collect();
        ReplicaGroup {
            executor: Rc::new(LocalExecutor::new()),
            folder,
            addresses,
            named: BTreeMap::new(),
            members: BTreeMap::new(),
            memory: MemoryBudget::new(MEMORY_BYTES),
        }
    }

    pub fn address(&self, id: NodeId) -> SocketAddr {
        self.addresses[&id]
    }

    /// Gives a replica another address, from its next start on.
    pub fn move_replica(&mut self, id: NodeId) {
        self.addresses.insert(id, reserve_tcp_address().unwrap());
    }

    fn named_addresses(&self, id: NodeId) -> BTreeMap<NodeId, SocketAddr> {
        let mut addresses = self.addresses.clone();
        if let Some(named) = self.named.get(&id) {
            addresses.retain(|id, _| named.contains(id));
        }
        addresses
    }

    pub fn options(&self, id: NodeId) -> ReplicaOptions {
        ReplicaOptions {
            cluster: "test".to_owned(),
            id,
            folder: self.folder.join(id.to_string()),
            listen: self.addresses[&id],
            members: self.named_addresses(id),
            config: ReplicaConfig {
                snapshot_interval: 50,
                ..ReplicaConfig::default()
            },
            seed: 7 + id,
            memory: self.memory.clone(),
        }
    }

    /// Creates a replica's folder and starts the replica.
    pub fn create_and_start(&mut self, id: NodeId, members: Vec<NodeId>) {
        let bootstrap = Bootstrap {
            initial_members: members,
            initial_state: Vec::new(),
        };
        ReplicaRuntime::initialize(
            "test",
            id,
            &self.folder.join(id.to_string()),
            100 + id,
            bootstrap,
        )
        .unwrap();
        self.start(id);
    }

    pub fn start(&mut self, id: NodeId) {
        let options = self.options(id);
        // A replica that was just dropped may hold its address until its tasks are dropped.
        let deadline = Instant::now() + WAIT;
        loop {
            match ReplicaRuntime::start(&self.executor, &options) {
                Ok(member) => {
                    self.members.insert(id, member);
                    return;
                }
                Err(error) => assert!(
                    Instant::now() < deadline && error.to_string().contains("in use"),
                    "{error}"
                ),
            }
            self.run_pending_tasks();
        }
    }

    pub async fn leader(&self) -> Rc<ReplicaRuntime> {
        let deadline = Instant::now() + WAIT;
        loop {
            let leads = |replica: &&Rc<ReplicaRuntime>| {
                replica.status().role == Role::Leader && replica.may_route().is_ok()
            };
            if let Some(leader) = self.members.values().find(leads) {
                return Rc::clone(leader);
            }
            assert!(Instant::now() < deadline, "no leader in {WAIT:?}");
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Runs all tasks that can run now, such as those of dropped replicas.
    pub fn run_pending_tasks(&self) {
        while self.executor.try_tick() {}
    }

    /// Creates and starts replicas 1 to 3, which are the initial members.
    pub fn start_first_three(&mut self) {
        (1..=3).for_each(|id| self.create_and_start(id, vec![1, 2, 3]));
    }

    /// Puts a key at the leader, and retries until it is applied.
    pub async fn put(&self, key: &str, value: &str) -> Outcome {
        let request_id = format!("put-{key}-{value}");
        let deadline = Instant::now() + WAIT;
        while Instant::now() < deadline {
            let operation = put_operation(key, value.as_bytes());
            let leader = self.leader().await;
            if let CallOutcome::Completed(Response::Applied(outcome)) = leader
                .propose(
                    Some(request_id.clone()),
                    "test",
                    operation,
                    Duration::from_secs(1),
                )
                .await
            {
                return outcome;
            }
        }
        panic!("{key} not put in {WAIT:?}");
    }

    /// Waits until every running replica is current, and asserts that it holds a value at a key.
    pub async fn assert_all_hold(&self, key: &str, value: &str) {
        for (id, member) in &self.members {
            assert!(
                member.wait_until_current(WAIT).await,
                "{id} is not current: {:?}",
                member.status()
            );
            let held = member.store(|store| store.get(key).map(|current| current.value.to_vec()));
            assert_eq!(held.as_deref(), Some(value.as_bytes()), "{id}");
        }
    }
}
