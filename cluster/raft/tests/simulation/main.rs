//! Simulates whole clusters in one thread, with simulated time, network and disks. The faults are
//! message loss, delay, reordering and duplication, partitions, pauses, and crashes with writes in
//! progress; the clusters also change members and transfer snapshots. The safety properties are
//! checked after every step. A failure prints its seed. `SEED=n` runs only the seed n, and
//! `SEEDS=n` sets the number of seeds.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

mod actions;
mod checks;
mod client;
mod cluster;
mod digest;
mod faults;
mod replica;

use checks::Observed;
use cluster::{SimulatedCluster, SECOND};
use digest::Digest;
use faults::InjectedBug;

/// The simulated time in microseconds at which client requests and faults end. The simulation
/// starts at one second.
const FAULTS_END: u64 = 11 * SECOND;

/// Simulates a cluster of 3 or 5 replicas with one seed, including its convergence after the
/// faults.
fn run(seed: u64, bug: InjectedBug) -> SimulatedCluster {
    let replicas = 3 + seed % 2 * 2;
    let mut cluster = SimulatedCluster::new(seed, replicas, bug);
    while cluster.now < FAULTS_END {
        cluster.step();
    }
    cluster.converge();
    cluster
}

/// Returns the event counts of one run. The caller adds them up over all seeds.
fn totals(observed: &Observed) -> [u64; 5] {
    let committed = observed.commands.values().flatten().count() as u64;
    [
        committed,
        observed.answered_reads,
        observed.leaders.len() as u64,
        observed.installed_snapshots,
        observed.membership_changes,
    ]
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SEEDS").unwrap_or(300),
    }
}

#[test]
fn committed_entries_survive_any_faults() {
    let mut sums = [0; 5];
    for seed in seeds() {
        let result = std::panic::catch_unwind(|| totals(&run(seed, InjectedBug::None).observed));
        let seen = result.unwrap_or_else(|_| panic!("seed {seed} failed: replay with SEED={seed}"));
        sums.iter_mut().zip(seen).for_each(|(sum, n)| *sum += n);
    }
    println!("commands, reads, terms with a leader, snapshots, membership changes: {sums:?}");
    assert!(
        std::env::var("SEED").is_ok() || sums.iter().all(|sum| *sum > 100),
        "an event of some kind occurred too rarely: {sums:?}"
    );
}

/// Proves that the checks are effective: each injected bug makes a run fail with some seed.
#[test]
fn injected_bugs_are_detected() {
    for bug in [
        InjectedBug::AcknowledgesUnwritten,
        InjectedBug::ForgetsVotes,
        InjectedBug::ReadsWithoutQuorum,
    ] {
        let fails = |seed| std::panic::catch_unwind(|| run(seed, bug)).is_err();
        assert!((0..2_000).any(fails), "{bug:?} is not detected");
    }
}

/// The nodes request the same actions in the same order as in commit 5065b36, before the code was
/// restructured. A change that alters a digest changes behaviour.
#[test]
fn actions_match_the_stored_digests() {
    let digests: Vec<u64> = (0..DIGESTS.len() as u64)
        .map(|group| {
            let mut digest = Digest::default();
            for seed in (0..SEEDS_PER_DIGEST).map(|n| 1_000 + group * SEEDS_PER_DIGEST + n) {
                digest.number(run(seed, InjectedBug::None).digest.value());
            }
            digest.value()
        })
        .collect();
    assert_eq!(digests, DIGESTS, "{digests:#018x?}");
}

/// The number of seeds that are combined into one stored digest.
const SEEDS_PER_DIGEST: u64 = 10;

/// The stored digests, for consecutive groups of seeds from 1000 on.
const DIGESTS: [u64; 24] = [
    0x2a81_3077_efe6_12ba,
    0x692e_f8e6_5f0d_3a63,
    0x126c_1147_940c_969e,
    0xd455_eb73_2895_6d5f,
    0x6c7b_0789_6db0_aa24,
    0xaf79_9cc1_2c4b_8660,
    0xf433_f3de_71f6_2f93,
    0xb05a_938f_8183_9536,
    0xe86f_1a3c_e0c0_7986,
    0x218c_4e85_144f_f539,
    0xd1df_a9e5_e583_e64f,
    0xe00d_d53f_c124_26c9,
    0x2c89_acea_504e_cc34,
    0xc5b7_88dd_f0be_e6f7,
    0x555a_464d_4d54_03d3,
    0xefc4_e726_082e_de50,
    0xa341_d898_c338_bd0b,
    0x0897_9f1c_6631_2f80,
    0x3bd8_172b_c0dc_8234,
    0x2de6_a9fb_7009_3b0c,
    0xb039_19e9_22b0_0276,
    0x87ed_477f_a984_7a27,
    0xb342_d31c_b9e1_bd91,
    0x0939_24eb_762b_9442,
];
