//! Reads the resource usage of a process from `/proc`.

use std::path::{Path, PathBuf};
use std::time::Duration;

/// The resource usage of one process, or the sum of several.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Sum of the CPU times of the current threads, without threads that have ended.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// The highest resident memory since the process started, in bytes. In a sum, the sum of these.
    pub peak_resident_bytes: u64,
    /// The number of open file descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process by its id; `None` if it has exited or `/proc` can't be read.
    #[must_use]
    pub fn read(pid: u32) -> Option<Self> {
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let tasks = std::fs::read_dir(folder.join("task")).ok()?.flatten();
        let cpu_ns = tasks
            .filter_map(|task| first_number(&task.path().join("schedstat")))
            .sum();
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        Some(ProcessUsage {
            cpu: Duration::from_nanos(cpu_ns),
            resident_bytes: field_bytes(&status, "VmRSS:")?,
            peak_resident_bytes: field_bytes(&status, "VmHWM:")?,
            descriptors: std::fs::read_dir(folder.join("fd")).ok()?.count(),
        })
    }

    /// Adds the usage of several processes; those that have exited count as zero.
    #[must_use]
    pub fn sum(pids: impl IntoIterator<Item = u32>) -> Self {
        let usages = pids.into_iter().filter_map(ProcessUsage::read);
        usages.fold(ProcessUsage::default(), |sum, usage| ProcessUsage {
            cpu: sum.cpu + usage.cpu,
            resident_bytes: sum.resident_bytes + usage.resident_bytes,
            peak_resident_bytes: sum.peak_resident_bytes + usage.peak_resident_bytes,
            descriptors: sum.descriptors + usage.descriptors,
        })
    }
}

/// Returns the value of a field of `/proc/PID/status`, which is in KiB.
fn field_bytes(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024)
}

fn first_number(file: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
