//! The HTTP features that clients use, and errors of the REST interface.

use std::io::Read;

use violetgate_fake_upstreams::Fault;

use crate::support::{GatewayProcess, Reply};
use crate::{report, WINDOW};

/// Invalid bodies of queries, each with a text that its error must contain.
const INVALID_BODIES: [(&str, &str); 12] = [
    ("{", "the body"),
    ("[]", "the body"),
    (
        r#"{"class":"report","budget_ms":5,"statement":"SELECT 1","colour":1}"#,
        "colour",
    ),
    (
        r#"{"budget_ms":5,"statement":"SELECT 1"}"#,
        "`class` is missing",
    ),
    (
        r#"{"class":"what","budget_ms":5,"statement":"SELECT 1"}"#,
        "`class` names no class",
    ),
    (
        r#"{"class":"report","statement":"SELECT 1"}"#,
        "`budget_ms` is missing",
    ),
    (
        r#"{"class":"report","budget_ms":-5,"statement":"SELECT 1"}"#,
        "`budget_ms` is no span",
    ),
    (
        r#"{"class":"report","budget_ms":1e300,"statement":"SELECT 1"}"#,
        "`budget_ms` is no span",
    ),
    (
        r#"{"class":"report","budget_ms":5,"tenant":"x","statement":"SELECT 1"}"#,
        "`tenant` names no tenant",
    ),
    (
        r#"{"class":"report","budget_ms":5,"statement":" ; "}"#,
        "`statement` is missing",
    ),
    (
        r#"{"class":"load","budget_ms":5,"statement":"SELECT 1"}"#,
        "`Idempotency-Key` is missing",
    ),
    (
        r#"{"class":"report","budget_ms":5,"order_key":"7","statement":"SELECT 1"}"#,
        "`order_key` is not 16",
    ),
];

/// The gateway supports pipelining, chunked bodies, `Expect: 100-continue` and HEAD.
#[test]
fn http_features_that_clients_use_are_supported() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let query = report(30_000, "rows=300 width=60").to_string();
    let mut http = gateway.http();
    let post = format!(
        "POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{query}",
        query.len()
    );
    http.send_raw(post.repeat(3).as_bytes());
    let replies: Vec<Reply> = (0..3).map(|_| http.read()).collect();
    assert!(replies
        .iter()
        .all(|r| r.rows().len() == replies[0].rows().len()));
    let (a, b) = query.split_at(20);
    http.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    http.send_raw(
        format!(
            "{:x}\r\n{a}\r\n{:x};x=1\r\n{b}\r\n0\r\nt: u\r\n\r\n",
            a.len(),
            b.len()
        )
        .as_bytes(),
    );
    assert_eq!(http.read().status, 200);
    http.send_raw(
        format!(
            "POST /v1/queries HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
            query.len()
        )
        .as_bytes(),
    );
    assert_eq!(http.read().status, 100);
    http.send_raw(query.as_bytes());
    let first = http.read();
    let page = http.get(&first.next().unwrap());
    http.send("HEAD", &first.next().unwrap(), &[], b"");
    let head = http.read();
    assert_eq!(
        (head.status, head.headers["content-length"].parse()),
        (200, Ok(page.body.len()))
    );
    assert_eq!(gateway.upstreams.counts().attempts(), 5);
}

#[test]
fn a_path_names_the_methods_that_it_takes() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let mut http = gateway.http();
    for (method, path, status, allow) in [
        ("GET", "/v1/queries", 405, "POST"),
        ("POST", "/v1/queries/x", 405, "DELETE"),
        ("PUT", "/v1/queries/x/pages/1", 405, "GET, HEAD"),
        ("GET", "/", 404, ""),
        ("GET", "/v1/queriesx", 404, ""),
        ("GET", "/v1/queries/x/pages", 404, ""),
    ] {
        http.send(method, path, &[], b"");
        let reply = http.read();
        let allowed = reply.headers.get("allow").map_or("", String::as_str);
        assert_eq!((reply.status, allowed), (status, allow), "{method} {path}");
    }
    assert_eq!(gateway.upstreams.counts().attempts(), 0);
}

#[test]
fn an_invalid_query_gets_an_error_that_names_its_field_and_never_runs() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let mut http = gateway.http();
    for (body, expected) in INVALID_BODIES {
        http.send("POST", "/v1/queries", &[], body.as_bytes());
        let reply = http.read();
        assert_eq!(
            (reply.status, reply.problem_type().as_str()),
            (400, "invalid-request"),
            "{body}"
        );
        let detail = reply.json()["detail"].as_str().unwrap().to_owned();
        assert!(detail.contains(expected), "{body}: {detail}");
    }
    http.send(
        "POST",
        "/v1/queries",
        &[("content-type", "text/xml")],
        b"<q/>",
    );
    assert_eq!(http.read().status, 415);
    http.post_query(&report(30_000, ""), Some("k"));
    assert_eq!(http.read().problem_type(), "invalid-request");
    assert_eq!(
        gateway.upstreams.counts().attempts(),
        0,
        "an invalid query reached an engine"
    );
}

/// A failed query gets 502 `failed` or 503 `busy`. A query that every engine refuses gets 503
/// `busy`. A wrong method over HTTP/1.0 gets 405.
#[test]
fn a_failure_and_a_rejection_have_different_statuses() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let failed = gateway.post_query(&report(2_000, "fail"), None);
    assert!(
        matches!(
            (failed.status, failed.problem_type().as_str()),
            (502, "failed") | (503, "busy")
        ),
        "{failed:?}"
    );
    gateway.upstreams.fault("e-1", Fault::Refuse);
    let refused = gateway.post_query(&report(400, "rows=2"), None);
    assert_eq!(
        (refused.status, refused.problem_type().as_str()),
        (503, "busy")
    );
    let mut rest = Vec::new();
    let mut raw = gateway.http();
    raw.send_raw(b"GET /v1/queries HTTP/1.0\r\n\r\n");
    raw.stream.read_to_end(&mut rest).unwrap();
    assert!(rest.starts_with(b"HTTP/1.0 405"), "{}", rest.escape_ascii());
}
