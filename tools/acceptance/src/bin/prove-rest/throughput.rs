//! Compares the CPU time and latency of both protocols at the same rate, for results of one page
//! and of six pages. For REST, first pages and later pages are measured separately.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::Value;
use violetgate_acceptance::{open_loop, Gateway, LoadResult, Result, Verdict};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::requests::{query_body, query_text};
use crate::{Arguments, CLIENTS, REST_SETTINGS};

/// The parameters of a load at a steady rate.
#[derive(Clone, Copy)]
struct Load {
    requests: u64,
    gap: Duration,
}

/// A kind of query, by the size of its result.
struct Query {
    pages: &'static str,
    class: &'static str,
    hints: &'static str,
}

const ONE_PAGE: Query = Query {
    pages: "one page",
    class: "lookup",
    hints: "ms=0 rows=109 width=55",
};
const SIX_PAGES: Query = Query {
    pages: "six pages",
    class: "report",
    hints: "ms=0 rows=654 width=55",
};
/// Results of six pages have 33 KB, so they are requested at a fifth of the rate.
const SIX_PAGES_SLOWDOWN: u32 = 5;

/// The CPU time of a request of each kind, in microseconds.
struct CpuTimes {
    postgres_one_page: f64,
    rest_one_page: f64,
    postgres_six_pages: f64,
    rest_six_pages: f64,
    rest_later_page: f64,
}

/// Measures one protocol after the other, and checks the ratios of their CPU times against the
/// bounds.
pub fn compare_protocols(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(4, Profile::default())?;
    let gateway = Gateway::start(&arguments.program, &engines, REST_SETTINGS)?;
    let load = Load {
        requests: (arguments.rate as f64 * arguments.seconds) as u64,
        gap: Duration::from_secs_f64(1.0 / arguments.rate as f64),
    };
    // A shorter load comes first and is not measured. It opens the connections to engines,
    // allocates memory, and lets the gateway learn the cost of queries.
    let warm_up = Load {
        requests: load.requests / 4,
        ..load
    };
    measure_round(&gateway, warm_up, |_, _, _| f64::NAN)?;
    let cpu = measure_round(&gateway, load, print_row)?;
    verdict.at_most(
        "first_page_cpu_ratio",
        cpu.rest_one_page / cpu.postgres_one_page,
        1.5,
    );
    verdict.at_most(
        "first_of_six_cpu_ratio",
        cpu.rest_six_pages / cpu.postgres_six_pages,
        1.5,
    );
    verdict.at_most(
        "later_page_cpu_ratio",
        cpu.rest_later_page / cpu.postgres_six_pages,
        0.5,
    );
    let alone = cpu.rest_later_page / cpu.postgres_one_page;
    verdict.figure("later_page_to_one_page_query", format!("{alone:.3}"));
    Ok(())
}

/// Measures one round over all kinds of requests. `report` takes the name, the result and the CPU
/// time of a measurement, and returns the CPU time per request.
fn measure_round(
    gateway: &Gateway,
    load: Load,
    report: fn(&str, &LoadResult, Duration) -> f64,
) -> Result<CpuTimes> {
    let slow_load = Load {
        requests: load.requests / u64::from(SIX_PAGES_SLOWDOWN),
        gap: load.gap * SIX_PAGES_SLOWDOWN,
    };
    let paths = Mutex::new(Vec::new());
    let postgres = |query: &Query, load| -> Result<f64> {
        let (result, cpu) = load_postgres(gateway, query, load)?;
        Ok(report(
            &format!("PostgreSQL, {}", query.pages),
            &result,
            cpu,
        ))
    };
    let rest = |query: &Query, load| -> Result<f64> {
        let (result, cpu) = load_rest(gateway, query, load, &paths)?;
        Ok(report(
            &format!("REST first page of {}", query.pages),
            &result,
            cpu,
        ))
    };
    let postgres_one_page = postgres(&ONE_PAGE, load)?;
    let rest_one_page = rest(&ONE_PAGE, load)?;
    let postgres_six_pages = postgres(&SIX_PAGES, slow_load)?;
    let rest_six_pages = rest(&SIX_PAGES, slow_load)?;
    let paths = paths.into_inner().unwrap_or_else(PoisonError::into_inner);
    let (result, cpu) = load_later_pages(gateway, &paths, load)?;
    Ok(CpuTimes {
        postgres_one_page,
        rest_one_page,
        postgres_six_pages,
        rest_six_pages,
        rest_later_page: report("REST later page", &result, cpu),
    })
}

