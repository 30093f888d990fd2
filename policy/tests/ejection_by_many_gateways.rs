//! Tests of ejection by many gateways that share a set of engines, on simulated time. The attempts
//! of all gateways are added up.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use violetgate_policy::interface::{AttemptEnded, EngineId, Micros, Outcome, QueryId, RetryBudget};
use violetgate_policy::{Action, Event, Gateway, Settings};

const GATEWAYS: u32 = 100;

const ENGINES: u32 = 30;

/// Number of engines that fail six attempts in ten during the fault.
const FAILING_ENGINES: u32 = 4;

/// Returns the duration and the outcome of an attempt, from its start, its engine and a number that
/// identifies it.
type EngineBehaviour<'a> = &'a dyn Fn(Micros, EngineId, u64) -> (Micros, Outcome);

fn fleet_settings() -> Settings {
    let budget = RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.1,
        window: 5 * S,
    };
    Settings {
        gateways: Some(GATEWAYS),
        retry_budget: Some(budget),
        ..settings(vec![class(10 * S)], 8.0)
    }
}

/// Returns a pseudo-random number that is the same in each run.
fn hash(n: u64) -> u64 {
    let z = (n ^ (n >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (z ^ (z >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11
}

/// Totals of all gateways: ended attempts by second, engine and success, and numbers of queries.
#[derive(Default)]
struct Totals {
    ended: BTreeMap<(Micros, EngineId, bool), u32>,
    rejected: u32,
    arrived: u32,
}

impl Totals {
    fn count(
        &self,
        seconds: std::ops::Range<Micros>,
        which: impl Fn(EngineId) -> bool,
        ok: bool,
    ) -> u32 {
        let hit = |k: &(Micros, EngineId, bool)| seconds.contains(&k.0) && which(k.1) && k.2 == ok;
        self.ended
            .iter()
            .filter(|(k, _)| hit(k))
            .map(|(_, n)| n)
            .sum()
    }
}

/// Simulates all gateways for a number of seconds. Each gets a query every 190 ms on average.
fn simulate(seconds: Micros, engines: EngineBehaviour) -> Totals {
    let mut totals = Totals::default();
    let mut due: BTreeSet<(Micros, usize, QueryId, u32, EngineId)> = BTreeSet::new();
    let mut gateways: Vec<Gateway> = (0..u64::from(GATEWAYS))
        .map(|g| Gateway::new(fleet_settings(), hash(g + 1)))
        .collect();
    let mut attempts: BTreeMap<(usize, QueryId), u32> = BTreeMap::new();
    let list: Vec<_> = (0..ENGINES).map(engine).collect();
    for (g, gateway) in gateways.iter_mut().enumerate() {
        let snapshot = Event::EngineList {
            scope: violetgate_policy::interface::ListScope::Snapshot,
            engines: list.clone(),
        };
        gateway.handle(S, &[snapshot], &mut Vec::new());
        // An entry whose query id and attempt number are 0 is an arrival. One with an id but
        // without an attempt number is a timer.
        due.insert((S + hash(g as u64) % (190 * MS), g, 0, 0, 0));
    }
    let mut next = 0;
    while let Some((now, g, id, number, engine)) =
        due.pop_first().filter(|d| d.0 < (1 + seconds) * S)
    {
        let mut events = Vec::new();
        if id > 0 && number > 0 {
            let (elapsed, outcome) = engines(now, engine, id * 7 + u64::from(number));
            let ok = outcome == Outcome::Completed;
            *totals.ended.entry((now / S - 1, engine, ok)).or_default() += 1;
            events.push(Event::AttemptEnded(AttemptEnded {
                query: id,
                attempt: number - 1,
                engine,
                outcome,
                query_answered: ok,
                elapsed,
                cost: None,
                load: Default::default(),
            }));
        } else if id == 0 && number == 0 {
            next += 1;
            totals.arrived += 1;
            events.push(Event::QueryArrived(query(next, 150 * MS)));
            due.insert((now + 140 * MS + hash(next) % (100 * MS), g, 0, 0, 0));
        } else {
            events.push(Event::TimerFired);
        }
        let mut actions = Vec::new();
        gateways[g].handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { query, engine, .. } => {
                    let number = attempts.entry((g, query)).or_default();
                    *number += 1;
                    let (duration, _) = engines(now, engine, query * 7 + u64::from(*number));
                    due.insert((now + duration, g, query, *number, engine));
                }
                Action::Reject { .. } => totals.rejected += 1,
                Action::SetTimer { at } => drop(due.insert((at, g, QueryId::MAX, 0, 0))),
                _ => {}
            }
        }
    }
    totals
}

/// From 2 s to 12 s after the start, four of the thirty engines fail six in ten queries after
/// 20 ms. All other attempts complete in 150 ms.
fn four_engines_fail(now: Micros, engine: EngineId, n: u64) -> (Micros, Outcome) {
    let failing = engine < FAILING_ENGINES && (3 * S..13 * S).contains(&now) && hash(n) % 10 < 6;
    if failing {
        (20 * MS, Outcome::Error)
    } else {
        (150 * MS, Outcome::Completed)
    }
}

#[test]
fn many_gateways_together_send_few_trials_to_failing_engines() {
    let totals = simulate(16, &four_engines_fail);
    let failing = |e| e < FAILING_ENGINES;
    let later = totals.count(5..12, failing, false);
    // There are 106 errors, since each gateway sends about one trial to these engines in the 7 s.
    // There were 251 before gateways with a small share of an engine ejected it at their first own
    // error and rationed its trials.
    assert!(later <= 3 * GATEWAYS / 2, "{later} errors in 7 s");
    assert!(
        totals.rejected * 1000 <= totals.arrived,
        "{} of {} queries were rejected",
        totals.rejected,
        totals.arrived
    );
}

#[test]
fn engines_that_recover_are_used_again_by_most_gateways() {
    let totals = simulate(40, &four_engines_fail);
    let usual = totals.count(0..2, |e| e < FAILING_ENGINES, true);
    let after = totals.count(36..38, |e| e < FAILING_ENGINES, true);
    assert!(
        2 * after >= usual,
        "{after} completed in 2 s, 24 s after the fault ended; {usual} in 2 s before it began"
    );
}
