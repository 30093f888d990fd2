//! This instance's part in a cluster with a shared configuration.
//!
//! A [`ClusterMember`](member::ClusterMember) replicates the shared state with the other members; a
//! [`ClusterSubscriber`] follows it through observers. Both carry out what is committed through a
//! [`reconcile::Reconciler`], in the very step in which it is applied, and both are the program's
//! [`crate::fence::Fence`]: nothing is sent on state that can't be confirmed. What the shared state
//! means is [`shared_config`]'s, which does no I/O.

mod api;
mod error;
mod member;
mod member_upkeep;
mod metrics;
mod participant;
mod reconcile;
pub mod shared_config;
mod subscriber;

pub use api::{listen, MembershipStep};
pub use error::{ClusterStartError, CommitError};
pub use member::new_request_id;
pub use participant::Participant;
pub use reconcile::ControlTargets;
pub use subscriber::ClusterSubscriber;

use std::time::Duration;

/// How often the fence is checked: queued requests are rejected within this time after it closes.
const FENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MICROS_PER_MS: u64 = 1_000;

/// An age or an id for a log line.
fn shown_or<T: ToString>(value: Option<T>, otherwise: &str) -> String {
    value.map_or_else(|| otherwise.to_owned(), |value| value.to_string())
}
