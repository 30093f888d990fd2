//! Random numbers from the subscriber's seeded generator.

use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;

/// Returns a uniformly distributed number from 0 to `max` inclusive.
pub(super) fn random_up_to(rng: &mut ChaCha8Rng, max: u64) -> u64 {
    match max.checked_add(1) {
        Some(values) => rng.next_u64() % values,
        None => rng.next_u64(),
    }
}

/// Returns `true` with a probability of 1 in `count`.
pub(super) fn happens_one_in(rng: &mut ChaCha8Rng, count: u64) -> bool {
    random_up_to(rng, count.saturating_sub(1)) == 0
}
