//! Waits for a condition by polling it.

use std::time::{Duration, Instant};

/// Checks a condition every `interval` until it holds. Returns how long that took, or `None` if the
/// condition did not hold within the time.
pub fn wait_until(
    within: Duration,
    interval: Duration,
    mut condition: impl FnMut() -> bool,
) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < within {
        if condition() {
            return Some(began.elapsed());
        }
        std::thread::sleep(interval);
    }
    None
}
