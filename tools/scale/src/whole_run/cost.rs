//! What a process costs, read off the kernel's own figures of it.

use std::time::Duration;

/// Processor time and memory of a process, or of several.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Processor time of all threads so far.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Cost {
    /// The cost of a process.
    pub(super) fn of(pid: u32) -> Self {
        Cost {
            processor: processor(pid),
            memory: memory(pid),
        }
    }

    /// The sum over processes.
    pub(super) fn sum(pids: impl IntoIterator<Item = u32>) -> Self {
        pids.into_iter()
            .map(Cost::of)
            .fold(Cost::default(), |sum, one| Cost {
                processor: sum.processor + one.processor,
                memory: sum.memory + one.memory,
            })
    }

    /// The processor time since an earlier reading, as a share of one core over a time.
    pub(super) fn share_since(&self, earlier: &Cost, elapsed: Duration) -> f64 {
        let spent = self.processor.saturating_sub(earlier.processor);
        spent.as_secs_f64() / elapsed.as_secs_f64().max(1e-9)
    }
}

fn processor(pid: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
    let nanoseconds = threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|thread| {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        });
    Duration::from_nanos(nanoseconds.sum())
}

fn memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
