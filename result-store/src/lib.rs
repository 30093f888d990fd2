//! What a front end has promised its clients, as state without I/O: time comes in as an argument, nothing here
//! reads a clock, a socket or a file.
//!
//! - [`Budget`]: bytes that results may hold, reserved before a query is admitted.
//! - [`Results`]: results whose pages may be fetched until a moment, under sealed [`token`]s.
//! - [`Keys`]: idempotency keys that are taken, who waits for them and what answers a repeat.
//! - [`Wheel`]: what is due when, cheap with a million entries.
//!
//! It must never decide which server a query goes to or whether it is sent again: that is the decision module's.

mod budget;
mod keys;
mod results;
pub mod token;
mod wheel;

pub use budget::{Budget, Grant};
pub use keys::{Ending, Keys, Print, Seen};
pub use results::{Limits, Missing, Place, Results};
pub use wheel::Wheel;

/// A moment or a span in microseconds, on one clock that never goes backwards.
pub type Micros = u64;
