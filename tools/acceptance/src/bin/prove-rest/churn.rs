//! Tests both protocols while engines are drained, killed and replaced at the same address: no
//! result may be missing or mixed, and no request may take effect twice.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use violetgate_acceptance::{Gateway, Result, Verdict};
use violetgate_fake_upstreams::{Counts, FakeUpstreams, Profile};

use crate::requests::{query_body, query_text};
use crate::tally::Tally;
use crate::{Arguments, CLIENTS, REST_SETTINGS};

/// The number of rows of a result of five pages.
const PAGED_ROWS: usize = 500;

/// Sends the mix of requests while engines are replaced, and checks the answers against the rules.
pub fn check(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let profile = Profile {
        start_slowdown: 2.0,
        warm_up: Duration::from_secs(1),
        ..Profile::default()
    };
    let engines = FakeUpstreams::start(5, profile)?;
    let mut gateway = Gateway::start(&arguments.program, &engines, REST_SETTINGS)?;
    let tally = Tally::default();
    let begun = Instant::now();
    let deploys = run_requests(&gateway, &engines, &tally, arguments.requests);
    let counts = engines.counts();
    print_summary(&tally, &counts, deploys, begun.elapsed());
    add_figures(&tally, &counts, verdict, arguments.requests, deploys);
    verdict.exactly("crashed", u64::from(!gateway.is_running()), 0);
    Ok(())
}

/// Runs all clients, and the thread that replaces engines, until all requests are made. Returns how
/// many engines were replaced.
fn run_requests(gateway: &Gateway, engines: &FakeUpstreams, tally: &Tally, requests: u64) -> u64 {
    let (next, over) = (&AtomicU64::new(0), &AtomicBool::new(false));
    std::thread::scope(|scope| {
        let replacer = scope.spawn(|| replace_engines(engines, over));
        let run_client = |client| {
            scope.spawn(move || loop {
                let number = next.fetch_add(1, Relaxed);
                if number >= requests {
                    break;
                }
                // A request whose connection can't be opened counts as one without an answer.
                if request(gateway, tally, number, client).is_err() {
                    tally.unanswered.fetch_add(1, Relaxed);
                }
            })
        };
        let clients: Vec<_> = (0..CLIENTS as u64).map(run_client).collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        over.store(true, Relaxed);
        replacer.join().unwrap_or(0)
    })
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Relaxed)
}

fn max_count(counts: &HashMap<String, u32>) -> u32 {
    counts.values().copied().max().unwrap_or(0)
}

fn print_summary(tally: &Tally, counts: &Counts, deploys: u64, took: Duration) {
    println!(
        "{deploys} engines replaced in {:.1} s: {} served, {} refused, {} failed; {} later pages \
         ({} expired); {} idempotency keys, at most {} attempts for one, {} with several attempts",
        took.as_secs_f64(),
        count(&tally.served),
        count(&tally.refused),
        count(&tally.failed),
        count(&tally.pages),
        count(&tally.expired),
        counts.by_key.len(),
        max_count(&counts.by_key),
        counts
            .by_key
            .values()
            .filter(|attempts| **attempts > 1)
            .count(),
    );
}

fn add_figures(tally: &Tally, counts: &Counts, verdict: &mut Verdict, requests: u64, deploys: u64) {
    let answered = count(&tally.served) + count(&tally.refused) + count(&tally.failed);
    let served_share = count(&tally.served) as f64 / answered as f64;
    verdict.figure("requests", requests);
    verdict.figure("deploys", deploys);
    verdict.figure("served_share", format!("{served_share:.3}"));
    verdict.exactly("lost", count(&tally.unanswered), 0);
    verdict.exactly("results_mixed_or_cut", count(&tally.mixed), 0);
    verdict.exactly("answers_of_one_unequal", count(&tally.unequal), 0);
    verdict.exactly("effects_a_key", u64::from(max_count(&counts.effects)), 1);
    // Each attempt fetches each of its pages once. If a client fetches a page again, the engines
    // must not see it.
    let attempts = |request: &str| counts.by_request.get(request).copied().unwrap_or(0);
    let fetched_twice = counts
        .pages
        .iter()
        .filter(|((request, _), fetches)| **fetches > attempts(request))
        .count();
    verdict.exactly("pages_doubled", fetched_twice as u64, 0);
    verdict.at_most(
        "send_after_drain_s",
        counts.longest_after_drain.as_secs_f64(),
        2.0,
    );
}

