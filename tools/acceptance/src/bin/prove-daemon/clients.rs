//! Clients that query over both protocols, retry within a time window, and check each answer.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::RngCore;
use serde_json::json;
use violetgate_acceptance::cluster::Instance;
use violetgate_test_harness::lock;

use crate::scenario::{increment, random_pause, Random, Scenario, STALENESS_LIMIT};

/// How long a client waits for each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(14);
/// How long a client retries a request. Engines discard duplicates of a key for 12 s.
const RETRY_WINDOW: Duration = Duration::from_secs(7);

/// The outcome of one attempt.
enum AttemptOutcome {
    Served(Vec<[String; 3]>),
    /// The connection or the request was refused.
    Refused,
    /// The request ended with an error other than a refusal.
    Failed,
    /// The connection broke, or no answer came in time.
    Unanswered,
}

/// The kind of a client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Query {
    Lookup,
    Report,
    /// A query of class `load` with an idempotency key, so that its answer may come from the cache
    /// of results.
    Load,
}

/// Runs one client, which sends queries to random instances until the run is over.
pub fn run_client(scenario: &Scenario<'_>, client: u64, mut rng: Random) {
    let mut number = 0;
    while !scenario.over.load(SeqCst) {
        number += 1;
        let query = match rng.next_u64() % 4 {
            0 | 1 => Query::Lookup,
            2 => Query::Report,
            _ => Query::Load,
        };
        let key = format!("k-{client}-{number}");
        retry_until_served(scenario, client, query, &key, &mut rng);
        std::thread::sleep(random_pause(&mut rng, 1, 10));
    }
}

/// Makes attempts at one query until the query is served or its retry window is over.
fn retry_until_served(
    scenario: &Scenario<'_>,
    client: u64,
    query: Query,
    key: &str,
    rng: &mut Random,
) {
    let tally = &scenario.tally;
    let begun = Instant::now();
    loop {
        let instance = scenario.cluster.pick(rng.next_u64());
        let (epoch, sent) = (instance.disruption_epoch(), Instant::now());
        let outcome = attempt(scenario, instance, client, query, key, rng);
        let took = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        match outcome {
            AttemptOutcome::Served(rows) => {
                increment(&tally.served);
                tally.slowest.fetch_max(took, SeqCst);
                check_answer(scenario, instance, query, sent, &rows);
                return;
            }
            AttemptOutcome::Refused => increment(&tally.refused),
            AttemptOutcome::Failed => increment(&tally.failed),
            AttemptOutcome::Unanswered
                if instance.disruption_epoch() != epoch || epoch % 2 == 1 =>
            {
                increment(&tally.disrupted);
            }
            AttemptOutcome::Unanswered => {
                println!(
                    "LOST: no answer after {took} ms at instance {}, {query:?}",
                    instance.id
                );
                increment(&tally.unanswered);
            }
        }
        if begun.elapsed() > RETRY_WINDOW {
            increment(&tally.unserved);
            return;
        }
        std::thread::sleep(random_pause(rng, 10, 60));
    }
}

fn attempt(
    scenario: &Scenario<'_>,
    instance: &Instance,
    client: u64,
    query: Query,
    key: &str,
    rng: &mut Random,
) -> AttemptOutcome {
    match query {
        Query::Lookup => {
            query_over_postgres(scenario, instance, "lookup", "ms=1 rows=20 width=50", "")
        }
        Query::Report => query_over_rest(instance, "report", "ms=2 rows=20 width=50", None),
        Query::Load if rng.next_u64() % 2 == 0 => {
            let fields = format!(",token={key},obj={client:016x}");
            query_over_postgres(scenario, instance, "load", "ms=4 rows=20", &fields)
        }
        Query::Load => query_over_rest(instance, "load", "ms=4 rows=20", Some((key, client))),
    }
}

/// Checks that the rows are complete, in order and from one attempt, and that the instance had not
/// been isolated for longer than [`STALENESS_LIMIT`] when the request was sent. Loads are exempt
/// from the second check, as their answers may come from the cache of results.
fn check_answer(
    scenario: &Scenario<'_>,
    instance: &Instance,
    query: Query,
    sent: Instant,
    rows: &[[String; 3]],
) {
    let tally = &scenario.tally;
    let is_complete = rows.len() == 20
        && rows.iter().enumerate().all(|(number, row)| {
            rows.first().is_some_and(|first| first[..2] == row[..2])
                && row[2].trim_end_matches('.') == number.to_string()
        });
    tally.mixed.fetch_add(u64::from(!is_complete), SeqCst);
    let isolated_since = lock(&scenario.isolated).get(&instance.id).copied();
    let isolated =
        isolated_since.is_some_and(|at| sent.saturating_duration_since(at) > STALENESS_LIMIT);
    if isolated && query != Query::Load {
        increment(&tally.stale);
    }
}

fn query_over_postgres(
    scenario: &Scenario<'_>,
    instance: &Instance,
    class: &str,
    hints: &str,
    fields: &str,
) -> AttemptOutcome {
    let rid = scenario.next_request_id.fetch_add(1, SeqCst);
    let sql = format!(
        "/* method={class},rid={rid:016x},budget=10000,est=1.0,est_mb=1{fields} */ SELECT day FROM sales_17.plan /* {hints} */"
    );
    // Without a connection, no request was made.
    let Ok(mut pg) = instance.connect_postgres(ANSWER_TIMEOUT) else {
        return AttemptOutcome::Refused;
    };
    match pg.send(&sql).and_then(|()| pg.read()) {
        Ok(Ok(rows)) => AttemptOutcome::Served(rows),
        Ok(Err(code)) if code.starts_with("53") || code == "57P03" => AttemptOutcome::Refused,
        Ok(Err(_)) => AttemptOutcome::Failed,
        Err(_) => AttemptOutcome::Unanswered,
    }
}

fn query_over_rest(
    instance: &Instance,
    class: &str,
    hints: &str,
    key: Option<(&str, u64)>,
) -> AttemptOutcome {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    let mut body = json!({"class": class, "budget_ms": 10_000, "estimate_ms": 1.0, "estimate_mb": 1, "statement": statement});
    if let Some((_, order)) = key {
        body["order_key"] = format!("{order:016x}").into();
    }
    let Ok(mut http) = instance.connect_http(ANSWER_TIMEOUT) else {
        return AttemptOutcome::Refused;
    };
    match http
        .send_query(&body, key.map(|k| k.0))
        .and_then(|()| http.read())
    {
        Ok(reply) if reply.status == 200 => AttemptOutcome::Served(reply.rows()),
        Ok(reply) if reply.status == 503 => AttemptOutcome::Refused,
        Ok(_) => AttemptOutcome::Failed,
        Err(_) => AttemptOutcome::Unanswered,
    }
}
