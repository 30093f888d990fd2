//! Fault injection: kills, pauses, network cuts and restarts, one after another.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::RngCore;
use violetgate_acceptance::daemon::Instance;

use crate::scenario::{lock, random_pause, Random, Scenario};

/// Kills, stops, cuts off and restarts, one thing after another.
pub fn inject_faults(
    scenario: &Scenario<'_>,
    span: Duration,
    mut rng: Random,
) -> BTreeMap<&'static str, u64> {
    let mut made = BTreeMap::new();
    let cluster = scenario.cluster;
    while scenario.begun.elapsed() < span {
        std::thread::sleep(random_pause(&mut rng, 300, 1_500));
        let one = cluster.any(rng.next_u64());
        let what = match rng.next_u64() % 8 {
            0 | 1 => {
                one.kill();
                std::thread::sleep(random_pause(&mut rng, 50, 2_000));
                let _ = one.restart();
                "killed"
            }
            2 => {
                // Whoever leads, and surely so.
                let leader = cluster.leader().unwrap_or(one);
                leader.kill();
                std::thread::sleep(random_pause(&mut rng, 50, 3_000));
                let _ = leader.restart();
                "leader killed"
            }
            3 => {
                let leader = cluster.leader().unwrap_or(one);
                leader.pause(true);
                std::thread::sleep(random_pause(&mut rng, 200, 4_500));
                leader.pause(false);
                "leader stopped"
            }
            4 => {
                one.pause(true);
                std::thread::sleep(random_pause(&mut rng, 200, 4_500));
                one.pause(false);
                "stopped"
            }
            5 => {
                let one = if rng.next_u64() % 2 == 0 {
                    cluster.leader().unwrap_or(one)
                } else {
                    one
                };
                cluster.mesh.isolate(one.id, true);
                lock(&scenario.isolated).insert(one.id, Instant::now());
                std::thread::sleep(random_pause(&mut rng, 2_500, 6_000));
                lock(&scenario.isolated).remove(&one.id);
                cluster.mesh.isolate(one.id, false);
                "cut off"
            }
            6 => {
                // One direction alone.
                let to = cluster.any(one.id).id;
                cluster.mesh.cut(one.id, to, true);
                std::thread::sleep(random_pause(&mut rng, 500, 4_000));
                cluster.mesh.cut(one.id, to, false);
                "cut one way"
            }
            _ => {
                cluster.instances.iter().for_each(Instance::kill);
                std::thread::sleep(random_pause(&mut rng, 0, 500));
                cluster.instances.iter().for_each(|i| drop(i.restart()));
                "all killed"
            }
        };
        *made.entry(what).or_default() += 1;
    }
    made
}
