//! CPU time of this thread and process, and what processes use of the machine.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use violetgate_test_harness::ProcessUsage;

use crate::error::ScaleError;

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// CPU time of the calling thread.
#[must_use]
pub fn thread_cpu() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// CPU time of this process, all threads.
#[must_use]
pub fn process_cpu() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// CPU time of the calling thread for some work, in microseconds, with what the work returned.
pub fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let began = thread_cpu();
    let result = work();
    ((thread_cpu() - began).as_secs_f64() * 1e6, result)
}

/// The middle one of several values; NaN where there are none.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The least of several values; infinite where there are none.
#[must_use]
pub fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Reads what a process uses, by its id.
///
/// # Errors
///
/// It has ended, or /proc can't be read.
pub fn usage_of(pid: u32) -> Result<ProcessUsage, ScaleError> {
    ProcessUsage::read(pid).ok_or(ScaleError::NoUsage(pid))
}

/// Reads what this process uses.
///
/// # Errors
///
/// /proc can't be read.
pub fn own_usage() -> Result<ProcessUsage, ScaleError> {
    usage_of(std::process::id())
}
