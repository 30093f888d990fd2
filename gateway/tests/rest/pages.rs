//! Results in pages, and how long they can be fetched.

use violetgate_fake_upstreams::Fault;

use crate::support::{wait_until, GatewayProcess};
use crate::{assert_complete, report, WINDOW};

/// The pages of a result stay complete and unchanged after their engine drains, dies, and another
/// engine takes its address. Each page is fetched from the engine only once.
#[test]
fn pages_outlive_their_engine_unchanged() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let first = gateway.post_query(&report(30_000, "rows=600 width=70"), None);
    let addr = gateway.upstreams.addr("e-1");
    let mut rows = first.rows();
    let next = first.next().unwrap();
    assert_eq!(first.headers["link"], format!("<{next}>; rel=\"next\""));
    let pages = first.json()["pages"].as_u64().unwrap();
    gateway.upstreams.drain("e-1");
    let mut http = gateway.http();
    let second = http.get(&next);
    rows.extend(second.rows());
    gateway.upstreams.kill("e-1");
    gateway.upstreams.add("e-2", addr).unwrap();
    wait_until("the new engine is known", || {
        gateway.metric("svc_known_engines") >= 2.0
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
    assert_complete(&rows, 600);
    let again = gateway.http().get(&next);
    assert_eq!(again.body, second.body);
    let counts = gateway.upstreams.counts();
    assert_eq!(
        (counts.attempts(), counts.pages.len() as u64),
        (1, pages - 1)
    );
    assert!(counts.pages.values().all(|n| *n == 1), "{:?}", counts.pages);
    // Later queries run on the new engine.
    assert_complete(
        &gateway.post_query(&report(30_000, "rows=5"), None).rows(),
        5,
    );
    assert_eq!(gateway.upstreams.counts().by_engine.get("e-2"), Some(&1));
}

/// An attempt fails if its connection is reset or a further page is corrupt. Its rows never mix
/// with those of the next attempt.
#[test]
fn pages_of_two_attempts_never_mix() {
    for fault in [
        Fault::ResetOnPage,
        Fault::CorruptPages,
        Fault::ResetOnAnswer,
        Fault::ResetOnServe,
    ] {
        let gateway = GatewayProcess::start(2, "", WINDOW);
        gateway.upstreams.fault("e-1", fault);
        for _ in 0..4 {
            let first = gateway.post_query(&report(30_000, "rows=300 width=60"), None);
            let mut rows = first.rows();
            let mut at = first.next();
            while let Some(path) = at {
                let page = gateway.http().get(&path);
                rows.extend(page.rows());
                at = page.next();
            }
            assert_complete(&rows, 300);
            assert!(rows[0][1].starts_with("e-2/"), "{}", rows[0][1]);
        }
    }
}

/// After the budget of its query has ended, a page gets 410, and the memory of the result is freed.
#[test]
fn a_page_expires_with_the_budget_of_its_query() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let first = gateway.post_query(&report(600, "rows=300 width=60"), None);
    let path = first.next().unwrap();
    let mut http = gateway.http();
    let mut last = None;
    wait_until("the result has expired", || {
        let page = http.get(&path);
        let body = last.get_or_insert_with(|| page.clone());
        assert!(page.status == 410 || page.body == body.body, "{page:?}");
        page.status == 410
    });
    assert_eq!(http.get(&path).problem_type(), "result-gone");
    wait_until("the memory of the result is freed", || {
        gateway.metric("svc_rest_results_bytes") == 0.0
    });
}

/// Forged tokens, and page numbers that are invalid or too high, get 404. The answer to a forged
/// token does not depend on which byte differs.
#[test]
fn an_unknown_token_or_page_number_is_not_found() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let mut http = gateway.http();
    let first = gateway.post_query(&report(30_000, "rows=300 width=60"), None);
    let id = first.json()["id"].as_str().unwrap().to_owned();
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
}

/// A deleted result gets 410. The token of another process's result gets the same answer as an
/// unknown token.
#[test]
fn a_deleted_result_is_gone() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let mut http = gateway.http();
    let first = gateway.post_query(&report(30_000, "rows=300 width=60"), None);
    let (id, path) = (
        first.json()["id"].as_str().unwrap().to_owned(),
        first.next().unwrap(),
    );
    let unknown = http.get(&format!("/v1/queries/{}/pages/2", "A".repeat(id.len())));
    let other = GatewayProcess::start(1, "", WINDOW);
    assert_eq!(other.http().get(&path).body, unknown.body);
    assert_eq!(http.get(&path).status, 200);
    http.send("DELETE", &format!("/v1/queries/{id}"), &[], b"");
    assert_eq!(http.read().status, 204);
    assert_eq!(http.get(&path).status, 410);
}
