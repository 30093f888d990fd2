//! Cancel requests: the keys that identify sessions, and the cancellation of a session's query.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};

use async_io::Async;
use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;

use crate::connection_limit::ConnectionSlot;

/// The key that identifies a session, sent in BackendKeyData and CancelRequest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CancelKey {
    /// The process id, an arbitrary number that is unique among the open sessions.
    pub pid: u32,
    /// A random number that a CancelRequest must repeat to be accepted.
    pub secret: u32,
}

/// The part of a session that a CancelRequest acts on.
pub(super) struct CancelTarget {
    key: CancelKey,
    /// Whether the open query, or the one that has arrived and is not yet read, is cancelled. Reset
    /// when the session reads the value, at the latest at the end of the query.
    is_cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    slot: Rc<ConnectionSlot>,
    stream: Rc<Async<TcpStream>>,
}

impl CancelTarget {
    pub(super) fn key(&self) -> CancelKey {
        self.key
    }

    /// Whether there is a query to cancel: one that is open, or one whose bytes wait in the socket.
    /// A cancel request that arrives between queries was meant for an earlier one.
    fn has_query(&self) -> bool {
        !self.slot.is_idle() || matches!(self.stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Returns whether the query was cancelled, and resets `is_cancelled`.
    pub(super) fn take_cancelled(&self) -> bool {
        self.is_cancelled.replace(false)
    }

    /// Waits until the query is cancelled, and resets `is_cancelled`.
    pub(super) async fn cancelled(&self) {
        poll_fn(|context| {
            if self.take_cancelled() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// The cancel targets of all sessions, by process id.
pub(super) struct CancelTargets {
    rng: RefCell<ChaCha8Rng>,
    targets: RefCell<HashMap<u32, Rc<CancelTarget>>>,
}

impl CancelTargets {
    /// Creates an empty table whose keys are drawn from `rng`.
    pub(super) fn new(rng: ChaCha8Rng) -> Self {
        CancelTargets {
            rng: RefCell::new(rng),
            targets: RefCell::default(),
        }
    }

    /// Adds a session under a new key whose process id no other session has.
    pub(super) fn add(
        &self,
        slot: &Rc<ConnectionSlot>,
        stream: &Rc<Async<TcpStream>>,
    ) -> Rc<CancelTarget> {
        let mut targets = self.targets.borrow_mut();
        let target = Rc::new(CancelTarget {
            key: self.draw_key(&targets),
            is_cancelled: Cell::new(false),
            waker: RefCell::default(),
            slot: Rc::clone(slot),
            stream: Rc::clone(stream),
        });
        targets.insert(target.key.pid, Rc::clone(&target));
        target
    }

    fn draw_key(&self, targets: &HashMap<u32, Rc<CancelTarget>>) -> CancelKey {
        let mut rng = self.rng.borrow_mut();
        loop {
            // The shift clears the sign bit, as a process id is not negative.
            let pid = rng.next_u32() >> 1;
            if pid != 0 && !targets.contains_key(&pid) {
                let secret = rng.next_u32();
                return CancelKey { pid, secret };
            }
        }
    }

    /// Removes a session that has ended.
    pub(super) fn remove(&self, target: &CancelTarget) {
        self.targets.borrow_mut().remove(&target.key.pid);
    }

    /// Carries out a CancelRequest. It is ignored if the key matches no session, or if the session
    /// has no query.
    pub(super) fn cancel(&self, key: CancelKey) {
        let targets = self.targets.borrow();
        let target = targets.get(&key.pid);
        if let Some(target) = target.filter(|target| target.key == key && target.has_query()) {
            target.cancel();
        }
    }
}
