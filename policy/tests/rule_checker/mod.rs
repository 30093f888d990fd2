//! A checker of the hard rules that sees only the events and the actions. Queries of class 1 run at
//! most once, class 2 is bound to engines with odd ids, class 3 is deduplicated.

use std::collections::{BTreeMap, BTreeSet};

use violetgate_policy::interface::{Engine, EngineId, EngineState, Micros, QueryId};
use violetgate_policy::Action;

use crate::common::{engine, MS, S};

/// The window of the retry budget.
pub const BUDGET_WINDOW: Micros = 5 * S;
pub const GRACE: Micros = 20 * MS;
/// The deduplication window.
pub const WINDOW: Micros = 3 * S;

#[derive(Default)]
pub struct Seen {
    pub class: u32,
    pub deadline: Micros,
    pub sends: u32,
    pub out: Option<EngineId>,
    pub may_have_run: bool,
    pub sent_at: Micros,
    /// The send time of the first attempt that may have run.
    pub risk_at: Option<Micros>,
    pub finals: u32,
}

/// Records the queries and engines and checks each action against the rules.
#[derive(Default)]
pub struct Checker {
    pub queries: BTreeMap<QueryId, Seen>,
    pub not_ready: BTreeSet<EngineId>,
    pub asks: Vec<Micros>,
    pub extra: Vec<Micros>,
}

impl Checker {
    /// Checks and records the actions of the gateway.
    pub fn actions(&mut self, now: Micros, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match *action {
                Action::Send { query, engine, .. } => {
                    let seen = self
                        .queries
                        .get_mut(&query)
                        .ok_or("sent an unknown query")?;
                    ensure(seen.finals == 0, "sent after the final answer")?;
                    ensure(seen.out.is_none(), "two attempts out")?;
                    ensure(
                        seen.class != 1 || !seen.may_have_run,
                        "at_most_once may run twice",
                    )?;
                    ensure(seen.class != 2 || engine % 2 == 1, "sent outside its zone")?;
                    ensure(
                        !self.not_ready.contains(&engine),
                        "sent to a draining engine",
                    )?;
                    let in_window = seen.risk_at.is_none_or(|at| now < at + WINDOW);
                    ensure(
                        seen.class != 3 || in_window,
                        "keyed and sent after its window",
                    )?;
                    seen.out = Some(engine);
                    seen.sent_at = now;
                    seen.sends += 1;
                    if seen.sends > 1 {
                        self.extra.push(now);
                        let recent = |t: &&Micros| **t + BUDGET_WINDOW > now;
                        let taken = self.asks.iter().filter(recent).count() as f64;
                        let extra = self.extra.iter().filter(recent).count() as f64;
                        ensure(extra <= 2.0 + 0.2 * taken, "over the budget")?;
                    }
                }
                Action::Reject { query, .. } | Action::Fail { query } => {
                    let refusal = matches!(action, Action::Reject { .. });
                    let seen = self
                        .queries
                        .get_mut(&query)
                        .ok_or("answered an unknown query")?;
                    seen.finals += 1;
                    ensure(seen.finals == 1, "two final answers")?;
                    ensure(now <= seen.deadline + GRACE, "answered too late")?;
                    let risky = seen.class == 1 && (seen.may_have_run || seen.out.is_some());
                    ensure(!(refusal && risky), "refused what may have run")?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that each query whose deadline and grace are over has been answered.
    pub fn overdue(&self, now: Micros) -> Result<(), String> {
        let lost = self
            .queries
            .values()
            .any(|seen| seen.finals == 0 && now > seen.deadline + GRACE);
        ensure(!lost, "a query was lost")
    }

    /// Returns the queries that have an attempt in flight and a deadline at or before `time`.
    pub fn out_by(&self, time: Micros) -> Vec<QueryId> {
        let is_due = |seen: &Seen| seen.out.is_some() && seen.deadline <= time;
        let queries = self.queries.iter();
        queries
            .filter(|(_, seen)| is_due(seen))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the current engine list.
    pub fn list(&self) -> Vec<Engine> {
        let state = |id| {
            if self.not_ready.contains(&id) {
                EngineState::Draining
            } else {
                EngineState::Ready
            }
        };
        (0..4).map(|id| member(id, state(id))).collect()
    }
}

pub fn ensure(holds: bool, what: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| what.to_owned())
}

pub fn member(id: EngineId, state: EngineState) -> Engine {
    Engine {
        zone: id % 2,
        state,
        ..engine(id)
    }
}
