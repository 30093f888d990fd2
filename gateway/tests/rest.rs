//! The REST front on real sockets, before stand-in engines that count what reaches them.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

mod support;

use std::io::{Read, Write};

use serde_json::{json, Value};
use support::{exit, hcl, until, Front, Http, Reply};
use violetgate_fake_upstreams::Fault;

/// Engines discard repeats for so long where a test does not wait for the end of it.
const WINDOW: f64 = 3_600.0;

fn report(budget_ms: u64, hints: &str) -> Value {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    json!({"class": "report", "tenant": "north", "budget_ms": budget_ms, "statement": statement})
}

fn load(order: u64, hints: &str) -> Value {
    json!({"class": "load", "budget_ms": 15_000, "order_key": format!("{order:016x}"), "estimate_ms": 500.0,
           "estimate_mb": 16, "statement": format!("INSERT INTO sales_2.plan SELECT 1 /* {hints} */")})
}

/// All rows of a result are those of one attempt, in order, none lost or doubled.
fn whole(rows: &[[String; 3]], count: usize) {
    assert_eq!(rows.len(), count);
    for (n, row) in rows.iter().enumerate() {
        assert_eq!(
            (&row[0], &row[1]),
            (&rows[0][0], &rows[0][1]),
            "rows of two attempts"
        );
        assert_eq!(row[2].trim_end_matches('.'), n.to_string());
    }
}

/// Pages that were promised come whole and the same each time, whatever becomes of the engine that made them:
/// it drains, it dies, another takes its address. No engine is asked again.
#[test]
fn pages_survive_their_engine() {
    let front = Front::start(1, "", WINDOW);
    let first = front.ask(&report(30_000, "rows=600 width=70"), None);
    let addr = front.fleet.addr("e-1");
    let mut rows = first.rows();
    let next = first.next().unwrap();
    assert_eq!(first.headers["link"], format!("<{next}>; rel=\"next\""));
    let pages = first.json()["pages"].as_u64().unwrap();
    front.fleet.drain("e-1");
    let mut http = front.http();
    let second = http.get(&next);
    rows.extend(second.rows());
    front.fleet.kill("e-1");
    front.fleet.add("e-2", addr).unwrap();
    until("the new engine is known", || {
        front.figure("svc_known_engines") >= 2.0
    });
    let mut at = second.next();
    let mut count = 2;
    while let Some(path) = at {
        let page = http.get(&path);
        rows.extend(page.rows());
        at = page.next();
        count += 1;
    }
    assert_eq!(count, pages);
    whole(&rows, 600);
    let again = front.http().get(&next);
    assert_eq!(again.body, second.body);
    let counts = front.fleet.counts();
    assert_eq!(
        (counts.attempts(), counts.pages.len() as u64),
        (1, pages - 1)
    );
    assert!(counts.pages.values().all(|n| *n == 1), "{:?}", counts.pages);
    // What comes next runs at the successor.
    whole(&front.ask(&report(30_000, "rows=5"), None).rows(), 5);
    assert_eq!(front.fleet.counts().by_engine.get("e-2"), Some(&1));
}

/// An attempt whose further pages are spoilt or cut off is a failed one: its rows never mix with the next one's.
#[test]
fn pages_of_two_attempts_never_mix() {
    for fault in [
        Fault::ResetOnPage,
        Fault::SpoilPages,
        Fault::ResetOnAnswer,
        Fault::ResetOnServe,
    ] {
        let front = Front::start(2, "", WINDOW);
        front.fleet.fault("e-1", fault);
        for _ in 0..4 {
            let first = front.ask(&report(30_000, "rows=300 width=60"), None);
            let mut rows = first.rows();
            let mut at = first.next();
            while let Some(path) = at {
                let page = front.http().get(&path);
                rows.extend(page.rows());
                at = page.next();
            }
            whole(&rows, 300);
            assert!(rows[0][1].starts_with("e-2/"), "{}", rows[0][1]);
        }
    }
}

