//! Configuration of an observer, with its defaults and validation.

use violetgate_raft::NodeId;
use violetgate_replicated_state::Micros;

/// The limits and intervals of an [`Observer`](crate::Observer).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObserverConfig {
    /// The name of the cluster; subscribers of other clusters are rejected.
    pub cluster: String,
    /// The id of this observer in the cluster.
    pub id: NodeId,
    /// The maximum number of subscribers connected at once.
    pub capacity: u32,
    /// The maximum number of snapshot transfers under way at once; further requests are queued in
    /// the order of their arrival.
    pub max_concurrent_snapshots: usize,
    /// The size in bytes at which a snapshot chunk or a batch of changes ends. A chunk holds at
    /// least one entry and a batch at least one revision, however large.
    pub chunk_bytes: usize,
    /// The number of bytes queued for one subscriber above which changes are held back. A
    /// subscriber that falls behind the store's change history has to fetch a snapshot again.
    pub send_queue_bytes: usize,
    /// The minimum time between the beginnings of two linearizable reads, in microseconds.
    pub min_read_interval: Micros,
    /// How often subscribers are sent this observer's load, in microseconds.
    pub load_report_interval: Micros,
}

/// A limit or interval is 0, with which an observer can't serve any subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an observer's {field} has to be at least 1")]
pub struct InvalidObserverConfig {
    /// The name of the field that is 0.
    pub field: &'static str,
}

impl ObserverConfig {
    /// Returns the default configuration for an observer of a cluster.
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

    /// Checks that no limit and no load report interval is 0.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field that is 0.
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
