//! Measures the CPU time of the calling thread.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Returns the CPU time that this thread has used. Other work on the machine does not count.
pub(crate) fn thread_cpu_time() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}
