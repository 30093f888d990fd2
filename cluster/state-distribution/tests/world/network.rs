//! Connections: in order, with delay; what a subscriber does not take waits in its observer's
//! carrier.

use std::collections::VecDeque;

use violetgate_raft::NodeId;
use violetgate_state_distribution::*;

use super::trace::Record;
use super::{Event, World, MS, SECOND};

/// How often a connection that is cut, or whose end stands still, is looked at again.
const AGAIN: u64 = 20 * MS;

pub struct Connection {
    pub subscriber: usize,
    pub observer: NodeId,
    attempt: u64,
    to_observer: VecDeque<(u64, SubscriberMessage)>,
    /// In the carrier's memory, and on the way.
    waiting: VecDeque<(usize, ObserverMessage)>,
    pub waiting_bytes: usize,
    flying: VecDeque<(u64, usize, ObserverMessage)>,
    flying_bytes: usize,
    /// The observer has ended it: the subscriber is told once all has arrived.
    closed: Option<Option<Rejection>>,
}

fn size(message: &ObserverMessage) -> usize {
    match message {
        ObserverMessage::Changes(ChangeBatch { changes, .. }) => changes
            .iter()
            .map(|c| c.key.len() + c.value.as_ref().map_or(0, Vec::len) + 8)
            .sum(),
        ObserverMessage::SnapshotChunk(SnapshotChunk { entries, .. }) => entries
            .iter()
            .map(|entry| entry.key.len() + entry.value.len() + 8)
            .sum(),
        _ => 8,
    }
}

impl World {
    fn draw_delay(&mut self) -> u64 {
        let most = self.delay;
        1 + self.random(most)
    }

    fn is_cut(&self, n: usize, id: NodeId) -> bool {
        self.cut.contains(&(n, id))
    }

    pub(super) fn begin_connect(&mut self, n: usize, id: NodeId, hello: SubscriberHello) {
        self.attempts += 1;
        let attempt = self.attempts;
        self.subscribers[n].links.insert(id, (attempt, None));
        let at = self.now + self.draw_delay();
        self.plan(at, Event::Connect(n, id, attempt, hello));
    }

    pub(super) fn connect(&mut self, n: usize, id: NodeId, attempt: u64, hello: SubscriberHello) {
        let current = self.subscribers[n].links.get(&id) == Some(&(attempt, None));
        if !current || self.is_cut(n, id) {
            return;
        }
        let at = self.now + self.draw_delay();
        let process = self.observers.get_mut(&id).unwrap();
        if process.paused_until > self.now {
            let until = process.paused_until;
            return self.plan(until, Event::Connect(n, id, attempt, hello));
        }
        let Some(core) = &mut process.core else {
            return self.plan(at, Event::SubscriberLost(n, id, attempt, None));
        };
        let welcome = core.accept(self.now, attempt, &hello, &process.store);
        self.trace(id, Record::Welcome(attempt, &welcome));
        if let Some(rejection) = &welcome.rejected {
            *self.seen.rejections.entry(rejection.code()).or_default() += 1;
            self.plan(
                at,
                Event::SubscriberLost(n, id, attempt, welcome.rejected.clone()),
            );
            return self.after_observer(id);
        }
        let connection = Connection {
            subscriber: n,
            observer: id,
            attempt,
            to_observer: VecDeque::new(),
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            flying: VecDeque::new(),
            flying_bytes: 0,
            closed: None,
        };
        self.connections.insert(attempt, connection);
        self.seen.connections += 1;
        // The answer to the greeting is taken as having arrived with it.
        self.subscribers[n]
            .links
            .insert(id, (attempt, Some(attempt)));
        self.subscribers[n].core.connected(self.now, id, &welcome);
        self.after_subscriber(n);
        self.after_observer(id);
    }

    pub(super) fn send_to_observer(&mut self, n: usize, id: NodeId, message: SubscriberMessage) {
        let Some((_, Some(link))) = self.subscribers[n].links.get(&id).copied() else {
            return;
        };
        let at = self.now + self.draw_delay();
        if let Some(connection) = self.connections.get_mut(&link) {
            let at = connection
                .to_observer
                .back()
                .map_or(at, |(before, _)| at.max(*before));
            connection.to_observer.push_back((at, message));
            self.plan(at, Event::ToObserver(link));
        }
    }

    pub(super) fn deliver_to_observer(&mut self, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        let (n, id) = (connection.subscriber, connection.observer);
        if connection
            .to_observer
            .front()
            .is_none_or(|(at, _)| *at > self.now)
        {
            return;
        }
        let paused = self.observers[&id].paused_until > self.now;
        if paused || self.cut.contains(&(n, id)) {
            return self.plan(self.now + AGAIN, Event::ToObserver(link));
        }
        let Some((_, message)) = self
            .connections
            .get_mut(&link)
            .unwrap()
            .to_observer
            .pop_front()
        else {
            return;
        };
        self.seen.polls += u64::from(matches!(message, SubscriberMessage::Poll { .. }));
        let process = self.observers.get_mut(&id).unwrap();
        if let Some(core) = &mut process.core {
            core.receive(self.now, link, message, &process.store);
            self.after_observer(id);
        }
    }

