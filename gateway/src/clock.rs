//! The one clock: Unix time at the start of the program plus a monotonic offset, in microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use violetgate_policy::interface::Micros;

/// A clock that never goes backwards and whose zero is the Unix epoch, as in the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: Micros,
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
            unix: span(unix),
            start: Instant::now(),
        }
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + span(self.start.elapsed())
    }

    /// When a moment comes, as the system's timers have it.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        let ahead = Duration::from_micros(at.saturating_sub(self.unix));
        self.start.checked_add(ahead).unwrap_or(self.start)
    }
}

fn span(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}
