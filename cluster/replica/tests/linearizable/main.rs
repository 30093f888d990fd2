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
    0x1255_decc_8560_7223,
    0xbc24_815a_faf3_628b,
    0x6e62_dfa9_30fb_eaa4,
    0xfb7c_e4ff_b232_06c7,
    0xdd19_a757_b02c_7393,
    0x84f6_d524_4b98_662b,
    0x6376_f94d_34b5_035d,
    0x65eb_257a_80a1_a2ce,
    0xa625_f551_52a9_9fe4,
    0x51e2_e3c3_43db_afae,
    0x3d97_ddea_9ed0_b950,
    0xd3bb_6dad_ea9e_9f8d,
    0x2b06_e1bf_cde9_1c13,
    0x096d_fc8e_6398_b55a,
    0x2f28_4afc_6c38_a943,
    0x8fe8_ff67_0b92_cb93,
    0x75ad_d562_27e3_69f9,
    0x62aa_48c3_5b9a_07e9,
    0xe611_0974_76af_5512,
    0xbb0b_e8c6_ccdc_0969,
    0x7fdc_6ea2_08a1_3cde,
    0xe675_3068_3ff5_0d0b,
    0x4e77_c7d0_515b_7e72,
    0xc00e_6a07_8745_b7b4,
];
