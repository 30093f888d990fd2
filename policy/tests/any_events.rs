//! Any legal sequence of events keeps the rules, judged from outside by a checker that sees only
//! the actions.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use violetgate_policy::interface::{
    Class, Engine, EngineId, EngineState, Idempotency, ListScope, Micros, NewQuery, Outcome,
    Progress, QueryId, RetryBudget,
};
use violetgate_policy::{Action, Event, Settings};

const SPAN: Micros = 5 * S;

const GRACE: Micros = 20 * MS;

const WINDOW: Micros = 3 * S;

#[derive(Default)]
struct Seen {
    class: u32,
    deadline: Micros,
    sends: u32,
    out: Option<EngineId>,
    may_have_run: bool,
    sent_at: Micros,
    /// When the first attempt was sent that may have run.
    risk_at: Option<Micros>,
    finals: u32,
}

/// Watches what goes in and what comes out.
#[derive(Default)]
struct Checker {
    queries: BTreeMap<QueryId, Seen>,
    not_ready: BTreeSet<EngineId>,
    asks: Vec<Micros>,
    extra: Vec<Micros>,
}

impl Checker {
    fn actions(&mut self, now: Micros, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match *action {
                Action::Send { query, engine, .. } => {
                    let q = self
                        .queries
                        .get_mut(&query)
                        .ok_or("sent an unknown query")?;
                    ensure(q.finals == 0, "sent after the final answer")?;
                    ensure(q.out.is_none(), "two attempts out")?;
                    ensure(
                        q.class != 1 || !q.may_have_run,
                        "at_most_once may run twice",
                    )?;
                    ensure(q.class != 2 || engine % 2 == 1, "sent outside its zone")?;
                    ensure(
                        !self.not_ready.contains(&engine),
                        "sent to a draining engine",
                    )?;
                    let in_window = q.risk_at.is_none_or(|at| now < at + WINDOW);
                    ensure(q.class != 3 || in_window, "keyed and sent after its window")?;
                    q.out = Some(engine);
                    q.sent_at = now;
                    q.sends += 1;
                    if q.sends > 1 {
                        self.extra.push(now);
                        let recent = |t: &&Micros| **t + SPAN > now;
                        let taken = self.asks.iter().filter(recent).count() as f64;
                        let extra = self.extra.iter().filter(recent).count() as f64;
                        ensure(extra <= 2.0 + 0.2 * taken, "over the budget")?;
                    }
                }
                Action::Reject { query, .. } | Action::Fail { query } => {
                    let refusal = matches!(action, Action::Reject { .. });
                    let q = self
                        .queries
                        .get_mut(&query)
                        .ok_or("answered an unknown query")?;
                    q.finals += 1;
                    ensure(q.finals == 1, "two final answers")?;
                    ensure(now <= q.deadline + GRACE, "answered too late")?;
                    let risky = q.class == 1 && (q.may_have_run || q.out.is_some());
                    ensure(!(refusal && risky), "refused what may have run")?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn overdue(&self, now: Micros) -> Result<(), String> {
        let lost = self
            .queries
            .values()
            .any(|q| q.finals == 0 && now > q.deadline + GRACE);
        ensure(!lost, "a query was lost")
    }
}

fn ensure(holds: bool, what: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| what.to_owned())
}

fn fleet() -> Settings {
    // Two of the four classes have lost causes: their late answers earn nothing.
    let hasty = Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    };
    let bound = Class {
        allowed_zones: Some(vec![1]),
        ..hasty.clone()
    };
    let keyed = Class {
        dedup_window: Some(WINDOW),
        ..with_effect(Idempotency::Deduplicated)
    };
    let mut s = settings(
        vec![hasty, with_effect(Idempotency::AtMostOnce), bound, keyed],
        4.0,
    );
    s.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.2,
        window: SPAN,
    });
    s
}

fn member(id: EngineId, state: EngineState) -> Engine {
    Engine {
        zone: id % 2,
        state,
        ..engine(id)
    }
}

