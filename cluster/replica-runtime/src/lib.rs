//! Runs replicas, observers and subscribers over TCP. All tasks of one of them run on one thread; a
//! replica has a second thread that writes to disk.
//!
//! - [`ReplicaRuntime`] runs a [`Replica`](violetgate_replica::Replica): its connections to other
//!   replicas ([`transport`]), its storage and its timer.
//! - [`ObserverService`] serves a replica's copy of the state to gateways, and [`Subscription`]
//!   receives it at a gateway. They run the cores of [`violetgate_state_distribution`].
//!
//! This package does I/O only. The cores decide which replica leads, what is committed and whether
//! requests may be routed.
//!
//! This example starts a cluster of one replica:
//!
//! ```
//! use std::collections::BTreeMap;
//! use std::rc::Rc;
//! use std::time::Duration;
//!
//! use async_executor::LocalExecutor;
//! use violetgate_memory_budget::MemoryBudget;
//! use violetgate_replica::ReplicaConfig;
//! use violetgate_replica_runtime::{Bootstrap, ReplicaOptions, ReplicaRuntime};
//! use violetgate_test_harness::reserve_tcp_address;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let folder = std::env::temp_dir().join(format!("replica-example-{}", std::process::id()));
//! let bootstrap = Bootstrap { initial_members: vec![1], initial_state: Vec::new() };
//! ReplicaRuntime::initialize("example", 1, &folder, 42, bootstrap)?;
//!
//! let listen = reserve_tcp_address()?;
//! let options = ReplicaOptions {
//!     cluster: "example".to_owned(),
//!     id: 1,
//!     folder: folder.clone(),
//!     listen,
//!     members: BTreeMap::from([(1, listen)]),
//!     config: ReplicaConfig::default(),
//!     seed: 7,
//!     memory: MemoryBudget::new(64 << 20),
//! };
//! let executor = Rc::new(LocalExecutor::new());
//! let replica = ReplicaRuntime::start(&executor, &options)?;
//! let is_current = replica.wait_until_current(Duration::from_secs(30));
//! assert!(async_io::block_on(executor.run(is_current)));
//! # drop(replica);
//! # std::fs::remove_dir_all(folder)?;
//! # Ok(())
//! # }
//! ```

mod clock;
mod close_reason;
mod framing;
mod observer_service;
mod runtime;
mod send_queue;
mod subscription;
mod traffic_stats;
pub mod transport;
mod wire;

pub use observer_service::{ObserverService, ServiceError};
pub use runtime::{
    AppliedCallback, Bootstrap, CallOutcome, InitializeError, MatchedIndex, ReplicaOptions,
    ReplicaRuntime, ReplicaStatus, StartError, StopReason,
};
pub use subscription::{ReplicaCallback, Subscription, SubscriptionStatus};
pub use traffic_stats::TrafficStats;
pub use violetgate_state_distribution::{
    FleetTotals, InvalidSubscriberConfig, ObserverConfig, ProgressSummary, Rejection,
    RevisionInForce, SubscriberConfig, SubscriberReplica,
};
pub use wire::{Call, PeerMessage};
