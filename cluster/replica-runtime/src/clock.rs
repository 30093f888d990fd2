//! The machine's clocks, and the timer that drives a core which reads no clock.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use futures_lite::Future;
use violetgate_replicated_state::Micros;

/// The least time between two calls of a core's tick.
const MIN_TICK_INTERVAL_US: Micros = 500;
const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// Microseconds since the machine's start, in which time that it was suspended counts.
#[must_use]
pub(crate) fn boot_time() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// Microseconds since the Unix epoch.
#[must_use]
pub(crate) fn wall_time() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// A timer that is set to the moment at which a core's tick is due, in [`boot_time`].
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
    /// Sets the moment, which may be earlier or later than the one set before.
    pub(crate) fn set(&self, due_at: Micros) {
        let is_earlier = due_at < self.due_at.replace(due_at);
        if is_earlier {
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    /// Waits until the moment has come, and for [`MIN_TICK_INTERVAL_US`] at least.
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
