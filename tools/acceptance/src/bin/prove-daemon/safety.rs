//! What must never happen, whatever faults come: missing or mixed answers, duplicated effects,
//! sends on stale state, histories that are not linearizable.

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
use crate::scenario::{random, Scenario, Tally, STALENESS_LIMIT};
use crate::Arguments;

/// Clients at a time.
const CLIENTS: u64 = 8;
/// Operators at a time.
const OPERATORS: u64 = 4;

/// The findings of a safety run.
struct Findings {
    /// How often each kind of fault was injected.
    faults: BTreeMap<&'static str, u64>,
    /// All instances routed again after the last fault.
    settled: bool,
    /// Calls whose history was checked, and keys whose history fits no order.
    checked_calls: usize,
    not_linearizable: u64,
}

/// Runs clients, operators and faults for the given time, and holds what they saw to the rules.
pub fn check(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let fleet = FakeUpstreams::start(4, Profile::default())?;
    let cluster = Cluster::start(&arguments.program, &fleet, 3, "  snapshot_every = 400\n")?;
    let scenario = Scenario {
        cluster: &cluster,
        fleet: &fleet,
        tally: Tally::default(),
        isolated: Mutex::default(),
        history: Mutex::default(),
        begun: Instant::now(),
        over: AtomicBool::new(false),
        rid: AtomicU64::new(1),
    };
    let faults = play(&scenario, arguments);
    let settled = cluster.wait_until_ready(Duration::from_secs(10));
    let history = lock(&scenario.history);
    let keys = history.iter().map(|call| call.key).max().unwrap_or(0);
    let findings = Findings {
        faults,
        settled,
        checked_calls: (0..=keys)
            .map(|key| first_operations_on(&history, key).len())
            .sum(),
        not_linearizable: (0..=keys)
            .filter(|key| !is_linearizable(&first_operations_on(&history, *key)))
            .count() as u64,
    };
    describe(&scenario.tally, &findings);
    judge(&scenario, &findings, arguments, verdict);
    let tally = &scenario.tally;
    if count(&tally.unanswered) + count(&tally.stale) + findings.not_linearizable > 0 || !settled {
        print_logs(&cluster);
    }
    Ok(())
}

/// Runs all threads until the faults are over; how often each fault was injected.
fn play(scenario: &Scenario<'_>, arguments: &Arguments) -> BTreeMap<&'static str, u64> {
    let seed = arguments.seed;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || run_client(scenario, client, random(seed, 100 + client)));
        }
        for operator in 0..OPERATORS {
            scope.spawn(move || run_operator(scenario, operator, random(seed, 200 + operator)));
        }
        scope.spawn(move || cordon_engines(scenario, random(seed, 300)));
        let span = Duration::from_secs(arguments.seconds);
        let faults = inject_faults(scenario, span, random(seed, 400));
        scenario.over.store(true, SeqCst);
        faults
    })
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(SeqCst)
}

fn describe(tally: &Tally, findings: &Findings) {
    let faults = findings.faults.iter();
    let faults: Vec<_> = faults
        .map(|(what, times)| format!("{what} {times}"))
        .collect();
    println!("trouble: {}", faults.join(", "));
    println!(
        "clients: {} served, {} refused, {} failed, {} cut off by what was done to their instance, {} given up; \
         operators: {} changes agreed on, {} of unknown fate, {} engines called out, {} calls checked",
        count(&tally.served),
        count(&tally.refused),
        count(&tally.failed),
        count(&tally.excused),
        count(&tally.unserved),
        count(&tally.changes),
        count(&tally.unsure),
        count(&tally.cordons),
        findings.checked_calls,
    );
}

/// Holds the run to the rules. The names of the figures are what the last line has always shown.
fn judge(
    scenario: &Scenario<'_>,
    findings: &Findings,
    arguments: &Arguments,
    verdict: &mut Verdict,
) {
    let tally = &scenario.tally;
    let counts = scenario.fleet.counts();
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
        counts.latest_after_cordon.as_secs_f64(),
        STALENESS_LIMIT.as_secs_f64(),
    );
    verdict.exactly("not_linearizable", findings.not_linearizable, 0);
    verdict.exactly("crashed", crashed, 0);
    verdict.exactly("unsettled", u64::from(!findings.settled), 0);
    // A run in which nothing happens proves nothing.
    let happened = count(&tally.served) > 20 * arguments.seconds
        && count(&tally.changes) > 5 * arguments.seconds
        && count(&tally.cordons) > 0;
    verdict.exactly("too_little_happened", u64::from(!happened), 0);
}

/// Prints the last lines that each instance logged about its cluster.
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