    pub(super) fn send_to_subscriber(&mut self, link: ConnectionId, message: ObserverMessage) {
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        let bytes = size(&message);
        connection.waiting.push_back((bytes, message));
        connection.waiting_bytes += bytes;
        self.seen.most_waiting = self.seen.most_waiting.max(connection.waiting_bytes);
        self.take_off(link);
    }

    /// Puts what waits on its way, as far as the window allows, and tells the observer what still
    /// waits.
    fn take_off(&mut self, link: ConnectionId) {
        let mut moved = false;
        while let Some(connection) = self.connections.get(&link) {
            if connection.waiting.is_empty() || connection.flying_bytes >= self.window {
                break;
            }
            let rate = self.subscribers[connection.subscriber].rate;
            let delay = self.draw_delay();
            let connection = self.connections.get_mut(&link).unwrap();
            let Some((bytes, message)) = connection.waiting.pop_front() else {
                break;
            };
            let before = connection.flying.back().map_or(self.now, |(at, ..)| *at);
            let transfer = (bytes as u64).saturating_mul(SECOND) / rate;
            let at = before.max(self.now + delay).saturating_add(transfer);
            connection.waiting_bytes -= bytes;
            connection.flying_bytes += bytes;
            connection.flying.push_back((at, bytes, message));
            self.plan(at, Event::ToSubscriber(link));
            moved = true;
        }
        let Some(connection) = self.connections.get(&link).filter(|_| moved) else {
            return;
        };
        let (id, bytes) = (connection.observer, connection.waiting_bytes);
        let process = self.observers.get_mut(&id).unwrap();
        if let Some(core) = &mut process.core {
            core.bytes_queued(link, bytes, &process.store);
        }
    }

    pub(super) fn deliver_to_subscriber(&mut self, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        let (n, id, attempt) = (
            connection.subscriber,
            connection.observer,
            connection.attempt,
        );
        if connection
            .flying
            .front()
            .is_some_and(|(at, ..)| *at > self.now)
        {
            return;
        }
        let paused = self.subscribers[n].paused_until > self.now;
        if paused || self.is_cut(n, id) {
            return self.plan(self.now + AGAIN, Event::ToSubscriber(link));
        }
        let connection = self.connections.get_mut(&link).unwrap();
        if let Some((_, bytes, message)) = connection.flying.pop_front() {
            connection.flying_bytes -= bytes;
            self.seen.count(&message);
            self.subscribers[n].core.receive(self.now, id, message);
            self.after_subscriber(n);
        }
        self.take_off(link);
        self.after_observer(id);
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        if connection.flying.is_empty() && connection.waiting.is_empty() {
            if let Some(rejection) = connection.closed.take() {
                self.connections.remove(&link);
                self.subscriber_lost(n, id, attempt, rejection);
            }
        }
    }

    /// The observer's end of a connection closes; what was sent before still arrives.
    pub(super) fn end_by_observer(&mut self, link: ConnectionId, rejection: Option<Rejection>) {
        let at = self.now + self.draw_delay();
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        if let Some(rejection) = &rejection {
            *self.seen.rejections.entry(rejection.code()).or_default() += 1;
        } else {
            // A process that dies takes along what it had not written.
            connection.waiting.clear();
            connection.waiting_bytes = 0;
        }
        connection.to_observer.clear();
        connection.closed = Some(rejection);
        let at = connection
            .flying
            .back()
            .map_or(at, |(last, ..)| at.max(*last));
        self.plan(at, Event::ToSubscriber(link));
    }

    pub(super) fn disconnect_by_subscriber(&mut self, n: usize, id: NodeId) {
        if let Some((_, Some(link))) = self.subscribers[n].links.remove(&id) {
            self.end_by_subscriber(link);
        }
    }

    /// The subscriber's end of a connection closes.
    pub(super) fn end_by_subscriber(&mut self, link: ConnectionId) {
        if let Some(connection) = self.connections.remove(&link) {
            let at = self.now + self.draw_delay();
            self.plan(at, Event::ObserverLost(connection.observer, link));
        }
    }

    /// A connection breaks, and both ends learn of it.
    pub fn break_connection(&mut self, link: ConnectionId) {
        if let Some(connection) = self.connections.get(&link) {
            let (n, id, attempt) = (
                connection.subscriber,
                connection.observer,
                connection.attempt,
            );
            self.end_by_subscriber(link);
            self.plan(self.now + MS, Event::SubscriberLost(n, id, attempt, None));
        }
    }

    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    pub(super) fn subscriber_lost(
        &mut self,
        n: usize,
        id: NodeId,
        attempt: u64,
        rejection: Option<Rejection>,
    ) {
        let process = &mut self.subscribers[n];
        if process
            .links
            .get(&id)
            .is_none_or(|(known, _)| *known != attempt)
        {
            return;
        }
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.plan(at, Event::SubscriberLost(n, id, attempt, rejection));
        }
        process.links.remove(&id);
        process.core.disconnected(self.now, id, rejection.as_ref());
        self.after_subscriber(n);
    }

    pub(super) fn observer_lost(&mut self, id: NodeId, link: ConnectionId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.plan(at, Event::ObserverLost(id, link));
        }
        if let Some(core) = &mut process.core {
            core.disconnected(self.now, link);
            self.after_observer(id);
        }
    }
}