/// Plays one day of steps (what, which, how long); every attempt ends by its query's deadline.
fn play(steps: &[(u8, u64, u64)]) -> Result<(), String> {
    let mut b = Bench::new(
        fleet(),
        (0..4).map(|id| member(id, EngineState::Ready)).collect(),
    );
    let mut c = Checker::default();
    let drain = std::iter::repeat_n(&(9u8, 0u64, 100u64), 150);
    for (step, &(what, which, wait)) in steps.iter().chain(drain).enumerate() {
        for _ in 0..wait.div_ceil(5) {
            b.now += 5 * MS;
            let due: Vec<_> = c
                .queries
                .iter()
                .filter(|(_, q)| q.out.is_some() && q.deadline <= b.now)
                .map(|(id, _)| *id)
                .collect();
            for id in due {
                end(&mut b, &mut c, id, Outcome::TimedOut)?;
            }
            let woke = b.event(Event::TimerFired);
            c.actions(b.now, &woke)?;
            c.overdue(b.now)?;
        }
        let out: Vec<_> = c
            .queries
            .iter()
            .filter(|(_, q)| q.out.is_some())
            .map(|(id, _)| *id)
            .collect();
        let picked = (!out.is_empty()).then(|| out[which as usize % out.len()]);
        match (what, picked) {
            (0..=3, _) => {
                let (id, left) = (step as u64 + 1, (which % 80 + 1) * 100 * MS);
                let class = (which % 4) as u32;
                let repeat = which % 5 == 0;
                let asked = NewQuery {
                    class,
                    time_left: left,
                    is_client_retry: repeat,
                    ..query(id, (which % 40) * 50 * MS)
                };
                c.queries.insert(
                    id,
                    Seen {
                        class,
                        deadline: b.now + left,
                        ..Seen::default()
                    },
                );
                c.asks.push(b.now);
                let actions = b.ask(asked);
                c.actions(b.now, &actions)?;
            }
            (4..=6, Some(id)) => {
                let all = [
                    Outcome::Completed,
                    Outcome::Error,
                    Outcome::Overloaded,
                    Outcome::ConnectionRefused,
                    Outcome::ConnectionLost,
                    Outcome::Cancelled,
                ];
                end(&mut b, &mut c, id, all[(which / 7) as usize % all.len()])?;
            }
            (7, Some(id)) => {
                let attempt = c.queries[&id].sends - 1;
                let news = [
                    Progress::FractionDone(0.01),
                    Progress::WaitingForMemory,
                    Progress::Spilling(9.0),
                ];
                let actions = b.note(id, attempt, news[which as usize % 3]);
                c.actions(b.now, &actions)?;
            }
            (8, _) => {
                let id = (which % 4) as EngineId;
                let state = if which % 8 < 4 {
                    EngineState::Draining
                } else {
                    EngineState::Ready
                };
                if state == EngineState::Ready {
                    c.not_ready.remove(&id);
                } else {
                    c.not_ready.insert(id);
                }
                let state_of = |e| {
                    if c.not_ready.contains(&e) {
                        EngineState::Draining
                    } else {
                        EngineState::Ready
                    }
                };
                // Now a changed line, now all of them, as after a gap or from a copy that a restart left.
                let (scope, engines) = match which % 3 {
                    0 => (ListScope::Patch, vec![member(id, state)]),
                    1 => (
                        ListScope::Snapshot,
                        (0..4).map(|e| member(e, state_of(e))).collect(),
                    ),
                    _ => (
                        ListScope::StaleSnapshot,
                        (0..4).map(|e| member(e, state_of(e))).collect(),
                    ),
                };
                let list = Event::EngineList { scope, engines };
                let actions = b.event(list);
                c.actions(b.now, &actions)?;
            }
            // The gateway is killed and comes back knowing the list alone; what it held is the clients' to repeat.
            (9, _) if which % 50 == 7 => {
                let state_of = |e| {
                    if c.not_ready.contains(&e) {
                        EngineState::Draining
                    } else {
                        EngineState::Ready
                    }
                };
                let now = b.now;
                b = Bench::new(fleet(), (0..4).map(|e| member(e, state_of(e))).collect());
                b.now = now;
                c = Checker {
                    not_ready: std::mem::take(&mut c.not_ready),
                    ..Checker::default()
                };
            }
            _ => {}
        }
    }
    c.overdue(Micros::MAX / 2)
}

fn end(b: &mut Bench, c: &mut Checker, id: QueryId, outcome: Outcome) -> Result<(), String> {
    let q = c.queries.get_mut(&id).ok_or("unknown")?;
    let engine = q.out.take().ok_or("nothing out")?;
    let ran = !matches!(outcome, Outcome::Overloaded | Outcome::ConnectionRefused);
    q.may_have_run |= ran;
    q.risk_at = q.risk_at.or(ran.then_some(q.sent_at));
    if outcome == Outcome::Completed && q.finals == 0 {
        q.finals = 1;
    }
    let attempt = q.sends - 1;
    let actions = b.end(id, attempt, engine, outcome);
    c.actions(b.now, &actions)
}

#[test]
fn any_legal_sequence_of_events_keeps_the_rules() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((0u8..10, 0u64..10_000, 0u64..120), 20..150);
    let outcome = TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| play(&steps).map_err(TestCaseError::fail));
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

#[test]
fn each_check_can_fail() {
    let send = |query, engine| Action::Send {
        query,
        engine,
        timeout: 0,
    };
    let refuse = Action::Reject {
        query: 1,
        retry_after: 0,
    };
    let fresh = |class| {
        let mut c = Checker::default();
        c.queries.insert(
            1,
            Seen {
                class,
                deadline: S,
                ..Seen::default()
            },
        );
        c
    };
    let fails = |mut c: Checker, now, actions: &[Action]| {
        c.actions(now, actions).expect_err("a broken rule")
    };
    assert_eq!(
        fails(fresh(0), 0, &[refuse, send(1, 0)]),
        "sent after the final answer"
    );
    assert_eq!(
        fails(fresh(0), 0, &[send(1, 0), send(1, 2)]),
        "two attempts out"
    );
    assert_eq!(fails(fresh(0), 0, &[refuse, refuse]), "two final answers");
    assert_eq!(fails(fresh(0), 2 * S, &[refuse]), "answered too late");
    assert_eq!(
        fails(fresh(1), 0, &[send(1, 0), refuse]),
        "refused what may have run"
    );
    assert_eq!(fails(fresh(2), 0, &[send(1, 0)]), "sent outside its zone");
    let mut c = fresh(3);
    c.queries.get_mut(&1).expect("there").risk_at = Some(0);
    assert_eq!(
        fails(c, WINDOW, &[send(1, 0)]),
        "keyed and sent after its window"
    );
    let mut c = fresh(0);
    c.not_ready.insert(0);
    assert_eq!(fails(c, 0, &[send(1, 0)]), "sent to a draining engine");
    let mut c = fresh(1);
    c.queries.get_mut(&1).expect("there").may_have_run = true;
    assert_eq!(fails(c, 0, &[send(1, 0)]), "at_most_once may run twice");
    let mut c = fresh(0);
    c.queries.get_mut(&1).expect("there").sends = 1;
    c.extra = vec![0, 0];
    assert_eq!(fails(c, 0, &[send(1, 0)]), "over the budget");
    assert!(fresh(0).overdue(2 * S).is_err(), "lost");
}
