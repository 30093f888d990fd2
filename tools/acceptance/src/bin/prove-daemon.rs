//! `make prove-daemon`: three instances as one cluster before stand-in engines, killed, stopped, cut off and restarted at
//! random while clients query over both fronts and operators change state. Then what it costs.

use std::collections::BTreeMap;
use std::io::Result;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use violetgate_acceptance::daemon::{Cluster, Instance};
use violetgate_acceptance::{ended, inside, Verdict};
use violetgate_fake_upstreams::{Fleet, Profile};
use violetgate_linearizability::{first_operations_on, is_linearizable, Operation, OperationKind};

/// Proves the replicated daemon.
#[derive(Parser)]
struct Given {
    /// The program under proof
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Seconds of trouble
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// For what trouble comes when
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Times that the leader is killed for the time to a new one
    #[arg(long, default_value_t = 15)]
    failovers: u64,
    /// Entries of the log that is recovered
    #[arg(long, default_value_t = 1_000_000)]
    entries: u64,
    /// Only what must never happen, without figures that depend on the machine
    #[arg(long)]
    only_rules: bool,
}

/// Clients of the fronts, and operators, at a time.
const CLIENTS: u64 = 8;
const OPERATORS: u64 = 4;
/// The limit on drains, and on the age of state.
const LIMIT: Duration = Duration::from_secs(2);
/// A client waits so long for one answer.
const PATIENCE: Duration = Duration::from_secs(14);
/// A key is asked for again for so long: engines discard repeats for 12 s.
const AGAIN: Duration = Duration::from_secs(7);

type Random = ChaCha8Rng;

fn random(seed: u64, who: u64) -> Random {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(who);
    rng
}

fn between(rng: &mut Random, least: u64, most: u64) -> Duration {
    Duration::from_millis(least + rng.next_u64() % (most - least))
}

fn main() -> ExitCode {
    ended("prove-daemon", prove(&Given::parse()))
}

fn prove(given: &Given) -> Result<bool> {
    let mut verdict = Verdict::default();
    if !given.only_rules {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {cores} cores; three instances, the engines and the load share them over loopback"
        );
        commits(given, &mut verdict)?;
        failover(given, &mut verdict)?;
        catch_up(given, &mut verdict)?;
        inside::gate(&mut verdict)?;
        inside::recovery(given.entries, &mut verdict)?;
    }
    trouble(given, &mut verdict)?;
    Ok(verdict.tell("daemon"))
}

// What must never happen.

#[derive(Default)]
struct Tally {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Connections that broke, or answers that never came, at an instance that nothing was done to.
    lost: AtomicU64,
    /// The same at one that was killed or stopped meanwhile.
    excused: AtomicU64,
    /// Requests that no instance served in their time.
    unserved: AtomicU64,
    mixed: AtomicU64,
    /// Answers from engines to requests that came to an instance that had been cut off for longer than the limit.
    stale: AtomicU64,
    changes: AtomicU64,
    unsure: AtomicU64,
    calls_out: AtomicU64,
    slowest: AtomicU64,
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, SeqCst);
}

