//! Agreed state at work, over TCP.
//!
//! - [`ReplicaRuntime`] is a member: it carries out what [`violetgate_replica::Replica`] asks for, with connections to the other
//!   members ([`transport`]) and a disk that a thread of its own writes.
//! - [`ObserverService`] serves a member's copy to front ends, [`Subscription`] is a front end's side of that. Both
//!   carry out what the cores in [`violetgate_state_distribution`] ask for.
//!
//! It decides nothing: who leads, what is agreed on and whether state may be routed on is decided by the cores.

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
    AppliedCallback, Bootstrap, CallOutcome, ReplicaOptions, ReplicaRuntime, ReplicaStatus,
};
pub use subscription::{ReplicaCallback, Subscription, SubscriptionStatus};
pub use traffic_stats::TrafficStats;
pub use violetgate_state_distribution::{
    FleetTotals, InvalidSubscriberConfig, ObserverConfig, ProgressSummary, Rejection,
    RevisionInForce, SubscriberConfig, SubscriberReplica,
};
pub use wire::{Call, Frame};
