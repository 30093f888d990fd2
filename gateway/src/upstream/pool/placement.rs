//! Chooses the connection for an attempt.

use std::cmp::Reverse;
use std::rc::Rc;

use violetgate_policy::interface::{EngineState, Outcome};

use super::super::close_reason::CloseReason;
use super::super::connection::Connection;
use super::Pool;
use crate::exchange::{Attempt, AttemptEnd, ListedEngine};

impl Pool {
    /// Queues an attempt on a connection to its engine. `broken_connections` is the number of
    /// earlier connections that broke before any of it was written. The attempt ends as `NeverSent`
    /// if its engine may not be used, and as `ConnectionRefused` if no connection is available.
    pub(super) fn place(&self, attempt: Attempt, broken_connections: u32) {
        let (query, number) = (attempt.exchange.id(), attempt.number);
        let fail = |outcome| {
            self.report_ends(vec![AttemptEnd::without_result(query, number, outcome)]);
        };
        let Some(engine) = self.usable_engine(&attempt) else {
            return fail(Outcome::NeverSent);
        };
        let used = attempt.exchange.used_connections.borrow().clone();
        let Some(connection) = self.pick_connection(&engine, &used) else {
            return fail(Outcome::ConnectionRefused);
        };
        self.by_query
            .borrow_mut()
            .insert(query, Rc::clone(&connection));
        connection.queue_attempt(attempt, broken_connections);
        self.flush(&connection);
    }

    /// Returns the attempt's engine if it is ready, not cordoned, and the fence allows sending.
    fn usable_engine(&self, attempt: &Attempt) -> Option<ListedEngine> {
        let listed = self.listed.borrow().get(&attempt.engine).cloned();
        let is_cordoned = self.cordoned.borrow().contains(&attempt.engine);
        listed.filter(|listed| {
            listed.engine.state == EngineState::Ready && !is_cordoned && self.may_send()
        })
    }

    /// Returns a connection to `engine` whose id is not in `used`.
    ///
    /// A connection that fails interrupts every attempt on it, so each attempt gets a connection of
    /// its own if possible: the engine's most recently used idle connection, or a new one. At the
    /// limit on connections, the attempt shares the engine's least loaded connection. If there is
    /// none, the longest idle connection to any engine is closed to make room for a new one.
    fn pick_connection(&self, engine: &ListedEngine, used: &[u64]) -> Option<Rc<Connection>> {
        let mut candidates = self.select(|connection| {
            connection.engine == engine.engine.id
                && !connection.is_retired.get()
                && connection.load() < self.limits.streams_per_connection
                && !used.contains(&connection.id)
        });
        candidates.sort_by_key(|connection| Reverse(connection.idle_since.get()));
        // Idle connections with unread input are left out: the engine may have just closed them,
        // and an attempt written to them would be lost and count as one that may have run.
        let idle = candidates
            .iter()
            .find(|connection| connection.load() == 0 && !connection.has_unread_input());
        if let Some(connection) = idle {
            return Some(Rc::clone(connection));
        }
        if self.connections.borrow().len() >= self.max_connections.get() {
            let loaded = candidates.iter().filter(|connection| connection.load() > 0);
            let least_loaded = loaded.min_by_key(|connection| (connection.load(), connection.id));
            if let Some(connection) = least_loaded {
                return Some(Rc::clone(connection));
            }
            self.evict_idle()?;
        }
        self.open(engine)
    }

    /// Closes the longest idle connection. `None`: no connection is idle.
    fn evict_idle(&self) -> Option<()> {
        let idle = self.select(|connection| connection.load() == 0);
        let longest = idle
            .iter()
            .min_by_key(|connection| connection.idle_since.get());
        self.close(longest?, CloseReason::Evicted);
        Some(())
    }

    /// Starts to open a connection to `engine`. `None`: the pool has been dropped.
    fn open(&self, engine: &ListedEngine) -> Option<Rc<Connection>> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Connection::new(
            id,
            engine.engine.id,
            engine.addr,
            self.now(),
            Rc::clone(&self.stats),
            self.memory.clone(),
        );
        self.connections
            .borrow_mut()
            .insert(id, Rc::clone(&connection));
        let driver = self.this.upgrade()?.drive(Rc::clone(&connection));
        self.executor.spawn(driver).detach();
        Some(connection)
    }
}
