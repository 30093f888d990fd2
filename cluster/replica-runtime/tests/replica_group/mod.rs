//! A group of replicas on loopback.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::{NodeId, Role};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{Bootstrap, CallOutcome, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::{Mutation, Operation, Outcome, Txn};
use violetgate_test_harness::reserve_tcp_address;

/// How long anything may take on a busy machine.
pub const WAIT: Duration = Duration::from_secs(30);

/// An operation that puts one key.
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

/// Replicas on loopback with real files, in one thread.
pub struct ReplicaGroup {
    pub executor: Rc<LocalExecutor<'static>>,
    pub folder: PathBuf,
    addresses: BTreeMap<NodeId, SocketAddr>,
    pub members: BTreeMap<NodeId, Rc<ReplicaRuntime>>,
}

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
            members: BTreeMap::new(),
        }
    }

    pub fn options(&self, id: NodeId) -> ReplicaOptions {
        ReplicaOptions {
            cluster: "test".to_owned(),
            id,
            folder: self.folder.join(id.to_string()),
            listen: self.addresses[&id],
            members: self.addresses.clone(),
            config: ReplicaConfig {
                snapshot_interval: 50,
                ..ReplicaConfig::default()
            },
            seed: 7 + id,
        }
    }

    /// Makes a member's folder and starts it.
    pub fn begin(&mut self, id: NodeId, members: Vec<NodeId>) {
        let from = Bootstrap {
            initial_members: members,
            initial_state: Vec::new(),
        };
        ReplicaRuntime::initialize(
            "test",
            id,
            &self.folder.join(id.to_string()),
            100 + id,
            from,
        )
        .unwrap();
        self.start(id);
    }

    pub fn start(&mut self, id: NodeId) {
        let options = self.options(id);
        // One that has just been dropped may hold its address until its tasks are gone.
        let until = Instant::now() + WAIT;
        loop {
            match ReplicaRuntime::start(&self.executor, &options) {
                Ok(member) => {
                    self.members.insert(id, member);
                    return;
                }
                Err(error) => assert!(
                    Instant::now() < until && error.to_string().contains("in use"),
                    "{error}"
                ),
            }
            self.run_pending_tasks();
        }
    }

    pub async fn leader(&self) -> Rc<ReplicaRuntime> {
        let until = Instant::now() + WAIT;
        loop {
            let leads = |replica: &&Rc<ReplicaRuntime>| {
                replica.status().role == Role::Leader && replica.may_route().is_ok()
            };
            if let Some(leader) = self.members.values().find(leads) {
                return Rc::clone(leader);
            }
            assert!(Instant::now() < until, "nobody leads");
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Runs until all tasks that can run now have run, such as those of replicas that were
    /// dropped.
    pub fn run_pending_tasks(&self) {
        while self.executor.try_tick() {}
    }

    /// Starts replicas 1 to 3 as the first members.
    pub fn begin_three(&mut self) {
        (1..=3).for_each(|id| self.begin(id, vec![1, 2, 3]));
    }

    /// Puts a key, by whoever leads, until it is done.
    pub async fn put(&self, key: &str, value: &str) -> Outcome {
        let request_id = format!("put-{key}-{value}");
        let until = Instant::now() + WAIT;
        while Instant::now() < until {
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
        panic!("{key} is never put");
    }

    /// What every member holds at a key, once its copy is current.
    pub async fn all_hold(&self, key: &str, value: &str) {
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
