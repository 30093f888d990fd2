//! The room for client connections: how many there may be, and which gives way when there are more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use linnetreach::interface::Micros;

/// A connection that has said nothing whole for this long is taken as mute: one that has just come up is
/// about to speak, and must not give way to the next.
const MUTE: Micros = 250_000;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It owes its start-up packet, or the rest of a message.
    Mute,
    /// It may ask, and does not.
    Idle,
    /// It has a request open.
    Busy,
}

/// One connection, as the room knows it.
pub struct Guest {
    id: u64,
    at: Cell<(Stage, Micros)>,
    leaves: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Guest {
    /// Notes what it is at from now on.
    pub fn is(&self, stage: Stage, now: Micros) {
        if self.at.get().0 != stage {
            self.at.set((stage, now));
        }
    }

    /// Waits until it has to give way to another.
    pub async fn gives_way(&self) {
        poll_fn(|cx| {
            if self.leaves.get() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// All connections that count.
pub struct Room {
    most: usize,
    next: Cell<u64>,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
}

impl Room {
    /// Creates room for `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Room { most, next: Cell::new(0), guests: RefCell::default() }
    }

    /// Lets a connection in. In a full room another gives way: a mute one first, then the one idle longest,
    /// never one with a request open. `None`: all have one.
    ///
    /// Guards against clients that connect and say nothing, or ask once and stay for good: left in the
    /// machine's queue instead, the usual clients' requests would count as taken and never be read.
    pub fn enter(&self, now: Micros) -> Option<Rc<Guest>> {
        let mut guests = self.guests.borrow_mut();
        if guests.len() >= self.most {
            let rank = |g: &Guest| match g.at.get() {
                (Stage::Mute, since) if now >= since + MUTE => Some((0, since)),
                (Stage::Idle, since) => Some((1, since)),
                (Stage::Mute, since) => Some((2, since)),
                (Stage::Busy, _) => None,
            };
            let first = guests.values().filter_map(|g| Some((rank(g)?, g.id))).min()?;
            if let Some(guest) = guests.remove(&first.1) {
                // What it has sent by then is still read and answered.
                guest.leaves.set(true);
                guest.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
            }
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let at = Cell::new((Stage::Mute, now));
        let guest = Rc::new(Guest { id, at, leaves: Cell::new(false), waker: RefCell::default() });
        guests.insert(id, Rc::clone(&guest));
        Some(guest)
    }

    /// Frees the place of a connection that has ended.
    pub fn leave(&self, guest: &Guest) {
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
        let room = Room::new(4);
        let stages = [Stage::Idle, Stage::Busy, Stage::Mute, Stage::Idle];
        let guests: Vec<_> = (0..).zip(stages).map(|(at, s)| (room.enter(at).unwrap(), s, at)).collect();
        guests.iter().for_each(|(g, s, at)| g.is(*s, 10 - at));
        let gone = || guests.iter().map(|(g, ..)| g.leaves.get()).collect::<Vec<_>>();
        let young = room.enter(2 + MUTE).unwrap();
        assert_eq!(gone(), [false, false, true, false]);
        room.enter(2 + MUTE).unwrap().is(Stage::Busy, 0);
        assert_eq!(gone(), [false, false, true, true]);
        room.enter(2 + MUTE).unwrap().is(Stage::Busy, 0);
        assert_eq!(gone(), [true, false, true, true]);
        assert!(!young.leaves.get());
        room.enter(2 + MUTE).unwrap().is(Stage::Busy, 0);
        assert!(young.leaves.get());
        assert!(room.enter(2 + MUTE).is_none(), "all that are left are busy");
        room.leave(&guests[1].0);
        assert!(room.enter(2 + MUTE).is_some());
    }
}
