//! A timer implementation for hyper that uses the reactor of async-io.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;

/// Creates timers for hyper.
#[derive(Clone, Copy)]
pub(super) struct HyperTimer;

struct Sleep(Timer);

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context).map(|_| ())
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for HyperTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::after(duration)))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::at(deadline)))
    }
}
