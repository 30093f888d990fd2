//! Limits the number of incoming connections, and chooses which connection to evict when a new one
//! arrives at the limit.

mod input_buffer;
mod slot;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::Micros;

pub use input_buffer::InputBuffer;
pub use slot::{ConnectionSlot, ConnectionState, MEMORY_LIMIT};

/// When idle connections are closed, a connection that has been idle for a shorter time than this
/// stays open. The first request of a new connection may still be in transit.
pub const RECENTLY_IDLE_US: Micros = 50_000;
/// The number of connections that may linger in their close, in addition to the limit, is the limit
/// divided by this value, plus one. On a lingering connection, the process only reads and discards
/// input for a short time before it closes the socket, so that the close does not become a reset.
const LINGERING_DIVISOR: usize = 8;

/// Tracks the connections that count towards one limit.
pub struct ConnectionLimiter {
    limit: Cell<usize>,
    memory: MemoryBudget,
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
    /// Creates a limiter for `limit` connections, whose input is charged to `memory`.
    #[must_use]
    pub fn new(limit: usize, memory: MemoryBudget) -> Self {
        ConnectionLimiter {
            limit: Cell::new(limit),
            memory,
            next_id: Cell::new(0),
            slots: RefCell::default(),
            lingering: Rc::default(),
        }
    }

    /// Returns a slot for a new connection, or `None` if every connection up to the limit has an
    /// open request.
    ///
    /// At the limit another connection is evicted: unresponsive ones first, then the one that has
    /// been idle longest, then one whose client does not take its answer, then a new one. No other
    /// connection with an open request is evicted.
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
        let slot = ConnectionSlot::new(id, now, &self.memory);
        self.slots.borrow_mut().insert(id, Rc::clone(&slot));
        Some(slot)
    }

    /// Frees the slot of a connection that has ended.
    pub fn release(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().remove(&slot.id());
    }

    /// Evicts the connection with the smallest rank, and of these the one longest in its state.
    /// Returns false if every connection is busy.
    pub fn evict_one(&self, now: Micros) -> bool {
        let mut slots = self.slots.borrow_mut();
        let candidates = slots
            .values()
            .filter_map(|slot| Some((slot.eviction_rank(now)?, slot.since(), slot.id())));
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
            .filter(|slot| slot.is_idle() && now >= slot.since() + idle_for)
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
