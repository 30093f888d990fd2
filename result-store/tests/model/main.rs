//! Property tests that compare the store with simple models (lists that are searched linearly) for
//! random sequences of calls.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod idempotency;
mod result_cache;

/// Upper bound, in microseconds, of the time for which an expired entry may still count: the timer
/// wheel hands it out at most two ticks later.
const WHEEL_DELAY_US: u64 = 2_048;
