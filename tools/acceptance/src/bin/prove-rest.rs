//! `make prove-rest`: the REST front against the PostgreSQL front of the same process on the same stand-in engines,
//! and both through draining, dying and replaced engines.

use std::collections::HashMap;
use std::io::Result;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use clap::Parser;
use serde_json::{json, Value};
use violetgate_acceptance::{ended, open_loop, Met, Program, Verdict};
use violetgate_fake_upstreams::client::{Http, Pg, Reply};
use violetgate_fake_upstreams::{Fleet, Profile};

/// Proves the REST front.
#[derive(Parser)]
struct Given {
    /// The program under proof
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Requests through failing engines
    #[arg(long, default_value_t = 20_000)]
    requests: u64,
    /// Seconds of each measurement at a steady rate
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Requests a second at a steady rate
    #[arg(long, default_value_t = 1_000)]
    rate: u64,
    /// Only what must never happen, without figures that depend on the machine
    #[arg(long)]
    only_rules: bool,
}

/// Clients at a time.
const CLIENTS: usize = 24;
const RESULTS: &str =
    "  results_bytes = \"256MiB\"\n  results = 100000\n  idempotency_keys = 100000\n  \
                       max_connections = 400";

fn rid() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Relaxed))
}

fn ask(class: &str, hints: &str) -> Value {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    json!({"class": class, "budget_ms": 10_000, "estimate_ms": 1.0, "estimate_mb": 1, "statement": statement})
}

fn sql(class: &str, hints: &str, fields: &str) -> String {
    let fields = format!("rid={},budget=10000,est=1.0,est_mb=1{fields}", rid());
    format!("/* method={class},{fields} */ SELECT day FROM sales_17.plan /* {hints} */")
}

fn main() -> ExitCode {
    ended("prove-rest", prove(&Given::parse()))
}

fn prove(given: &Given) -> Result<bool> {
    let mut verdict = Verdict::default();
    if !given.only_rules {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        println!("machine: {cores} cores; the engines, the load and the program share them over loopback");
        steady(given, &mut verdict)?;
        held(given, &mut verdict)?;
        forged(given, &mut verdict)?;
    }
    churn(given, &mut verdict)?;
    Ok(verdict.tell("rest"))
}

fn row(what: &str, met: &Met, cpu: Duration) -> f64 {
    let [p50, p99, p999] = met.quantiles();
    let each = cpu.as_secs_f64() * 1e6 / met.served.max(1) as f64;
    println!(
        "{what:<34} {:>7.0}/s  p50 {p50:>7.2} ms  p99 {p99:>7.2} ms  p99.9 {p999:>7.2} ms  CPU {each:>6.1} us  not served {}",
        met.rate(),
        met.others
    );
    each
}