/// The same keyed query at once, after its answer, and over the other front is one query with one answer; with
/// another body it is none; after the window it runs anew.
#[test]
fn one_key_is_one_query() {
    let front = Front::start(2, "", WINDOW);
    let ask = load(7, "ms=300");
    let mut both = [front.http(), front.http()];
    both.iter_mut()
        .for_each(|http| http.ask(&ask, Some("\"k-1\"")));
    let answers: Vec<Reply> = both.iter_mut().map(Http::read).collect();
    whole(&answers[0].rows(), 3);
    assert_eq!(answers[0].body, answers[1].body);
    assert_eq!(front.ask(&ask, Some("k-1")).body, answers[0].body);
    let statement = ask["statement"].as_str().unwrap();
    let sql = |rid: u32, token: &str, order: u32, statement: &str| {
        let order = format!("obj={order:016x}");
        format!("/* method=load,rid={rid:016x},budget=15000,token={token},{order} */ {statement}")
    };
    let rows = front.pg().query(&sql(1, "k-1", 7, statement)).unwrap();
    assert_eq!(rows, answers[0].rows());
    let other = front.ask(&load(7, "ms=1"), Some("k-1"));
    assert_eq!(
        (other.status, other.problem_type().as_str()),
        (422, "key-reused")
    );
    assert_eq!(front.ask(&load(8, "ms=300"), Some("k-1")).status, 422);
    assert_eq!(
        front.pg().query(&sql(2, "k-1", 7, "SELECT 2")),
        Err("22023".to_owned())
    );
    // And the other way round, while it runs.
    let mut pg = front.pg();
    pg.send(&sql(3, "k-2", 9, "SELECT 3 /* ms=300 */"));
    assert!(front.fleet.wait_for(|c| c.by_key.contains_key("k-2")));
    let mut ask = load(9, "");
    ask["statement"] = "SELECT 3 /* ms=300 */".into();
    assert_eq!(front.ask(&ask, Some("k-2")).rows(), pg.read().unwrap());
    let counts = front.fleet.counts();
    assert_eq!((counts.by_key["k-1"], counts.by_key["k-2"]), (1, 1));

    let short = Front::start(1, "", 0.2);
    let ask = load(7, "");
    let first = short.ask(&ask, Some("k-3"));
    until("the window has passed", || {
        short.ask(&ask, Some("k-3")).body != first.body
    });
    assert!(short.fleet.counts().by_key["k-3"] >= 2);
}

/// A client that leaves withdraws its query, unless another waits for the same key; a repeat that comes later
/// runs again, and has its effect once.
#[test]
fn a_cut_connection_costs_one_client() {
    let front = Front::start(1, "", WINDOW);
    let ask = load(1, "ms=400");
    let mut first = front.http();
    first.ask(&ask, Some("k-1"));
    assert!(front.fleet.wait_for(|c| c.running == 1));
    let mut second = front.http();
    second.ask(&ask, Some("k-1"));
    until("the second has joined", || {
        front.figure("svc_rest_keys_joined_total") == 1.0
    });
    drop(first);
    whole(&second.read().rows(), 3);
    assert_eq!(front.fleet.counts().by_key["k-1"], 1);

    for (ask, key) in [
        (load(2, "ms=700"), Some("k-2")),
        (report(9_000, "ms=5000"), None),
    ] {
        let before = front.fleet.counts().cancels;
        let mut alone = front.http();
        alone.ask(&ask, key);
        assert!(front.fleet.wait_for(|c| c.running == 1));
        drop(alone);
        assert!(front
            .fleet
            .wait_for(|c| c.cancels == before + 1 && c.running == 0));
    }
    whole(&front.ask(&load(2, "ms=700"), Some("k-2")).rows(), 3);
    assert_eq!(front.fleet.counts().effects["k-2"], 1);
}

