//! The failures that observers are built for, at a size near a real fleet's: observers that die
//! under their subscribers, voters out of reach, a zone that returns.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod world;

use violetgate_state_distribution::ObserverConfig;
use world::{World, MS, SECOND};

/// A fleet in which all are current. Each observer takes as many connections as there are front
/// ends.
fn fleet(seed: u64, observers: u64, front_ends: usize) -> World {
    let capacity = front_ends as u32;
    let config = ObserverConfig {
        chunk_bytes: 500,
        capacity,
        ..ObserverConfig::default_for("fleet", 1)
    };
    let mut world = World::new(seed, observers, front_ends, config);
    (0..20).for_each(|n| world.put(&[(n, 100)]));
    world.run_for(6 * SECOND);
    assert_current(&world);
    world
}

fn assert_current(world: &World) {
    let late = world.not_current();
    let first: Vec<String> = late.iter().take(3).map(|n| world.describe(*n)).collect();
    assert!(late.is_empty(), "{} not current: {first:?}", late.len());
}

/// A change a second.
fn run_with_changes(world: &mut World, seconds: u64) {
    for n in 0..seconds {
        world.put(&[(n % 20, 100)]);
        world.run_for(SECOND);
    }
}

/// The busiest observer's connections by the mean of those that live, in percent.
fn spread(world: &World) -> usize {
    let live = world
        .observers
        .values()
        .filter_map(|process| process.core.as_ref());
    let counts: Vec<usize> = live.map(|core| core.sizes().subscribers).collect();
    println!("connections by observer: {counts:?}");
    counts.iter().max().unwrap() * counts.len() * 100 / counts.iter().sum::<usize>()
}

#[test]
fn an_observer_dies_under_1900_subscribers_and_no_gate_shuts() {
    // Each of the four observers has 1,900 connections.
    let mut world = fleet(1, 4, 3_800);
    let under = world.observers[&1]
        .core
        .as_ref()
        .unwrap()
        .sizes()
        .subscribers;
    assert!(
        (1_700..2_100).contains(&under),
        "{under} under the one that dies"
    );
    assert!(spread(&world) <= 130);
    let (shut, snapshots) = (world.seen.gates_shut, world.seen.snapshots);
    world.kill_observer(1);
    run_with_changes(&mut world, 10);
    assert_eq!(world.seen.gates_shut, shut, "moments with a gate shut");
    assert_eq!(
        world.seen.snapshots, snapshots,
        "all go on from the revision that they hold"
    );
    assert!(spread(&world) <= 130);
    world.run_for(SECOND);
    assert_current(&world);
}

#[test]
fn a_silent_observer_is_left_before_any_gate_shuts() {
    let mut world = fleet(2, 4, 950);
    let shut = world.seen.gates_shut;
    let until = world.now + 60 * SECOND;
    world.observers.get_mut(&1).unwrap().paused_until = until;
    run_with_changes(&mut world, 10);
    assert_eq!(world.seen.gates_shut, shut, "moments with a gate shut");
    let holds_it = |n: &usize| world.subscribers[*n].core.held_observers().watched == Some(1);
    assert_eq!(
        (0..950).filter(holds_it).count(),
        0,
        "still watch the silent one"
    );
}

#[test]
fn two_observers_die_at_once() {
    let mut world = fleet(3, 6, 1_900);
    let shut = world.seen.gates_shut;
    world.kill_observer(1);
    world.kill_observer(2);
    run_with_changes(&mut world, 10);
    assert_eq!(world.seen.gates_shut, shut, "moments with a gate shut");
    assert!(spread(&world) <= 130);
    world.run_for(SECOND);
    assert_current(&world);
}

#[test]
fn gates_shut_while_the_voters_are_out_of_reach_and_open_after() {
    let mut world = fleet(4, 4, 950);
    world.cut_upstream.extend(1..=4);
    let connections = world.seen.connections;
    // A read that was confirmed before the cut may still end.
    world.run_for(2 * SECOND + 100 * MS);
    let open = world
        .subscribers
        .iter()
        .filter(|process| process.core.may_route(world.now).is_ok());
    assert_eq!(open.count(), 0, "gates open after the drain limit");
    world.run_for(30 * SECOND);
    let tried = world.seen.connections - connections;
    println!("{tried} connections in half a minute without voters");
    assert!(
        tried < 8 * 950,
        "{tried} connections: observers are changed without end"
    );
    world.cut_upstream.clear();
    world.run_for(3 * SECOND);
    let shut = world
        .subscribers
        .iter()
        .filter(|process| process.core.may_route(world.now).is_err());
    assert_eq!(shut.count(), 0, "gates shut 3 s after");
}

#[test]
fn an_observer_that_returns_fills_again_slowly() {
    let mut world = fleet(5, 4, 380);
    world.kill_observer(1);
    world.run_for(10 * SECOND);
    world.start_observer(1);
    let shut = world.seen.gates_shut;
    let mut taken = vec![0];
    for _ in 0..8 {
        world.run_for(30 * SECOND);
        taken.push(
            world.observers[&1]
                .core
                .as_ref()
                .unwrap()
                .sizes()
                .subscribers,
        );
    }
    println!("the returned one has, each 30 s: {taken:?}");
    let most = taken
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .max()
        .unwrap();
    assert!(most < 90, "{most} came within 30 s: {taken:?}");
    assert!(*taken.last().unwrap() > 50, "it fills: {taken:?}");
    assert_eq!(world.seen.gates_shut, shut, "moments with a gate shut");
}

#[test]
fn a_zone_returns_and_snapshots_at_once_are_bounded() {
    let mut world = fleet(6, 6, 1_520);
    (0..760).for_each(|n| world.restart_subscriber(n));
    world.run_for(3 * SECOND);
    let seen = &world.seen;
    println!(
        "snapshots at once: {}, queued: {}",
        seen.most_snapshots, seen.most_snapshots_queued
    );
    assert!(
        seen.most_snapshots <= 64,
        "{} snapshots at once",
        seen.most_snapshots
    );
    assert!(seen.queued > 0, "none waited for its turn");
    assert_current(&world);
}
