//! Fakes of the systems that a gateway connects to, on loopback and in a thread of their own:
//! engines that implement the whole line protocol, and the event bus that lists them.
//!
//! Engines follow the hints in a statement ([`StatementHints`]) and the faults that a test sets
//! ([`Fault`]), and count what reaches them ([`Counts`]). They don't depend on the gateway.
//! [`client`] has clients for the gateway's PostgreSQL and REST interfaces.
//!
//! ```
//! use violetgate_fake_upstreams::{Fault, FakeUpstreams, Profile};
//!
//! let upstreams = FakeUpstreams::start(3, Profile::default())?;
//! upstreams.fault("e-2", Fault::Stall);
//! upstreams.drain("e-3");
//! let config = upstreams.config("gateway-1", "127.0.0.1:5432", &violetgate_fake_upstreams::settings());
//! assert_eq!(config["bus"], upstreams.bus().to_string());
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod client;
mod counts;
mod engine;
mod event_bus;
mod fake_upstreams;
mod settings;
mod statement_hints;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use counts::Counts;
pub use engine::{Fault, Profile};
pub use fake_upstreams::FakeUpstreams;
pub use settings::settings;
pub use statement_hints::{StatementHints, MAX_PAGE_BYTES, MAX_RESULT_BYTES};

/// Locks a mutex and ignores poisoning, since a failed test thread may have held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
