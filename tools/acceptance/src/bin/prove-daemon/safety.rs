//! Checks the rules that hold under any fault: no missing or mixed answers, no duplicated effects,
//! no sends on stale state, and linearizable histories.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use violetgate_acceptance::cluster::{Cluster, Instance};
use violetgate_acceptance::{Result, Verdict};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_linearizability::{first_operations_on, is_linearizable};
use violetgate_test_harness::lock;

use crate::clients::run_client;
use crate::faults::inject_faults;
use crate::operators::{cordon_engines, run_operator};
use crate::scenario::{seeded_rng, Scenario, Tally, STALENESS_LIMIT};
use crate::Arguments;

/// The number of concurrent clients.
const CLIENTS: u64 = 8;
/// The number of concurrent operators, without the one that cordons engines.
const OPERATORS: u64 = 4;

/// The findings of a safety run.
struct Findings {
    /// How often each kind of fault was injected.
    faults: BTreeMap<&'static str, u64>,
    /// Whether all instances routed requests again after the last fault.
    recovered: bool,
    /// The number of operators' calls in the checked histories.
    checked_calls: usize,
    /// The number of keys whose history is not linearizable.
    not_linearizable: u64,
}

/// Runs clients and operators under faults for the given time, and checks the results against the
/// rules.
pub fn check(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(4, Profile::default())?;
    let cluster = Cluster::start(&arguments.program, &engines, 3, "  snapshot_every = 400\n")?;
    let scenario = Scenario {
        cluster: &cluster,
        engines: &engines,
        tally: Tally::default(),
        isolated: Mutex::default(),
        history: Mutex::default(),
        begun: Instant::now(),
        over: AtomicBool::new(false),
        next_request_id: AtomicU64::new(1),
    };
    let faults = run_threads(&scenario, arguments);
    let recovered = cluster.wait_until_ready(Duration::from_secs(10));
    let history = lock(&scenario.history);
    let keys = history.iter().map(|call| call.key).max().unwrap_or(0);
    let findings = Findings {
        faults,
        recovered,
        checked_calls: (0..=keys)
            .map(|key| first_operations_on(&history, key).len())
            .sum(),
        not_linearizable: (0..=keys)
            .filter(|key| !is_linearizable(&first_operations_on(&history, *key)))
            .count() as u64,
    };
    print_summary(&scenario.tally, &findings);
    add_figures(&scenario, &findings, arguments, verdict);
    let tally = &scenario.tally;
    if count(&tally.unanswered) + count(&tally.stale) + findings.not_linearizable > 0 || !recovered
    {
        print_logs(&cluster);
    }
    Ok(())
}

/// Runs all threads until the faults are over. Returns how often each kind of fault was injected.
fn run_threads(scenario: &Scenario<'_>, arguments: &Arguments) -> BTreeMap<&'static str, u64> {
    let seed = arguments.seed;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || run_client(scenario, client, seeded_rng(seed, 100 + client)));
        }
        for operator in 0..OPERATORS {
            scope.spawn(move || run_operator(scenario, operator, seeded_rng(seed, 200 + operator)));
        }
        scope.spawn(move || cordon_engines(scenario, seeded_rng(seed, 300)));
        let span = Duration::from_secs(arguments.seconds);
        let faults = inject_faults(scenario, span, seeded_rng(seed, 400));
        scenario.over.store(true, SeqCst);
        faults
    })
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(SeqCst)
}

fn print_summary(tally: &Tally, findings: &Findings) {
    let faults = findings.faults.iter();
    let faults: Vec<_> = faults
        .map(|(what, times)| format!("{what} {times}"))
        .collect();
    println!("faults: {}", faults.join(", "));
    println!(
        "clients: {} served, {} refused, {} failed, {} unanswered during a kill or pause, \
         {} not served in time; operators: {} calls answered, {} with an unknown outcome, \
         {} cordons, {} calls checked",
        count(&tally.served),
        count(&tally.refused),
        count(&tally.failed),
        count(&tally.disrupted),
        count(&tally.unserved),
        count(&tally.answered_calls),
        count(&tally.unknown_outcome),
        count(&tally.cordons),
        findings.checked_calls,
    );
}

/// Adds the figures of the run and their bounds. The names of the figures stay unchanged, so that
/// they can be compared with those of earlier runs.
fn add_figures(
    scenario: &Scenario<'_>,
    findings: &Findings,
    arguments: &Arguments,
    verdict: &mut Verdict,
) {
    let tally = &scenario.tally;
    let counts = scenario.engines.counts();
    let instances = &scenario.cluster.instances;
    let effects = counts.effects.values().copied().max().unwrap_or(0);
    let crashed: u64 = instances.iter().map(Instance::crash_count).sum();
    verdict.figure("seconds", arguments.seconds);
    verdict.figure("served", count(&tally.served));
    verdict.figure("troubles", findings.faults.values().sum::<u64>());
    verdict.exactly("lost", count(&tally.unanswered), 0);
    verdict.exactly("mixed", count(&tally.mixed), 0);
    verdict.exactly("effects_a_key", u64::from(effects), 1);
    verdict.exactly("sent_on_stale_state", count(&tally.stale), 0);
    verdict.at_most(
        "send_after_call_out_s",
        counts.longest_after_cordon.as_secs_f64(),
        STALENESS_LIMIT.as_secs_f64(),
    );
    verdict.exactly("not_linearizable", findings.not_linearizable, 0);
    verdict.exactly("crashed", crashed, 0);
    verdict.exactly("unsettled", u64::from(!findings.recovered), 0);
    // The run is only meaningful if clients and operators made enough calls.
    let happened = count(&tally.served) > 20 * arguments.seconds
        && count(&tally.answered_calls) > 5 * arguments.seconds
        && count(&tally.cordons) > 0;
    verdict.exactly("too_little_happened", u64::from(!happened), 0);
}

/// Prints the last 25 log lines of each instance that mention the cluster.
fn print_logs(cluster: &Cluster) {
    for instance in &cluster.instances {
        let log = instance.log();
        let lines: Vec<_> = log
            .lines()
            .filter(|line| line.contains("cluster"))
            .collect();
        let tail = lines
            .get(lines.len().saturating_sub(25)..)
            .unwrap_or_default();
        println!("instance {}:\n{}", instance.id, tail.join("\n"));
    }
}
