//! The pool of engine connections, by engine id: an address may pass from an engine to its
//! successor, so a connection never does.

mod driver;
mod placement;
mod requests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_policy::interface::{EngineId, Micros, Outcome, QueryId};

use super::close_reason::CloseReason;
use super::connection::Connection;
use crate::clock::{micros, Clock};
use crate::config::UpstreamLimits;
use crate::exchange::{AttemptEnd, AttemptEvents, AttemptProgress, ListedEngine};
use crate::fence::Fence;
use crate::log;
use crate::stats::Stats;

/// How often idle connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// So many connections may break under an attempt before any of it is written; then its engine
/// counts as unreachable.
const MAX_BROKEN_CONNECTIONS: u32 = 3;

/// The connections to all engines, and the engines that they may lead to.
pub struct Pool {
    this: Weak<Pool>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    limits: UpstreamLimits,
    stats: Rc<Stats>,
    /// Whether anything may be sent, where that is not always so.
    fence: Option<Rc<dyn Fence>>,
    max_connections: Cell<usize>,
    events: RefCell<Option<Weak<dyn AttemptEvents>>>,
    listed: RefCell<BTreeMap<EngineId, ListedEngine>>,
    /// Engines that get nothing, whatever the list says.
    cordoned: RefCell<BTreeSet<EngineId>>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// The connection on which the attempt of a query is out.
    by_query: RefCell<HashMap<QueryId, Rc<Connection>>>,
    next_id: Cell<u64>,
}

impl Pool {
    /// Creates a pool that knows no engines yet, for `max_connections` connections.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        limits: UpstreamLimits,
        stats: Rc<Stats>,
        fence: Option<Rc<dyn Fence>>,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Pool {
            this: this.clone(),
            executor,
            clock,
            limits,
            stats,
            fence,
            max_connections: Cell::new(max_connections),
            events: RefCell::default(),
            listed: RefCell::default(),
            cordoned: RefCell::default(),
            connections: RefCell::default(),
            by_query: RefCell::default(),
            next_id: Cell::new(0),
        })
    }

    /// Sets where events of attempts are reported.
    pub fn report_to(&self, events: Weak<dyn AttemptEvents>) {
        *self.events.borrow_mut() = Some(events);
    }

    /// Changes how many connections there may be. Idle ones over it are closed, longest idle first.
    pub fn resize(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        let mut idle = self.select(|connection| connection.load() == 0);
        idle.sort_by_key(|connection| connection.idle_since.get());
        let excess = self.connections.borrow().len();
        let excess = excess.saturating_sub(max_connections);
        for connection in idle.iter().take(excess) {
            self.close(connection, CloseReason::Evicted);
        }
    }

    /// Closes, for ever, connections that an engine would soon close for being idle, so that no
    /// request crosses its close, and retired ones that carry nothing any more.
    pub async fn sweep(&self) {
        // The rest of an engine's idle time is a margin for requests on their way.
        let max_idle = micros(self.limits.idle_close) / 4 * 3;
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            for connection in self.select(|c| c.load() == 0 && c.is_connected()) {
                if connection.is_retired.get() {
                    self.close(&connection, CloseReason::Retired);
                } else if now >= connection.idle_since.get() + max_idle {
                    self.close(&connection, CloseReason::Idle);
                }
            }
        }
    }

    /// Connections of a kind, oldest first.
    fn select(&self, is_of_kind: impl Fn(&Connection) -> bool) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|connection| is_of_kind(connection))
            .cloned()
            .collect()
    }

    fn event_sink(&self) -> Option<Rc<dyn AttemptEvents>> {
        self.events.borrow().as_ref().and_then(Weak::upgrade)
    }

    fn report_ends(&self, ends: Vec<AttemptEnd>) {
        let events = self.event_sink();
        for mut end in ends {
            self.by_query.borrow_mut().remove(&end.query);
            end.cost = end.cost.filter(|_| self.limits.reports_cost);
            if let Some(events) = &events {
                events.attempt_ended(end);
            }
        }
    }

    fn report_progress(&self, progress: AttemptProgress) {
        if let Some(events) = self.event_sink() {
            events.attempt_progressed(progress);
        }
    }

    /// Closes a connection. What was written on it is interrupted; what was not takes another
    /// connection, unless too many have broken under it or its engine can't be reached.
    fn close(&self, connection: &Connection, reason: CloseReason) {
        // An engine that refuses a connection, or does not respond, is no better at the next one.
        let may_reconnect = connection.is_connected() || reason == CloseReason::ConnectError;
        let end = connection.end();
        if self
            .connections
            .borrow_mut()
            .remove(&connection.id)
            .is_some()
        {
            log::connection_ended("engine", connection.addr, reason, connection.requests.get());
        }
        let mut ends = end.interrupted;
        for unsent in end.unsent {
            if may_reconnect && unsent.broken_connections < MAX_BROKEN_CONNECTIONS {
                self.place(unsent.attempt, unsent.broken_connections);
            } else {
                let (query, number) = (unsent.attempt.exchange.id(), unsent.attempt.number);
                let outcome = Outcome::ConnectionRefused;
                ends.push(AttemptEnd::without_result(query, number, outcome));
            }
        }
        self.report_ends(ends);
    }

    fn may_send(&self) -> bool {
        self.fence.as_ref().is_none_or(|fence| fence.is_open())
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }
}

#[cfg(test)]
mod tests;
