//! Runs voters, observers and subscriptions on loopback with real files, all on one thread.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::{MembershipChange, NodeId};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{
    Bootstrap, Call, CallOutcome, ObserverConfig, ObserverService, ReplicaOptions, ReplicaRuntime,
    SubscriberConfig, Subscription,
};
use violetgate_replicated_state::{Entries, Mutation, Operation, Outcome, Revision, Txn};
use violetgate_test_harness::reserve_tcp_address;

/// The timeout of each wait. It is long enough for a busy machine.
pub const WAIT: Duration = Duration::from_secs(60);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const CLUSTER: &str = "test";
/// The memory budget of a member, in bytes: more than it needs.
const MEMORY_BYTES: usize = 256 << 20;

/// A cluster with its observers and gateways.
pub struct Fleet {
    pub executor: Rc<LocalExecutor<'static>>,
    folder: PathBuf,
    addresses: BTreeMap<NodeId, SocketAddr>,
    pub members: BTreeMap<NodeId, Rc<ReplicaRuntime>>,
    /// The addresses where observers serve subscribers.
    pub serving_at: BTreeMap<NodeId, SocketAddr>,
    pub services: BTreeMap<NodeId, Rc<ObserverService>>,
    pub subscriptions: Vec<Rc<Subscription>>,
    requests: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds, and panics if it does not within [`WAIT`].
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < deadline, "timeout after {WAIT:?}: {what}");
        Timer::after(POLL_INTERVAL).await;
    }
}

impl Fleet {
    /// Starts voters 1 to `voters` and, with the ids that follow, the replicas of the observers.
    /// These are not members yet and serve no subscribers until [`serve`](Self::serve) is called.
    pub fn start(name: &str, voters: u64, observers: u64) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "violetgate-observers-{}-{name}",
            std::process::id()
        ));
        let _ = std::fs::remove_dir_all(&folder);
        let ids = 1..=voters + observers;
        let reserve = |id| (id, reserve_tcp_address().unwrap());
        let mut fleet = Fleet {
            executor: Rc::new(LocalExecutor::new()),
            folder,
            addresses: ids.clone().map(reserve).collect(),
            members: BTreeMap::new(),
            serving_at: (voters + 1..=voters + observers).map(reserve).collect(),
            services: BTreeMap::new(),
            subscriptions: Vec::new(),
            requests: 0,
        };
        for id in ids {
            let members = if id <= voters {
                (1..=voters).collect()
            } else {
                Vec::new()
            };
            let folder = fleet.folder.join(id.to_string());
            let bootstrap = Bootstrap {
                initial_members: members,
                initial_state: Vec::new(),
            };
            ReplicaRuntime::initialize(CLUSTER, id, &folder, 100 + id, bootstrap).unwrap();
            fleet.start_member(id);
        }
        fleet
    }

    fn start_member(&mut self, id: NodeId) {
        let options = ReplicaOptions {
            cluster: CLUSTER.to_owned(),
            id,
            folder: self.folder.join(id.to_string()),
            listen: self.addresses[&id],
            members: self.addresses.clone(),
            config: ReplicaConfig {
                snapshot_interval: 1_000,
                ..ReplicaConfig::default()
            },
            seed: 7 + id,
            memory: MemoryBudget::new(MEMORY_BYTES),
        };
        self.members
            .insert(id, ReplicaRuntime::start(&self.executor, &options).unwrap());
    }

    /// Adds the observers to the cluster as learners and starts their services. `change` adjusts
    /// the default configuration.
    pub async fn serve(&mut self, change: impl Fn(&mut ObserverConfig)) {
        for id in self.serving_at.keys().copied().collect::<Vec<_>>() {
            self.submit(Call::ChangeMembership(MembershipChange::AddLearner(id)))
                .await;
            self.serve_at(id, &change).await;
        }
    }

    /// Starts the service of one observer once its address is free.
    pub async fn serve_at(&mut self, id: NodeId, change: impl Fn(&mut ObserverConfig)) {
        let mut config = ObserverConfig::default_for(CLUSTER, id);
        change(&mut config);
        let mut service = None;
        until("the observer's service starts", || {
            service =
                ObserverService::start(&self.members[&id], self.serving_at[&id], config.clone())
                    .ok();
            service.is_some()
        })
        .await;
        self.services.insert(id, service.unwrap());
    }

    /// Stops a replica, and its service if it is an observer.
    pub fn kill(&mut self, id: NodeId) {
        self.services.remove(&id);
        self.members.remove(&id);
    }

    pub fn subscriber_config(&self, name: &str) -> SubscriberConfig {
        SubscriberConfig::default_for(CLUSTER, name, self.serving_at.keys().copied().collect())
    }

    /// Starts `count` more gateways.
    pub fn subscribe(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.subscriptions.len();
            let config = self.subscriber_config(&format!("fe-{number}"));
            let subscription = Subscription::start(
                &self.executor,
                config,
                self.serving_at.clone(),
                1_000 + number as u64,
            )
            .unwrap();
            self.subscriptions.push(subscription);
        }
    }

    /// Submits a call until it is answered.
    pub async fn submit(&mut self, call: Call) -> Response {
        self.requests += 1;
        loop {
            let member = Rc::clone(self.members.values().next().unwrap());
            if let CallOutcome::Completed(answer) = member.submit(call.clone(), WAIT).await {
                return answer;
            }
        }
    }

    /// Submits an operation so that it is applied once, and returns the revision after it.
    pub async fn propose(&mut self, command: Operation) -> Revision {
        let call = Call::Propose {
            request_id: format!("r-{}", self.requests),
            actor: "test".to_owned(),
            operation: command,
        };
        match self.submit(call).await {
            Response::Applied(Outcome::Applied { revision, .. }) => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Sets a key, and returns the revision of that change.
    pub async fn put(&mut self, key: &str, value: &[u8]) -> Revision {
        let put = Mutation::Put {
            key: key.to_owned(),
            value: value.to_vec(),
            lease: None,
        };
        self.propose(Operation::Txn(Txn {
            then: vec![put],
            ..Txn::default()
        }))
        .await
    }

    /// Waits until every gateway has applied a revision and may route.
    pub async fn wait_in_force(&self, revision: Revision) {
        until("the revision is in force at all gateways", || {
            let current =
                |s: &Rc<Subscription>| s.status().revision >= revision && s.may_route().is_ok();
            self.subscriptions.iter().all(current)
        })
        .await;
    }

    /// Asserts that every gateway's replica holds the same entries as a cluster member.
    pub fn assert_same_entries(&self) {
        let member = self.members.values().next().unwrap();
        let held = member.store(|store| store.entries_with_prefix(""));
        for subscription in &self.subscriptions {
            assert_eq!(
                subscription.replica(|replica| replica.entries_with_prefix("")),
                held
            );
        }
    }
}
