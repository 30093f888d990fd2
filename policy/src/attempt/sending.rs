//! Sends an attempt to the engine that placement chose.
//!
//! Sets grant and priority if engines apply them, counts the threads and memory of the attempt,
//! and schedules the first check for silence.

use crate::interface::{Action, EngineId, Micros, QueryId};
use crate::state::{Attempt, WarmUpSend};
use crate::Gateway;

/// An attempt that is about to be sent.
#[derive(Debug, Clone, Copy)]
struct PreparedSend {
    query: QueryId,
    engine: EngineId,
    /// The index of the query's class.
    class: usize,
    work: f64,
    threads: f64,
    memory_mb: f64,
    priority: u8,
    /// Whether the engine is warming up.
    is_warm_up: bool,
    /// The time of the first check for silence.
    check_at: Micros,
}

impl Gateway {
    /// Sends an attempt of a query to an engine, if that is allowed. Returns whether it was sent.
    /// This is the only function that sends attempts.
    pub(crate) fn send(
        &mut self,
        query: QueryId,
        engine: EngineId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(prepared) = self.prepare_send(query, engine) else {
            return false;
        };
        self.append_send(&prepared, actions);
        self.count_send(&prepared);
        self.schedule_check(query, prepared.check_at);
        true
    }

    fn prepare_send(&self, query_id: QueryId, engine_id: EngineId) -> Option<PreparedSend> {
        let query = self.queries.get(query_id)?;
        let engine = self.engines.get(&engine_id)?;
        self.check_send(query, engine).ok()?;
        Some(PreparedSend {
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

    fn append_send(&self, prepared: &PreparedSend, actions: &mut Vec<Action>) {
        let grant = if self.settings.memory_grants {
            prepared.memory_mb.round()
        } else {
            0.0
        };
        if grant > 0.0 || self.settings.priorities {
            actions.push(Action::SetResources {
                query: prepared.query,
                memory_mb: grant,
                priority: prepared.priority,
            });
        }
        actions.push(Action::Send {
            query: prepared.query,
            engine: prepared.engine,
            timeout: 0,
        });
    }

    fn count_send(&mut self, prepared: &PreparedSend) {
        let now = self.now;
        let &PreparedSend {
            class,
            priority,
            threads,
            memory_mb,
            ..
        } = prepared;
        self.queries.count_attempt(class, priority, threads);
        if let Some(engine) = self.engines.get_mut(&prepared.engine) {
            engine.count_attempt(prepared.query, priority, threads, memory_mb);
            if prepared.is_warm_up {
                let work = prepared.work;
                engine.warm_up_sends.push_back(WarmUpSend { at: now, work });
            }
        }
        let Some(query) = self.queries.get_mut(prepared.query) else {
            return;
        };
        let is_retry = query.attempts > 0;
        query.attempts += 1;
        query.attempt = Some(Attempt {
            engine: prepared.engine,
            sent_at: now,
            last_progress_at: now,
            granted_mb: memory_mb,
            priority,
            ..Attempt::default()
        });
        if is_retry {
            self.queries.history.record_retry(now);
        }
        self.forget_before_budget_window();
    }

    /// Removes arrivals and retries before the window of the retry budget from the history.
    fn forget_before_budget_window(&mut self) {
        let budget = self.settings.retry_budget;
        let window = budget.map_or(0, |budget| budget.window);
        let start = self.now.saturating_sub(window);
        self.queries.history.forget_before(start);
    }
}