/// The same rate over both fronts, in turn: first pages of one-page and of six-page results, and later pages.
fn steady(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(4, Profile::default())?;
    let program = Program::start(&given.program, &fleet, RESULTS)?;
    let count = (given.rate as f64 * given.seconds) as u64;
    let gap = Duration::from_secs_f64(1.0 / given.rate as f64);
    let mut cpu = HashMap::new();
    let paths = Mutex::new(Vec::new());
    // Warm first: connections to engines, pages of memory, what the decisions learn.
    for (turn, count) in [("warm", count / 4), ("measured", count)] {
        for (name, class, hints) in [
            ("one page", "lookup", "ms=0 rows=109 width=55"),
            ("six pages", "report", "ms=0 rows=654 width=55"),
        ] {
            // Six pages are 33 KB: at a fifth of the rate.
            let (count, gap) = if name == "one page" {
                (count, gap)
            } else {
                (count / 5, gap * 5)
            };
            let clients: Vec<Pg> = (0..CLIENTS).map(|_| program.pg()).collect::<Result<_>>()?;
            let each = |mut pg: Pg| {
                move |_| pg.send(&sql(class, hints, "")).is_ok() && matches!(pg.read(), Ok(Ok(_)))
            };
            let before = program.cpu();
            let met = open_loop(clients.into_iter().map(each).collect(), count, gap);
            let used = program.cpu() - before;
            if turn == "measured" {
                cpu.insert(
                    ("pg", name),
                    row(&format!("PostgreSQL, {name}"), &met, used),
                );
            }
            let clients: Vec<Http> = (0..CLIENTS)
                .map(|_| program.http())
                .collect::<Result<_>>()?;
            let body = ask(class, hints);
            let each = |mut http: Http| {
                let (body, paths) = (&body, &paths);
                move |_| {
                    let reply = http.ask(body, None).and_then(|()| http.read());
                    let Ok(reply) = reply else { return false };
                    if let Some(next) = reply.next().filter(|_| reply.status == 200) {
                        paths.lock().unwrap_or_else(|e| e.into_inner()).push(next);
                    }
                    reply.status == 200
                }
            };
            let before = program.cpu();
            let met = open_loop(clients.into_iter().map(each).collect(), count, gap);
            let used = program.cpu() - before;
            if turn == "measured" {
                cpu.insert(
                    ("rest", name),
                    row(&format!("REST first page of {name}"), &met, used),
                );
            }
        }
        let all = std::mem::take(&mut *paths.lock().unwrap_or_else(|e| e.into_inner()));
        let clients: Vec<Http> = (0..CLIENTS)
            .map(|_| program.http())
            .collect::<Result<_>>()?;
        let each = |mut http: Http| {
            let all = &all;
            move |n: u64| {
                let path = all.get(n as usize % all.len().max(1));
                path.is_some_and(|p| http.get(p).is_ok_and(|r| r.status == 200))
            }
        };
        let before = program.cpu();
        let met = open_loop(
            clients.into_iter().map(each).collect(),
            (all.len() as u64).min(count),
            gap,
        );
        let used = program.cpu() - before;
        if turn == "measured" {
            cpu.insert(("rest", "later"), row("REST later page", &met, used));
        }
    }
    let of = |front, name| cpu.get(&(front, name)).copied().unwrap_or(f64::NAN);
    verdict.at_most(
        "first_page_cpu_ratio",
        of("rest", "one page") / of("pg", "one page"),
        1.5,
    );
    verdict.at_most(
        "first_of_six_cpu_ratio",
        of("rest", "six pages") / of("pg", "six pages"),
        1.5,
    );
    verdict.at_most(
        "later_page_cpu_ratio",
        of("rest", "later") / of("pg", "six pages"),
        0.5,
    );
    let alone = of("rest", "later") / of("pg", "one page");
    verdict.figure("later_page_to_one_page_query", format!("{alone:.3}"));
    Ok(())
}

/// What a promised result costs in memory, against its rows.
fn held(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(4, Profile::default())?;
    let program = Program::start(&given.program, &fleet, RESULTS)?;
    let mut ask = ask("report", "ms=0 rows=800 width=55");
    let mut http = program.http()?;
    let mut get = |ask: &Value| http.ask(ask, None).and_then(|()| http.read());
    for _ in 0..50 {
        get(&ask)?;
    }
    ask["budget_ms"] = 600_000.into();
    let (before, mut rows, mut kept) = (program.memory(), 0, 0);
    while kept < 1_000 {
        // 800 rows of 55 bytes with the tabs and line ends that engines send.
        if get(&ask)?.status == 200 {
            (rows, kept) = (rows + 800 * 55, kept + 1);
        }
    }
    let grown = program.memory().saturating_sub(before);
    println!(
        "{kept} results held: {} KiB of rows, the process has grown by {} KiB",
        rows / 1024,
        grown / 1024
    );
    verdict.at_most("bytes_held_ratio", grown as f64 / rows as f64, 1.2);
    Ok(())
}

/// Whether the time of a 404 tells what was wrong with a token: one that is changed in its last bytes against one
/// that is nothing like a token.
fn forged(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(2, Profile::default())?;
    let program = Program::start(&given.program, &fleet, RESULTS)?;
    let mut http = program.http()?;
    http.ask(&ask("report", "ms=0 rows=300 width=55"), None)?;
    let id = http.read()?.json()["id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let near = format!(
        "/v1/queries/{}AAAAAA/pages/2",
        id.get(..id.len().saturating_sub(6)).unwrap_or_default()
    );
    let far = format!("/v1/queries/{}/pages/2", "-".repeat(id.len()));
    let mut times = [Vec::new(), Vec::new()];
    for _ in 0..4_000 {
        for (path, times) in [&near, &far].into_iter().zip(&mut times) {
            let begun = Instant::now();
            if http.get(path)?.status == 404 {
                times.push(begun.elapsed());
            }
        }
    }
    let medians = times.map(|mut t| {
        t.sort_unstable();
        t.get(t.len() / 2).map_or(f64::NAN, Duration::as_secs_f64)
    });
    let ratio = medians[0].max(medians[1]) / medians[0].min(medians[1]);
    println!(
        "404 for a token that is nearly good {:.1} us, for noise {:.1} us",
        medians[0] * 1e6,
        medians[1] * 1e6
    );
    verdict.at_most("forged_token_time_ratio", ratio, 1.1);
    Ok(())
}

