//! Records the revision in force at all serving gateways, real and lightweight. The control
//! processes report it in a metric. They know it from the summaries that each observer makes of its
//! subscribers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use violetgate_replicated_state::Revision;
use violetgate_test_harness::{lock, read_metrics};

use super::propagation::SeenRevision;
use crate::lightweight_gateway::protocol::now;

/// The interval at which the metric is read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The metric of the revision in force at all serving gateways.
const IN_FORCE_METRIC: &str = "svc_cluster_in_force";

/// Reads the metric in a thread until the monitor is dropped.
pub(super) struct FleetMonitor {
    revisions: Arc<Mutex<Vec<SeenRevision>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for FleetMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl FleetMonitor {
    /// Starts to read the metric. Each read uses the first management address that serves the
    /// metric.
    pub(super) fn start(managements: Vec<SocketAddr>) -> Self {
        let revisions = Arc::new(Mutex::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (seen, should_stop) = (Arc::clone(&revisions), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !should_stop.load(Ordering::Relaxed) {
                if let Some(revision) = managements.iter().copied().find_map(revision_in_force) {
                    record(&mut lock(&seen), revision);
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        FleetMonitor {
            revisions,
            stop,
            thread: Some(thread),
        }
    }

    /// Returns the revisions that were in force so far, each with the time at which it was first
    /// read.
    pub(super) fn revisions(&self) -> Vec<SeenRevision> {
        lock(&self.revisions).clone()
    }
}

/// Records a revision with the current time, if it is later than the last one recorded.
pub(super) fn record(revisions: &mut Vec<SeenRevision>, revision: Revision) {
    let is_later = |last: &SeenRevision| revision > last.revision;
    if revisions.last().is_none_or(is_later) {
        let at = now();
        revisions.push(SeenRevision { revision, at });
    }
}

fn revision_in_force(management: SocketAddr) -> Option<Revision> {
    let metrics = read_metrics(management, READ_TIMEOUT).ok()?;
    let revision = metrics.get(IN_FORCE_METRIC)?;
    Some(*revision as Revision)
}