/// Loads of one order key run one at a time, by whichever front they come.
#[test]
fn order_holds_across_fronts() {
    let front = Front::start(3, "", WINDOW);
    let mut pg = front.pg();
    pg.send("/* method=load,rid=0000000000000001,budget=15000,token=a,obj=000000000000000c */ SELECT 1 /* ms=150 */");
    assert!(front.fleet.wait_for(|c| c.attempts() == 1));
    let mut rest: Vec<Http> = (0..3).map(|_| front.http()).collect();
    for (n, http) in rest.iter_mut().enumerate() {
        http.ask(&load(12, "ms=30"), Some(&format!("b-{n}")));
    }
    rest.iter_mut()
        .for_each(|http| whole(&http.read().rows(), 3));
    pg.read().unwrap();
    let counts = front.fleet.counts();
    assert_eq!((counts.attempts(), counts.most_running), (4, 1));
}

/// A full table turns new keys away with a time, and forgets none that is live.
#[test]
fn a_full_key_table_turns_new_keys_away() {
    let front = Front::start(1, "  idempotency_keys = 1", WINDOW);
    let first = front.ask(&load(1, ""), Some("k-1"));
    let second = front.ask(&load(1, ""), Some("k-2"));
    assert_eq!(
        (second.status, second.problem_type().as_str()),
        (503, "busy")
    );
    assert!(second.headers["retry-after"].parse::<u64>().unwrap() >= 1);
    assert_eq!(front.ask(&load(1, ""), Some("k-1")).body, first.body);
}

/// After the client's give-up time there is no page, and never a stale one; a result that is deleted, or a token
/// that nobody here made, or that was changed, has none either.
#[test]
fn a_page_has_its_time_and_its_token() {
    let front = Front::start(1, "", WINDOW);
    let first = front.ask(&report(600, "rows=300 width=60"), None);
    let path = first.next().unwrap();
    let mut http = front.http();
    let mut last = None;
    until("the result is gone", || {
        let page = http.get(&path);
        let body = last.get_or_insert_with(|| page.clone());
        assert!(page.status == 410 || page.body == body.body, "{page:?}");
        page.status == 410
    });
    assert_eq!(http.get(&path).problem_type(), "result-gone");
    until("its bytes are free", || {
        front.figure("svc_rest_results_bytes") == 0.0
    });

    let first = front.ask(&report(30_000, "rows=300 width=60"), None);
    let (id, path) = (
        first.json()["id"].as_str().unwrap().to_owned(),
        first.next().unwrap(),
    );
    let unknown = http.get(&format!("/v1/queries/{}/pages/2", "A".repeat(id.len())));
    assert_eq!(
        (unknown.status, unknown.problem_type().as_str()),
        (404, "no-such-page")
    );
    for at in 0..id.len() {
        let mut forged = id.clone().into_bytes();
        forged[at] = if forged[at] == b'x' { b'y' } else { b'x' };
        let reply = http.get(&format!(
            "/v1/queries/{}/pages/2",
            String::from_utf8(forged).unwrap()
        ));
        assert_eq!(
            (reply.status, reply.body),
            (404, unknown.body.clone()),
            "byte {at}"
        );
    }
    let pages = first.json()["pages"].as_u64().unwrap();
    for page in [
        "0",
        "02",
        "999999",
        "99999999999999999999",
        "-1",
        "x",
        &(pages + 1).to_string(),
    ] {
        assert_eq!(
            http.get(&format!("/v1/queries/{id}/pages/{page}")).status,
            404,
            "{page}"
        );
    }
    let stranger = Front::start(1, "", WINDOW);
    assert_eq!(stranger.http().get(&path).body, unknown.body);
    assert_eq!(http.get(&path).status, 200);
    http.send("DELETE", &format!("/v1/queries/{id}"), &[], b"");
    assert_eq!(http.read().status, 204);
    assert_eq!(http.get(&path).status, 410);
}

