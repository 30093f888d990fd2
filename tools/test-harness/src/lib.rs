//! Helpers that run gateway processes, shared by the gateway's tests, the acceptance tests, the
//! scale tests and the fleet harness: start and stop, free addresses, waiting, metrics, resource usage
//! and crowds of clients.
//!
//! The helpers observe a process from outside. They need Linux with `/proc` mounted.

mod addresses;
pub mod crowd;
mod metrics;
mod process;
mod usage;
mod wait;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use addresses::{reserve_tcp_address, reserve_tcp_addresses, reserve_udp_addresses};
pub use metrics::{parse_metrics, read_metrics, Metrics};
pub use process::{
    program_beside, send_signal, server_command, KillOnDrop, LogTarget, ServerProcess,
    SETTINGS_FILE,
};
pub use rustix::process::Signal;
pub use usage::ProcessUsage;
pub use wait::wait_until;

/// Locks a mutex, even if it is poisoned because a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
