//! The pool as the dispatcher uses it: [`UpstreamEngines`].

use violetgate_policy::interface::{EngineId, EngineState, ListScope, QueryId};

use super::super::close_reason::CloseReason;
use super::Pool;
use crate::exchange::{Attempt, CancelOutcome, ListedEngine, UpstreamEngines};

impl UpstreamEngines for Pool {
    fn send(&self, attempt: Attempt) {
        let broken_connections = 0;
        self.place(attempt, broken_connections);
    }

    fn cancel(&self, query: QueryId) -> CancelOutcome {
        let connection = self.by_query.borrow_mut().remove(&query);
        let Some(connection) = connection else {
            return CancelOutcome::MayHaveRun;
        };
        let outcome = connection.cancel(query, self.now());
        self.flush(&connection);
        if connection.is_retired.get() && connection.load() == 0 {
            self.close(&connection, CloseReason::Cancelled);
        }
        outcome
    }

    fn recall_unsent(&self, query: QueryId) -> bool {
        let connection = self.by_query.borrow().get(&query).cloned();
        let is_unsent = connection.is_some_and(|connection| !connection.has_begun(query));
        is_unsent && self.cancel(query) == CancelOutcome::NeverSent
    }

    fn set_priority(&self, query: QueryId, priority: u8) {
        let connection = self.by_query.borrow().get(&query).cloned();
        if let Some(connection) = connection {
            connection.set_priority(query, priority);
            self.flush(&connection);
        }
    }

    fn set_cordoned(&self, engine: EngineId, cordoned: bool) {
        if cordoned {
            self.cordoned.borrow_mut().insert(engine);
        } else {
            self.cordoned.borrow_mut().remove(&engine);
        }
        for connection in self.select(|connection| connection.engine == engine) {
            if cordoned {
                self.report_ends(connection.take_unwritten());
                continue;
            }
            // An uncordoned engine may be a new process; open connections lead to the old one.
            connection.is_retired.set(true);
            if connection.load() == 0 {
                self.close(&connection, CloseReason::Retired);
            }
        }
    }

    fn update_list(&self, scope: ListScope, engines: &[ListedEngine]) {
        let replaced = self.update_listed(scope, engines);
        let listed = self.listed.borrow();
        let state = |engine: EngineId| {
            let listed = listed.get(&engine);
            listed.map_or(EngineState::Removed, |listed| listed.engine.state)
        };
        let mut ends = Vec::new();
        for connection in self.connections.borrow().values() {
            let state = state(connection.engine);
            if state == EngineState::Removed || replaced.contains(&connection.engine) {
                connection.is_retired.set(true);
            }
            if state != EngineState::Ready || connection.is_retired.get() {
                ends.extend(connection.take_unwritten());
            }
        }
        drop(listed);
        self.report_ends(ends);
    }
}

impl Pool {
    /// Updates the list, and returns the engines that have a new process or a new address. Open
    /// connections to such an engine still lead to its old process or address.
    fn update_listed(&self, scope: ListScope, engines: &[ListedEngine]) -> Vec<EngineId> {
        let mut listed = self.listed.borrow_mut();
        if matches!(scope, ListScope::Snapshot | ListScope::StaleSnapshot) {
            for listed in listed.values_mut() {
                listed.engine.state = EngineState::Removed;
            }
        }
        let mut replaced = Vec::new();
        for new in engines {
            let old = listed.insert(new.engine.id, new.clone());
            let is_replaced = old.is_some_and(|old| {
                old.engine.started != new.engine.started || old.addr != new.addr
            });
            if is_replaced {
                replaced.push(new.engine.id);
            }
        }
        // An engine that is not in the list counts as removed.
        listed.retain(|_, listed| listed.engine.state != EngineState::Removed);
        replaced
    }
}
