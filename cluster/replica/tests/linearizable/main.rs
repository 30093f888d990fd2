//! Clusters of three replicas over real storage in memory, on simulated time and network: killed,
//! suspended, cut off. What clients saw has to be linearizable, no command is carried out twice,
//! and the staleness guard lets nothing pass by state older than its limit. `SEED=n` replays one
//! seed alone, `SEEDS=n` runs more of them.
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

/// How long clients and faults are at work.
const DURATION: u64 = 16 * SECOND;

/// Runs one seed to its end.
fn run(seed: u64, guard: Guard) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, guard);
    while cluster.now < DURATION {
        cluster.step();
    }
    cluster
}

/// Runs one seed and checks its history; how much happened.
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
fn what_clients_see_is_linearizable() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seeds = number("SEED").map_or(0..number("SEEDS").unwrap_or(60), |seed| seed..seed + 1);
    let mut sums = [0; 3];
    for seed in seeds {
        let result = std::panic::catch_unwind(|| check(seed, Guard::Active));
        let seen = result.unwrap_or_else(|_| panic!("seed {seed}: SEED={seed} replays it"));
        sums.iter_mut().zip(seen).for_each(|(sum, n)| *sum += n);
    }
    println!("operations, checks that passed the guard, and that did not: {sums:?}");
    assert!(
        std::env::var("SEED").is_ok() || sums.iter().all(|sum| *sum > 1_000),
        "too little happens: {sums:?}"
    );
}

/// The checks work: they detect a replica that routes whatever the guard says.
#[test]
fn an_ignored_guard_is_detected() {
    let fails = |seed| std::panic::catch_unwind(|| check(seed, Guard::Ignored)).is_err();
    assert!(
        (0..60).any(fails),
        "nobody notices that the guard is ignored"
    );
}

/// All that the replicas of a simulated cluster ask for, in order, is the same as in the version
/// before the code was restructured (commit 5065b36). A change that alters a digest changes
/// behaviour.
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

/// Adds all that a cluster did, and what its replicas hold at the end.
fn add_run(digest: &mut Digest, cluster: &SimulatedCluster) {
    digest.number(cluster.digest.value());
    for replica in cluster.servers.values().filter_map(|s| s.replica.as_ref()) {
        digest.number(replica.applied());
        digest.bytes(&replica.store().to_snapshot());
    }
    digest.number(cluster.routable_checks);
    digest.number(cluster.stale_checks);
}

/// Seeds that go into one stored digest.
const SEEDS_PER_DIGEST: u64 = 5;

/// For seeds 1000 and up.
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