fn load_postgres(gateway: &Gateway, query: &Query, load: Load) -> Result<(LoadResult, Duration)> {
    let clients: Vec<PostgresClient> = (0..CLIENTS)
        .map(|_| gateway.connect_postgres())
        .collect::<std::io::Result<_>>()?;
    let each = |mut pg: PostgresClient| {
        move |_| {
            pg.send(&query_text(query.class, query.hints, "")).is_ok()
                && matches!(pg.read(), Ok(Ok(_)))
        }
    };
    Ok(run(gateway, clients.into_iter().map(each).collect(), load))
}

/// Requests first pages over REST, and adds the paths of the second pages to `paths`.
fn load_rest(
    gateway: &Gateway,
    query: &Query,
    load: Load,
    paths: &Mutex<Vec<String>>,
) -> Result<(LoadResult, Duration)> {
    let clients: Vec<HttpClient> = (0..CLIENTS)
        .map(|_| gateway.connect_http())
        .collect::<std::io::Result<_>>()?;
    let body: &Value = &query_body(query.class, query.hints);
    let each = |mut http: HttpClient| {
        move |_| {
            let Ok(reply) = http.send_query(body, None).and_then(|()| http.read()) else {
                return false;
            };
            if let Some(next) = reply.next().filter(|_| reply.status == 200) {
                let mut paths = paths.lock().unwrap_or_else(PoisonError::into_inner);
                paths.push(next);
            }
            reply.status == 200
        }
    };
    Ok(run(gateway, clients.into_iter().map(each).collect(), load))
}

fn load_later_pages(
    gateway: &Gateway,
    paths: &[String],
    load: Load,
) -> Result<(LoadResult, Duration)> {
    let clients: Vec<HttpClient> = (0..CLIENTS)
        .map(|_| gateway.connect_http())
        .collect::<std::io::Result<_>>()?;
    let each = |mut http: HttpClient| {
        move |number: u64| {
            let path = paths.get(number as usize % paths.len().max(1));
            path.is_some_and(|path| http.get(path).is_ok_and(|reply| reply.status == 200))
        }
    };
    let load = Load {
        requests: (paths.len() as u64).min(load.requests),
        ..load
    };
    Ok(run(gateway, clients.into_iter().map(each).collect(), load))
}

/// Runs a load. Returns its measurements and the CPU time that the gateway used.
fn run<C: FnMut(u64) -> bool + Send>(
    gateway: &Gateway,
    clients: Vec<C>,
    load: Load,
) -> (LoadResult, Duration) {
    let before = gateway.cpu_time();
    let result = open_loop(clients, load.requests, load.gap);
    (result, gateway.cpu_time() - before)
}

/// Prints one measurement. Returns the CPU time per request in microseconds.
fn print_row(what: &str, result: &LoadResult, cpu: Duration) -> f64 {
    let [p50, p99, p999] = result.quantiles_ms();
    let each = cpu.as_secs_f64() * 1e6 / result.served.max(1) as f64;
    println!(
        "{what:<34} {:>7.0}/s  p50 {p50:>7.2} ms  p99 {p99:>7.2} ms  p99.9 {p999:>7.2} ms  CPU {each:>6.1} us  not served {}",
        result.rate(),
        result.not_served
    );
    each
}
