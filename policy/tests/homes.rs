//! Which engines a thin gateway among many uses at all. What it opens to an engine, and learns of it, is of use only if
//! it comes there again; what all gateways choose has to spread evenly. One test a failure, named by symptom.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use violetgate_policy::interface::{Engine, EngineId, EngineState, Outcome};
use violetgate_policy::Settings;

const ENGINES: u32 = 80;
const GATEWAYS: u32 = 300;

fn many() -> Settings {
    Settings {
        gateways: Some(GATEWAYS),
        ..settings(vec![class(10 * S)], 8.0)
    }
}

fn all() -> Vec<Engine> {
    (0..ENGINES).map(engine).collect()
}

/// So many queries one after the other: where they went.
fn one_by_one(b: &mut Bench, from: u64, count: u64) -> Vec<EngineId> {
    let mut at = Vec::new();
    for id in from..from + count {
        let Some(e) = sent(&b.ask(query(id, 100 * MS)), id) else {
            continue;
        };
        at.push(e);
        b.now += 100 * MS;
        b.end(id, 0, e, Outcome::Completed);
    }
    at
}

/// Found on join+mass, seed 7: 288 front ends opened 34,762 connections for 58,753 requests, each to nearly all of 80
/// engines, of which none was closed as idle.
#[test]
fn a_thin_gateway_meets_every_engine_and_each_of_them_seldom() {
    for seed in 0..20 {
        let mut b = Bench::seeded(many(), all(), seed);
        let at = one_by_one(&mut b, 1, 150);
        let met: BTreeSet<_> = at.iter().collect();
        assert!(
            at.len() == 150 && (3..=20).contains(&met.len()),
            "seed {seed}: {} engines",
            met.len()
        );
    }
}

/// A fixed choice by each gateway must not make some engines everybody's.
#[test]
fn what_all_gateways_keep_to_piles_up_at_some_engines() {
    let mut load: BTreeMap<EngineId, u32> = (0..ENGINES).map(|e| (e, 0)).collect();
    for gateway in 0..u64::from(GATEWAYS) {
        let mut b = Bench::seeded(many(), all(), gateway * 7919 + 3);
        for e in one_by_one(&mut b, 1, 40) {
            *load.entry(e).or_default() += 1;
        }
    }
    let mean = f64::from(load.values().sum::<u32>()) / f64::from(ENGINES);
    let most = f64::from(load.values().copied().max().unwrap_or(0));
    let least = f64::from(load.values().copied().min().unwrap_or(0));
    assert!(
        most < 1.5 * mean && least > 0.6 * mean,
        "{least} to {most}, {mean} on average"
    );
}

/// Where its own engines are taken, or gone, others serve at once.
#[test]
fn a_gateway_waits_for_engines_that_it_keeps_to() {
    let mut b = Bench::seeded(many(), all(), 11);
    let homes: BTreeSet<_> = one_by_one(&mut b, 1, 150).into_iter().collect();
    // All of them leave at once: the next queries go elsewhere, and come back to some few again.
    for e in &homes {
        b.patch(Engine {
            state: EngineState::Gone,
            ..engine(*e)
        });
    }
    let after = one_by_one(&mut b, 1_000, 60);
    assert!(after.len() == 60 && after.iter().all(|e| !homes.contains(e)));
    // More at once than it has engines of its own.
    let mut b = Bench::seeded(
        Settings {
            gateways: Some(20),
            ..many()
        },
        all(),
        11,
    );
    let out: Vec<_> = (1..=40)
        .filter_map(|id| sent(&b.ask(query(id, S)), id))
        .collect();
    let met: BTreeSet<_> = out.iter().collect();
    assert!(
        out.len() >= 30 && met.len() >= 30,
        "{} sent to {} engines",
        out.len(),
        met.len()
    );
}

/// Engines that come and go change little for those that stay.
#[test]
fn an_engine_that_comes_moves_a_gateway_to_others() {
    let mut b = Bench::seeded(many(), all(), 5);
    let before: BTreeSet<_> = one_by_one(&mut b, 1, 150).into_iter().collect();
    (ENGINES..ENGINES + 4).for_each(|e| drop(b.patch(engine(e))));
    let after: BTreeSet<_> = one_by_one(&mut b, 1_000, 150).into_iter().collect();
    let stayed = before.intersection(&after).count();
    assert!(
        stayed + 2 >= before.len().min(after.len()),
        "{stayed} of {} stayed",
        before.len()
    );
}
