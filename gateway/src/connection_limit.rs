//! The limit on incoming connections: how many there may be, and which one is evicted for a new
//! one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use violetgate_policy::interface::Micros;

/// A connection without a complete message counts as unresponsive after this time: one that has
/// just come up is about to send, and must not be evicted for the next.
const FIRST_MESSAGE_GRACE_US: Micros = 250_000;
/// A connection that became idle less long ago than this is left open when idle ones are closed: a
/// new connection's first request may be on its way.
pub const RECENTLY_IDLE_US: Micros = 50_000;
/// One connection in so many may linger in its close beside those that count.
const LINGERING_DIVISOR: usize = 8;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Its start-up packet, or the rest of a message, is awaited.
    AwaitingMessage,
    /// It may send a request, and does not.
    Idle,
    /// It has a request open.
    Busy,
}

/// Why a connection would be evicted before another: in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No complete message for long.
    Unresponsive,
    /// Idle.
    Idle,
    /// Just come up, or a message has just begun.
    New,
}

/// The slot of one connection.
pub struct ConnectionSlot {
    id: u64,
    state: Cell<ConnectionState>,
    /// Since when it is in this state.
    since: Cell<Micros>,
    /// Until when its client may need this very process.
    sticky_until: Cell<Micros>,
    close_reason: Cell<Option<&'static str>>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionSlot {
    fn new(id: u64, now: Micros) -> Rc<Self> {
        Rc::new(ConnectionSlot {
            id,
            state: Cell::new(ConnectionState::AwaitingMessage),
            since: Cell::new(now),
            sticky_until: Cell::new(0),
            close_reason: Cell::new(None),
            waker: RefCell::default(),
        })
    }

    /// Records what the connection does from now on.
    pub fn set_state(&self, state: ConnectionState, now: Micros) {
        if self.state.get() != state {
            self.state.set(state);
            self.since.set(now);
        }
    }

    /// Its client may need this very process until then: the connection is not closed for being
    /// idle before.
    pub fn set_sticky_until(&self, until: Micros) {
        self.sticky_until.set(until);
    }

    /// Until when its client may need this very process.
    pub fn sticky_until(&self) -> Micros {
        self.sticky_until.get()
    }

    /// Whether it may send a request, and does not.
    pub fn is_idle(&self) -> bool {
        self.state.get() == ConnectionState::Idle
    }

    /// Waits until a close of the connection is requested; the reason.
    pub async fn close_requested(&self) -> &'static str {
        poll_fn(|context| {
            if let Some(reason) = self.close_reason.get() {
                return Poll::Ready(reason);
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Requests a close of the connection. What it has sent by then is still read and answered.
    fn request_close(&self, reason: &'static str) {
        self.close_reason.set(Some(reason));
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        let is_new = now < self.since.get() + FIRST_MESSAGE_GRACE_US;
        match self.state.get() {
            ConnectionState::AwaitingMessage if is_new => Some(EvictionRank::New),
            ConnectionState::AwaitingMessage => Some(EvictionRank::Unresponsive),
            ConnectionState::Idle => Some(EvictionRank::Idle),
            ConnectionState::Busy => None,
        }
    }
}

/// The connections that count towards one limit.
pub struct ConnectionLimiter {
    limit: Cell<usize>,
    next_id: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    lingering: Rc<Cell<usize>>,
}

/// Permits a connection that no longer counts to linger in its close; it ends with this.
pub struct LingerPermit(Rc<Cell<usize>>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        ConnectionLimiter {
            limit: Cell::new(limit),
            next_id: Cell::new(0),
            slots: RefCell::default(),
            lingering: Rc::default(),
        }
    }

    /// A slot for a new connection. At the limit another one is evicted: an unresponsive one first,
    /// then the one idle longest, then one that has just come up, never one with a request open.
    /// `None`: all have one.
    ///
    /// Eviction protects against clients that connect and send nothing, or send one request and
    /// stay: were new connections left in the kernel's queue instead, their requests would count as
    /// taken and never be read.
    pub fn acquire(&self, now: Micros) -> Option<Rc<ConnectionSlot>> {
        if self.len() >= self.limit.get() && !self.evict_one(now) {
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let slot = ConnectionSlot::new(id, now);
        self.slots.borrow_mut().insert(id, Rc::clone(&slot));
        Some(slot)
    }

    /// Frees the slot of a connection that has ended.
    pub fn release(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().remove(&slot.id);
    }

    /// Evicts the connection that is first in order. False: all are busy.
    pub fn evict_one(&self, now: Micros) -> bool {
        let mut slots = self.slots.borrow_mut();
        let candidates = slots
            .values()
            .filter_map(|slot| Some((slot.eviction_rank(now)?, slot.since.get(), slot.id)));
        let first = candidates.min();
        let evicted = first.and_then(|(_, _, id)| slots.remove(&id));
        if let Some(slot) = &evicted {
            slot.request_close("evicted");
        }
        evicted.is_some()
    }

    /// Closes the connections that have been idle for `idle_for` microseconds and are not sticky.
    pub fn close_idle(&self, now: Micros, idle_for: Micros, reason: &'static str) {
        let slots = self.slots.borrow();
        slots
            .values()
            .filter(|slot| slot.is_idle() && now >= slot.since.get() + idle_for)
            .filter(|slot| slot.sticky_until() <= now)
            .for_each(|slot| slot.request_close(reason));
    }

    /// Changes the limit. Connections over it that can be evicted are evicted at once.
    pub fn resize(&self, limit: usize, now: Micros) {
        self.limit.set(limit);
        while self.len() > limit && self.evict_one(now) {}
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// The number of connections whose clients may need this very process.
    pub fn sticky_count(&self, now: Micros) -> usize {
        let slots = self.slots.borrow();
        slots
            .values()
            .filter(|slot| slot.sticky_until() > now)
            .count()
    }

    /// Permits one more connection to linger in its close, which holds its descriptor a little
    /// longer. `None`: so many linger that it has to be closed at once, or descriptors would run
    /// out.
    pub fn permit_linger(&self) -> Option<LingerPermit> {
        let (lingering, limit) = (
            self.lingering.get(),
            self.limit.get() / LINGERING_DIVISOR + 1,
        );
        (lingering < limit).then(|| {
            self.lingering.set(lingering + 1);
            LingerPermit(Rc::clone(&self.lingering))
        })
    }

    /// The number of connections that linger in their close.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }
}

#[cfg(test)]
mod tests;
