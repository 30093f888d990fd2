//! State that a gateway keeps for its clients between requests: cached result pages and idempotency
//! keys.
//!
//! This crate does no I/O and reads no clock: callers pass the current time in microseconds. The
//! crate `violetgate-policy` decides which endpoint a request goes to and whether it is retried.
//!
//! - [`ByteBudget`] limits the memory for results, which is reserved before a request is admitted.
//! - [`ResultCache`] holds results, whose pages clients fetch with sealed [`PageToken`]s until the
//!   results expire.
//! - [`IdempotencyKeys`] records the keys in use and the requests that wait for them, and decides
//!   how repeated requests are answered.
//! - [`TimerWheel`] schedules expiries at a constant cost for each entry.
//!
//! ```
//! use violetgate_result_store::{ExecutionOutcome, IdempotencyKeys, KeyLookup};
//!
//! const WINDOW_US: u64 = 10_000_000;
//! let fingerprint = [7; 16];
//! let mut keys: IdempotencyKeys<u64, &str> = IdempotencyKeys::new(1_000, 8, 0);
//! assert_eq!(keys.begin(0, "load-17", fingerprint, WINDOW_US, 1), KeyLookup::Execute);
//! assert_eq!(keys.begin(5, "load-17", fingerprint, WINDOW_US, 2), KeyLookup::JoinInFlight);
//! let waiters = keys.finish(900, "load-17", ExecutionOutcome::Completed("12 rows"));
//! assert_eq!(waiters, [1, 2]);
//! assert_eq!(keys.begin(1_000, "load-17", fingerprint, WINDOW_US, 3), KeyLookup::Replay("12 rows"));
//! ```

mod byte_budget;
mod idempotency;
mod page_token;
mod result_cache;
mod timer_wheel;

pub use byte_budget::{ByteBudget, ByteReservation};
pub use idempotency::{ExecutionOutcome, IdempotencyKeys, KeyLookup, RequestFingerprint};
pub use page_token::{AttemptId, PageToken, TokenSealer, TOKEN_LENGTH};
pub use result_cache::{
    CacheFull, CachedResult, LookupError, NewResult, ResultCache, ResultLimits, ResultSlot,
};
pub use timer_wheel::TimerWheel;

/// A point in time or a duration, in microseconds. All points in time must come from the same
/// clock, which must never go backwards.
pub type Micros = u64;
