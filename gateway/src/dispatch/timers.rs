//! The dispatcher's timer queue. One task fires the timers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, Waker};

use async_io::Timer;
use futures_lite::Future;
use violetgate_policy::interface::{Micros, QueryId};

use crate::clock::Clock;

/// What a timer triggers. At the same due time, the decisions' timer fires before the attempts'
/// deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerEvent {
    /// Runs the decision module, which set this timer.
    Decisions,
    /// Times out an attempt that is still in flight.
    AttemptDeadline {
        /// The query of the attempt.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
}

/// Timers, ordered by due time in microseconds since the Unix epoch.
#[derive(Default)]
pub(super) struct TimerQueue {
    pub(super) entries: RefCell<BTreeSet<(Micros, TimerEvent)>>,
    /// The due time that the task is waiting for. `None`: the queue is empty.
    armed_at: Cell<Option<Micros>>,
    waker: RefCell<Option<Waker>>,
}

impl TimerQueue {
    pub(super) fn schedule(&self, at: Micros, event: TimerEvent) {
        self.entries.borrow_mut().insert((at, event));
        if self.armed_at.get().is_none_or(|armed_at| at < armed_at) {
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    pub(super) fn cancel(&self, at: Micros, event: TimerEvent) {
        self.entries.borrow_mut().remove(&(at, event));
    }

    /// Removes and returns the earliest timer that is due.
    pub(super) fn pop_due(&self, now: Micros) -> Option<TimerEvent> {
        let mut entries = self.entries.borrow_mut();
        let first = entries.first().copied();
        let (at, event) = first.filter(|(at, _)| *at <= now)?;
        entries.remove(&(at, event));
        Some(event)
    }

    /// Calls `fire_due` when the earliest timer is due. Also calls it when none is due, for example
    /// when an earlier timer is scheduled or after the earliest one was cancelled. Never returns.
    pub(super) async fn run(&self, clock: Clock, fire_due: impl Fn()) {
        let mut timer = Timer::never();
        poll_fn(|context| loop {
            *self.waker.borrow_mut() = Some(context.waker().clone());
            fire_due();
            let next = self.entries.borrow().first().map(|(at, _)| *at);
            self.armed_at.set(next);
            let Some(at) = next else {
                return Poll::<()>::Pending;
            };
            timer.set_at(clock.instant(at));
            if Pin::new(&mut timer).poll(context).is_pending() {
                return Poll::Pending;
            }
        })
        .await;
    }
}
