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
    0x62eb_452f_0515_f896,
    0x86fa_583c_541f_fa01,
    0xf8a0_881b_f6f2_c018,
    0x1964_1527_71f7_d638,
    0xf212_4d0a_74c4_c710,
    0x4cac_27b7_05bf_d89e,
    0xe09d_e4fc_1a2d_1f24,
    0x05db_d355_ac11_7037,
    0x902f_bd6f_edd1_0dd4,
    0x5ebd_23e6_fdeb_c8ce,
    0xf201_075b_d8cc_4701,
    0x5632_f589_f0da_5435,
    0xde25_962b_8485_b614,
    0x2f53_fc57_f1db_70a0,
    0x406e_4955_ccd4_9060,
    0xfe4c_c357_bd5a_b3d8,
    0x5df1_5b2d_7153_1ae8,
    0xec6b_1976_cf02_c2f1,
    0xb577_ebb5_1cb8_6595,
    0x6ebf_06fd_f7c7_6710,
    0x7fb8_dd9d_4398_3557,
    0xb36b_6a08_e89a_1d0a,
    0x3843_dd9b_41be_7636,
    0xd2e9_4af0_af10_0eb5,
];
