//! Cancel requests: the keys by which they name a session, and what they reach of it.

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

/// The key of a session, as its BackendKeyData and a CancelRequest carry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CancelKey {
    /// The process id that stands for the session.
    pub pid: u32,
    /// The secret.
    pub secret: u32,
}

/// What a CancelRequest reaches of a session.
pub(super) struct CancelTarget {
    key: CancelKey,
    /// The query that is open, or the one that is here and not yet read, is cancelled.
    is_cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    slot: Rc<ConnectionSlot>,
    stream: Rc<Async<TcpStream>>,
}

impl CancelTarget {
    pub(super) fn key(&self) -> CancelKey {
        self.key
    }

    /// Whether there is a query that a cancel request can mean: one that is open, or one that waits
    /// in the socket to be read. A cancel request between queries meant an earlier one.
    fn has_query(&self) -> bool {
        !self.slot.is_idle() || matches!(self.stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Whether the query was cancelled; it is reported once.
    pub(super) fn take_cancelled(&self) -> bool {
        self.is_cancelled.replace(false)
    }

    /// Waits until the query is cancelled.
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
    /// No targets yet; keys are drawn from `rng`.
    pub(super) fn new(rng: ChaCha8Rng) -> Self {
        CancelTargets {
            rng: RefCell::new(rng),
            targets: RefCell::default(),
        }
    }

    /// Adds a session, under a key that no other one has.
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
            // A process id is not negative.
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

    /// Carries out a CancelRequest. One that names no session, or no query, means nothing.
    pub(super) fn cancel(&self, key: CancelKey) {
        let targets = self.targets.borrow();
        let target = targets.get(&key.pid);
        if let Some(target) = target.filter(|target| target.key == key && target.has_query()) {
            target.cancel();
        }
    }
}
