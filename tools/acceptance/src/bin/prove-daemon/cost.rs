//! Latency of commits, time to a new leader, and time to catch up after an absence.

use std::io::Result;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::Value;
use violetgate_acceptance::daemon::{Cluster, Instance};
use violetgate_acceptance::Verdict;
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::Arguments;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!())
}

fn quantiles(h: &Histogram<u64>) -> [f64; 2] {
    [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1e3)
}

fn record(h: &mut Histogram<u64>, took: Duration) {
    h.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1));
}

/// Puts at the leader, by so many clients at once for a while: how long each took, and how many a second.
fn puts(cluster: &Cluster, clients: u64, span: Duration) -> (Histogram<u64>, f64) {
    let Some(leader) = cluster.leader() else {
        return (histogram(), 0.0);
    };
    let begun = Instant::now();
    let all = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients)
            .map(|client| {
                scope.spawn(move || {
                    let mut took = histogram();
                    let connected = std::net::TcpStream::connect(&leader.api).and_then(|s| {
                        violetgate_fake_upstreams::client::HttpClient::new(
                            s,
                            Duration::from_secs(5),
                        )
                    });
                    let Ok(mut http) = connected else { return took };
                    while begun.elapsed() < span {
                        let at = Instant::now();
                        let path = format!("/v1/state?key=load/{client}");
                        let reply = http
                            .send("PUT", &path, &[], b"0123456789abcdef")
                            .and_then(|()| http.read());
                        match reply {
                            Ok(r) if r.status == 200 => record(&mut took, at.elapsed()),
                            _ => break,
                        }
                    }
                    took
                })
            })
            .collect();
        threads
            .into_iter()
            .filter_map(|t| t.join().ok())
            .collect::<Vec<_>>()
    });
    let mut sum = histogram();
    for h in &all {
        let _ = sum.add(h);
    }
    let rate = sum.len() as f64 / begun.elapsed().as_secs_f64();
    (sum, rate)
}

/// Commits a second and their latency, by one client and by 48.
pub fn commits(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let fleet = FakeUpstreams::start(2, Profile::default())?;
    let cluster = Cluster::start(
        &arguments.program,
        &fleet,
        3,
        "  snapshot_every = 1000000\n",
    )?;
    let mut rates = Vec::new();
    for clients in [1, 48] {
        let (took, rate) = puts(&cluster, clients, Duration::from_secs(4));
        let [p50, p99] = quantiles(&took);
        println!("{clients:>3} clients change state over HTTP: {rate:>7.0} changes a second, p50 {p50:.2} ms, p99 {p99:.2} ms");
        rates.push((rate, p50, p99));
    }
    if let [(one, p50, p99), (many, ..)] = rates.as_slice() {
        verdict.figure("commit_p50_ms", format!("{p50:.2}"));
        verdict.at_most("commit_p99_ms", *p99, 500.0);
        verdict.figure("commits_a_second_alone", format!("{one:.0}"));
        verdict.figure("commits_a_second_batched", format!("{many:.0}"));
        verdict.at_most("alone_to_batched", one / many, 1.0);
    }
    let disk: Vec<_> = cluster.instances.iter().map(Instance::disk).collect();
    println!("bytes on disk, and of them snapshots, by member: {disk:?}");
    Ok(())
}

/// From the leader's death to the first change that the others agree on.
pub fn failover(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let fleet = FakeUpstreams::start(2, Profile::default())?;
    let cluster = Cluster::start(&arguments.program, &fleet, 3, "")?;
    let mut took = histogram();
    for n in 0..arguments.failovers {
        if !cluster.settle(Duration::from_secs(10)) {
            return Err(std::io::Error::other("the cluster does not settle"));
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
    let [p50, p99] = quantiles(&took);
    println!(
        "{} leaders killed: the next change is agreed on after p50 {p50:.0} ms, p99 {p99:.0} ms",
        took.len()
    );
    verdict.figure("failover_p50_ms", format!("{p50:.0}"));
    verdict.at_most("failover_p99_ms", p99, 1_500.0);
    Ok(())
}

/// How long one that was away needs until it routes on current state, by the log and by a snapshot.
pub fn catch_up(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    for (how, every) in [("log", 1_000_000), ("snapshot", 2_000)] {
        let fleet = FakeUpstreams::start(2, Profile::default())?;
        let cluster = Cluster::start(
            &arguments.program,
            &fleet,
            3,
            &format!("  snapshot_every = {every}\n"),
        )?;
        let leader = cluster.leader().map_or(0, |l| l.id);
        let Some(away) = cluster.instances.iter().find(|i| i.id != leader) else {
            continue;
        };
        away.kill();
        let (took, _) = puts(&cluster, 48, Duration::from_secs(5));
        let wanted = cluster.leader().map_or(0, |l| {
            l.status()
                .map_or(0, |s| s["revision"].as_u64().unwrap_or(0))
        });
        let begun = Instant::now();
        away.restart()?;
        let current = |s: &Value| s["routes"] == true && s["revision"].as_u64() >= Some(wanted);
        while !away.status().is_ok_and(|s| current(&s)) {
            if begun.elapsed() > Duration::from_secs(60) {
                return Err(std::io::Error::other("it never catches up"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        println!(
            "one that missed {} changes routes again {ms:.0} ms after its start, by {how}",
            took.len()
        );
        verdict.at_most(&format!("catch_up_by_{how}_ms"), ms, 10_000.0);
    }
    Ok(())
}
