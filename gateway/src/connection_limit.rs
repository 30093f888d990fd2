//! The room for connections that come in: how many there may be, and which gives way when there are more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use violetgate_policy::interface::Micros;

/// A connection that has said nothing whole for this long is taken as mute: one that has just come up is
/// about to speak, and must not give way to the next.
const MUTE: Micros = 250_000;
/// A connection that became idle less long ago is left alone when idle ones are dismissed: a new connection's first
/// request may be on its way.
pub const RECENTLY_IDLE: Micros = 50_000;
/// One connection in so many may be just being closed beside those that count.
const CLOSING: usize = 8;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It owes its start-up packet, or the rest of a message.
    AwaitingMessage,
    /// It may ask, and does not.
    Idle,
    /// It has a request open.
    Busy,
}

/// One connection, as the room knows it.
pub struct ConnectionSlot {
    id: u64,
    at: Cell<(ConnectionState, Micros)>,
    /// Until when its client may need this very process.
    owes: Cell<Micros>,
    leaves: Cell<Option<&'static str>>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionSlot {
    /// Notes what it is at from now on.
    pub fn is(&self, stage: ConnectionState, now: Micros) {
        if self.at.get().0 != stage {
            self.at.set((stage, now));
        }
    }

    /// Its client may need this very process until then: it is not sent home before.
    pub fn owes(&self, until: Micros) {
        self.owes.set(until);
    }

    /// Until when its client may need this very process.
    pub fn owed(&self) -> Micros {
        self.owes.get()
    }

    /// It may ask, and does not.
    pub fn is_idle(&self) -> bool {
        self.at.get().0 == ConnectionState::Idle
    }

    /// Waits until it has to give way; the reason why.
    pub async fn gives_way(&self) -> &'static str {
        poll_fn(|cx| {
            if let Some(reason) = self.leaves.get() {
                return Poll::Ready(reason);
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Tells it to give way. What it has sent by then is still read and answered.
    fn leave(&self, reason: &'static str) {
        self.leaves.set(Some(reason));
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }
}

/// All connections that count.
pub struct ConnectionLimiter {
    most: Cell<usize>,
    next: Cell<u64>,
    guests: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    closing: Rc<Cell<usize>>,
}

/// The place of a connection that counts no more and is just being closed; it ends with this.
pub struct Closing(Rc<Cell<usize>>);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionLimiter {
    /// Creates room for `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        ConnectionLimiter {
            most: Cell::new(most),
            next: Cell::new(0),
            guests: RefCell::default(),
            closing: Rc::default(),
        }
    }

    /// A place for one that is just being closed, and holds its descriptor a little longer. `None`: so many are that
    /// it has to be closed at once, or the process would run out of descriptors.
    pub fn closing(&self) -> Option<Closing> {
        let (now, most) = (self.closing.get(), self.most.get() / CLOSING + 1);
        (now < most).then(|| {
            self.closing.set(now + 1);
            Closing(Rc::clone(&self.closing))
        })
    }

    /// How many are just being closed.
    pub fn being_closed(&self) -> usize {
        self.closing.get()
    }

    /// The first to give way goes, though there is room: the machine has none.
    pub fn give_way(&self, now: Micros) {
        self.evict(now);
    }

    /// Lets a connection in. In a full room another gives way: a mute one first, then the one idle longest,
    /// never one with a request open. `None`: all have one.
    ///
    /// Guards against clients that connect and say nothing, or ask once and stay for good: left in the
    /// machine's queue instead, the usual clients' requests would count as taken and never be read.
    pub fn enter(&self, now: Micros) -> Option<Rc<ConnectionSlot>> {
        if self.len() >= self.most.get() && !self.evict(now) {
            return None;
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let at = Cell::new((ConnectionState::AwaitingMessage, now));
        let (owes, leaves) = (Cell::new(0), Cell::new(None));
        let guest = Rc::new(ConnectionSlot {
            id,
            at,
            owes,
            leaves,
            waker: RefCell::default(),
        });
        self.guests.borrow_mut().insert(id, Rc::clone(&guest));
        Some(guest)
    }

    /// Lets the first to give way go. False: all are busy.
    fn evict(&self, now: Micros) -> bool {
        let mut guests = self.guests.borrow_mut();
        let rank = |g: &ConnectionSlot| match g.at.get() {
            (ConnectionState::AwaitingMessage, since) if now >= since + MUTE => Some((0, since)),
            (ConnectionState::Idle, since) => Some((1, since)),
            (ConnectionState::AwaitingMessage, since) => Some((2, since)),
            (ConnectionState::Busy, _) => None,
        };
        let first = guests.values().filter_map(|g| Some((rank(g)?, g.id))).min();
        let first = first.and_then(|(_, id)| guests.remove(&id));
        first.inspect(|g| g.leave("evicted")).is_some()
    }

    /// Lets all go that have been idle for so long.
    pub fn dismiss_idle(&self, now: Micros, fresh: Micros, reason: &'static str) {
        let idle = |g: &&Rc<ConnectionSlot>| {
            matches!(g.at.get(), (ConnectionState::Idle, since) if now >= since + fresh)
                && g.owed() <= now
        };
        self.guests
            .borrow()
            .values()
            .filter(idle)
            .for_each(|g| g.leave(reason));
    }

    /// Changes how many there may be. Where there are more, those that can give way do so at once.
    pub fn resize(&self, most: usize, now: Micros) {
        self.most.set(most);
        while self.len() > most && self.evict(now) {}
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.guests.borrow().len()
    }

    /// How many there are whose clients may need this very process.
    pub fn owing(&self, now: Micros) -> usize {
        self.guests
            .borrow()
            .values()
            .filter(|g| g.owed() > now)
            .count()
    }

    /// Frees the place of a connection that has ended.
    pub fn leave(&self, guest: &ConnectionSlot) {
        self.guests.borrow_mut().remove(&guest.id);
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests {
    use super::*;

    /// Who gives way in a full room: the mute before the idle, the longest idle first, the busy never, and
    /// one that has just come up only when nobody else is left.
    #[test]
    fn mute_and_idle_connections_give_way() {
        let room = ConnectionLimiter::new(4);
        let stages = [
            ConnectionState::Idle,
            ConnectionState::Busy,
            ConnectionState::AwaitingMessage,
            ConnectionState::Idle,
        ];
        let guests: Vec<_> = (0..)
            .zip(stages)
            .map(|(at, s)| (room.enter(at).unwrap(), s, at))
            .collect();
        guests.iter().for_each(|(g, s, at)| g.is(*s, 10 - at));
        let gone = || {
            guests
                .iter()
                .map(|(g, ..)| g.leaves.get().is_some())
                .collect::<Vec<_>>()
        };
        let young = room.enter(2 + MUTE).unwrap();
        assert_eq!(gone(), [false, false, true, false]);
        room.enter(2 + MUTE).unwrap().is(ConnectionState::Busy, 0);
        assert_eq!(gone(), [false, false, true, true]);
        room.enter(2 + MUTE).unwrap().is(ConnectionState::Busy, 0);
        assert_eq!(gone(), [true, false, true, true]);
        assert!(young.leaves.get().is_none());
        room.enter(2 + MUTE).unwrap().is(ConnectionState::Busy, 0);
        assert!(young.leaves.get().is_some());
        assert!(room.enter(2 + MUTE).is_none(), "all that are left are busy");
        room.leave(&guests[1].0);
        assert!(room.enter(2 + MUTE).is_some());
    }
}
