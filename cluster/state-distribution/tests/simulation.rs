//! Whole fleets on injected time: a few observers that apply one history at different times, and front ends that
//! follow them, while connections break, links are cut, processes stop, die and return, and the history is compacted.
//! A failure prints its seed; `SEED=n` plays that one alone, `SEEDS=n` more of them.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use violetgate_replicated_state::{Mutation, Operation, Txn};
use violetgate_state_distribution::ObserverConfig;
use world::{Seen, World, MS, SECOND};

const SEEDS: u64 = 200;
/// Seeds that are played at once.
const THREADS: u64 = 4;

fn config() -> ObserverConfig {
    ObserverConfig {
        capacity: 50,
        snapshots_at_once: 4,
        piece_bytes: 256,
        queue_bytes: 1 << 10,
        load_every: SECOND,
        ..ObserverConfig::default_for("fleet", 1)
    }
}

/// Something is agreed on.
fn change(world: &mut World) {
    match world.random(20) {
        0 => {
            let back = world.random(30);
            let to = world.truth.revision().saturating_sub(back);
            world.agree(Operation::Compact(to));
        }
        1..=3 => {
            let key = format!("key-{:03}", world.random(16));
            world.agree(Operation::Txn(Txn {
                then: vec![Mutation::Delete(key)],
                ..Txn::default()
            }));
        }
        _ => {
            let keys: Vec<(u64, usize)> = (0..=world.random(3))
                .map(|_| (world.random(16), world.random(60) as usize))
                .collect();
            world.put(&keys);
        }
    }
}

/// Something goes wrong, or is mended.
fn trouble(world: &mut World, observers: u64) {
    let id = 1 + world.random(observers);
    let count = world.subscribers.len() as u64;
    let n = world.random(count) as usize;
    match world.random(14) {
        0 => world.kill_observer(id),
        1..=3 => world.start_observer(id),
        4 => {
            let until = world.now + world.random(3 * SECOND);
            world.observers.get_mut(&id).unwrap().paused_until = until;
        }
        5 => {
            let most = [4 * SECOND, 15 * SECOND][usize::from(world.random(4) == 0)];
            let until = world.now + world.random(most);
            world.subscribers[n].paused_until = until;
        }
        6 => world.restart_subscriber(n),
        7 => world.cut_upstream.extend([id]),
        8 => world.cut_upstream.clear(),
        9 => world
            .cut
            .extend((0..world.subscribers.len()).step_by(2).map(|n| (n, id))),
        10 => world.cut.clear(),
        11 => world.subscribers[n].rate = 200 + world.random(5_000),
        12 => world.read_delay = [5 * MS, 30 * MS, 700 * MS][world.random(3) as usize],
        _ => {
            let all = world.connection_ids();
            if let Some(link) = all.get(world.random(all.len() as u64) as usize) {
                world.break_connection(*link);
            }
        }
    }
}

fn mend(world: &mut World, observers: u64) {
    world.cut.clear();
    world.cut_upstream.clear();
    (world.read_delay, world.reads_fail) = (10 * MS, 0);
    (1..=observers).for_each(|id| world.start_observer(id));
    world.resume_all();
}

fn world_of(seed: u64) -> (World, u64) {
    let (observers, subscribers) = (3 + seed % 3, 20 + (seed * 7) % 41);
    (
        World::new(seed, observers, subscribers as usize, config()),
        observers,
    )
}

fn play(mut world: World, observers: u64) -> Seen {
    world.window = 512;
    world.reads_fail = world.random(100);
    world.apply_delay = 1 + world.random(200 * MS);
    (0..30).for_each(|_| change(&mut world));
    let end = world.now + 10 * SECOND;
    while world.now < end {
        let pause = world.random(150 * MS);
        world.run_for(pause);
        change(&mut world);
        if world.random(3) == 0 {
            trouble(&mut world, observers);
        }
    }
    mend(&mut world, observers);
    world.run_for(10 * SECOND);
    let late: Vec<String> = world
        .not_current()
        .into_iter()
        .map(|n| world.describe(n))
        .collect();
    assert!(late.is_empty(), "not current at the end: {late:?}");
    world.seen
}

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
            Ok(one) => seen.lock().unwrap().add(&one),
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
        Mutant::AnswersByEarlierRead,
        Mutant::AnswersFromOwnCopy,
        Mutant::AgeFromAnswer,
        Mutant::SkipsHeldBack,
        Mutant::TakesGaps,
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
