//! Processor time, memory and descriptors, of this process and of others.

use std::path::PathBuf;
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use crate::error::ScaleError;

fn clock(id: ClockId) -> Duration {
    let at = clock_gettime(id);
    let seconds = u64::try_from(at.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(at.tv_nsec).unwrap_or(0))
}

/// Processor time of the calling thread.
#[must_use]
pub fn thread_cpu() -> Duration {
    clock(ClockId::ThreadCPUTime)
}

/// Processor time of this process, all threads.
#[must_use]
pub fn process_cpu() -> Duration {
    clock(ClockId::ProcessCPUTime)
}

/// Processor time of the calling thread for some work, in microseconds, with what the work returned.
pub fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let begun = thread_cpu();
    let result = work();
    ((thread_cpu() - begun).as_secs_f64() * 1e6, result)
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

/// What a process uses.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads what a process uses, by its id.
    ///
    /// # Errors
    ///
    /// It has ended, or /proc can't be read.
    pub fn of(process: u32) -> Result<Self, ScaleError> {
        read(process).ok_or(ScaleError::NoUsage(process))
    }

    /// Reads what this process uses.
    ///
    /// # Errors
    ///
    /// /proc can't be read.
    pub fn own() -> Result<Self, ScaleError> {
        Self::of(std::process::id())
    }
}

fn read(process: u32) -> Option<Usage> {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let tasks = std::fs::read_dir(folder.join("task")).ok()?.flatten();
    let nanoseconds = tasks
        .filter_map(|task| first_number(&task.path().join("schedstat")))
        .sum();
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(Usage {
        cpu: Duration::from_nanos(nanoseconds),
        resident_bytes: kibibytes * 1024,
        descriptors: std::fs::read_dir(folder.join("fd")).ok()?.count(),
    })
}

fn first_number(file: &std::path::Path) -> Option<u64> {
    std::fs::read_to_string(file)
        .ok()?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}
