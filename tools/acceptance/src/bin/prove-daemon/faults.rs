//! Injects faults one after another: kills with a restart, pauses and network cuts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::RngCore;
use violetgate_acceptance::cluster::Instance;
use violetgate_acceptance::network::LinkState;
use violetgate_test_harness::lock;

use crate::scenario::{random_pause, Random, Scenario};

/// Injects faults, one after another, until the run has lasted for `span`. Returns how often each
/// kind was injected.
pub fn inject_faults(
    scenario: &Scenario<'_>,
    span: Duration,
    mut rng: Random,
) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    while scenario.begun.elapsed() < span {
        std::thread::sleep(random_pause(&mut rng, 300, 1_500));
        let name = inject_one(scenario, &mut rng);
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Injects one fault and ends it. Returns its name for the output.
fn inject_one(scenario: &Scenario<'_>, rng: &mut Random) -> &'static str {
    let cluster = scenario.cluster;
    let instance = cluster.pick(rng.next_u64());
    match rng.next_u64() % 8 {
        0 | 1 => {
            kill(instance, 50, 2_000, rng);
            "killed"
        }
        2 => {
            kill(cluster.leader().unwrap_or(instance), 50, 3_000, rng);
            "leader killed"
        }
        3 => {
            pause(cluster.leader().unwrap_or(instance), rng);
            "leader stopped"
        }
        4 => {
            pause(instance, rng);
            "stopped"
        }
        5 => {
            let isolates_leader = rng.next_u64() % 2 == 0;
            let leader = isolates_leader.then(|| cluster.leader()).flatten();
            isolate(scenario, leader.unwrap_or(instance), rng);
            "cut off"
        }
        6 => {
            cut_one_way(scenario, instance, rng);
            "cut one way"
        }
        _ => {
            cluster.instances.iter().for_each(Instance::kill);
            std::thread::sleep(random_pause(rng, 0, 500));
            cluster.instances.iter().for_each(|i| drop(i.restart()));
            "all killed"
        }
    }
}

/// Kills an instance and restarts it after `least` to `most` milliseconds.
fn kill(instance: &Instance, least: u64, most: u64, rng: &mut Random) {
    instance.kill();
    std::thread::sleep(random_pause(rng, least, most));
    let _ = instance.restart();
}

fn pause(instance: &Instance, rng: &mut Random) {
    instance.pause();
    std::thread::sleep(random_pause(rng, 200, 4_500));
    instance.resume();
}

/// Cuts the links between an instance and all others in both directions for a while.
fn isolate(scenario: &Scenario<'_>, instance: &Instance, rng: &mut Random) {
    let network = &scenario.cluster.network;
    network.set_links_of(instance.id, LinkState::Cut);
    lock(&scenario.isolated).insert(instance.id, Instant::now());
    std::thread::sleep(random_pause(rng, 2_500, 6_000));
    lock(&scenario.isolated).remove(&instance.id);
    network.set_links_of(instance.id, LinkState::Up);
}

/// Cuts the link from an instance to the next one for a while. The opposite direction stays up.
fn cut_one_way(scenario: &Scenario<'_>, instance: &Instance, rng: &mut Random) {
    let network = &scenario.cluster.network;
    let to = scenario.cluster.pick(instance.id).id;
    network.set_link(instance.id, to, LinkState::Cut);
    std::thread::sleep(random_pause(rng, 500, 4_000));
    network.set_link(instance.id, to, LinkState::Up);
}
