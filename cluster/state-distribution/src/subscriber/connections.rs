//! A subscriber's connections to observers: one is watched, one is the standby, and sometimes a
//! third is connected on trial, to compare its load with that of the standby.
//!
//! The standby takes over at once when the watched observer's connection ends. To balance the load,
//! the subscriber rarely and at random takes one of two steps when the watched observer reports its
//! load: it moves to its standby if the standby has far less load, or it tries another observer,
//! which replaces the standby if it has far less load than the standby.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros};

use super::observer_connection::ObserverConnection;
use super::observer_directory::FULL_LOAD;
use super::random::{happens_one_in, random_up_to};
use super::{Subscriber, SubscriberAction};
use crate::message::{ObserverWelcome, SubscriberHello, PROTOCOL_MAGIC, PROTOCOL_VERSION};
use crate::rejection::Rejection;

/// The number of observers that a subscriber stays connected to: the watched one and the standby.
const HELD_OBSERVERS: usize = 2;
/// The timeout of a connection attempt, including the greeting.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// The average number of load reports per move to a standby that has far less load.
const REPORTS_PER_MOVE: u64 = 16;
/// The average number of load reports per trial of an observer that is not connected.
const REPORTS_PER_TRIAL: u64 = 32;
/// One load is far more than another if it exceeds 1.5 times the other plus this margin.
const LOAD_MARGIN: u64 = FULL_LOAD / 20;

impl Subscriber {
    /// Handles an observer's answer to the greeting.
    pub fn connected(&mut self, now: Micros, observer: NodeId, welcome: &ObserverWelcome) {
        self.now = now;
        if !self.connections.contains_key(&observer) {
            return;
        }
        self.directory
            .record_load(now, observer, welcome.subscribers, welcome.capacity);
        if let Some(rejection) = &welcome.rejected {
            return self.on_connection_closed(observer, Some(rejection));
        }
        self.directory.record_acceptance(observer);
        if let Some(connection) = self.connections.get_mut(&observer) {
            connection.opened(now);
        }
        if self.watched.is_none() {
            self.watch(observer);
        } else if self.standby.is_none() {
            self.hold_as_standby(observer);
        } else {
            self.compare_with_standby(observer);
        }
    }

    /// Handles a failed connection attempt or the end of a connection. `rejection` is the
    /// observer's rejection, if it sent one.
    pub fn disconnected(&mut self, now: Micros, observer: NodeId, rejection: Option<&Rejection>) {
        self.now = now;
        self.on_connection_closed(observer, rejection);
    }

    /// Closes a connection that has failed or was rejected.
    pub(super) fn close_connection(&mut self, observer: NodeId, rejection: Option<&Rejection>) {
        self.actions.push(SubscriberAction::Disconnect(observer));
        self.on_connection_closed(observer, rejection);
    }

    /// Handles the end of a connection: the standby takes over at once if the connection was
    /// watched, and another connection is attempted after a delay.
    fn on_connection_closed(&mut self, observer: NodeId, rejection: Option<&Rejection>) {
        let Some(connection) = self.connections.remove(&observer) else {
            return;
        };
        self.directory
            .record_failure(self.now, observer, rejection, &mut self.rng);
        if matches!(rejection, Some(Rejection::FutureRevision { .. })) {
            self.download = None;
        }
        self.schedule_attempt(connection.is_open);
        if self.standby == Some(observer) {
            self.standby = None;
        }
        if self.watched == Some(observer) {
            self.watched = None;
            if let Some(next) = self.next_to_watch() {
                self.watch(next);
            }
        }
    }

    /// Returns the standby, or another observer whose connection is open.
    fn next_to_watch(&self) -> Option<NodeId> {
        let mut connections = self.connections.iter();
        let open = connections.find(|(_, connection)| connection.is_open);
        self.standby.or(open.map(|(id, _)| *id))
    }

    /// Draws the delay before the next attempt. A subscriber that still has an open connection
    /// waits longer, so that the subscribers of a failed observer do not all connect to the
    /// remaining observers at once.
    fn schedule_attempt(&mut self, was_open: bool) {
        let backoff = self.config.backoff;
        if !was_open {
            self.attempt_backoff = backoff.next_bound(self.attempt_backoff);
        }
        let has_another = self.connections.values().any(|other| other.is_open);
        let bound = if was_open && has_another {
            backoff.max
        } else {
            self.attempt_backoff
        };
        self.next_attempt_at = self.now.saturating_add(random_up_to(&mut self.rng, bound));
    }

