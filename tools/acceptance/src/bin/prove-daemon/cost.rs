//! Measures the latency of commits, the failover time, and the time in which a restarted member
//! catches up.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::Value;
use violetgate_acceptance::cluster::{Cluster, Instance};
use violetgate_acceptance::load::latency_histogram;
use violetgate_acceptance::{AcceptanceError, Result, Verdict};
use violetgate_fake_upstreams::client::HttpClient;
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::Arguments;

/// How long a client waits for the answer to one change.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a restarted member may take to reach the state of the others.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);

fn quantiles_ms(latency: &Histogram<u64>) -> [f64; 2] {
    [0.5, 0.99].map(|quantile| latency.value_at_quantile(quantile) as f64 / 1e3)
}

fn record(latency: &mut Histogram<u64>, took: Duration) {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    latency.saturating_record(took_us.max(1));
}

/// The changes that clients made at the leader.
struct ChangeMeasurements {
    /// The latency of each change in microseconds.
    latency: Histogram<u64>,
    per_second: f64,
}

/// Has `clients` clients change state at the leader for `span`. Each client makes one change at a
/// time.
fn put_at_leader(cluster: &Cluster, clients: u64, span: Duration) -> ChangeMeasurements {
    let mut latency = latency_histogram();
    let Some(leader) = cluster.leader() else {
        return ChangeMeasurements {
            latency,
            per_second: 0.0,
        };
    };
    let deadline = Instant::now() + span;
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients)
            .map(|client| scope.spawn(move || put_until(leader, client, deadline)))
            .collect();
        for each in threads.into_iter().filter_map(|thread| thread.join().ok()) {
            let _ = latency.add(each);
        }
    });
    let per_second = latency.len() as f64 / begun.elapsed().as_secs_f64();
    ChangeMeasurements {
        latency,
        per_second,
    }
}

/// Has one client make changes until the deadline or until a change fails. Returns their latencies.
fn put_until(leader: &Instance, client: u64, deadline: Instant) -> Histogram<u64> {
    let mut latency = latency_histogram();
    let connected = TcpStream::connect(leader.api_addr)
        .and_then(|stream| HttpClient::new(stream, CALL_TIMEOUT));
    let Ok(mut http) = connected else {
        return latency;
    };
    let path = format!("/v1/state?key=load/{client}");
    while Instant::now() < deadline {
        let sent_at = Instant::now();
        let reply = http
            .send("PUT", &path, &[], b"0123456789abcdef")
            .and_then(|()| http.read());
        if !reply.is_ok_and(|reply| reply.status == 200) {
            break;
        }
        record(&mut latency, sent_at.elapsed());
    }
    latency
}

/// Measures the commits per second and their latency with 1 client and with 48 clients.
pub fn commits(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(2, Profile::default())?;
    let cluster = Cluster::start(
        &arguments.program,
        &engines,
        3,
        "  snapshot_every = 1000000\n",
    )?;
    let mut rates = Vec::new();
    for clients in [1, 48] {
        let puts = put_at_leader(&cluster, clients, Duration::from_secs(4));
        let [p50, p99] = quantiles_ms(&puts.latency);
        let rate = puts.per_second;
        println!(
            "commits over HTTP, {clients:>3} clients: {rate:>7.0} per second, \
             p50 {p50:.2} ms, p99 {p99:.2} ms"
        );
        rates.push((rate, p50, p99));
    }
    if let [(one, p50, p99), (many, ..)] = rates.as_slice() {
        verdict.figure("commit_p50_ms", format!("{p50:.2}"));
        verdict.at_most("commit_p99_ms", *p99, 500.0);
        verdict.figure("commits_a_second_alone", format!("{one:.0}"));
        verdict.figure("commits_a_second_batched", format!("{many:.0}"));
        verdict.at_most("alone_to_batched", one / many, 1.0);
    }
    let disk_usages = cluster.instances.iter().map(Instance::disk_usage);
    let disk: Vec<_> = disk_usages
        .map(|usage| (usage.total_bytes, usage.snapshot_bytes))
        .collect();
    println!("disk usage by member, as (total bytes, snapshot bytes): {disk:?}");
    Ok(())
}

/// Measures the time from the leader's death to the first change that the other members commit.
pub fn failover(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(2, Profile::default())?;
    let cluster = Cluster::start(&arguments.program, &engines, 3, "")?;
    let mut took = latency_histogram();
    for n in 0..arguments.failovers {
        if !cluster.wait_until_ready(Duration::from_secs(10)) {
            return Err(AcceptanceError::ClusterNotReady);
        }
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let begun = Instant::now();
        leader.kill();
        let id = format!("f-{n}");
        let others: Vec<_> = cluster
            .instances
            .iter()
            .filter(|i| i.id != leader.id)
            .collect();
        loop {
            let done = others.iter().any(|i| {
                let path = "/v1/state?key=failover&within_ms=3000";
                i.call("PUT", path, Some(&id), b"x", Duration::from_secs(4))
                    .is_ok_and(|r| r.status == 200)
            });
            if done {
                break;
            }
        }
        record(&mut took, begun.elapsed());
        leader.restart()?;
    }
    let [p50, p99] = quantiles_ms(&took);
    println!(
        "failover: {} leaders killed, next commit after p50 {p50:.0} ms, p99 {p99:.0} ms",
        took.len()
    );
    verdict.figure("failover_p50_ms", format!("{p50:.0}"));
    verdict.at_most("failover_p99_ms", p99, 1_500.0);
    Ok(())
}

/// Measures how long a restarted follower takes until it routes on current state: once with a
/// catch-up from the log, and once with one from a snapshot.
pub fn catch_up(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    for (how, every) in [("log", 1_000_000), ("snapshot", 2_000)] {
        let engines = FakeUpstreams::start(2, Profile::default())?;
        let cluster = Cluster::start(
            &arguments.program,
            &engines,
            3,
            &format!("  snapshot_every = {every}\n"),
        )?;
        let leader = cluster.leader().map_or(0, |l| l.id);
        let Some(follower) = cluster.instances.iter().find(|i| i.id != leader) else {
            continue;
        };
        follower.kill();
        let missed = put_at_leader(&cluster, 48, Duration::from_secs(5));
        let wanted = cluster.leader().map_or(0, |l| {
            l.status()
                .map_or(0, |s| s["revision"].as_u64().unwrap_or(0))
        });
        let begun = Instant::now();
        follower.restart()?;
        let current = |s: &Value| s["routes"] == true && s["revision"].as_u64() >= Some(wanted);
        while !follower.status().is_ok_and(|s| current(&s)) {
            if begun.elapsed() > CATCH_UP_TIMEOUT {
                return Err(AcceptanceError::NoCatchUp {
                    within: CATCH_UP_TIMEOUT,
                });
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        println!(
            "catch-up by {how}: a member that missed {} changes routes {ms:.0} ms after its start",
            missed.latency.len()
        );
        verdict.at_most(&format!("catch_up_by_{how}_ms"), ms, 10_000.0);
    }
    Ok(())
}