struct Scene<'a> {
    cluster: &'a Cluster,
    fleet: &'a Fleet,
    tally: Tally,
    /// Since when an instance has been cut off from both others, by its id.
    isolated: Mutex<BTreeMap<u64, Instant>>,
    history: Mutex<Vec<Operation>>,
    begun: Instant,
    over: AtomicBool,
    rid: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn trouble(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(4, Profile::default())?;
    let cluster = Cluster::start(&given.program, &fleet, 3, "  snapshot_every = 400\n")?;
    let scene = Scene {
        cluster: &cluster,
        fleet: &fleet,
        tally: Tally::default(),
        isolated: Mutex::default(),
        history: Mutex::default(),
        begun: Instant::now(),
        over: AtomicBool::new(false),
        rid: AtomicU64::new(1),
    };
    let made = std::thread::scope(|scope| {
        let scene = &scene;
        for client in 0..CLIENTS {
            scope.spawn(move || ask_for_ever(scene, client, random(given.seed, 100 + client)));
        }
        for operator in 0..OPERATORS {
            scope.spawn(move || operate(scene, operator, random(given.seed, 200 + operator)));
        }
        scope.spawn(move || call_out(scene, random(given.seed, 300)));
        let made = disturb(
            scene,
            Duration::from_secs(given.seconds),
            random(given.seed, 400),
        );
        scene.over.store(true, SeqCst);
        made
    });
    let settled = cluster.settle(Duration::from_secs(10));
    let t = &scene.tally;
    let get = |c: &AtomicU64| c.load(SeqCst);
    let counts = fleet.counts();
    let history = lock(&scene.history);
    let keys = history.iter().map(|d| d.key).max().unwrap_or(0);
    let unfit = (0..=keys)
        .filter(|k| !is_linearizable(&first_operations_on(&history, *k)))
        .count() as u64;
    let checked: usize = (0..=keys)
        .map(|k| first_operations_on(&history, k).len())
        .sum();
    let effects = counts.effects.values().copied().max().unwrap_or(0);
    println!(
        "trouble: {}",
        made.iter()
            .map(|(what, n)| format!("{what} {n}"))
            .collect::<Vec<_>>()
            .join(", ")
    );
    println!(
        "clients: {} served, {} refused, {} failed, {} cut off by what was done to their instance, {} given up; \
         operators: {} changes agreed on, {} of unknown fate, {} engines called out, {checked} calls checked",
        get(&t.served),
        get(&t.refused),
        get(&t.failed),
        get(&t.excused),
        get(&t.unserved),
        get(&t.changes),
        get(&t.unsure),
        get(&t.calls_out),
    );
    verdict.figure("seconds", given.seconds);
    verdict.figure("served", get(&t.served));
    verdict.figure("troubles", made.values().sum::<u64>());
    verdict.exactly("lost", get(&t.lost), 0);
    verdict.exactly("mixed", get(&t.mixed), 0);
    verdict.exactly("effects_a_key", u64::from(effects), 1);
    verdict.exactly("sent_on_stale_state", get(&t.stale), 0);
    verdict.at_most(
        "send_after_call_out_s",
        counts.latest_after_call.as_secs_f64(),
        LIMIT.as_secs_f64(),
    );
    verdict.exactly("not_linearizable", unfit, 0);
    let crashed: u64 = cluster.instances.iter().map(|i| get(&i.crashed)).sum();
    verdict.exactly("crashed", crashed, 0);
    verdict.exactly("unsettled", u64::from(!settled), 0);
    // A proof in which nothing happens proves nothing.
    let happened = get(&t.served) > 20 * given.seconds
        && get(&t.changes) > 5 * given.seconds
        && get(&t.calls_out) > 0;
    verdict.exactly("too_little_happened", u64::from(!happened), 0);
    if get(&t.lost) + get(&t.stale) + unfit > 0 || !settled {
        for instance in &cluster.instances {
            let log = instance.log();
            let tail: Vec<_> = log
                .lines()
                .rev()
                .filter(|l| l.contains("cluster"))
                .take(25)
                .collect();
            println!(
                "instance {}:\n{}",
                instance.id,
                tail.into_iter().rev().collect::<Vec<_>>().join("\n")
            );
        }
    }
    Ok(())
}