    /// Makes an observer the standby, and polls it to check that it can take over.
    fn hold_as_standby(&mut self, observer: NodeId) {
        self.standby = Some(observer);
        self.poll_standby(observer);
    }

    /// Replaces the standby with the observer under trial if that has far less load. Otherwise
    /// closes the connection under trial.
    fn compare_with_standby(&mut self, tried: NodeId) {
        match self.standby {
            Some(standby) if self.has_far_more_load(standby, tried) => {
                self.drop_connection(standby);
                self.hold_as_standby(tried);
            }
            _ => self.drop_connection(tried),
        }
    }

    /// Closes a connection that has not failed.
    fn drop_connection(&mut self, observer: NodeId) {
        self.connections.remove(&observer);
        self.actions.push(SubscriberAction::Disconnect(observer));
    }

    fn has_far_more_load(&self, observer: NodeId, other: NodeId) -> bool {
        let load = self.directory.load(self.now, observer);
        let other = self.directory.load(self.now, other);
        match (load, other) {
            (Some(load), Some(other)) => load > other + other / 2 + LOAD_MARGIN,
            _ => false,
        }
    }

    /// Moves to the standby or tries another observer, after the watched observer has reported its
    /// load. Moves and trials are rare and random, so that not all subscribers move at once.
    pub(super) fn rebalance(&mut self) {
        let (Some(watched), Some(standby)) = (self.watched, self.standby) else {
            return;
        };
        if self.has_far_more_load(watched, standby)
            && happens_one_in(&mut self.rng, REPORTS_PER_MOVE)
        {
            return self.watch(standby);
        }
        let tries_another = happens_one_in(&mut self.rng, REPORTS_PER_TRIAL);
        if tries_another && self.connections.len() == HELD_OBSERVERS {
            self.attempt_connection();
        }
    }

    /// Performs the work that is due at `now`: timeouts, polls and connection attempts.
    pub fn tick(&mut self, now: Micros) {
        let was_suspended = now.saturating_sub(self.now) >= self.config.drain_limit;
        self.now = now;
        if was_suspended {
            let connections = self.connections.values_mut();
            connections.for_each(|connection| connection.restart_timeouts(now));
        }
        self.close_slow_attempts();
        self.check_answers();
        self.send_due_polls();
        while self.lacks_connections() && now >= self.next_attempt_at {
            if !self.attempt_connection() {
                break;
            }
        }
    }

    fn lacks_connections(&self) -> bool {
        self.connections.len() < HELD_OBSERVERS.min(self.directory.len())
    }

    fn close_slow_attempts(&mut self) {
        let is_slow = |connection: &ObserverConnection| {
            let age = self.now.saturating_sub(connection.state_since);
            !connection.is_open && age >= CONNECT_TIMEOUT_US
        };
        let slow: Vec<NodeId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_slow(connection))
            .map(|(id, _)| *id)
            .collect();
        for observer in slow {
            self.close_connection(observer, None);
        }
    }

    /// Attempts a connection to one more observer. Returns whether there was an observer to try.
    fn attempt_connection(&mut self) -> bool {
        let connections = &self.connections;
        let is_connected = |id| connections.contains_key(&id);
        let chosen = self.directory.choose(self.now, is_connected, &mut self.rng);
        let Some(observer) = chosen else {
            let ready_at = self.directory.ready_at(is_connected);
            self.next_attempt_at = self.next_attempt_at.max(ready_at);
            return false;
        };
        let attempt = ObserverConnection::new(self.now);
        self.connections.insert(observer, attempt);
        let hello = self.hello(observer);
        self.actions
            .push(SubscriberAction::Connect { observer, hello });
        true
    }

    fn hello(&self, observer: NodeId) -> SubscriberHello {
        SubscriberHello {
            magic: PROTOCOL_MAGIC,
            version: PROTOCOL_VERSION,
            cluster: self.config.cluster.clone(),
            observer,
            name: self.config.name.clone(),
            revision: self.replica.revision(),
        }
    }

    /// Returns when [`Subscriber::tick`] has to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        let mut next = self.next_poll_tick();
        if self.lacks_connections() {
            next = next.min(self.next_attempt_at);
        }
        let attempts = self.connections.values().filter(|it| !it.is_open);
        for attempt in attempts {
            next = next.min(attempt.state_since.saturating_add(CONNECT_TIMEOUT_US));
        }
        next
    }
}
