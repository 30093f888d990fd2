//! Property test: every legal sequence of events satisfies the hard rules. A checker that sees
//! only the events and the actions decides whether they hold.

mod common;
mod rule_checker;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rule_checker::*;
use violetgate_policy::interface::{
    Class, EngineId, Idempotency, ListScope, Micros, NewQuery, Outcome, Progress, QueryId,
    RetryBudget,
};
use violetgate_policy::{Action, Event, Settings};

fn fleet_settings() -> Settings {
    // Late answers of two of the four classes have no weight, so such queries are given up.
    let short_objective = Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    };
    let zone_bound = Class {
        allowed_zones: Some(vec![1]),
        ..short_objective.clone()
    };
    let deduplicated = Class {
        dedup_window: Some(DEDUP_WINDOW),
        ..with_idempotency(Idempotency::Deduplicated)
    };
    let mut config = settings(
        vec![
            short_objective,
            with_idempotency(Idempotency::AtMostOnce),
            zone_bound,
            deduplicated,
        ],
        4.0,
    );
    config.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.2,
        window: BUDGET_WINDOW,
    });
    config
}

/// The gateway under test and the checker of its actions.
struct CheckedGateway {
    gateway: TestGateway,
    checker: Checker,
}

/// One generated step.
#[derive(Clone, Copy)]
struct Step {
    number: u64,
    /// The kind of event, 0 to 9.
    kind: u8,
    /// Selects the query or engine and the parameters of the event.
    selector: u64,
}

impl CheckedGateway {
    fn new() -> Self {
        let checker = Checker::default();
        CheckedGateway {
            gateway: TestGateway::new(fleet_settings(), checker.engine_list()),
            checker,
        }
    }

    /// Advances the time in units of 5 ms. Attempts time out at the deadline of their query.
    fn wait(&mut self, milliseconds: u64) -> Result<(), String> {
        for _ in 0..milliseconds.div_ceil(5) {
            self.gateway.now += 5 * MS;
            for id in self.checker.in_flight_due_by(self.gateway.now) {
                self.end(id, Outcome::TimedOut)?;
            }
            self.handle(Event::TimerFired)?;
            self.checker.check_all_answered(self.gateway.now)?;
        }
        Ok(())
    }

