//! Which connection an attempt gets.

use std::cmp::Reverse;
use std::rc::Rc;

use violetgate_policy::interface::{EngineState, Outcome};

use super::super::close_reason::CloseReason;
use super::super::connection::Connection;
use super::Pool;
use crate::exchange::{Attempt, AttemptEnd, ListedEngine};

impl Pool {
    /// Puts an attempt, under which so many connections have broken, on a connection, unless its
    /// engine has left the list meanwhile or was cordoned.
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

    fn usable_engine(&self, attempt: &Attempt) -> Option<ListedEngine> {
        let listed = self.listed.borrow().get(&attempt.engine).cloned();
        let is_cordoned = self.cordoned.borrow().contains(&attempt.engine);
        listed.filter(|listed| {
            listed.engine.state == EngineState::Ready && !is_cordoned && self.may_send()
        })
    }

    /// A connection for an attempt, none of those in `used`.
    ///
    /// What breaks or spoils a connection costs all that is open on it, so each attempt gets one of
    /// its own, the one used last, while there may be more connections. At the limit the least
    /// loaded one of the engine is shared, or one that is idle longest gives way.
    fn pick_connection(&self, engine: &ListedEngine, used: &[u64]) -> Option<Rc<Connection>> {
        let mut candidates = self.select(|connection| {
            connection.engine == engine.engine.id
                && !connection.is_retired.get()
                && connection.load() < self.limits.streams_per_connection
                && !used.contains(&connection.id)
        });
        candidates.sort_by_key(|connection| Reverse(connection.idle_since.get()));
        // One that its engine has just closed would lose the attempt, and it might have run.
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

    /// Closes the connection that is idle longest; `None`: none is idle.
    fn evict_idle(&self) -> Option<()> {
        let idle = self.select(|connection| connection.load() == 0);
        let longest = idle
            .iter()
            .min_by_key(|connection| connection.idle_since.get());
        self.close(longest?, CloseReason::Evicted);
        Some(())
    }

    fn open(&self, engine: &ListedEngine) -> Option<Rc<Connection>> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Connection::new(
            id,
            engine.engine.id,
            engine.addr,
            self.now(),
            Rc::clone(&self.stats),
        );
        self.connections
            .borrow_mut()
            .insert(id, Rc::clone(&connection));
        let driver = self.this.upgrade()?.drive(Rc::clone(&connection));
        self.executor.spawn(driver).detach();
        Some(connection)
    }
}
