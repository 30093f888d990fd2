//! The slots that limit concurrent snapshot transfers, and the queue of requests for them.
//!
//! A request takes a free slot unless other requests are queued. A slot is freed when its
//! subscriber needs no more chunks, or has requested none for [`IDLE_TIMEOUT_US`].

use std::collections::BTreeMap;

use violetgate_replicated_state::Micros;

use super::ConnectionId;

/// A transfer loses its slot if its subscriber requests no chunk for this time.
const IDLE_TIMEOUT_US: Micros = 5_000_000;

/// The place of a request in the queue. Tickets are issued in ascending order.
type Ticket = u64;

/// A queued request, with the last position that its subscriber was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct QueuedRequest {
    connection: ConnectionId,
    sent_position: u32,
}

/// A queue position that has to be sent to a subscriber.
pub(super) struct PositionUpdate {
    pub connection: ConnectionId,
    pub position: u32,
}

/// The number of transfers under way, and of requests queued.
pub(super) struct SnapshotLoad {
    pub active: usize,
    pub queued: usize,
}

/// The slots for snapshot transfers, and the queue for them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SnapshotSlots {
    max_active: usize,
    /// Connections whose transfers are under way, and when each last requested a chunk.
    active: BTreeMap<ConnectionId, Micros>,
    queue: BTreeMap<Ticket, QueuedRequest>,
    tickets: BTreeMap<ConnectionId, Ticket>,
    last_ticket: Ticket,
}

impl SnapshotSlots {
    pub fn new(max_active: usize) -> Self {
        SnapshotSlots {
            max_active: max_active.max(1),
            active: BTreeMap::new(),
            queue: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Takes a free slot for a connection if no request is queued. Returns whether the connection
    /// holds a slot.
    pub fn try_acquire(&mut self, now: Micros, connection: ConnectionId) -> bool {
        let is_free = self.active.len() < self.max_active && self.queue.is_empty();
        let acquired = is_free || self.active.contains_key(&connection);
        if acquired {
            self.active.insert(connection, now);
        }
        acquired
    }

    /// Puts a connection at the end of the queue. Returns its position, or `None` if it is already
    /// queued.
    pub fn enqueue(&mut self, connection: ConnectionId) -> Option<u32> {
        if self.tickets.contains_key(&connection) {
            return None;
        }
        let position = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.last_ticket += 1;
        let request = QueuedRequest {
            connection,
            sent_position: position,
        };
        self.queue.insert(self.last_ticket, request);
        self.tickets.insert(connection, self.last_ticket);
        Some(position)
    }

    /// Frees the slot of a connection that needs no more chunks, or removes it from the queue.
    pub fn release(&mut self, connection: ConnectionId) {
        self.active.remove(&connection);
        if let Some(ticket) = self.tickets.remove(&connection) {
            self.queue.remove(&ticket);
        }
    }

    /// Moves the first queued request to a slot, if one is free.
    pub fn admit_next(&mut self, now: Micros) -> Option<ConnectionId> {
        if self.active.len() >= self.max_active {
            return None;
        }
        let (_, next) = self.queue.pop_first()?;
        self.tickets.remove(&next.connection);
        self.active.insert(next.connection, now);
        Some(next.connection)
    }

    /// Frees the slots of idle transfers.
    pub fn release_idle(&mut self, now: Micros) {
        self.active
            .retain(|_, requested_at| now.saturating_sub(*requested_at) < IDLE_TIMEOUT_US);
    }

    /// Returns the positions to send. To limit the number of messages, a position is sent again
    /// only when it is at most half of the position sent before.
    pub fn position_updates(&mut self) -> Vec<PositionUpdate> {
        let mut updates = Vec::new();
        for (position, request) in (0_u32..).zip(self.queue.values_mut()) {
            let sent = request.sent_position;
            if position <= sent / 2 && position < sent {
                request.sent_position = position;
                updates.push(PositionUpdate {
                    connection: request.connection,
                    position,
                });
            }
        }
        updates
    }

    pub fn load(&self) -> SnapshotLoad {
        SnapshotLoad {
            active: self.active.len(),
            queued: self.queue.len(),
        }
    }
}