/// What went wrong or right through failing engines.
#[derive(Default)]
struct Tally {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    mixed: AtomicU64,
    unequal: AtomicU64,
    pages: AtomicU64,
    gone: AtomicU64,
}

impl Tally {
    /// Counts an HTTP answer; its rows, if it was served.
    fn http(&self, reply: Result<Reply>) -> Option<Reply> {
        let count = match &reply {
            Ok(r) if r.status == 200 => &self.served,
            Ok(r) if r.status == 503 => &self.refused,
            Ok(_) => &self.failed,
            Err(_) => &self.lost,
        };
        count.fetch_add(1, Relaxed);
        reply.ok().filter(|r| r.status == 200)
    }

    fn pg(
        &self,
        rows: Result<violetgate_fake_upstreams::client::Rows>,
    ) -> Option<Vec<[String; 3]>> {
        let count = match &rows {
            Ok(Ok(_)) => &self.served,
            Ok(Err(code)) if code.starts_with("53") || code == "57P03" => &self.refused,
            Ok(Err(_)) => &self.failed,
            Err(_) => &self.lost,
        };
        count.fetch_add(1, Relaxed);
        rows.ok()?.ok()
    }

    /// Rows have to be all of one attempt, in order, none lost or doubled.
    fn whole(&self, rows: &[[String; 3]], count: usize) {
        let first = rows.first();
        let good = rows.len() == count
            && rows.iter().enumerate().all(|(n, row)| {
                first.is_some_and(|f| f[..2] == row[..2])
                    && row[2].trim_end_matches('.') == n.to_string()
            });
        self.mixed.fetch_add(u64::from(!good), Relaxed);
    }
}

