//! The one clock: Unix time at the start of the program plus a monotonic offset, in microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use violetgate_policy::interface::Micros;

/// A clock that never goes backwards and whose zero is the Unix epoch, as in the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_at_start: micros(unix),
            start: Instant::now(),
        }
    }

    /// The time in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_at_start + micros(self.start.elapsed())
    }

    /// A time of this clock as the system's timers take it.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        let offset = Duration::from_micros(at.saturating_sub(self.unix_at_start));
        self.start.checked_add(offset).unwrap_or(self.start)
    }
}

/// A duration in microseconds; the longest one where it does not fit.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
