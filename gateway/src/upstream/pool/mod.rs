//! The pool of connections to engines.
//!
//! Connections belong to an engine id, not to an address. Another engine may later get the address
//! of a removed one, and a connection to the old engine is never used for the new one.

mod answer_input;
mod driver;
mod placement;
mod requests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{EngineId, Micros, Outcome, QueryId};

use super::close_reason::CloseReason;
use super::connection::Connection;
use crate::clock::{micros, Clock};
use crate::config::UpstreamLimits;
use crate::exchange::{AttemptEnd, AttemptEvents, AttemptProgress, ListedEngine};
use crate::fence::Fence;
use crate::log;
use crate::stats::Stats;

/// The time between checks for idle connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// If this many connections break before any of an attempt is written, the attempt ends as
/// [`Outcome::ConnectionRefused`].
const MAX_BROKEN_CONNECTIONS: u32 = 3;

/// The connections to all engines, and the list of engines that they may be opened to.
pub struct Pool {
    this: Weak<Pool>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    limits: UpstreamLimits,
    stats: Rc<Stats>,
    memory: MemoryBudget,
    /// The fence, which is checked before anything is sent. `None`: sending is always allowed.
    fence: Option<Rc<dyn Fence>>,
    max_connections: Cell<usize>,
    events: RefCell<Option<Weak<dyn AttemptEvents>>>,
    listed: RefCell<BTreeMap<EngineId, ListedEngine>>,
    /// Engines that get no attempts, whatever their state in the list.
    cordoned: RefCell<BTreeSet<EngineId>>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// The connection that carries the attempt of each query.
    by_query: RefCell<HashMap<QueryId, Rc<Connection>>>,
    next_id: Cell<u64>,
}

impl Pool {
    /// Creates a pool with an empty engine list and at most `max_connections` connections, whose
    /// input is charged to `memory`. Without a `fence`, sending is always allowed.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        limits: UpstreamLimits,
        stats: Rc<Stats>,
        memory: MemoryBudget,
        fence: Option<Rc<dyn Fence>>,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Pool {
            this: this.clone(),
            executor,
            clock,
            limits,
            stats,
            memory,
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

    /// Sets the receiver of the reports on attempts.
    pub fn report_to(&self, events: Weak<dyn AttemptEvents>) {
        *self.events.borrow_mut() = Some(events);
    }

    /// Changes the maximum number of connections. If there are more, idle connections are closed,
    /// the longest idle first.
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

    /// Periodically closes idle connections that are retired or that their engine would soon close.
    /// Otherwise an attempt could be sent on a connection that the engine is closing. Never
    /// returns.
    pub async fn sweep(&self) {
        // A connection is closed after three quarters of the engine's idle timeout. The rest is a
        // margin for requests in transit.
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

    /// Returns the connections for which `is_selected` is true, oldest first.
    fn select(&self, is_selected: impl Fn(&Connection) -> bool) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|connection| is_selected(connection))
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

    /// Closes a connection. Attempts on it that have begun end as [`Outcome::ConnectionLost`]. The
    /// others are placed on another connection. If the engine can't be reached, or
    /// [`MAX_BROKEN_CONNECTIONS`] connections have broken before any of an attempt was written, the
    /// attempt ends as [`Outcome::ConnectionRefused`].
    fn close(&self, connection: &Connection, reason: CloseReason) {
        // If the engine refused the connection or did not respond, another connection would not
        // help.
        let may_reconnect = connection.is_connected() || reason == CloseReason::ConnectError;
        let end = connection.end();
        if self
            .connections
            .borrow_mut()
            .remove(&connection.id)
            .is_some()
        {
            log::connection_ended("engine", connection.addr, reason, connection.attempts.get());
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
