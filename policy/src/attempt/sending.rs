//! An attempt is sent.
//!
//! Carries out a placement: sets grant and priority where engines heed them, counts the threads
//! and memory that the attempt takes, and schedules the first check for silence.

use crate::interface::{Action, EngineId, Micros, QueryId};
use crate::state::{Attempt, WarmUpSend};
use crate::Gateway;

/// An attempt that is about to leave.
#[derive(Debug, Clone, Copy)]
struct Departure {
    query: QueryId,
    engine: EngineId,
    /// The class of the query.
    class: usize,
    work: f64,
    threads: f64,
    memory_mb: f64,
    priority: u8,
    /// The engine is warming up.
    is_warm_up: bool,
    /// When it is checked for silence first.
    check_at: Micros,
}

impl Gateway {
    /// Sends an attempt of a query to an engine, if that is allowed. This is the only place where
    /// an attempt is sent. Returns whether it did.
    pub(crate) fn send(
        &mut self,
        query: QueryId,
        engine: EngineId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(departure) = self.prepare_departure(query, engine) else {
            return false;
        };
        self.append_send(&departure, actions);
        self.count_departure(&departure);
        self.schedule_check(query, departure.check_at);
        true
    }

    fn prepare_departure(&self, query_id: QueryId, engine_id: EngineId) -> Option<Departure> {
        let query = self.queries.get(query_id)?;
        let engine = self.engines.get(&engine_id)?;
        self.check_send(query, engine).ok()?;
        Some(Departure {
            query: query_id,
            engine: engine_id,
            class: query.class,
            work: query.work,
            threads: query.threads,
            memory_mb: self.grant_on(query, engine),
            priority: self.priority(query),
            is_warm_up: self.warm_fraction(engine) < 1.0,
            check_at: self.now + self.silence_limit(query, self.now),
        })
    }

    fn append_send(&self, departure: &Departure, actions: &mut Vec<Action>) {
        let grant = if self.settings.memory_grants {
            departure.memory_mb.round()
        } else {
            0.0
        };
        if grant > 0.0 || self.settings.priorities {
            actions.push(Action::SetResources {
                query: departure.query,
                memory_mb: grant,
                priority: departure.priority,
            });
        }
        actions.push(Action::Send {
            query: departure.query,
            engine: departure.engine,
            timeout: 0,
        });
    }

    fn count_departure(&mut self, departure: &Departure) {
        let now = self.now;
        let &Departure {
            class,
            priority,
            threads,
            memory_mb,
            ..
        } = departure;
        self.queries.count_attempt(class, priority, threads);
        if let Some(engine) = self.engines.get_mut(&departure.engine) {
            engine.count_attempt(departure.query, priority, threads, memory_mb);
            if departure.is_warm_up {
                let work = departure.work;
                engine.warm_up_sends.push_back(WarmUpSend { at: now, work });
            }
        }
        let Some(query) = self.queries.get_mut(departure.query) else {
            return;
        };
        let is_retry = query.attempts > 0;
        query.attempts += 1;
        query.attempt = Some(Attempt {
            engine: departure.engine,
            sent_at: now,
            last_progress_at: now,
            granted_mb: memory_mb,
            priority,
            ..Attempt::default()
        });
        let history = &mut self.queries.history;
        if is_retry {
            history.record_retry(now);
        }
        let budget = self.settings.retry_budget;
        let window = budget.map_or(0, |budget| budget.window);
        history.forget_before(now.saturating_sub(window));
    }
}
