//! The gateway's clock: Unix time at the start of the program plus the monotonic time since, in
//! microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use violetgate_policy::interface::Micros;

/// A clock that never goes backwards. It counts from the Unix epoch, so its times can be compared
/// with those in the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system time once, and starts the clock there.
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

    /// Returns the time in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_at_start + micros(self.start.elapsed())
    }

    /// Converts a time of this clock to an [`Instant`], for timers. A time before the start of the
    /// clock becomes its start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        let offset = Duration::from_micros(at.saturating_sub(self.unix_at_start));
        self.start.checked_add(offset).unwrap_or(self.start)
    }
}

/// Converts a duration to microseconds, or to `Micros::MAX` if it is longer than that.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
