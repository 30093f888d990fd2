//! Idempotency keys and ordering keys, over REST and PostgreSQL.

use crate::support::{wait_until, GatewayProcess, HttpConnection, Reply};
use crate::{assert_complete, load, report, WINDOW};

/// Queries with the same idempotency key and body run once and get the same answer, whether they
/// arrive concurrently, after the answer, or over the other protocol. A reused key with another
/// body is rejected. After the window the query runs again.
#[test]
fn queries_of_one_key_are_one_query_over_both_front_ends() {
    let gateway = GatewayProcess::start(2, "", WINDOW);
    let query = load(7, "ms=300");
    let mut concurrent = [gateway.http(), gateway.http()];
    concurrent
        .iter_mut()
        .for_each(|http| http.post_query(&query, Some("\"k-1\"")));
    let answers: Vec<Reply> = concurrent.iter_mut().map(HttpConnection::read).collect();
    assert_complete(&answers[0].rows(), 3);
    assert_eq!(answers[0].body, answers[1].body);
    assert_eq!(
        gateway.post_query(&query, Some("k-1")).body,
        answers[0].body
    );
    let statement = query["statement"].as_str().unwrap();
    let sql = |rid: u32, token: &str, order: u32, statement: &str| {
        let order = format!("obj={order:016x}");
        format!("/* method=load,rid={rid:016x},budget=15000,token={token},{order} */ {statement}")
    };
    let rows = gateway.pg().query(&sql(1, "k-1", 7, statement)).unwrap();
    assert_eq!(rows, answers[0].rows());
    let other = gateway.post_query(&load(7, "ms=1"), Some("k-1"));
    assert_eq!(
        (other.status, other.problem_type().as_str()),
        (422, "key-reused")
    );
    assert_eq!(
        gateway.post_query(&load(8, "ms=300"), Some("k-1")).status,
        422
    );
    assert_eq!(
        gateway.pg().query(&sql(2, "k-1", 7, "SELECT 2")),
        Err("22023".to_owned())
    );
    // A REST query joins one that is running over PostgreSQL.
    let mut pg = gateway.pg();
    pg.send(&sql(3, "k-2", 9, "SELECT 3 /* ms=300 */"));
    assert!(gateway.upstreams.wait_for(|c| c.by_key.contains_key("k-2")));
    let mut query = load(9, "");
    query["statement"] = "SELECT 3 /* ms=300 */".into();
    assert_eq!(
        gateway.post_query(&query, Some("k-2")).rows(),
        pg.read().unwrap()
    );
    let counts = gateway.upstreams.counts();
    assert_eq!((counts.by_key["k-1"], counts.by_key["k-2"]), (1, 1));

    let short = GatewayProcess::start(1, "", 0.2);
    let query = load(7, "");
    let first = short.post_query(&query, Some("k-3"));
    wait_until("the window has passed", || {
        short.post_query(&query, Some("k-3")).body != first.body
    });
    assert!(short.upstreams.counts().by_key["k-3"] >= 2);
}

/// A query is cancelled when its client disconnects, unless another client waits for the same key.
/// A later repeat runs again, and the key takes effect once.
#[test]
fn a_client_that_disconnects_withdraws_only_its_own_query() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let query = load(1, "ms=400");
    let mut first = gateway.http();
    first.post_query(&query, Some("k-1"));
    assert!(gateway.upstreams.wait_for(|c| c.running == 1));
    let mut second = gateway.http();
    second.post_query(&query, Some("k-1"));
    wait_until("the second client has joined the query", || {
        gateway.metric("svc_rest_keys_joined_total") == 1.0
    });
    drop(first);
    assert_complete(&second.read().rows(), 3);
    assert_eq!(gateway.upstreams.counts().by_key["k-1"], 1);

    for (query, key) in [
        (load(2, "ms=700"), Some("k-2")),
        (report(9_000, "ms=5000"), None),
    ] {
        let before = gateway.upstreams.counts().cancels;
        let mut only_client = gateway.http();
        only_client.post_query(&query, key);
        assert!(gateway.upstreams.wait_for(|c| c.running == 1));
        drop(only_client);
        assert!(gateway
            .upstreams
            .wait_for(|c| c.cancels == before + 1 && c.running == 0));
    }
    assert_complete(
        &gateway.post_query(&load(2, "ms=700"), Some("k-2")).rows(),
        3,
    );
    assert_eq!(gateway.upstreams.counts().effects["k-2"], 1);
}

