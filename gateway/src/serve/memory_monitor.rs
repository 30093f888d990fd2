//! Logs when the memory that is held for peers comes near its limit, and when it falls again.

use std::fmt::{self, Display, Write as _};
use std::time::Duration;

use async_io::Timer;
use violetgate_memory_budget::{MemoryBudget, Purpose};

use crate::log;

/// The interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const PERCENT: usize = 100;

/// How much of the limit is in use. A level is entered above its percentage, and left below it by
/// [`HYSTERESIS_PERCENT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum MemoryLevel {
    Low,
    Half,
    NearlyFull,
}

/// Keeps the log from being written at every small change of a level.
const HYSTERESIS_PERCENT: usize = 10;

impl MemoryLevel {
    /// Returns the level at this use of the limit, given the level before.
    fn next(self, used_percent: usize) -> Self {
        let entered = |level: MemoryLevel, percent: usize| {
            let threshold = if self >= level {
                percent - HYSTERESIS_PERCENT
            } else {
                percent
            };
            used_percent >= threshold
        };
        if entered(MemoryLevel::NearlyFull, 90) {
            MemoryLevel::NearlyFull
        } else if entered(MemoryLevel::Half, 50) {
            MemoryLevel::Half
        } else {
            MemoryLevel::Low
        }
    }
}

impl Display for MemoryLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MemoryLevel::Low => "low",
            MemoryLevel::Half => "over half",
            MemoryLevel::NearlyFull => "nearly full",
        })
    }
}

/// Logs each change of the level. Never returns.
pub(super) async fn log_memory_levels(memory: MemoryBudget) {
    let mut level = MemoryLevel::Low;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let used_percent = memory.used().saturating_mul(PERCENT) / memory.limit().max(1);
        let next = level.next(used_percent);
        if next != level {
            level = next;
            log_use(level, &memory);
        }
    }
}

fn log_use(level: MemoryLevel, memory: &MemoryBudget) {
    let mut purposes = String::new();
    for purpose in Purpose::ALL {
        let _ = write!(purposes, " {}={}", purpose.name(), memory.used_for(purpose));
    }
    let (used, limit) = (memory.used(), memory.limit());
    let reclaimed = memory.counts().reclaimed;
    log::write_line(format_args!(
        "violetgate memory is {level}: {used} of {limit} bytes{purposes} reclaimed={reclaimed}"
    ));
}

#[cfg(test)]
mod tests;
