//! A random scenario of a whole fleet: changes are agreed on while connections break, links are
//! cut, processes stop, die and restart, and the history is compacted. At the end all faults are
//! repaired, and every gateway has to be current.

use violetgate_replicated_state::{Mutation, Operation, Txn};
use violetgate_state_distribution::ObserverConfig;

use super::{World, MS, SECOND};

fn config() -> ObserverConfig {
    ObserverConfig {
        capacity: 50,
        max_concurrent_snapshots: 4,
        chunk_bytes: 256,
        send_queue_bytes: 1 << 10,
        load_report_interval: SECOND,
        ..ObserverConfig::default_for("fleet", 1)
    }
}

/// Adds a random command to the agreed history: a compaction, a deletion, or a change of some keys.
fn change(world: &mut World) {
    match world.random(20) {
        0 => {
            let back = world.random(30);
            let to = world.agreed_store.revision().saturating_sub(back);
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

/// Injects a random fault, or repairs some faults.
fn inject_fault(world: &mut World, observers: u64) {
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

fn repair_all(world: &mut World, observers: u64) {
    world.cut.clear();
    world.cut_upstream.clear();
    (world.read_delay, world.failed_reads_per_thousand) = (10 * MS, 0);
    (1..=observers).for_each(|id| world.start_observer(id));
    world.resume_all();
}

/// Creates the fleet of a seed. Also returns the number of its observers.
pub fn world_for_seed(seed: u64) -> (World, u64) {
    let (observers, subscribers) = (3 + seed % 3, 20 + (seed * 7) % 41);
    (
        World::new(seed, observers, subscribers as usize, config()),
        observers,
    )
}

/// Runs the world for ten seconds with faults and ten seconds without, checks that every gateway is
/// current, and returns the world.
pub fn run_scenario(mut world: World, observers: u64) -> World {
    world.window = 512;
    world.failed_reads_per_thousand = world.random(100);
    world.apply_delay = 1 + world.random(200 * MS);
    (0..30).for_each(|_| change(&mut world));
    let end = world.now + 10 * SECOND;
    while world.now < end {
        let pause = world.random(150 * MS);
        world.run_for(pause);
        change(&mut world);
        if world.random(3) == 0 {
            inject_fault(&mut world, observers);
        }
    }
    repair_all(&mut world, observers);
    world.run_for(10 * SECOND);
    let late: Vec<String> = world
        .not_current()
        .into_iter()
        .map(|n| world.describe(n))
        .collect();
    assert!(
        late.is_empty(),
        "gateways that are not current at the end: {late:?}"
    );
    world
}
