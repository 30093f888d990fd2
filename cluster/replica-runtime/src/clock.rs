//! The clocks of the machine, and the one timer that drives a core which reads no clock.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use futures_lite::Future;
use violetgate_replicated_state::Micros;

/// The least time between two calls for the time.
const LEAST_WAIT: Micros = 500;

/// The time that counts sleep, in microseconds since the machine's start.
#[must_use]
pub(crate) fn boot() -> Micros {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(at.tv_sec).unwrap_or(0) * 1_000_000
        + u64::try_from(at.tv_nsec).unwrap_or(0) / 1_000
}

pub(crate) fn wall() -> Micros {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// A timer that is set to the moment at which a core wants to be told the time.
pub(crate) struct Alarm {
    at: Cell<Micros>,
    waker: RefCell<Option<Waker>>,
}

impl Default for Alarm {
    fn default() -> Self {
        Alarm {
            at: Cell::new(Micros::MAX),
            waker: RefCell::default(),
        }
    }
}

impl Alarm {
    /// Sets the moment, sooner or later than before.
    pub(crate) fn set(&self, at: Micros) {
        if at < self.at.replace(at) {
            self.waker
                .borrow_mut()
                .take()
                .into_iter()
                .for_each(Waker::wake);
        }
    }

    /// Waits until the moment has come. One that lies in the past is waited for as well, though shortly.
    pub(crate) async fn due(&self) {
        let mut timer = Timer::never();
        let earliest = boot() + LEAST_WAIT;
        poll_fn(|cx| loop {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            let left = self.at.get().max(earliest).saturating_sub(boot());
            if left == 0 {
                return Poll::Ready(());
            }
            timer.set_after(Duration::from_micros(left));
            if Pin::new(&mut timer).poll(cx).is_pending() {
                return Poll::Pending;
            }
        })
        .await;
    }
}
