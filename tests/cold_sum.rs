//! Cold engines fall under the sum of what all gateways send. Each decides alone, in injected time; the sum is held to what
//! is put down to chance: beyond a budget of N queries of mean work, twice the root of N and two more.

mod common;

use common::*;
use linnetreach::interface::{Cost, Ended, Engine, EngineState, ListScope, Micros, NewQuery, Outcome};
use linnetreach::{Event, Gateway, Settings};

const FALL: Micros = 2 * S;
const COLD: f64 = 14e6;
const WORK: Micros = 200 * MS;

/// What an engine of so many cores bears in a span that begins `age` after its start, in queries.
fn bears(cores: f64, age: Micros) -> f64 {
    let warm = 2.0 * cores * FALL as f64 / WORK as f64;
    warm * (0.3 + 0.7 * (age as f64 / COLD).min(1.0).powi(2))
}

/// The queries that so many gateways, each with one at hand all the time, send to one cold engine, by when.
fn sent_by(gateways: u32, cores: f64, seed: u64) -> Vec<Micros> {
    let mut s = Settings { gateways: Some(gateways), ..settings(vec![class(10 * S)], cores) };
    (s.cold_share, s.cold, s.fall_multiple, s.fall) = (Some(0.3), Some(COLD as u64), Some(2.0), Some(FALL));
    let cold = Engine { started: Some(S), ..engine(0) };
    let drains = Engine { state: EngineState::Draining, ..engine(1) };
    let done = |query, engine, elapsed| {
        Event::Ended(Ended {
            query,
            attempt: 0,
            engine,
            outcome: Outcome::Completed,
            settled: true,
            elapsed,
            cost: Some(Cost { work: WORK, memory_mb: 0.0 }),
            load: Default::default(),
        })
    };
    let list = |scope, engines| Event::Engines { scope, engines };
    let ask = |id| Event::Arrived(NewQuery { time_left: 10 * S, ..query(id, WORK) });
    let mut sends = Vec::new();
    for g in 0..u64::from(gateways) {
        let mut gateway = Gateway::new(s.clone(), seed * 100_003 + g * 7_919);
        // One answer of a warm engine, which then drains, tells what queries cost.
        let first = [
            list(ListScope::Whole, vec![engine(1)]),
            ask(1_000_000),
            done(1_000_000, 1, WORK),
            list(ListScope::Patch, vec![cold, drains]),
        ];
        gateway.handle(S, &first, &mut Vec::new());
        for step in 0..200 {
            let (now, mut id) = (S + step * 40 * MS, step * 100 + 1);
            // As many as it lets go at once: what a gateway may send it sends as soon as it may.
            loop {
                let mut actions = Vec::new();
                gateway.handle(now, &[ask(id)], &mut actions);
                if sent(&actions, id) != Some(0) {
                    gateway.handle(now, &[Event::ClientGone { query: id }], &mut Vec::new());
                    break;
                }
                sends.push(now);
                gateway.handle(now, &[done(id, 0, 10 * MS)], &mut Vec::new());
                id += 1;
            }
        }
    }
    sends.sort_unstable();
    sends
}

/// The most queries that came in a span over the sum of what the engine bears in it and what is put down to chance.
fn most_over(sends: &[Micros], cores: f64) -> f64 {
    let over = |(i, from): (usize, &Micros)| {
        let in_span = sends[i..].iter().take_while(|t| **t < from + FALL).count() as f64;
        let n = bears(cores, from - S);
        in_span - (n + 2.0 * n.sqrt() + 2.0)
    };
    sends.iter().enumerate().map(over).fold(f64::MIN, f64::max)
}

/// Two gateways or three hundred, small engines or large: their sum stays within the budget and its chance in every span.
/// All hear of the engine at once, and all drew their first chance at once beside the one of the span: a crowd at the
/// start of one and a half times what was meant.
#[test]
fn the_sum_of_all_gateways_stays_within_what_a_cold_engine_bears() {
    for gateways in [2, 20, 30, 300] {
        for cores in [1.0, 4.0, 8.0, 32.0] {
            for seed in 1..=6 {
                let sends = sent_by(gateways, cores, seed);
                let over = most_over(&sends, cores);
                assert!(over <= 0.0, "{gateways} gateways, {cores} cores, seed {seed}: {over:.1} too many");
            }
        }
    }
}

/// The ramp is used: what all send in the engine's first seconds is a good part of what it then bears, so that it
/// relieves the others.
#[test]
fn a_cold_engine_is_used_while_it_warms() {
    for gateways in [2, 20, 30, 300] {
        let sends = sent_by(gateways, 8.0, 3);
        let early = sends.iter().filter(|t| **t < S + 2 * FALL).count() as f64;
        let borne = 2.0 * bears(8.0, 0);
        assert!(early >= 0.3 * borne, "{gateways} gateways: {early} of {borne:.0}");
    }
}