    fn run_step(&mut self, step: Step) -> Result<(), String> {
        let in_flight = self.checker.in_flight_due_by(Micros::MAX);
        let selected =
            (!in_flight.is_empty()).then(|| in_flight[step.selector as usize % in_flight.len()]);
        match (step.kind, selected) {
            (0..=3, _) => self.arrive(step),
            (4..=6, Some(id)) => {
                let all = [
                    Outcome::Completed,
                    Outcome::Error,
                    Outcome::Overloaded,
                    Outcome::ConnectionRefused,
                    Outcome::ConnectionLost,
                    Outcome::Cancelled,
                ];
                self.end(id, all[(step.selector / 7) as usize % all.len()])
            }
            (7, Some(id)) => self.report_progress(id, step.selector),
            (8, _) => self.change_list(step.selector),
            (9, _) if step.selector % 50 == 7 => {
                self.restart();
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn arrive(&mut self, step: Step) -> Result<(), String> {
        let id = step.number + 1;
        let client_timeout = (step.selector % 80 + 1) * 100 * MS;
        let class = (step.selector % 4) as u32;
        let record = QueryRecord {
            class,
            deadline: self.gateway.now + client_timeout,
            ..QueryRecord::default()
        };
        self.checker.queries.insert(id, record);
        self.checker.arrivals.push(self.gateway.now);
        self.handle(Event::QueryArrived(NewQuery {
            class,
            client_timeout,
            is_client_retry: step.selector % 5 == 0,
            ..query(id, (step.selector % 40) * 50 * MS)
        }))
    }

    fn end(&mut self, id: QueryId, outcome: Outcome) -> Result<(), String> {
        let record = self
            .checker
            .queries
            .get_mut(&id)
            .ok_or("the query is unknown")?;
        let engine = record
            .in_flight
            .take()
            .ok_or("the query has no attempt in flight")?;
        let ran = !matches!(outcome, Outcome::Overloaded | Outcome::ConnectionRefused);
        record.may_have_run |= ran;
        record.first_run_sent_at = record.first_run_sent_at.or(ran.then_some(record.sent_at));
        if outcome == Outcome::Completed && record.final_answers == 0 {
            record.final_answers = 1;
        }
        let attempt = record.sends - 1;
        let actions = self.gateway.end_attempt(id, attempt, engine, outcome);
        self.checker.check_actions(self.gateway.now, &actions)
    }

    fn report_progress(&mut self, id: QueryId, selector: u64) -> Result<(), String> {
        let attempt = self.checker.queries[&id].sends - 1;
        let all = [
            Progress::FractionDone(0.01),
            Progress::WaitingForMemory,
            Progress::Spilling(9.0),
        ];
        let progress = all[selector as usize % 3];
        self.handle(Event::Progress {
            query: id,
            attempt,
            progress,
        })
    }

    /// Changes the state of an engine and sends it in a patch, a snapshot or a stale snapshot. A
    /// gateway gets a snapshot, for example, after it missed patches. It gets a stale snapshot if
    /// the list comes from a copy that was saved before a restart.
    fn change_list(&mut self, selector: u64) -> Result<(), String> {
        let id = (selector % 4) as EngineId;
        if selector % 8 < 4 {
            self.checker.not_ready.insert(id);
        } else {
            self.checker.not_ready.remove(&id);
        }
        let all = self.checker.engine_list();
        let (scope, engines) = match selector % 3 {
            0 => (ListScope::Patch, vec![all[id as usize]]),
            1 => (ListScope::Snapshot, all),
            _ => (ListScope::StaleSnapshot, all),
        };
        self.handle(Event::EngineList { scope, engines })
    }

    /// Replaces the gateway by a new one that has only the engine list. The queries of the old one
    /// are lost; their clients would have to retry them.
    fn restart(&mut self) {
        let now = self.gateway.now;
        self.gateway = TestGateway::new(fleet_settings(), self.checker.engine_list());
        self.gateway.now = now;
        self.checker = Checker {
            not_ready: std::mem::take(&mut self.checker.not_ready),
            ..Checker::default()
        };
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        let actions = self.gateway.handle(event);
        self.checker.check_actions(self.gateway.now, &actions)
    }
}

/// Runs steps of (kind, selector, milliseconds since the previous step).
fn play(steps: &[(u8, u64, u64)]) -> Result<(), String> {
    let mut checked = CheckedGateway::new();
    let final_steps = std::iter::repeat_n(&(9u8, 0u64, 100u64), 150);
    for (number, &(kind, selector, wait)) in (0..).zip(steps.iter().chain(final_steps)) {
        checked.wait(wait)?;
        checked.run_step(Step {
            number,
            kind,
            selector,
        })?;
    }
    checked.checker.check_all_answered(Micros::MAX / 2)
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
    if let Err(broken) = outcome {
        panic!("{broken}");
    }
}

fn send(engine: EngineId) -> Action {
    Action::Send {
        query: 1,
        engine,
        timeout: 0,
    }
}

const REJECT: Action = Action::Reject {
    query: 1,
    retry_after: 0,
};

/// A checker with one query, which has just arrived.
fn checker_with_one_query(class: u32) -> Checker {
    let record = QueryRecord {
        class,
        deadline: S,
        ..QueryRecord::default()
    };
    let mut checker = Checker::default();
    checker.queries.insert(1, record);
    checker
}

fn fails(mut checker: Checker, now: Micros, actions: &[Action]) -> String {
    checker
        .check_actions(now, actions)
        .expect_err("the checker should find a broken rule")
}

#[test]
fn each_check_of_answers_can_fail() {
    assert_eq!(
        fails(checker_with_one_query(0), 0, &[REJECT, send(0)]),
        "sent after the final answer"
    );
    assert_eq!(
        fails(checker_with_one_query(0), 0, &[REJECT, REJECT]),
        "two final answers"
    );
    assert_eq!(
        fails(checker_with_one_query(0), 2 * S, &[REJECT]),
        "answered too late"
    );
    assert_eq!(
        fails(checker_with_one_query(1), 0, &[send(0), REJECT]),
        "rejected a query that may have run"
    );
    assert!(
        checker_with_one_query(0).check_all_answered(2 * S).is_err(),
        "an unanswered query should be found"
    );
}

#[test]
fn each_check_of_sends_can_fail() {
    assert_eq!(
        fails(checker_with_one_query(0), 0, &[send(0), send(2)]),
        "two attempts in flight"
    );
    assert_eq!(
        fails(checker_with_one_query(2), 0, &[send(0)]),
        "sent outside its zone"
    );
    let mut checker = checker_with_one_query(3);
    checker
        .queries
        .get_mut(&1)
        .expect("the checker should know query 1")
        .first_run_sent_at = Some(0);
    assert_eq!(
        fails(checker, DEDUP_WINDOW, &[send(0)]),
        "sent after its deduplication window"
    );
    let mut checker = checker_with_one_query(0);
    checker.not_ready.insert(0);
    assert_eq!(fails(checker, 0, &[send(0)]), "sent to a draining engine");
    let mut checker = checker_with_one_query(1);
    checker
        .queries
        .get_mut(&1)
        .expect("the checker should know query 1")
        .may_have_run = true;
    assert_eq!(fails(checker, 0, &[send(0)]), "at_most_once may run twice");
    let mut checker = checker_with_one_query(0);
    checker
        .queries
        .get_mut(&1)
        .expect("the checker should know query 1")
        .sends = 1;
    checker.retries = vec![0, 0];
    assert_eq!(fails(checker, 0, &[send(0)]), "over the retry budget");
}