/// In a jump of traffic the budget of results is a bound: what does not fit is refused with a time, what was
/// promised stays, and what is deleted makes room.
#[test]
fn a_full_budget_refuses_and_evicts_nothing() {
    let front = Front::start(2, "  results_bytes = \"150KiB\"", WINDOW);
    let ask = report(30_000, "rows=900 width=53");
    let kept: Vec<Reply> = (0..2).map(|_| front.ask(&ask, None)).collect();
    // Of those that are kept, one may have been tried twice on a machine that is busy.
    let before = front.fleet.counts().by_request.len();
    for _ in 0..5 {
        let refused = front.ask(&ask, None);
        assert_eq!(
            (refused.status, refused.problem_type().as_str()),
            (503, "results-full")
        );
        assert!(refused.headers["retry-after"].parse::<u64>().unwrap() >= 1);
    }
    assert_eq!(before, 2);
    assert_eq!(
        front.fleet.counts().by_request.len(),
        before,
        "what is refused never ran"
    );
    let mut http = front.http();
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
    assert_eq!(front.ask(&ask, None).status, 200);
}

/// A drained front end takes no more queries and still serves the pages that it promised; a connection that may
/// ask for them stays open till the last.
#[test]
fn a_drain_between_two_pages() {
    let front = Front::start(1, "", WINDOW);
    let (mut owed, mut idle) = (front.http(), front.http());
    owed.ask(&report(30_000, "rows=300 width=60"), None);
    let first = owed.read();
    whole(
        &{
            idle.ask(&report(30_000, "rows=2"), None);
            idle.read()
        }
        .rows(),
        2,
    );
    assert_eq!(front.call("PUT", "/admin/quiesce", "").0, 200);
    assert!(idle.is_closed(), "an idle connection is sent home");
    let second = owed.get(&first.next().unwrap());
    assert_eq!(second.status, 200);
    until("queries are turned back", || {
        let reply = front.ask(&report(30_000, "rows=2"), None);
        assert!(
            reply.status == 200 || reply.problem_type() == "draining",
            "{reply:?}"
        );
        reply.status == 503
    });
    let third = owed.get(&second.next().unwrap());
    assert_eq!(
        (third.status, third.headers["connection"].as_str()),
        (200, "close")
    );
    assert!(third.next().is_none() && owed.is_closed());
    assert_eq!(front.call("PUT", "/admin/resume", "").0, 200);
    assert_eq!(front.ask(&report(30_000, "rows=2"), None).status, 200);
}

/// At an upgrade, and at a planned stop, a client finishes its pages on the connection that it has; the process
/// ends by itself after that. The new one doesn't know the token, and says so.
#[test]
fn an_upgrade_between_two_pages() {
    let mut front = Front::start(1, "", WINDOW);
    let mut owed = front.http();
    owed.ask(&report(60_000, "rows=300 width=60"), None);
    let first = owed.read();
    let mut old = front.upgrade();
    until("new connections reach the new process", || {
        // One may still reach the old process, and meet its close.
        let reply = std::ops::DerefMut::deref_mut(&mut front.http()).get(&first.next().unwrap());
        reply.is_ok_and(|r| r.status == 404)
    });
    let second = owed.get(&first.next().unwrap());
    let third = owed.get(&second.next().unwrap());
    assert_eq!((second.status, third.status), (200, 200));
    assert!(owed.is_closed());
    assert_eq!(exit(&mut old), Some(0));

    let mut owed = front.http();
    owed.ask(&report(60_000, "rows=300 width=60"), None);
    let first = owed.read();
    front.signal("TERM");
    assert_eq!(owed.get(&first.next().unwrap()).status, 200);
    assert_eq!(exit(&mut front.child), Some(0));
}

