//! Connections deliver messages in order and with delay. Messages that a subscriber does not read
//! wait in its observer's send queue.

use std::collections::VecDeque;

use violetgate_raft::NodeId;
use violetgate_state_distribution::*;

use super::trace::Record;
use super::{Event, World, MS, SECOND};

/// How often delivery is retried on a connection that is cut, or whose receiver is paused.
const RETRY_INTERVAL: u64 = 20 * MS;

pub struct Connection {
    pub subscriber: usize,
    pub observer: NodeId,
    attempt: u64,
    to_observer: VecDeque<(u64, SubscriberMessage)>,
    /// Messages in the observer's send queue, with their sizes.
    queued: VecDeque<(usize, ObserverMessage)>,
    pub queued_bytes: usize,
    /// Messages on the network, with their arrival times and sizes.
    in_flight: VecDeque<(u64, usize, ObserverMessage)>,
    in_flight_bytes: usize,
    /// Set when the observer has closed the connection, with its rejection if there is one. The
    /// subscriber learns of it after all messages have arrived.
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
        self.schedule(at, Event::Connect(n, id, attempt, hello));
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
            return self.schedule(until, Event::Connect(n, id, attempt, hello));
        }
        let Some(core) = &mut process.core else {
            return self.schedule(at, Event::SubscriberLost(n, id, attempt, None));
        };
        let welcome = core.accept(self.now, attempt, &hello, &process.store);
        self.trace(id, Record::Welcome(attempt, &welcome));
        if let Some(rejection) = &welcome.rejected {
            *self.seen.rejections.entry(rejection.code()).or_default() += 1;
            self.schedule(
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
            queued: VecDeque::new(),
            queued_bytes: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            closed: None,
        };
        self.connections.insert(attempt, connection);
        self.seen.connections += 1;
        // The answer to the greeting arrives without delay.
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
            self.schedule(at, Event::ToObserver(link));
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
            return self.schedule(self.now + RETRY_INTERVAL, Event::ToObserver(link));
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
        connection.queued.push_back((bytes, message));
        connection.queued_bytes += bytes;
        self.seen.most_waiting = self.seen.most_waiting.max(connection.queued_bytes);
        self.send_queued(link);
    }

    /// Moves messages from the send queue to the network, as far as the window allows, and reports
    /// the bytes that are still queued to the observer.
    fn send_queued(&mut self, link: ConnectionId) {
        let mut moved = false;
        while let Some(connection) = self.connections.get(&link) {
            if connection.queued.is_empty() || connection.in_flight_bytes >= self.window {
                break;
            }
            let rate = self.subscribers[connection.subscriber].rate;
            let delay = self.draw_delay();
            let connection = self.connections.get_mut(&link).unwrap();
            let Some((bytes, message)) = connection.queued.pop_front() else {
                break;
            };
            let before = connection.in_flight.back().map_or(self.now, |(at, ..)| *at);
            let transfer = (bytes as u64).saturating_mul(SECOND) / rate;
            let at = before.max(self.now + delay).saturating_add(transfer);
            connection.queued_bytes -= bytes;
            connection.in_flight_bytes += bytes;
            connection.in_flight.push_back((at, bytes, message));
            self.schedule(at, Event::ToSubscriber(link));
            moved = true;
        }
        let Some(connection) = self.connections.get(&link).filter(|_| moved) else {
            return;
        };
        let (id, bytes) = (connection.observer, connection.queued_bytes);
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
            .in_flight
            .front()
            .is_some_and(|(at, ..)| *at > self.now)
        {
            return;
        }
        let paused = self.subscribers[n].paused_until > self.now;
        if paused || self.is_cut(n, id) {
            return self.schedule(self.now + RETRY_INTERVAL, Event::ToSubscriber(link));
        }
        let connection = self.connections.get_mut(&link).unwrap();
        if let Some((_, bytes, message)) = connection.in_flight.pop_front() {
            connection.in_flight_bytes -= bytes;
            self.seen.count(&message);
            self.subscribers[n].core.receive(self.now, id, message);
            self.after_subscriber(n);
        }
        self.send_queued(link);
        self.after_observer(id);
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        if connection.in_flight.is_empty() && connection.queued.is_empty() {
            if let Some(rejection) = connection.closed.take() {
                self.connections.remove(&link);
                self.subscriber_lost(n, id, attempt, rejection);
            }
        }
    }

    /// Closes a connection at the observer's end. Messages that are on the network still arrive.
    pub(super) fn end_by_observer(&mut self, link: ConnectionId, rejection: Option<Rejection>) {
        let at = self.now + self.draw_delay();
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        if let Some(rejection) = &rejection {
            *self.seen.rejections.entry(rejection.code()).or_default() += 1;
        } else {
            // Messages that a dead process had not written yet are lost.
            connection.queued.clear();
            connection.queued_bytes = 0;
        }
        connection.to_observer.clear();
        connection.closed = Some(rejection);
        let at = connection
            .in_flight
            .back()
            .map_or(at, |(last, ..)| at.max(*last));
        self.schedule(at, Event::ToSubscriber(link));
    }

    pub(super) fn disconnect_by_subscriber(&mut self, n: usize, id: NodeId) {
        if let Some((_, Some(link))) = self.subscribers[n].links.remove(&id) {
            self.end_by_subscriber(link);
        }
    }

    /// Closes a connection at the subscriber's end.
    pub(super) fn end_by_subscriber(&mut self, link: ConnectionId) {
        if let Some(connection) = self.connections.remove(&link) {
            let at = self.now + self.draw_delay();
            self.schedule(at, Event::ObserverLost(connection.observer, link));
        }
    }

    /// Breaks a connection, and informs both ends.
    pub fn break_connection(&mut self, link: ConnectionId) {
        if let Some(connection) = self.connections.get(&link) {
            let (n, id, attempt) = (
                connection.subscriber,
                connection.observer,
                connection.attempt,
            );
            self.end_by_subscriber(link);
            self.schedule(self.now + MS, Event::SubscriberLost(n, id, attempt, None));
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
            return self.schedule(at, Event::SubscriberLost(n, id, attempt, rejection));
        }
        process.links.remove(&id);
        process.core.disconnected(self.now, id, rejection.as_ref());
        self.after_subscriber(n);
    }

    pub(super) fn observer_lost(&mut self, id: NodeId, link: ConnectionId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.schedule(at, Event::ObserverLost(id, link));
        }
        if let Some(core) = &mut process.core {
            core.disconnected(self.now, link);
            self.after_observer(id);
        }
    }
}
