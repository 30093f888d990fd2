//! Whole fleets on injected time: a few observers that apply one history at different times, and
//! front ends that follow them, while connections break, observer_connections are cut, processes
//! stop, die and return, and the history is compacted. A failure prints its seed; `SEED=n` plays
//! that one alone, `SEEDS=n` more of them.
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

use world::scenario::{play, world_of};
use world::Seen;

const SEEDS: u64 = 200;
/// Seeds that are played at once.
const THREADS: u64 = 4;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn every_replica_is_what_was_agreed_and_no_gate_is_open_on_old_state() {
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
        let (world, observers) = world_of(seed);
        match catch_unwind(AssertUnwindSafe(|| play(world, observers))) {
            Ok(world) => seen.lock().unwrap().add(&world.seen),
            Err(_) => panic!("seed {seed} failed; SEED={seed} plays it again"),
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

/// Each mutant is noticed within a few seeds.
#[cfg(feature = "mutants")]
#[test]
fn mutants_are_noticed() {
    use violetgate_state_distribution::Mutant;
    let mutants = [
        Mutant::ConfirmsByEarlierRead,
        Mutant::ConfirmsFromOwnCopy,
        Mutant::AgeFromConfirmation,
        Mutant::SkipsHeldBack,
        Mutant::AppliesGaps,
    ];
    for mutant in mutants {
        let noticed = (0..SEEDS).find(|seed| {
            let (mut world, observers) = world_of(*seed);
            world.set_mutant(mutant);
            catch_unwind(AssertUnwindSafe(|| play(world, observers))).is_err()
        });
        println!("{mutant:?}: noticed by seed {noticed:?}");
        assert!(noticed.is_some(), "{mutant:?} is not noticed");
    }
}