/// Replaces engines one after another until the run is over, and returns how many. Every other
/// engine is drained before it is removed; the rest are killed without a drain. The new engine has
/// the address of the old one and a new id.
fn replace_engines(engines: &FakeUpstreams, over: &AtomicBool) -> u64 {
    let mut replaced = 0;
    while !over.load(Relaxed) {
        std::thread::sleep(Duration::from_millis(300));
        let ids = engines.ids();
        let Some(id) = ids.get(replaced as usize * 7 % ids.len().max(1)) else {
            continue;
        };
        let addr = engines.addr(id);
        if replaced % 2 == 0 {
            engines.drain(id);
            std::thread::sleep(Duration::from_millis(250));
            engines.remove(id);
        } else {
            engines.kill(id);
            std::thread::sleep(Duration::from_millis(100));
        }
        replaced += 1;
        let _ = engines.add(&format!("f-{replaced}"), addr);
    }
    replaced
}

/// Makes one request of the mix.
fn request(gateway: &Gateway, tally: &Tally, number: u64, client: u64) -> Result<()> {
    match number % 4 {
        0 => {
            lookup(gateway, tally);
            Ok(())
        }
        1 | 2 => paged_result(gateway, tally),
        _ => duplicate_key(gateway, tally, number, client),
    }
}

fn lookup(gateway: &Gateway, tally: &Tally) {
    let rows = gateway.connect_postgres().and_then(|mut client| {
        client.send(&query_text("lookup", "ms=1 rows=20 width=50", ""))?;
        client.read()
    });
    if let Some(rows) = tally.count_postgres(rows) {
        tally.check_rows(&rows, 20);
    }
}

/// Requests a result of five pages and fetches one of them twice.
fn paged_result(gateway: &Gateway, tally: &Tally) -> Result<()> {
    let mut http = gateway.connect_http()?;
    http.send_query(&query_body("report", "ms=2 rows=500 width=55"), None)?;
    let Some(first) = tally.count_http(http.read()) else {
        return Ok(());
    };
    let (mut rows, mut at, mut fetch_again) = (first.rows(), first.next(), true);
    while let Some(path) = at {
        let page = http.get(&path)?;
        tally.pages.fetch_add(1, Relaxed);
        if page.status == 410 {
            tally.expired.fetch_add(1, Relaxed);
            return Ok(());
        }
        if page.status != 200 {
            tally.mixed.fetch_add(1, Relaxed);
            return Ok(());
        }
        if std::mem::take(&mut fetch_again) {
            let again = gateway.connect_http()?.get(&path)?;
            tally.count_unequal(again.body != page.body);
        }
        rows.extend(page.rows());
        at = page.next();
    }
    tally.check_rows(&rows, PAGED_ROWS);
    Ok(())
}

/// The hints of a load for the fake engine.
const LOAD_HINTS: &str = "ms=4 rows=5";
/// The number of rows of a load's result.
const LOAD_ROWS: usize = 5;

/// Sends two requests with the same idempotency key. The second is sent concurrently over the other
/// protocol, after the first one's answer, or after the first one's connection was closed.
fn duplicate_key(gateway: &Gateway, tally: &Tally, number: u64, client: u64) -> Result<()> {
    let (key, order) = (format!("k-{number}"), format!("{client:016x}"));
    let mut body = query_body("load", LOAD_HINTS);
    body["order_key"] = order.as_str().into();
    let mut http = gateway.connect_http()?;
    http.send_query(&body, Some(&key))?;
    match number / 4 % 3 {
        0 => {
            let fields = format!(",token={key},obj={order}");
            let mut postgres = gateway.connect_postgres()?;
            postgres.send(&query_text("load", LOAD_HINTS, &fields))?;
            let first = tally.count_http(http.read());
            let second = tally.count_postgres(postgres.read());
            if let (Some(first), Some(second)) = (first, second) {
                tally.count_unequal(first.rows() != second);
            }
        }
        1 => {
            let first = tally.count_http(http.read());
            http.send_query(&body, Some(&key))?;
            let second = tally.count_http(http.read());
            if let (Some(first), Some(second)) = (first, second) {
                tally.count_unequal(first.body != second.body);
            }
        }
        _ => {
            drop(http);
            let mut again = gateway.connect_http()?;
            again.send_query(&body, Some(&key))?;
            if let Some(reply) = tally.count_http(again.read()) {
                tally.check_rows(&reply.rows(), LOAD_ROWS);
            }
        }
    }
    Ok(())
}