/// Queries with the same ordering key run one at a time, whichever protocol they arrive over.
#[test]
fn queries_of_one_ordering_key_run_one_at_a_time_over_both_front_ends() {
    let gateway = GatewayProcess::start(3, "", WINDOW);
    let mut pg = gateway.pg();
    pg.send("/* method=load,rid=0000000000000001,budget=15000,token=a,obj=000000000000000c */ SELECT 1 /* ms=150 */");
    assert!(gateway.upstreams.wait_for(|c| c.attempts() == 1));
    let mut rest: Vec<HttpConnection> = (0..3).map(|_| gateway.http()).collect();
    for (n, http) in rest.iter_mut().enumerate() {
        http.post_query(&load(12, "ms=30"), Some(&format!("b-{n}")));
    }
    rest.iter_mut()
        .for_each(|http| assert_complete(&http.read().rows(), 3));
    pg.read().unwrap();
    let counts = gateway.upstreams.counts();
    assert_eq!((counts.attempts(), counts.most_running), (4, 1));
}

/// A full key table rejects new keys with a retry delay, and evicts no live key.
#[test]
fn a_full_key_table_rejects_new_keys_and_forgets_none() {
    let gateway = GatewayProcess::start(1, "  idempotency_keys = 1", WINDOW);
    let first = gateway.post_query(&load(1, ""), Some("k-1"));
    let second = gateway.post_query(&load(1, ""), Some("k-2"));
    assert_eq!(
        (second.status, second.problem_type().as_str()),
        (503, "busy")
    );
    assert!(second.headers["retry-after"].parse::<u64>().unwrap() >= 1);
    assert_eq!(
        gateway.post_query(&load(1, ""), Some("k-1")).body,
        first.body
    );
}

/// Guards against a repeat that waits, here behind another query of its ordering key, and is sent
/// after engines have forgotten the first attempt, so that it takes effect twice. The client of each
/// first attempt has gone while it ran.
#[test]
fn a_repeat_that_waits_past_the_window_is_not_sent_over_either_front_end() {
    const SHORT_WINDOW: f64 = 4.0;
    /// How long the query in between runs, in milliseconds: past the window.
    const BLOCKING_MS: u64 = 6_000;
    let gateway = GatewayProcess::start(2, "", SHORT_WINDOW);
    let rest_load = load(1, "ms=2000");
    let pg_load = |rid: u32| {
        format!(
            "/* method=load,rid={rid:016x},budget=15000,token=pg,obj={:016x} */ SELECT 2 /* ms=2000 */",
            2
        )
    };
    let (mut rest, mut pg) = (gateway.http(), gateway.pg());
    rest.post_query(&rest_load, Some("rest"));
    pg.send(&pg_load(1));
    assert!(gateway.upstreams.wait_for(|c| c.running == 2));
    drop((rest, pg));
    let mut blocking = [gateway.http(), gateway.http()];
    for (http, order) in blocking.iter_mut().zip([1, 2]) {
        let key = format!("blocking-{order}");
        http.post_query(&load(order, &format!("ms={BLOCKING_MS}")), Some(&key));
    }
    assert!(gateway
        .upstreams
        .wait_for(|c| c.by_key.len() == 4 && c.running == 2));
    let (mut rest, mut pg) = (gateway.http(), gateway.pg());
    rest.post_query(&rest_load, Some("rest"));
    pg.send(&pg_load(2));
    let refused = rest.read();
    assert_eq!(
        (refused.status, refused.problem_type().as_str()),
        (409, "outcome-unknown")
    );
    assert_eq!(pg.read(), Err("58000".to_owned()));
    blocking
        .iter_mut()
        .for_each(|http| assert_complete(&http.read().rows(), 3));
    let counts = gateway.upstreams.counts();
    assert_eq!((counts.by_key["rest"], counts.by_key["pg"]), (1, 1));
}
