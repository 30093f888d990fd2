//! The state that the threads of a safety run share: the cluster, the engines, the counts and the
//! history of operators' calls.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_acceptance::cluster::Cluster;
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_linearizability::Operation;

/// The longest time for which an instance may send queries on state that it can't confirm. A cordon
/// has to take effect within the same time.
pub const STALENESS_LIMIT: Duration = Duration::from_secs(2);

/// The random number generator of a thread.
pub type Random = ChaCha8Rng;

/// Creates the generator of one thread; each thread uses a different `stream` of the same seed.
pub fn seeded_rng(seed: u64, stream: u64) -> Random {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// Returns a uniformly distributed duration from `least` to below `most` milliseconds.
pub fn random_pause(rng: &mut Random, least: u64, most: u64) -> Duration {
    Duration::from_millis(least + rng.next_u64() % (most - least))
}

/// Counts events over all clients and operators.
#[derive(Default)]
pub struct Tally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Attempts without an answer, or with a broken connection, at an instance that was neither
    /// killed nor paused during the attempt.
    pub unanswered: AtomicU64,
    /// Attempts without an answer, or with a broken connection, at an instance that was killed or
    /// paused during the attempt.
    pub disrupted: AtomicU64,
    /// Requests that no instance served within the retry window.
    pub unserved: AtomicU64,
    /// Answers whose rows are incomplete, out of order or from several attempts.
    pub mixed: AtomicU64,
    /// Answers from engines to requests that were sent to an instance after it had been isolated
    /// for longer than [`STALENESS_LIMIT`].
    pub stale: AtomicU64,
    /// Operators' calls, reads among them, whose outcome became known.
    pub answered_calls: AtomicU64,
    /// Operators' calls, reads among them, whose outcome stayed unknown.
    pub unknown_outcome: AtomicU64,
    pub cordons: AtomicU64,
    /// The longest time that a served attempt took, in milliseconds.
    pub slowest: AtomicU64,
}

/// Adds 1 to a count.
pub fn increment(count: &AtomicU64) {
    count.fetch_add(1, SeqCst);
}

/// The shared state of one safety run.
pub struct Scenario<'a> {
    pub cluster: &'a Cluster,
    pub engines: &'a FakeUpstreams,
    pub tally: Tally,
    /// When each instance that is isolated from all others was isolated, by instance id.
    pub isolated: Mutex<BTreeMap<u64, Instant>>,
    pub history: Mutex<Vec<Operation>>,
    pub begun: Instant,
    pub over: AtomicBool,
    pub next_request_id: AtomicU64,
}
