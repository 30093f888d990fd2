//! Agreed state at work, over TCP.
//!
//! - [`Cluster`] is a member: it carries out what [`violetgate_replica::Member`] asks for, with connections to the other
//!   members ([`transport`]) and a disk that a thread of its own writes.
//! - [`ObserverService`] serves a member's copy to front ends, [`Subscription`] is a front end's side of that. Both
//!   carry out what the cores in [`violetgate_state_distribution`] ask for.
//!
//! It decides nothing: who leads, what is agreed on and whether state may be routed on is decided by the cores.

mod clock;
mod connection;
mod observer_service;
mod outbox;
mod runtime;
mod subscription;
mod traffic;
pub mod transport;
mod wire;

pub use observer_service::{ObserverService, ServiceError};
pub use runtime::{Answered, Beginning, Cluster, OnApplied, Options, Status};
pub use subscription::{OnReplica, Subscription, SubscriptionStatus};
pub use traffic::Traffic;
pub use violetgate_state_distribution::{
    FleetTotals, InForce, ObserverConfig, ProgressSummary, Refusal, Replica, SubscriberConfig,
};
pub use wire::{Call, Frame};