/// What breaks the limits gets its code, and what is slow or silent costs nobody else anything.
#[test]
fn limits_have_clear_codes() {
    let lines = "  head_timeout = \"150ms\"\n  body_timeout = \"150ms\"\n  write_timeout = \"1s\"\n  max_connections = 8";
    let front = Front::start(1, lines, WINDOW);
    let ask = report(30_000, "rows=300 width=60").to_string();
    let mut half = front.http();
    half.raw(b"POST /v1/queries HTTP/1.1\r\nhost");
    let reply = half.read();
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (408, "request-timeout")
    );
    assert!(half.is_closed());
    let mut half = front.http();
    half.raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{");
    assert_eq!(half.read().status, 408);
    let mut long = front.http();
    long.raw(format!("GET /{} HTTP/1.1\r\n", "x".repeat(40_000)).as_bytes());
    assert!(matches!(long.read().status, 414 | 431));
    let mut garbage = front.http();
    garbage.raw(b"\x16\x03\x01\x02\x00\x01\r\n\r\n");
    assert_eq!(garbage.read().status, 400);
    // 60 MB, announced or in chunks without end: refused by its length, or where it passes the limit.
    let mut huge = front.http();
    huge.raw(
        b"POST /v1/queries HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 60000000\r\n\r\n",
    );
    let reply = huge.read();
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (413, "body-too-large")
    );
    let mut endless = front.http();
    endless.raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = [&b"8000\r\n"[..], &vec![b' '; 0x8000], b"\r\n"].concat();
    for _ in 0..2_000 {
        if endless.stream.get_mut().write_all(&chunk).is_err() {
            break;
        }
    }
    let reply = std::ops::DerefMut::deref_mut(&mut endless).read();
    assert!(reply.is_err() || reply.is_ok_and(|r| r.status == 413));
    // Hundreds that say nothing give way to those that ask.
    let silent: Vec<Http> = (0..900).map(|_| front.http()).collect();
    // One that asks for page after page and reads none of them is cut off.
    let first = front.ask(&report(30_000, "rows=900 width=53"), None);
    let mut slow = front.http();
    let request =
        format!("GET {} HTTP/1.1\r\nhost: a\r\n\r\n", first.next().unwrap()).repeat(2_000);
    slow.stream
        .get_ref()
        .set_write_timeout(Some(std::time::Duration::from_millis(200)))
        .unwrap();
    let _ = slow.stream.get_mut().write_all(request.as_bytes());
    until("the slow reader is cut off", || {
        let mut http = front.http();
        http.send("POST", "/v1/queries", &[], ask.as_bytes());
        assert_eq!(http.read().status, 200);
        slow.stream.get_mut().write_all(b" ").is_err()
    });
    drop(silent);
}

/// HTTP as clients speak it: pipelines, chunks, `Expect`, HEAD, methods and types that are not served.
#[test]
fn http_as_clients_speak_it() {
    let front = Front::start(1, "", WINDOW);
    let ask = report(30_000, "rows=300 width=60").to_string();
    let mut http = front.http();
    let post = format!(
        "POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{ask}",
        ask.len()
    );
    http.raw(post.repeat(3).as_bytes());
    let replies: Vec<Reply> = (0..3).map(|_| http.read()).collect();
    assert!(replies
        .iter()
        .all(|r| r.rows().len() == replies[0].rows().len()));
    let (a, b) = ask.split_at(20);
    http.raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    http.raw(
        format!(
            "{:x}\r\n{a}\r\n{:x};x=1\r\n{b}\r\n0\r\nt: u\r\n\r\n",
            a.len(),
            b.len()
        )
        .as_bytes(),
    );
    assert_eq!(http.read().status, 200);
    http.raw(
        format!(
            "POST /v1/queries HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
            ask.len()
        )
        .as_bytes(),
    );
    assert_eq!(http.read().status, 100);
    http.raw(ask.as_bytes());
    let first = http.read();
    let page = http.get(&first.next().unwrap());
    http.send("HEAD", &first.next().unwrap(), &[], b"");
    let head = http.read();
    assert_eq!(
        (head.status, head.headers["content-length"].parse()),
        (200, Ok(page.body.len()))
    );
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
    for (body, says) in [
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
    ] {
        http.send("POST", "/v1/queries", &[], body.as_bytes());
        let reply = http.read();
        assert_eq!(
            (reply.status, reply.problem_type().as_str()),
            (400, "invalid-request"),
            "{body}"
        );
        let detail = reply.json()["detail"].as_str().unwrap().to_owned();
        assert!(detail.contains(says), "{body}: {detail}");
    }
    http.send(
        "POST",
        "/v1/queries",
        &[("content-type", "text/xml")],
        b"<q/>",
    );
    assert_eq!(http.read().status, 415);
    http.ask(&report(30_000, ""), Some("k"));
    assert_eq!(http.read().problem_type(), "invalid-request");
    assert_eq!(
        front.fleet.counts().attempts(),
        5,
        "what can't be used never ran"
    );
}

