//! Compares digests of all messages and states of observers and subscribers over fixed seeds with
//! stored digests. Refactoring does not change a digest; a digest that differs shows a change of
//! behaviour.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod world;

use violetgate_state_distribution::ObserverConfig;
use world::scenario::{run_scenario, world_for_seed};
use world::{Trace, World, MS, SECOND};

/// Seeds of the random scenario, each with its digest and the number of records in the digest.
const DRAWN: [(u64, u64, u64); 8] = [
    (0, 0xd581_e878_4b05_cdfe, 29_011),
    (1, 0x8ad1_2171_2d02_0eda, 38_876),
    (2, 0xa4f3_4dfe_43ec_33af, 49_830),
    (3, 0x2c0a_cb2a_1c41_6bcc, 54_603),
    (17, 0xcf89_b224_1273_14fa, 78_020),
    (42, 0x0b47_60ed_f37f_c4ed, 39_276),
    (1_234, 0xd647_889f_c4a6_a8de, 68_045),
    (99_999, 0xae71_e80c_9bdd_0332, 29_520),
];
/// The digest of the fleet with its default configuration, and the number of records in it.
const DEFAULT_CONFIG: (u64, u64) = (0xb004_0e7d_99e1_4620, 213_100);

fn digest(world: &World) -> (u64, u64) {
    let trace = world.trace.as_ref().unwrap();
    (trace.digest(), trace.records)
}

#[test]
fn drawn_scenarios_have_their_stored_digests() {
    let found = DRAWN.map(|(seed, ..)| {
        let (mut world, observers) = world_for_seed(seed);
        world.trace = Some(Trace::default());
        let (digest, records) = digest(&run_scenario(world, observers));
        (seed, digest, records)
    });
    assert_eq!(found, DRAWN, "{found:#x?}");
}

#[test]
fn a_fleet_with_default_configuration_has_its_stored_digest() {
    let mut world = World::new(5, 4, 200, ObserverConfig::default_for("fleet", 1));
    world.trace = Some(Trace::default());
    (0..50).for_each(|n| world.put(&[(n, 100), (n + 50, 5_000)]));
    world.run_for(5 * SECOND);
    world.kill_observer(1);
    (0..100).for_each(|n| world.restart_subscriber(n));
    world.put(&[(3, 60_000)]);
    world.run_for(5 * SECOND);
    world.start_observer(1);
    world.cut_upstream.extend([2, 3]);
    (0..10).for_each(|n| {
        world.put(&[(n, 200)]);
        world.run_for(300 * MS);
    });
    world.cut_upstream.clear();
    world.run_for(5 * SECOND);
    let found = digest(&world);
    assert_eq!(found, DEFAULT_CONFIG, "{found:#x?}");
}
