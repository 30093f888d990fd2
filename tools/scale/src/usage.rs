//! CPU time of the calling thread and of this process, and the resource usage of processes.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use violetgate_test_harness::ProcessUsage;

use crate::error::ScaleError;

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the CPU time that the calling thread has used.
#[must_use]
pub fn thread_cpu() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the CPU time that all threads of this process have used.
#[must_use]
pub fn process_cpu() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Runs `work`, and returns the CPU time that the calling thread used for it, in microseconds, and
/// its result.
pub fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let began = thread_cpu();
    let result = work();
    ((thread_cpu() - began).as_secs_f64() * 1e6, result)
}

/// Returns the median of several values (the upper one of two middle values), or NaN if there are
/// none.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the least of several values, or infinity if there are none.
#[must_use]
pub fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Reads the resource usage of the process with the id `pid`.
///
/// # Errors
///
/// Returns an error if the process has ended or /proc can't be read.
pub fn usage_of(pid: u32) -> Result<ProcessUsage, ScaleError> {
    ProcessUsage::read(pid).ok_or(ScaleError::NoUsage(pid))
}

/// Reads the resource usage of this process.
///
/// # Errors
///
/// Returns an error if /proc can't be read.
pub fn own_usage() -> Result<ProcessUsage, ScaleError> {
    usage_of(std::process::id())
}
