//! What the gateway's own tests, acceptance tests, scale tests and the fleet harness share about
//! gateway processes: their start and end, free addresses, waiting, metrics, and their use of the machine.
//!
//! Everything here sees a process from outside. It needs Linux with `/proc` mounted.

mod addresses;
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

/// Locks a mutex, also one that a thread held when it failed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
