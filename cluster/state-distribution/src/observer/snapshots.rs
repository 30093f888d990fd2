//! Which snapshots are under way, and which requests wait for their turn.

use std::collections::BTreeMap;

use violetgate_replicated_state::Micros;

use super::ConnectionId;

/// A snapshot of which no piece was asked for during this time gives its slot to the next one.
const IDLE_FOR: Micros = 5_000_000;

/// A request that waits, with the place that was sent last.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    connection: ConnectionId,
    place_sent: u32,
}

/// The slots for snapshots, and the queue before them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SnapshotSlots {
    most: usize,
    /// Connections whose snapshots are under way, and when each last asked for a piece.
    under_way: BTreeMap<ConnectionId, Micros>,
    /// Requests that wait, in the order of their arrival.
    queue: BTreeMap<u64, Waiting>,
    tickets: BTreeMap<ConnectionId, u64>,
    last_ticket: u64,
}

impl SnapshotSlots {
    pub fn new(most: usize) -> Self {
        SnapshotSlots {
            most: most.max(1),
            under_way: BTreeMap::new(),
            queue: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Whether a connection holds a slot, or takes a free one now.
    pub fn take(&mut self, now: Micros, connection: ConnectionId) -> bool {
        let free = self.under_way.len() < self.most && self.queue.is_empty();
        let holds = free || self.under_way.contains_key(&connection);
        if holds {
            self.under_way.insert(connection, now);
        }
        holds
    }

    /// Puts a connection at the end of the queue; its place, or `None` where it waits already.
    pub fn enqueue(&mut self, connection: ConnectionId) -> Option<u32> {
        if self.tickets.contains_key(&connection) {
            return None;
        }
        let place = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.last_ticket += 1;
        self.queue.insert(
            self.last_ticket,
            Waiting {
                connection,
                place_sent: place,
            },
        );
        self.tickets.insert(connection, self.last_ticket);
        Some(place)
    }

    /// A connection wants no (more) pieces.
    pub fn release(&mut self, connection: ConnectionId) {
        self.under_way.remove(&connection);
        if let Some(ticket) = self.tickets.remove(&connection) {
            self.queue.remove(&ticket);
        }
    }

    /// The next connection in the queue takes a slot, if one is free.
    pub fn admit(&mut self, now: Micros) -> Option<ConnectionId> {
        if self.under_way.len() >= self.most {
            return None;
        }
        let (_, next) = self.queue.pop_first()?;
        self.tickets.remove(&next.connection);
        self.under_way.insert(next.connection, now);
        Some(next.connection)
    }

    /// Takes the slots away from snapshots that nobody goes on with.
    pub fn release_idle(&mut self, now: Micros) {
        self.under_way
            .retain(|_, active| now.saturating_sub(*active) < IDLE_FOR);
    }

    /// Those whose place in the queue is half of what was sent, or less.
    pub fn places_to_send(&mut self) -> Vec<(ConnectionId, u32)> {
        let mut moved = Vec::new();
        for (place, waiting) in (0_u32..).zip(self.queue.values_mut()) {
            if place <= waiting.place_sent / 2 && place < waiting.place_sent {
                waiting.place_sent = place;
                moved.push((waiting.connection, place));
            }
        }
        moved
    }

    /// Snapshots under way, and requests that wait.
    pub fn sizes(&self) -> (usize, usize) {
        (self.under_way.len(), self.queue.len())
    }
}
