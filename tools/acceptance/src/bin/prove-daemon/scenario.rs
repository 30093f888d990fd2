//! What the threads of a safety run share: the cluster, the engines, counts and the history of
//! calls.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_acceptance::cluster::Cluster;
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_linearizability::Operation;

/// Longest time for which an instance may send on state that it can't confirm, and in which a
/// cordon takes effect.
pub const STALENESS_LIMIT: Duration = Duration::from_secs(2);

/// A random number generator with a stream of its own for each thread.
pub type Random = ChaCha8Rng;

/// The generator of one thread.
pub fn random(seed: u64, stream: u64) -> Random {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// A span from `least` up to `most` milliseconds, evenly distributed.
pub fn random_pause(rng: &mut Random, least: u64, most: u64) -> Duration {
    Duration::from_millis(least + rng.next_u64() % (most - least))
}

/// Counts over all clients and operators.
#[derive(Default)]
pub struct Tally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Connections that broke, or answers that never came, at an instance that nothing was done to.
    pub unanswered: AtomicU64,
    /// The same at one that was killed or stopped meanwhile.
    pub excused: AtomicU64,
    /// Requests that no instance served in their time.
    pub unserved: AtomicU64,
    pub mixed: AtomicU64,
    /// Answers from engines to requests that came to an instance that had been cut off for longer
    /// than the limit.
    pub stale: AtomicU64,
    pub changes: AtomicU64,
    pub unsure: AtomicU64,
    pub cordons: AtomicU64,
    pub slowest: AtomicU64,
}

/// Adds one to a count.
pub fn increment(count: &AtomicU64) {
    count.fetch_add(1, SeqCst);
}

/// One safety run.
pub struct Scenario<'a> {
    pub cluster: &'a Cluster,
    pub fleet: &'a FakeUpstreams,
    pub tally: Tally,
    /// Since when an instance has been cut off from both others, by its id.
    pub isolated: Mutex<BTreeMap<u64, Instant>>,
    pub history: Mutex<Vec<Operation>>,
    pub begun: Instant,
    pub over: AtomicBool,
    pub rid: AtomicU64,
}
