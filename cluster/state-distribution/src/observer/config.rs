//! An observer's limits and intervals.

use violetgate_raft::NodeId;
use violetgate_replicated_state::Micros;

/// The limits and intervals of an [`Observer`](crate::Observer).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObserverConfig {
    /// The cluster's name.
    pub cluster: String,
    /// This observer's id.
    pub id: NodeId,
    /// The most subscribers that are connected at once.
    pub capacity: u32,
    /// The most snapshot transfers under way at once; further requests are queued in their order.
    pub max_concurrent_snapshots: usize,
    /// The size in bytes at which a snapshot chunk or a batch of changes is cut. One holds at
    /// least one entry, or one revision, however large.
    pub chunk_bytes: usize,
    /// Bytes queued for one subscriber above which changes are held back. A subscriber that falls
    /// behind the store's change history fetches a snapshot anew.
    pub send_queue_bytes: usize,
    /// The least time between the beginnings of two linearizable reads, in microseconds.
    pub min_read_interval: Micros,
    /// How often subscribers are sent this observer's load, in microseconds.
    pub load_report_interval: Micros,
}

/// A limit without which an observer can't serve anybody.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an observer's {field} has to be at least 1")]
pub struct InvalidObserverConfig {
    /// The field that is 0.
    pub field: &'static str,
}

impl ObserverConfig {
    /// The defaults for an observer of a cluster.
    #[must_use]
    pub fn default_for(cluster: &str, id: NodeId) -> Self {
        ObserverConfig {
            cluster: cluster.to_owned(),
            id,
            capacity: 4_000,
            max_concurrent_snapshots: 64,
            chunk_bytes: 256 << 10,
            send_queue_bytes: 4 << 20,
            min_read_interval: 20_000,
            load_report_interval: 5_000_000,
        }
    }

    /// Checks that each limit lets something through.
    ///
    /// # Errors
    ///
    /// A limit is 0; the error names it.
    pub fn validate(&self) -> Result<(), InvalidObserverConfig> {
        let limits = [
            ("capacity", self.capacity == 0),
            (
                "max_concurrent_snapshots",
                self.max_concurrent_snapshots == 0,
            ),
            ("chunk_bytes", self.chunk_bytes == 0),
            ("send_queue_bytes", self.send_queue_bytes == 0),
            ("load_report_interval", self.load_report_interval == 0),
        ];
        match limits.into_iter().find(|(_, is_zero)| *is_zero) {
            Some((field, _)) => Err(InvalidObserverConfig { field }),
            None => Ok(()),
        }
    }
}
