//! Simulates clusters of three replicas with a simulated clock and network. The replicas use the
//! real storage code over files in memory, and are killed, suspended and partitioned. The clients'
//! histories have to be linearizable, no command may be carried out twice, and the staleness guard
//! may not permit routing by state older than its limit. `SEED=n` replays a single seed; `SEEDS=n`
//! sets the number of seeds.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

mod clients;
mod cluster;
mod digest;
mod effects;
mod faults;
mod server;

use clients::{CLIENTS, KEYS};
use cluster::{Guard, SimulatedCluster, SECOND};
use digest::Digest;
use violetgate_linearizability::{first_operations_on, is_linearizable};

/// The simulated time at which a run ends, in microseconds. The clock starts at one second.
const END: u64 = 16 * SECOND;

/// Runs the simulation with one seed until [`END`].
fn run(seed: u64, guard: Guard) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, guard);
    while cluster.now < END {
        cluster.step();
    }
    cluster
}

/// Runs the simulation with one seed and checks the history. Returns the numbers of finished
/// operations, of checks in which a server could route, and of checks in which it could not.
fn check(seed: u64, guard: Guard) -> [u64; 3] {
    let mut cluster = run(seed, guard);
    for client in 0..CLIENTS {
        cluster.end_operation(client, None);
    }
    for key in 0..KEYS {
        let operations = first_operations_on(&cluster.history, key);
        assert!(
            is_linearizable(&operations),
            "key {key} is not linearizable: {operations:#?}"
        );
    }
    let finished = cluster.history.iter().filter(|o| o.finished_at.is_some());
    [
        finished.count() as u64,
        cluster.routable_checks,
        cluster.stale_checks,
    ]
}

#[test]
fn client_histories_are_linearizable() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seeds = number("SEED").map_or(0..number("SEEDS").unwrap_or(60), |seed| seed..seed + 1);
    let mut sums = [0; 3];
    for seed in seeds {
        let result = std::panic::catch_unwind(|| check(seed, Guard::Active));
        let counts =
            result.unwrap_or_else(|_| panic!("seed {seed} failed: SEED={seed} replays it"));
        sums.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
    }
    println!("finished operations, routable checks, stale checks: {sums:?}");
    assert!(
        std::env::var("SEED").is_ok() || sums.iter().all(|sum| *sum > 1_000),
        "each count has to exceed 1000 (operations, routable checks, stale checks): {sums:?}"
    );
}

/// The simulation detects replicas that route regardless of the staleness guard.
#[test]
fn an_ignored_guard_is_detected() {
    let fails = |seed| std::panic::catch_unwind(|| check(seed, Guard::Ignored)).is_err();
    assert!(
        (0..60).any(fails),
        "the checks don't detect with any seed that the guard is ignored"
    );
}

/// The replicas of a simulated cluster request the same effects in the same order as at commit
/// 5065b36, before the code was restructured. A change that alters a digest changes behaviour.
#[test]
fn effects_match_the_stored_digests() {
    let digests: Vec<u64> = (0..DIGESTS.len() as u64)
        .map(|group| {
            let mut digest = Digest::default();
            for seed in (0..SEEDS_PER_DIGEST).map(|n| 1_000 + group * SEEDS_PER_DIGEST + n) {
                add_run(&mut digest, &run(seed, Guard::Active));
            }
            digest.value()
        })
        .collect();
    assert_eq!(digests, DIGESTS, "{digests:#018x?}");
}

/// Adds the effects of a cluster's run, the final state of its replicas and the numbers of guard
/// checks.
fn add_run(digest: &mut Digest, cluster: &SimulatedCluster) {
    digest.number(cluster.digest.value());
    for replica in cluster.servers.values().filter_map(|s| s.replica.as_ref()) {
        digest.number(replica.applied());
        digest.bytes(&replica.store().to_snapshot());
    }
    digest.number(cluster.routable_checks);
    digest.number(cluster.stale_checks);
}

/// Number of seeds per stored digest.
const SEEDS_PER_DIGEST: u64 = 5;

/// The digests of consecutive groups of seeds, starting at seed 1000.
const DIGESTS: [u64; 24] = [
    0x3e7b_7e4d_a640_d035,
    0xf1f1_72d3_97ab_d8ae,
    0x4c4c_6df1_01b9_369d,
    0x88ed_ffbe_f9d0_d613,
    0xbb6d_bbfc_1925_d36b,
    0x5157_e21d_25ac_0bcf,
    0xa430_a5d4_dac3_6fd9,
    0x535e_0b0e_5633_7070,
    0x7f2f_4036_ad28_db4c,
    0x4a7d_f511_91b2_92d9,
    0x4ded_1e6a_2fa2_181a,
    0x3cb4_6cf2_0df3_7d08,
    0xc00f_ecf7_a416_4ae4,
    0x1241_0700_a659_71f0,
    0x3180_f60a_57b1_3049,
    0x3bff_225d_f207_5a0c,
    0xfe8b_b2d5_7837_b22a,
    0xe45d_34e5_f151_5e0f,
    0x5072_4803_2c7d_f5d3,
    0x21ba_d296_1c15_d7e4,
    0x529c_f55d_b7d2_d845,
    0x3b15_147a_e239_a42f,
    0x24c5_a436_63b0_be5e,
    0x09ff_4c09_84b6_11c7,
];
