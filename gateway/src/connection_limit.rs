//! Limits the number of incoming connections, and chooses which connection to evict when a new one
//! arrives at the limit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use violetgate_policy::interface::Micros;

/// How long a connection may take to send a complete message after it was accepted, or after a
/// message began. After that time it is unresponsive and evicted first. Before, it is evicted last,
/// because its client is about to send and it must not be evicted for the next new connection.
const FIRST_MESSAGE_GRACE_US: Micros = 250_000;
/// When idle connections are closed, a connection that has been idle for a shorter time than this
/// stays open. The first request of a new connection may still be in transit.
pub const RECENTLY_IDLE_US: Micros = 50_000;
/// The number of connections that may linger in their close, in addition to the limit, is the limit
/// divided by this value, plus one. On a lingering connection, the process only reads and discards
/// input for a short time before it closes the socket, so that the close does not become a reset.
const LINGERING_DIVISOR: usize = 8;

/// The activity of a connection, which decides whether it may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The start-up packet or the rest of a message has not arrived yet.
    AwaitingMessage,
    /// The client may send a request and has not begun one.
    Idle,
    /// The connection has an open request.
    Busy,
}

/// The order of eviction: connections of the smallest rank are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No complete message has arrived for [`FIRST_MESSAGE_GRACE_US`] or longer.
    Unresponsive,
    Idle,
    /// The connection was just accepted, or a message has just begun.
    New,
}

/// The state of one connection that counts towards the limit.
pub struct ConnectionSlot {
    id: u64,
    state: Cell<ConnectionState>,
    /// When the connection entered its current state.
    since: Cell<Micros>,
    /// Until when the client may need this process and no other instance, for example to fetch the
    /// remaining pages of a result that only this process stores.
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

    /// Records a state change at `now`. Setting the current state again keeps its start time.
    pub fn set_state(&self, state: ConnectionState, now: Micros) {
        if self.state.get() != state {
            self.state.set(state);
            self.since.set(now);
        }
    }

    /// Marks the connection as sticky: its client may need this process, and no other instance,
    /// until this time. The connection is not closed as idle before then.
    pub fn set_sticky_until(&self, until: Micros) {
        self.sticky_until.set(until);
    }

    /// Returns the time until which the client may need this process; 0 if it was never sticky.
    pub fn sticky_until(&self) -> Micros {
        self.sticky_until.get()
    }

    /// Whether the connection's state is [`ConnectionState::Idle`].
    pub fn is_idle(&self) -> bool {
        self.state.get() == ConnectionState::Idle
    }

    /// Waits until a close of the connection is requested, and returns the reason.
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

    /// Requests a close of the connection. Requests that have already arrived are still read and
    /// answered.
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

/// Tracks the connections that count towards one limit.
pub struct ConnectionLimiter {
    limit: Cell<usize>,
    next_id: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    lingering: Rc<Cell<usize>>,
}

/// Permits a connection that no longer counts towards the limit to linger in its close. When it is
/// dropped, another connection may linger.
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

    /// Returns a slot for a new connection, or `None` if every connection up to the limit has an
    /// open request.
    ///
    /// At the limit another connection is evicted: unresponsive ones first, then the one that has
    /// been idle longest, then a new one. A connection with an open request is never evicted.
    ///
    /// Eviction protects against clients that connect and send nothing, or send one request and
    /// stay connected. If new connections were left in the kernel's accept queue instead, their
    /// clients would take their requests for accepted, although nothing would read them.
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

    /// Evicts the connection with the smallest rank, and of these the one longest in its state.
    /// Returns false if every connection is busy.
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

    /// Changes the limit. If more connections are open, those that can be evicted are evicted at
    /// once until the limit is met.
    pub fn resize(&self, limit: usize, now: Micros) {
        self.limit.set(limit);
        while self.len() > limit && self.evict_one(now) {}
    }

    /// Returns the number of connections that count towards the limit.
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Returns the number of connections whose clients may need this process at `now`.
    pub fn sticky_count(&self, now: Micros) -> usize {
        let slots = self.slots.borrow();
        slots
            .values()
            .filter(|slot| slot.sticky_until() > now)
            .count()
    }

    /// Permits one more connection to linger in its close, which holds its file descriptor longer.
    /// Returns `None` if too many connections linger already. The connection must then be closed at
    /// once, so that file descriptors do not run out.
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

    /// Returns the number of connections that linger in their close.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }
}

#[cfg(test)]
mod tests;
