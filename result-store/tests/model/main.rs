//! The store against plain models, lists that are searched from end to end, under any order of
//! calls.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod idempotency;
mod result_cache;

/// Expired entries may count until the timer wheel has come to them, two ticks later at most.
const WHEEL_DELAY_US: u64 = 2_048;
