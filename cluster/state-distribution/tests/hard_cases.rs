//! Tests failures at nearly the size of a real fleet: observers that fail while subscribers are
//! connected, voters that are unreachable, and a zone whose gateways all restart.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod world;

use violetgate_state_distribution::ObserverConfig;
use world::{World, MS, SECOND};

/// Creates a fleet in which all gateways are current. Each observer has capacity for all gateways.
fn fleet(seed: u64, observers: u64, gateways: usize) -> World {
    let capacity = gateways as u32;
    let config = ObserverConfig {
        chunk_bytes: 500,
        capacity,
        ..ObserverConfig::default_for("fleet", 1)
    };
    let mut world = World::new(seed, observers, gateways, config);
    (0..20).for_each(|n| world.put(&[(n, 100)]));
    world.run_for(6 * SECOND);
    assert_current(&world);
    world
}

fn assert_current(world: &World) {
    let not_current = world.not_current();
    let first: Vec<String> = not_current
        .iter()
        .take(3)
        .map(|n| world.describe(*n))
        .collect();
    assert!(
        not_current.is_empty(),
        "{} not current: {first:?}",
        not_current.len()
    );
}

/// Runs the world with one change per second.
fn run_with_changes(world: &mut World, seconds: u64) {
    for n in 0..seconds {
        world.put(&[(n % 20, 100)]);
        world.run_for(SECOND);
    }
}

/// Returns the largest connection count of a live observer as a percentage of the mean count.
fn max_load_percent(world: &World) -> usize {
    let live = world
        .observers
        .values()
        .filter_map(|process| process.core.as_ref());
    let counts: Vec<usize> = live.map(|core| core.sizes().subscribers).collect();
    println!("connections by observer: {counts:?}");
    counts.iter().max().unwrap() * counts.len() * 100 / counts.iter().sum::<usize>()
}

#[test]
fn an_observer_with_1900_subscribers_fails_and_routing_continues() {
    // Each of the four observers has 1,900 connections on average.
    let mut world = fleet(1, 4, 3_800);
    let subscribers = world.observers[&1]
        .core
        .as_ref()
        .unwrap()
        .sizes()
        .subscribers;
    assert!(
        (1_700..2_100).contains(&subscribers),
        "{subscribers} subscribers of the observer that fails"
    );
    assert!(max_load_percent(&world) <= 130);
    let (refused, snapshots) = (world.seen.gates_shut, world.seen.snapshots);
    world.kill_observer(1);
    run_with_changes(&mut world, 10);
    assert_eq!(
        world.seen.gates_shut, refused,
        "checks in which a gateway was not allowed to route"
    );
    assert_eq!(
        world.seen.snapshots, snapshots,
        "all subscribers resume from the revision that they hold"
    );
    assert!(max_load_percent(&world) <= 130);
    world.run_for(SECOND);
    assert_current(&world);
}

#[test]
fn subscribers_leave_a_silent_observer_before_routing_is_refused() {
    let mut world = fleet(2, 4, 950);
    let refused = world.seen.gates_shut;
    let until = world.now + 60 * SECOND;
    world.observers.get_mut(&1).unwrap().paused_until = until;
    run_with_changes(&mut world, 10);
    assert_eq!(
        world.seen.gates_shut, refused,
        "checks in which a gateway was not allowed to route"
    );
    let watches_silent = |n: &usize| world.subscribers[*n].core.held_observers().watched == Some(1);
    assert_eq!(
        (0..950).filter(watches_silent).count(),
        0,
        "subscribers that still watch the silent observer"
    );
}

#[test]
fn two_observers_fail_at_once() {
    let mut world = fleet(3, 6, 1_900);
    let refused = world.seen.gates_shut;
    world.kill_observer(1);
    world.kill_observer(2);
    run_with_changes(&mut world, 10);
    assert_eq!(
        world.seen.gates_shut, refused,
        "checks in which a gateway was not allowed to route"
    );
    assert!(max_load_percent(&world) <= 130);
    world.run_for(SECOND);
    assert_current(&world);
}

#[test]
fn routing_stops_while_the_voters_are_unreachable_and_resumes_after() {
    let mut world = fleet(4, 4, 950);
    world.cut_upstream.extend(1..=4);
    let connections = world.seen.connections;
    // A read that was confirmed before the observers were cut off from the voters may still
    // complete.
    world.run_for(2 * SECOND + 100 * MS);
    let routing = world
        .subscribers
        .iter()
        .filter(|process| process.core.may_route(world.now).is_ok());
    assert_eq!(
        routing.count(),
        0,
        "gateways that may route after the drain limit"
    );
    world.run_for(30 * SECOND);
    let reconnections = world.seen.connections - connections;
    println!("{reconnections} connections in 30 s without voters");
    assert!(
        reconnections < 8 * 950,
        "{reconnections} connections: subscribers change observers too often"
    );
    world.cut_upstream.clear();
    world.run_for(3 * SECOND);
    let refused = world
        .subscribers
        .iter()
        .filter(|process| process.core.may_route(world.now).is_err());
    assert_eq!(
        refused.count(),
        0,
        "gateways that may not route 3 s after the voters are reachable"
    );
}

#[test]
fn a_restarted_observer_gains_subscribers_slowly() {
    let mut world = fleet(5, 4, 380);
    world.kill_observer(1);
    world.run_for(10 * SECOND);
    world.start_observer(1);
    let refused = world.seen.gates_shut;
    let mut counts = vec![0];
    for _ in 0..8 {
        world.run_for(30 * SECOND);
        counts.push(
            world.observers[&1]
                .core
                .as_ref()
                .unwrap()
                .sizes()
                .subscribers,
        );
    }
    println!("subscribers of the restarted observer, every 30 s: {counts:?}");
    let largest_gain = counts
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .max()
        .unwrap();
    assert!(
        largest_gain < 90,
        "{largest_gain} subscribers connected within 30 s: {counts:?}"
    );
    assert!(
        *counts.last().unwrap() > 50,
        "too few subscribers connected: {counts:?}"
    );
    assert_eq!(
        world.seen.gates_shut, refused,
        "checks in which a gateway was not allowed to route"
    );
}

#[test]
fn concurrent_snapshots_are_bounded_when_a_zone_restarts() {
    let mut world = fleet(6, 6, 1_520);
    (0..760).for_each(|n| world.restart_subscriber(n));
    world.run_for(3 * SECOND);
    let seen = &world.seen;
    println!(
        "concurrent snapshots: {}, queued: {}",
        seen.most_snapshots, seen.most_snapshots_queued
    );
    assert!(
        seen.most_snapshots <= 64,
        "{} concurrent snapshots",
        seen.most_snapshots
    );
    assert!(seen.queued > 0, "no snapshot request was queued");
    assert_current(&world);
}
