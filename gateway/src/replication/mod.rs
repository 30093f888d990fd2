//! This instance's role in a cluster with a shared configuration.
//!
//! A [`ClusterMember`](member::ClusterMember) replicates the shared state with the other members; a
//! [`ClusterSubscriber`] follows it through observers. Both apply the committed configuration
//! through a [`reconcile::Reconciler`], in the same step in which they apply the state. Both
//! implement [`crate::fence::Fence`]: the gateway sends nothing to engines while its state is not
//! confirmed as current. [`shared_config`] defines the meaning of the shared state and does no I/O.

mod api;
mod error;
mod member;
mod member_upkeep;
mod metrics;
mod participant;
mod reconcile;
pub mod shared_config;
mod subscriber;

pub use api::{ApiServer, MembershipStep};
pub use error::{ClusterStartError, CommitError};
pub use member::new_request_id;
pub use participant::Participant;
pub use reconcile::ControlTargets;
pub use subscriber::ClusterSubscriber;

use std::time::Duration;

/// How often the fence is checked: queued requests are rejected within this time after it closes.
const FENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MICROS_PER_MS: u64 = 1_000;

/// Formats an optional value for a log line.
fn display_or<T: ToString>(value: Option<T>, otherwise: &str) -> String {
    value.map_or_else(|| otherwise.to_owned(), |value| value.to_string())
}