/// Both fronts while engines drain, die and are replaced at the same address.
fn churn(given: &Given, verdict: &mut Verdict) -> Result<()> {
    let fleet = Fleet::start(
        5,
        Profile {
            cold_factor: 2.0,
            cold: Duration::from_secs(1),
            ..Profile::default()
        },
    )?;
    let mut program = Program::start(&given.program, &fleet, RESULTS)?;
    let (tally, next, over) = (Tally::default(), AtomicU64::new(0), AtomicBool::new(false));
    let begun = Instant::now();
    let deploys = std::thread::scope(|scope| {
        let deployer = scope.spawn(|| deploy(&fleet, &over));
        let clients: Vec<_> = (0..CLIENTS as u64)
            .map(|client| {
                let (program, tally, next) = (&program, &tally, &next);
                scope.spawn(move || loop {
                    let n = next.fetch_add(1, Relaxed);
                    if n >= given.requests {
                        break;
                    }
                    // A connection that can't be had is a request that was lost.
                    if one(program, tally, n, client).is_err() {
                        tally.lost.fetch_add(1, Relaxed);
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|c| drop(c.join()));
        over.store(true, Relaxed);
        deployer.join().unwrap_or(0)
    });
    let counts = fleet.counts();
    let get = |c: &AtomicU64| c.load(Relaxed);
    let most = |m: &HashMap<String, u32>| m.values().copied().max().unwrap_or(0);
    println!(
        "through {deploys} engines drained or killed, {:.1} s: {} served, {} refused, {} failed; {} further pages \
         ({} after their time); {} keys, {} attempts at most for one, {} repeated",
        begun.elapsed().as_secs_f64(),
        get(&tally.served),
        get(&tally.refused),
        get(&tally.failed),
        get(&tally.pages),
        get(&tally.gone),
        counts.by_key.len(),
        most(&counts.by_key),
        counts.by_key.values().filter(|n| **n > 1).count(),
    );
    let share = get(&tally.served) as f64
        / (get(&tally.served) + get(&tally.refused) + get(&tally.failed)) as f64;
    verdict.figure("requests", given.requests);
    verdict.figure("deploys", deploys);
    verdict.figure("served_share", format!("{share:.3}"));
    verdict.exactly("lost", get(&tally.lost), 0);
    verdict.exactly("results_mixed_or_cut", get(&tally.mixed), 0);
    verdict.exactly("answers_of_one_unequal", get(&tally.unequal), 0);
    verdict.exactly("effects_a_key", u64::from(most(&counts.effects)), 1);
    // Each attempt fetches each of its pages once; a client that asks twice costs engines nothing.
    let twice = |((rid, _), n): (&(String, usize), &u32)| {
        *n > counts.by_request.get(rid).copied().unwrap_or(0)
    };
    verdict.exactly(
        "pages_doubled",
        counts.pages.iter().filter(|p| twice(*p)).count() as u64,
        0,
    );
    verdict.at_most(
        "send_after_drain_s",
        counts.latest_after_drain.as_secs_f64(),
        2.0,
    );
    verdict.exactly("crashed", u64::from(!program.runs()), 0);
    Ok(())
}

/// Replaces an engine every so often: drained first, or killed at once, at the same address, under a new id.
fn deploy(fleet: &Fleet, over: &AtomicBool) -> u64 {
    let mut n = 0;
    while !over.load(Relaxed) {
        std::thread::sleep(Duration::from_millis(300));
        let ids = fleet.ids();
        let Some(id) = ids.get(n as usize * 7 % ids.len().max(1)) else {
            continue;
        };
        let at = fleet.addr(id);
        if n % 2 == 0 {
            fleet.drain(id);
            std::thread::sleep(Duration::from_millis(250));
            fleet.remove(id);
        } else {
            fleet.kill(id);
            std::thread::sleep(Duration::from_millis(100));
        }
        n += 1;
        let _ = fleet.add(&format!("f-{n}"), at);
    }
    n
}

/// One request of the mix.
fn one(program: &Program, tally: &Tally, n: u64, client: u64) -> Result<()> {
    match n % 4 {
        0 => {
            let rows = program.pg().and_then(|mut pg| {
                pg.send(&sql("lookup", "ms=1 rows=20 width=50", ""))?;
                pg.read()
            });
            if let Some(rows) = tally.pg(rows) {
                tally.whole(&rows, 20);
            }
        }
        1 | 2 => pages(program, tally)?,
        _ => keyed(program, tally, n, client)?,
    }
    Ok(())
}

/// A result of five pages, one of which is asked for twice.
fn pages(program: &Program, tally: &Tally) -> Result<()> {
    let mut http = program.http()?;
    http.ask(&ask("report", "ms=2 rows=500 width=55"), None)?;
    let Some(first) = tally.http(http.read()) else {
        return Ok(());
    };
    let (mut rows, mut at, mut twice) = (first.rows(), first.next(), true);
    while let Some(path) = at {
        let page = http.get(&path)?;
        tally.pages.fetch_add(1, Relaxed);
        if page.status == 410 {
            tally.gone.fetch_add(1, Relaxed);
            return Ok(());
        }
        if page.status != 200 {
            tally.mixed.fetch_add(1, Relaxed);
            return Ok(());
        }
        if std::mem::take(&mut twice) {
            let again = program.http()?.get(&path)?;
            tally
                .unequal
                .fetch_add(u64::from(again.body != page.body), Relaxed);
        }
        rows.extend(page.rows());
        at = page.next();
    }
    tally.whole(&rows, 500);
    Ok(())
}

/// A key that is used again: at once over the other front, after its answer, or after its connection was cut.
fn keyed(program: &Program, tally: &Tally, n: u64, client: u64) -> Result<()> {
    let (key, order) = (format!("k-{n}"), format!("{client:016x}"));
    let hints = "ms=4 rows=5";
    let mut ask = ask("load", hints);
    ask["order_key"] = order.as_str().into();
    let mut http = program.http()?;
    http.ask(&ask, Some(&key))?;
    match n / 4 % 3 {
        0 => {
            let mut pg = program.pg()?;
            pg.send(&sql("load", hints, &format!(",token={key},obj={order}")))?;
            let (one, two) = (tally.http(http.read()), tally.pg(pg.read()));
            if let (Some(one), Some(two)) = (one, two) {
                tally
                    .unequal
                    .fetch_add(u64::from(one.rows() != two), Relaxed);
            }
        }
        1 => {
            let one = tally.http(http.read());
            http.ask(&ask, Some(&key))?;
            let two = tally.http(http.read());
            if let (Some(one), Some(two)) = (one, two) {
                tally
                    .unequal
                    .fetch_add(u64::from(one.body != two.body), Relaxed);
            }
        }
        _ => {
            drop(http);
            let mut again = program.http()?;
            again.ask(&ask, Some(&key))?;
            if let Some(reply) = tally.http(again.read()) {
                tally.whole(&reply.rows(), 5);
            }
        }
    }
    Ok(())
}
