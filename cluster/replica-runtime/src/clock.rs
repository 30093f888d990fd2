//! Reads the system clocks, and holds the timer that calls a core's tick. The cores are the parts
//! without I/O (`Replica`, `Observer` and `Subscriber`). They read no clock themselves: the time is
//! passed to them.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use futures_lite::Future;
use violetgate_replicated_state::Micros;

/// The shortest time between two calls of a core's tick.
const MIN_TICK_INTERVAL_US: Micros = 500;
const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// Returns the microseconds since the machine booted, including the time it was suspended.
#[must_use]
pub(crate) fn boot_time() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// Returns the microseconds since the Unix epoch.
#[must_use]
pub(crate) fn wall_time() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// A timer for a core's next tick, set to a time in [`boot_time`].
pub(crate) struct TickTimer {
    due_at: Cell<Micros>,
    waker: RefCell<Option<Waker>>,
}

impl Default for TickTimer {
    fn default() -> Self {
        TickTimer {
            due_at: Cell::new(Micros::MAX),
            waker: RefCell::default(),
        }
    }
}

impl TickTimer {
    /// Sets the time of the next tick, which may be earlier or later than the previous one.
    pub(crate) fn set(&self, due_at: Micros) {
        let is_earlier = due_at < self.due_at.replace(due_at);
        if is_earlier {
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    /// Waits until the tick is due, and for at least [`MIN_TICK_INTERVAL_US`].
    pub(crate) async fn wait(&self) {
        let mut timer = Timer::never();
        let earliest = boot_time() + MIN_TICK_INTERVAL_US;
        poll_fn(|context| loop {
            *self.waker.borrow_mut() = Some(context.waker().clone());
            let remaining = self.due_at.get().max(earliest).saturating_sub(boot_time());
            if remaining == 0 {
                return Poll::Ready(());
            }
            timer.set_after(Duration::from_micros(remaining));
            if Pin::new(&mut timer).poll(context).is_pending() {
                return Poll::Pending;
            }
        })
        .await;
    }
}
