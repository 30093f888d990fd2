//! State that a gateway holds for its clients between requests: cached result pages and idempotency
//! keys.
//!
//! Nothing here does I/O or reads a clock: the time is an argument of each call, in microseconds.
//! Which endpoint a request goes to and whether it is retried is decided elsewhere
//! (`violetgate-policy`).
//!
//! - [`ByteBudget`]: bytes that results may occupy, reserved before a request is admitted.
//! - [`ResultCache`]: results whose pages may be fetched until they expire, under sealed
//!   [`PageToken`]s.
//! - [`IdempotencyKeys`]: keys in use, the requests that wait for them, and what answers a repeat.
//! - [`TimerWheel`]: expiries at a constant cost an entry.
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

/// A moment or a span in microseconds, on one clock that never goes backwards.
pub type Micros = u64;
