//! Fakes of what a gateway talks to, on loopback and in a thread of their own: engines that speak
//! the line protocol in full, and the event bus that lists them.
//!
//! Engines follow the hints in a statement ([`StatementHints`]) and the faults that a test sets on
//! them ([`Fault`]), and count what reaches them ([`Counts`]). They know nothing of the gateway.
//! [`client`] has plain clients for its two interfaces.
//!
//! ```
//! use violetgate_fake_upstreams::{Fault, Fleet, Profile};
//!
//! let fleet = Fleet::start(3, Profile::default())?;
//! fleet.fault("e-2", Fault::Stall);
//! fleet.drain("e-3");
//! let config = fleet.config("gateway-1", "127.0.0.1:5432", &violetgate_fake_upstreams::settings());
//! assert_eq!(config["bus"], fleet.bus().to_string());
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod client;
mod counts;
mod engine;
mod event_bus;
mod fleet;
mod settings;
mod statement_hints;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use counts::Counts;
pub use engine::{Fault, Profile};
pub use fleet::Fleet;
pub use settings::settings;
pub use statement_hints::{StatementHints, MAX_PAGE_BYTES, MAX_RESULT_BYTES};

/// Locks a mutex that a test thread may have left locked when it failed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
