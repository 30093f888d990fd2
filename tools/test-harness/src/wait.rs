//! Waiting for a condition.

use std::time::{Duration, Instant};

/// Checks a condition every `interval` until it holds; returns how long that took, or `None` if it
/// did not hold within the time.
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