/// Kills, stops, cuts off and restarts, one thing after another.
fn disturb(scene: &Scene<'_>, span: Duration, mut rng: Random) -> BTreeMap<&'static str, u64> {
    let mut made = BTreeMap::new();
    let cluster = scene.cluster;
    while scene.begun.elapsed() < span {
        std::thread::sleep(between(&mut rng, 300, 1_500));
        let one = cluster.any(rng.next_u64());
        let what = match rng.next_u64() % 8 {
            0 | 1 => {
                one.kill();
                std::thread::sleep(between(&mut rng, 50, 2_000));
                let _ = one.restart();
                "killed"
            }
            2 => {
                // Whoever leads, and surely so.
                let leader = cluster.leader().unwrap_or(one);
                leader.kill();
                std::thread::sleep(between(&mut rng, 50, 3_000));
                let _ = leader.restart();
                "leader killed"
            }
            3 => {
                let leader = cluster.leader().unwrap_or(one);
                leader.pause(true);
                std::thread::sleep(between(&mut rng, 200, 4_500));
                leader.pause(false);
                "leader stopped"
            }
            4 => {
                one.pause(true);
                std::thread::sleep(between(&mut rng, 200, 4_500));
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
                lock(&scene.isolated).insert(one.id, Instant::now());
                std::thread::sleep(between(&mut rng, 2_500, 6_000));
                lock(&scene.isolated).remove(&one.id);
                cluster.mesh.isolate(one.id, false);
                "cut off"
            }
            6 => {
                // One direction alone.
                let to = cluster.any(one.id).id;
                cluster.mesh.cut(one.id, to, true);
                std::thread::sleep(between(&mut rng, 500, 4_000));
                cluster.mesh.cut(one.id, to, false);
                "cut one way"
            }
            _ => {
                cluster.instances.iter().for_each(Instance::kill);
                std::thread::sleep(between(&mut rng, 0, 500));
                cluster.instances.iter().for_each(|i| drop(i.restart()));
                "all killed"
            }
        };
        *made.entry(what).or_default() += 1;
    }
    made
}

/// How one try ended.
enum Tried {
    Served(Vec<[String; 3]>),
    /// Another try does no harm.
    Refused,
    Failed,
    Broken,
}

fn ask_for_ever(scene: &Scene<'_>, client: u64, mut rng: Random) {
    let mut n = 0;
    while !scene.over.load(SeqCst) {
        n += 1;
        let kind = rng.next_u64() % 4;
        let key = format!("k-{client}-{n}");
        let begun = Instant::now();
        loop {
            let instance = scene.cluster.any(rng.next_u64());
            let (mark, sent) = (instance.mark(), Instant::now());
            let tried = match kind {
                0 | 1 => over_pg(scene, instance, "lookup", "ms=1 rows=20 width=50", ""),
                2 => over_rest(instance, "report", "ms=2 rows=20 width=50", None),
                _ if rng.next_u64() % 2 == 0 => {
                    let fields = format!(",token={key},obj={client:016x}");
                    over_pg(scene, instance, "load", "ms=4 rows=20", &fields)
                }
                _ => over_rest(instance, "load", "ms=4 rows=20", Some((&key, client))),
            };
            let t = &scene.tally;
            let took = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
            match tried {
                Tried::Served(rows) => {
                    add(&t.served);
                    t.slowest.fetch_max(took, SeqCst);
                    let whole = rows.len() == 20
                        && rows.iter().enumerate().all(|(n, row)| {
                            rows.first().is_some_and(|f| f[..2] == row[..2])
                                && row[2].trim_end_matches('.') == n.to_string()
                        });
                    t.mixed.fetch_add(u64::from(!whole), SeqCst);
                    // A key may be answered from what is recorded; nothing else comes but from an engine.
                    let since = lock(&scene.isolated).get(&instance.id).copied();
                    let cut_off = since.is_some_and(|s| sent.saturating_duration_since(s) > LIMIT);
                    if cut_off && kind < 3 {
                        add(&t.stale);
                    }
                    break;
                }
                Tried::Refused => add(&t.refused),
                Tried::Failed => add(&t.failed),
                Tried::Broken if instance.mark() != mark || mark % 2 == 1 => add(&t.excused),
                Tried::Broken => {
                    println!("LOST: {took} ms at instance {}, kind {kind}", instance.id);
                    add(&t.lost);
                }
            }
            if begun.elapsed() > AGAIN {
                add(&t.unserved);
                break;
            }
            std::thread::sleep(between(&mut rng, 10, 60));
        }
        std::thread::sleep(between(&mut rng, 1, 10));
    }
}

fn over_pg(
    scene: &Scene<'_>,
    instance: &Instance,
    class: &str,
    hints: &str,
    fields: &str,
) -> Tried {
    let rid = scene.rid.fetch_add(1, SeqCst);
    let sql = format!(
        "/* method={class},rid={rid:016x},budget=10000,est=1.0,est_mb=1{fields} */ SELECT day FROM sales_17.plan /* {hints} */"
    );
    // A connection that can't be had is no request.
    let Ok(mut pg) = instance.pg(PATIENCE) else {
        return Tried::Refused;
    };
    match pg.send(&sql).and_then(|()| pg.read()) {
        Ok(Ok(rows)) => Tried::Served(rows),
        Ok(Err(code)) if code.starts_with("53") || code == "57P03" => Tried::Refused,
        Ok(Err(_)) => Tried::Failed,
        Err(_) => Tried::Broken,
    }
}

fn over_rest(instance: &Instance, class: &str, hints: &str, key: Option<(&str, u64)>) -> Tried {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    let mut ask = json!({"class": class, "budget_ms": 10_000, "estimate_ms": 1.0, "estimate_mb": 1, "statement": statement});
    if let Some((_, order)) = key {
        ask["order_key"] = format!("{order:016x}").into();
    }
    let Ok(mut http) = instance.http(PATIENCE) else {
        return Tried::Refused;
    };
    match http.ask(&ask, key.map(|k| k.0)).and_then(|()| http.read()) {
        Ok(reply) if reply.status == 200 => Tried::Served(reply.rows()),
        Ok(reply) if reply.status == 503 => Tried::Refused,
        Ok(_) => Tried::Failed,
        Err(_) => Tried::Broken,
    }
}

/// Changes and reads keys at any member; each call is asked again under its one id until its fate is known.
fn operate(scene: &Scene<'_>, operator: u64, mut rng: Random) {
    let micros = |at: Instant| u64::try_from((at - scene.begun).as_micros()).unwrap_or(u64::MAX);
    let mut n = 0;
    while !scene.over.load(SeqCst) {
        n += 1;
        // Keys change, so that the history of each is short enough to be checked.
        let key = scene.begun.elapsed().as_millis() as u64 / 1_200;
        let name = format!("proof/{key}");
        let (old, new) = (rng.next_u64() % 5, rng.next_u64() % 5);
        let began = Instant::now();
        let id = format!("o-{operator}-{n}");
        let path = format!("/v1/state?key={name}&within_ms=1500");
        let (method, path, body, mut call) = match rng.next_u64() % 3 {
            0 => ("PUT", path, new.to_string(), OperationKind::Write(new)),
            1 => {
                let txn = json!({"checks": [{"key": name, "holds": old.to_string()}],
                    "then": [{"put": name, "value": new.to_string()}]});
                (
                    "POST",
                    "/v1/transactions?within_ms=1500".to_owned(),
                    txn.to_string(),
                    OperationKind::CompareAndSwap {
                        expected: old,
                        new,
                        swapped: None,
                    },
                )
            }
            _ => ("GET", path, String::new(), OperationKind::Read(None)),
        };
        let mut ended = None;
        while began.elapsed() < Duration::from_secs(3) && ended.is_none() {
            let instance = scene.cluster.any(rng.next_u64());
            let reply = instance.call(
                method,
                &path,
                Some(&id),
                body.as_bytes(),
                Duration::from_secs(2),
            );
            let json = |r: &violetgate_fake_upstreams::client::Reply| r.json();
            match (&mut call, reply) {
                (OperationKind::Read(seen), Ok(r)) if r.status == 200 => {
                    *seen = json(&r)["value"].as_str().and_then(|v| v.parse().ok());
                    ended = Some(Instant::now());
                }
                (OperationKind::Read(seen), Ok(r)) if r.status == 404 => {
                    *seen = None;
                    ended = Some(Instant::now());
                }
                (OperationKind::Write(_), Ok(r)) if r.status == 200 => ended = Some(Instant::now()),
                (OperationKind::CompareAndSwap { swapped, .. }, Ok(r)) if r.status == 200 => {
                    *swapped = json(&r)["held"].as_bool();
                    ended = Some(Instant::now());
                }
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        let read = matches!(call, OperationKind::Read(_));
        add(match (ended, read) {
            (Some(_), _) => &scene.tally.changes,
            (None, _) => &scene.tally.unsure,
        });
        // A read that nobody answered says nothing.
        if ended.is_some() || !read {
            let operation = Operation {
                key,
                kind: call,
                started_at: micros(began),
                finished_at: ended.map(micros),
            };
            lock(&scene.history).push(operation);
        }
        std::thread::sleep(between(&mut rng, 5, 60));
    }
}

/// Calls engines out and back, at any member, and tells the engines from when on nothing more may come.
fn call_out(scene: &Scene<'_>, mut rng: Random) {
    let ids = scene.fleet.ids();
    let agreed = |method: &str, engine: &str, rng: &mut Random| {
        let id = format!("c-{:016x}", rng.next_u64());
        while !scene.over.load(SeqCst) {
            let instance = scene.cluster.any(rng.next_u64());
            let path = format!("/v1/cordons?engine={engine}&within_ms=1500");
            let reply = instance.call(method, &path, Some(&id), b"", Duration::from_secs(2));
            if reply.is_ok_and(|r| r.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    };
    while !scene.over.load(SeqCst) {
        let Some(engine) = ids.get(rng.next_u64() as usize % ids.len().max(1)) else {
            return;
        };
        if !agreed("PUT", engine, &mut rng) {
            return;
        }
        scene.fleet.called(engine, true);
        add(&scene.tally.calls_out);
        std::thread::sleep(between(&mut rng, 2_500, 4_000));
        // From the call on it may be used again.
        scene.fleet.called(engine, false);
        if !agreed("DELETE", engine, &mut rng) {
            return;
        }
        std::thread::sleep(between(&mut rng, 50, 300));
    }
}

// What it costs.

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
                        violetgate_fake_upstreams::client::Http::over(s, Duration::from_secs(5))
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

fn commits(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(2, Profile::default())?;
    let cluster = Cluster::start(&given.program, &fleet, 3, "  snapshot_every = 1000000\n")?;
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
fn failover(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(2, Profile::default())?;
    let cluster = Cluster::start(&given.program, &fleet, 3, "")?;
    let mut took = histogram();
    for n in 0..given.failovers {
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
fn catch_up(given: &Given, verdict: &mut Verdict) -> Result<()> {
    for (how, every) in [("log", 1_000_000), ("snapshot", 2_000)] {
        let fleet = Fleet::start(2, Profile::default())?;
        let cluster = Cluster::start(
            &given.program,
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