/// New limits are taken at SIGHUP; a file that can't be used changes nothing.
#[test]
fn limits_are_read_again() {
    let front = Front::start(1, "", WINDOW);
    let path = front.folder.join("violetgate.hcl");
    let long = || {
        let mut ask = report(30_000, "rows=2");
        ask["statement"] = format!("SELECT 1 /* {} */", "x".repeat(2_000)).into();
        front.ask(&ask, None).status
    };
    assert_eq!(long(), 200);
    std::fs::write(&path, hcl(&front.rest, "  max_body = \"1KiB\"")).unwrap();
    front.signal("HUP");
    until("the new limit holds", || long() == 413);
    for text in [
        "rest {",
        "rest {\n  max_body = \"96KiB\"\n}",
        &hcl(&front.rest, "  max_bodi = \"96KiB\""),
    ] {
        std::fs::write(&path, text).unwrap();
        front.signal("HUP");
        assert_eq!(long(), 413);
    }
    std::fs::write(&path, hcl(&front.rest, "")).unwrap();
    front.signal("HUP");
    until("the old limit holds again", || long() == 200);
}

/// A failure is told as one, and a refusal by the engines' own lack of room with the module's figure.
#[test]
fn failures_and_refusals_are_told_apart() {
    let front = Front::start(1, "", WINDOW);
    let failed = front.ask(&report(2_000, "fail"), None);
    assert!(
        matches!(
            (failed.status, failed.problem_type().as_str()),
            (502, "failed") | (503, "busy")
        ),
        "{failed:?}"
    );
    front.fleet.fault("e-1", Fault::Refuse);
    let refused = front.ask(&report(400, "rows=2"), None);
    assert_eq!(
        (refused.status, refused.problem_type().as_str()),
        (503, "busy")
    );
    let mut rest = Vec::new();
    let mut raw = front.http();
    raw.raw(b"GET /v1/queries HTTP/1.0\r\n\r\n");
    raw.stream.read_to_end(&mut rest).unwrap();
    assert!(rest.starts_with(b"HTTP/1.0 405"), "{}", rest.escape_ascii());
}

/// A standard error that nobody reads holds up nobody: lines beyond what may wait are dropped, and the last line
/// says that some were.
#[test]
fn a_log_that_blocks_holds_up_nobody() {
    let mut front = Front::start(1, "", WINDOW);
    front.restart_piped();
    // A pipe takes 64 KiB, and 4,096 lines may wait.
    for _ in 0..6_000 {
        drop(front.http());
    }
    whole(&front.ask(&report(30_000, "rows=5"), None).rows(), 5);
    front.signal("TERM");
    let mut log = String::new();
    front
        .child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert_eq!(exit(&mut front.child), Some(0));
    assert!(
        log.lines().count() < 6_000 && log.contains("log lines, as nobody took them"),
        "{}",
        log.len()
    );
}
