//! A checker of the hard rules that sees only the events and the actions. Queries of class 1 run at
//! most once, class 2 is bound to engines with odd ids, class 3 is deduplicated.

use std::collections::{BTreeMap, BTreeSet};

use violetgate_policy::interface::{Engine, EngineId, EngineState, Micros, QueryId};
use violetgate_policy::Action;

use crate::common::{engine, MS, S};

/// The window of the retry budget.
pub const BUDGET_WINDOW: Micros = 5 * S;
/// How long after its deadline a query may be answered.
pub const GRACE: Micros = 20 * MS;
/// The time after its first send within which a deduplicated query may be sent again.
pub const DEDUP_WINDOW: Micros = 3 * S;

#[derive(Default)]
pub struct QueryRecord {
    pub class: u32,
    pub deadline: Micros,
    pub sends: u32,
    pub in_flight: Option<EngineId>,
    pub may_have_run: bool,
    pub sent_at: Micros,
    /// The send time of the first attempt that may have run.
    pub first_run_sent_at: Option<Micros>,
    pub final_answers: u32,
}

/// Records the queries and engines and checks each action against the rules.
#[derive(Default)]
pub struct Checker {
    pub queries: BTreeMap<QueryId, QueryRecord>,
    pub not_ready: BTreeSet<EngineId>,
    pub arrivals: Vec<Micros>,
    pub retries: Vec<Micros>,
}

impl Checker {
    /// Checks and records the actions of the gateway.
    pub fn check_actions(&mut self, now: Micros, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match *action {
                Action::Send { query, engine, .. } => {
                    let record = self
                        .queries
                        .get_mut(&query)
                        .ok_or("sent an unknown query")?;
                    ensure(record.final_answers == 0, "sent after the final answer")?;
                    ensure(record.in_flight.is_none(), "two attempts in flight")?;
                    ensure(
                        record.class != 1 || !record.may_have_run,
                        "at_most_once may run twice",
                    )?;
                    ensure(
                        record.class != 2 || engine % 2 == 1,
                        "sent outside its zone",
                    )?;
                    ensure(
                        !self.not_ready.contains(&engine),
                        "sent to a draining engine",
                    )?;
                    let in_window = record
                        .first_run_sent_at
                        .is_none_or(|at| now < at + DEDUP_WINDOW);
                    ensure(
                        record.class != 3 || in_window,
                        "sent after its deduplication window",
                    )?;
                    record.in_flight = Some(engine);
                    record.sent_at = now;
                    record.sends += 1;
                    if record.sends > 1 {
                        self.retries.push(now);
                        let recent = |t: &&Micros| **t + BUDGET_WINDOW > now;
                        let arrived = self.arrivals.iter().filter(recent).count() as f64;
                        let retries = self.retries.iter().filter(recent).count() as f64;
                        ensure(retries <= 2.0 + 0.2 * arrived, "over the retry budget")?;
                    }
                }
                Action::Reject { query, .. } | Action::Fail { query } => {
                    let is_rejection = matches!(action, Action::Reject { .. });
                    let record = self
                        .queries
                        .get_mut(&query)
                        .ok_or("answered an unknown query")?;
                    record.final_answers += 1;
                    ensure(record.final_answers == 1, "two final answers")?;
                    ensure(now <= record.deadline + GRACE, "answered too late")?;
                    let may_have_effect =
                        record.class == 1 && (record.may_have_run || record.in_flight.is_some());
                    ensure(
                        !(is_rejection && may_have_effect),
                        "rejected a query that may have run",
                    )?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that each query whose deadline and grace are over has been answered.
    pub fn check_all_answered(&self, now: Micros) -> Result<(), String> {
        let unanswered = self
            .queries
            .values()
            .any(|record| record.final_answers == 0 && now > record.deadline + GRACE);
        ensure(!unanswered, "a query was lost")
    }

    /// Returns the queries that have an attempt in flight and a deadline at or before `time`.
    pub fn in_flight_due_by(&self, time: Micros) -> Vec<QueryId> {
        let is_due = |record: &QueryRecord| record.in_flight.is_some() && record.deadline <= time;
        let queries = self.queries.iter();
        queries
            .filter(|(_, record)| is_due(record))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the current engine list.
    pub fn engine_list(&self) -> Vec<Engine> {
        let state = |id| {
            if self.not_ready.contains(&id) {
                EngineState::Draining
            } else {
                EngineState::Ready
            }
        };
        (0..4).map(|id| engine_in_state(id, state(id))).collect()
    }
}

pub fn ensure(holds: bool, what: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| what.to_owned())
}

pub fn engine_in_state(id: EngineId, state: EngineState) -> Engine {
    Engine {
        zone: id % 2,
        state,
        ..engine(id)
    }
}
