//! Limits of the REST interface, and requests that exceed them.

use std::io::Write;

use crate::support::{wait_until, GatewayProcess, HttpConnection, Reply};
use crate::{report, WINDOW};

/// The byte budget of results holds under a burst of queries: a query whose result may not fit is
/// rejected with a retry delay, stored results stay, and deleting one frees its share.
#[test]
fn a_full_budget_of_results_rejects_and_evicts_nothing() {
    let gateway = GatewayProcess::start(2, "  results_bytes = \"150KiB\"", WINDOW);
    let query = report(30_000, "rows=900 width=53");
    let kept: Vec<Reply> = (0..2).map(|_| gateway.post_query(&query, None)).collect();
    // Counts requests instead of attempts, since a query may be retried on a busy machine.
    let before = gateway.upstreams.counts().by_request.len();
    for _ in 0..5 {
        let rejected = gateway.post_query(&query, None);
        assert_eq!(
            (rejected.status, rejected.problem_type().as_str()),
            (503, "results-full")
        );
        assert!(rejected.headers["retry-after"].parse::<u64>().unwrap() >= 1);
    }
    assert_eq!(before, 2);
    assert_eq!(
        gateway.upstreams.counts().by_request.len(),
        before,
        "a rejected query reached an engine"
    );
    let mut http = gateway.http();
    for first in &kept {
        assert_eq!(http.get(&first.next().unwrap()).status, 200);
    }
    http.send(
        "DELETE",
        &format!("/v1/queries/{}", kept[0].json()["id"].as_str().unwrap()),
        &[],
        b"",
    );
    assert_eq!(http.read().status, 204);
    assert_eq!(gateway.post_query(&query, None).status, 200);
}

/// Bodies that are never completed use up the memory for input. The oldest ones are answered and
/// closed, and a client that sends its whole body is served.
#[test]
fn the_oldest_half_bodies_are_dropped_for_a_whole_one() {
    const LITTLE_MEMORY_MB: u64 = 8;
    const HALF_BODIES: usize = 30;
    let gateway = GatewayProcess::start_with_limits(
        1,
        "  max_connections = 64\n  body_timeout = \"30s\"",
        LITTLE_MEMORY_MB,
        1_024,
    );
    let query = report(30_000, &"x".repeat(60_000)).to_string();
    let mut half_bodies: Vec<_> = (0..HALF_BODIES)
        .map(|_| {
            let mut http = gateway.http();
            let head = format!(
                "POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
                query.len()
            );
            http.send_raw(head.as_bytes());
            http.send_raw(&query.as_bytes()[..query.len() - 1]);
            http
        })
        .collect();
    let reply = half_bodies[0].read();
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (503, "out-of-memory")
    );
    assert!(half_bodies[0].is_closed());
    let last = half_bodies.last_mut().unwrap();
    last.send_raw(&query.as_bytes()[query.len() - 1..]);
    assert_eq!(last.read().status, 200);
}

/// A request that exceeds a limit gets the status for it. Slow and silent clients don't affect
/// others.
#[test]
fn requests_beyond_a_limit_get_its_status_and_do_not_affect_others() {
    let lines = "  head_timeout = \"150ms\"\n  body_timeout = \"150ms\"\n  write_timeout = \"1s\"\n  max_connections = 8";
    let gateway = GatewayProcess::start(1, lines, WINDOW);
    let query = report(30_000, "rows=300 width=60").to_string();
    let mut half = gateway.http();
    half.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost");
    let reply = half.read();
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (408, "request-timeout")
    );
    assert!(half.is_closed());
    let mut half = gateway.http();
    half.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{");
    assert_eq!(half.read().status, 408);
    let mut long = gateway.http();
    long.send_raw(format!("GET /{} HTTP/1.1\r\n", "x".repeat(40_000)).as_bytes());
    assert!(matches!(long.read().status, 414 | 431));
    let mut garbage = gateway.http();
    garbage.send_raw(b"\x16\x03\x01\x02\x00\x01\r\n\r\n");
    assert_eq!(garbage.read().status, 400);
    // A body of 60 MB is rejected by its declared length. An endless chunked body is rejected when
    // it passes the limit.
    let mut huge = gateway.http();
    huge.send_raw(
        b"POST /v1/queries HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 60000000\r\n\r\n",
    );
    let reply = huge.read();
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (413, "body-too-large")
    );
    let mut endless = gateway.http();
    endless.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = [&b"8000\r\n"[..], &vec![b' '; 0x8000], b"\r\n"].concat();
    for _ in 0..2_000 {
        if endless.stream.get_mut().write_all(&chunk).is_err() {
            break;
        }
    }
    let reply = std::ops::DerefMut::deref_mut(&mut endless).read();
    assert!(reply.is_err() || reply.is_ok_and(|r| r.status == 413));
    // Hundreds of silent connections don't keep out those that send requests.
    let silent: Vec<HttpConnection> = (0..900).map(|_| gateway.http()).collect();
    // A client that requests page after page without reading the responses is disconnected.
    let first = gateway.post_query(&report(30_000, "rows=900 width=53"), None);
    let mut slow = gateway.http();
    let request =
        format!("GET {} HTTP/1.1\r\nhost: a\r\n\r\n", first.next().unwrap()).repeat(2_000);
    slow.stream
        .get_ref()
        .set_write_timeout(Some(std::time::Duration::from_millis(200)))
        .unwrap();
    let _ = slow.stream.get_mut().write_all(request.as_bytes());
    wait_until("the slow reader is disconnected", || {
        let mut http = gateway.http();
        http.send("POST", "/v1/queries", &[], query.as_bytes());
        assert_eq!(http.read().status, 200);
        slow.stream.get_mut().write_all(b" ").is_err()
    });
    drop(silent);
}
