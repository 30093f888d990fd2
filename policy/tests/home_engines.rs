//! Tests of the subset of engines that a gateway sends to if its share of each engine is small.
//! With few engines it reuses its connections and has enough statistics on each. The subsets of
//! all gateways together spread evenly.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use violetgate_policy::interface::{Engine, EngineId, EngineState, Outcome};
use violetgate_policy::Settings;

const ENGINES: u32 = 80;

const GATEWAYS: u32 = 300;

fn fleet_settings() -> Settings {
    Settings {
        gateways: Some(GATEWAYS),
        ..settings(vec![class(10 * S)], 8.0)
    }
}

fn all_engines() -> Vec<Engine> {
    (0..ENGINES).map(engine).collect()
}

/// Sends `count` queries one after the other and returns their engines.
fn send_sequentially(gateway: &mut TestGateway, from: u64, count: u64) -> Vec<EngineId> {
    let mut targets = Vec::new();
    for id in from..from + count {
        let Some(target) = sent_to(&gateway.arrive(query(id, 100 * MS)), id) else {
            continue;
        };
        targets.push(target);
        gateway.now += 100 * MS;
        gateway.end_attempt(id, 0, target, Outcome::Completed);
    }
    targets
}

#[test]
fn a_gateway_with_small_shares_uses_few_engines() {
    for seed in 0..20 {
        let mut gateway = TestGateway::seeded(fleet_settings(), all_engines(), seed);
        let targets = send_sequentially(&mut gateway, 1, 150);
        let used: BTreeSet<_> = targets.iter().collect();
        assert!(
            targets.len() == 150 && (3..=20).contains(&used.len()),
            "seed {seed}: {} engines were used",
            used.len()
        );
    }
}

#[test]
fn the_subsets_of_all_gateways_spread_evenly() {
    let mut load: BTreeMap<EngineId, u32> = (0..ENGINES).map(|target| (target, 0)).collect();
    for gateway in 0..u64::from(GATEWAYS) {
        let mut gateway = TestGateway::seeded(fleet_settings(), all_engines(), gateway * 7919 + 3);
        for target in send_sequentially(&mut gateway, 1, 40) {
            *load.entry(target).or_default() += 1;
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

#[test]
fn other_engines_serve_while_the_subset_is_busy_or_gone() {
    let mut gateway = TestGateway::seeded(fleet_settings(), all_engines(), 11);
    let subset: BTreeSet<_> = send_sequentially(&mut gateway, 1, 150)
        .into_iter()
        .collect();
    // All engines of the subset are removed at once. The next queries go to other engines.
    for target in &subset {
        gateway.patch_list(Engine {
            state: EngineState::Removed,
            ..engine(*target)
        });
    }
    let after = send_sequentially(&mut gateway, 1_000, 60);
    assert!(after.len() == 60 && after.iter().all(|target| !subset.contains(target)));
    // Send more concurrent queries than the subset has engines.
    let mut gateway = TestGateway::seeded(
        Settings {
            gateways: Some(20),
            ..fleet_settings()
        },
        all_engines(),
        11,
    );
    let out: Vec<_> = (1..=40)
        .filter_map(|id| sent_to(&gateway.arrive(query(id, S)), id))
        .collect();
    let used: BTreeSet<_> = out.iter().collect();
    assert!(
        out.len() >= 30 && used.len() >= 30,
        "{} queries were sent to {} engines",
        out.len(),
        used.len()
    );
}

#[test]
fn engines_that_come_and_go_change_little_of_a_subset() {
    let mut gateway = TestGateway::seeded(fleet_settings(), all_engines(), 5);
    let before: BTreeSet<_> = send_sequentially(&mut gateway, 1, 150)
        .into_iter()
        .collect();
    (ENGINES..ENGINES + 4).for_each(|target| drop(gateway.patch_list(engine(target))));
    let after: BTreeSet<_> = send_sequentially(&mut gateway, 1_000, 150)
        .into_iter()
        .collect();
    let stayed = before.intersection(&after).count();
    assert!(
        stayed + 2 >= before.len().min(after.len()),
        "{stayed} of {} engines are still in the subset",
        before.len()
    );
}
