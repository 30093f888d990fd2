//! Simulates whole fleets on a simulated clock: a few observers apply one history at different
//! times, and gateways subscribe to them, while connections break, links are cut, processes stop,
//! die and restart, and the history is compacted. A failure prints its seed; `SEED=n` runs that
//! seed alone, `SEEDS=n` runs the first `n` seeds.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use world::scenario::{run_scenario, world_for_seed};
use world::Seen;

const SEEDS: u64 = 200;
/// The number of seeds that run concurrently.
const THREADS: u64 = 4;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn replicas_match_the_agreed_history_and_stale_replicas_are_not_routed_on() {
    let seeds = match variable("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..variable("SEEDS").unwrap_or(SEEDS),
    };
    let count = seeds.end - seeds.start;
    let next = AtomicU64::new(seeds.start);
    let seen = Mutex::new(Seen::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let (world, observers) = world_for_seed(seed);
        match catch_unwind(AssertUnwindSafe(|| run_scenario(world, observers))) {
            Ok(world) => seen.lock().unwrap().add(&world.seen),
            Err(_) => panic!("seed {seed} failed; run it again with SEED={seed}"),
        }
    };
    std::thread::scope(|scope| (0..THREADS).for_each(|_| drop(scope.spawn(work))));
    let seen = seen.into_inner().unwrap();
    println!("{count} seeds: {seen:?}");
    assert!(
        seen.snapshots > 0 && seen.changes > 0 && seen.compacted > 0,
        "{seen:?}"
    );
    assert!(seen.gates_open > 0 && seen.gates_shut > 0, "{seen:?}");
}

/// Each mutant has to fail the simulation for at least one of the seeds.
#[cfg(feature = "mutants")]
#[test]
fn mutants_are_detected() {
    use violetgate_state_distribution::Mutant;
    let mutants = [
        Mutant::ConfirmsByEarlierRead,
        Mutant::ConfirmsFromOwnCopy,
        Mutant::AgeFromConfirmation,
        Mutant::SkipsHeldBack,
        Mutant::AppliesGaps,
    ];
    for mutant in mutants {
        let detected_by = (0..SEEDS).find(|seed| {
            let (mut world, observers) = world_for_seed(*seed);
            world.set_mutant(mutant);
            catch_unwind(AssertUnwindSafe(|| run_scenario(world, observers))).is_err()
        });
        println!("{mutant:?}: detected by seed {detected_by:?}");
        assert!(detected_by.is_some(), "{mutant:?} is not detected");
    }
}
