//! Waits for the answer to a call.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use violetgate_replica::{CallId, Response};

use super::calls::CallOutcome;

/// A slot for the answer to a call, and the waker of the task that waits for it.
#[derive(Default)]
pub(super) struct PendingAnswer {
    answer: RefCell<Option<Response>>,
    waker: RefCell<Option<Waker>>,
}

impl PendingAnswer {
    /// Stores the answer and wakes the waiting task.
    pub(super) fn complete(&self, answer: Response) {
        *self.answer.borrow_mut() = Some(answer);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for the answer, up to the timeout.
    pub(super) async fn wait(&self, timeout: Duration) -> CallOutcome {
        let answered = poll_fn(|context| match self.answer.borrow_mut().take() {
            Some(answer) => Poll::Ready(CallOutcome::Completed(answer)),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        });
        let timed_out = async {
            Timer::after(timeout).await;
            CallOutcome::TimedOut
        };
        answered.or(timed_out).await
    }
}

/// A call's entry in the map of pending calls. Dropping it, for instance with the future that holds
/// it, removes the call from the map.
pub(super) struct PendingEntry<'a> {
    calls: &'a RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>,
    id: CallId,
    answer: Rc<PendingAnswer>,
}

impl<'a> PendingEntry<'a> {
    pub(super) fn new(calls: &'a RefCell<BTreeMap<CallId, Rc<PendingAnswer>>>, id: CallId) -> Self {
        let answer = Rc::new(PendingAnswer::default());
        calls.borrow_mut().insert(id, Rc::clone(&answer));
        PendingEntry { calls, id, answer }
    }

    pub(super) async fn wait(&self, timeout: Duration) -> CallOutcome {
        self.answer.wait(timeout).await
    }
}

impl Drop for PendingEntry<'_> {
    fn drop(&mut self) {
        self.calls.borrow_mut().remove(&self.id);
    }
}
