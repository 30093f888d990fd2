//! docs/openapi.yaml against the program: every answer that is listed can be had, none that is had
//! is not listed, and bodies are as their schemas say.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod support;

use std::collections::BTreeSet;

use serde_json::{json, Value};
use support::{wait_until, GatewayProcess, Reply};

struct Page {
    page: Value,
    /// Answers that were had: path, method, status.
    had: BTreeSet<(String, String, String)>,
}

impl Page {
    fn at<'a>(&'a self, mut value: &'a Value) -> &'a Value {
        while let Some(to) = value["$ref"].as_str() {
            value = self
                .page
                .pointer(&to[1..])
                .unwrap_or_else(|| panic!("no {to}"));
        }
        value
    }

    fn fits(&self, schema: &Value, value: &Value, place: &str) {
        let schema = self.at(schema);
        let kinds: Vec<&str> = match &schema["type"] {
            Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).collect(),
            kind => kind.as_str().into_iter().collect(),
        };
        let kind = match value {
            Value::Null => "null",
            Value::Bool(_) => "boolean",
            Value::Number(n) if n.is_u64() => "integer",
            Value::Number(_) => "number",
            Value::String(_) => "string",
            Value::Array(_) => "array",
            Value::Object(_) => "object",
        };
        assert!(
            kinds.contains(&kind) || (kind == "integer" && kinds.contains(&"number")),
            "{place}: {kind}"
        );
        if let Some(known) = schema["enum"].as_array() {
            assert!(known.contains(value), "{place}: {value} is not listed");
        }
        for name in schema["required"].as_array().into_iter().flatten() {
            assert!(
                value.get(name.as_str().unwrap()).is_some(),
                "{place}: {name} is missing"
            );
        }
        for (name, value) in value.as_object().into_iter().flatten() {
            let known = schema["properties"]
                .get(name)
                .unwrap_or_else(|| panic!("{place}: {name} is not listed"));
            self.fits(known, value, &format!("{place}.{name}"));
        }
        for value in value.as_array().into_iter().flatten() {
            self.fits(&schema["items"], value, &format!("{place}[]"));
        }
    }

    /// Holds an answer to what is listed for its path and method.
    fn check(&mut self, path: &str, method: &str, reply: &Reply) {
        let status = reply.status.to_string();
        let listed = &self.page["paths"][path][method]["responses"][&status];
        assert!(
            !listed.is_null(),
            "{method} {path}: {status} is not listed: {reply:?}"
        );
        let listed = self.at(listed);
        if let Some(content) = listed["content"].as_object() {
            let (kind, content) = content.iter().next().unwrap();
            assert_eq!(
                &reply.headers["content-type"], kind,
                "{method} {path} {status}"
            );
            self.fits(
                &content["schema"],
                &reply.json(),
                &format!("{method} {path} {status}"),
            );
            if reply.status != 200 {
                assert_eq!(reply.json()["status"], reply.status);
                assert_eq!(
                    reply.headers.contains_key("retry-after"),
                    reply.status == 503
                );
            }
        }
        self.had
            .insert((path.to_owned(), method.to_owned(), status));
    }

    /// The answers that the page lists: path, method, status.
    fn listed(&self) -> BTreeSet<(String, String, String)> {
        let mut listed = BTreeSet::new();
        for (path, methods) in self.page["paths"].as_object().unwrap() {
            for (method, operation) in methods.as_object().unwrap() {
                for status in operation["responses"].as_object().unwrap().keys() {
                    listed.insert((path.clone(), method.clone(), status.clone()));
                }
            }
        }
        listed
    }
}

const ASK: &str = "/v1/queries";
const PAGE: &str = "/v1/queries/{id}/pages/{n}";
const ONE: &str = "/v1/queries/{id}";
/// Hints that make a result of several pages.
const WIDE: &str = "rows=600 width=70";

fn query(class: &str, budget_ms: u64, hints: &str) -> Value {
    json!({"class": class, "tenant": "south", "budget_ms": budget_ms, "estimate_ms": 5, "estimate_mb": 2.5,
           "order_key": "00000000000000aa", "statement": format!("SELECT 1 FROM a_3.b /* {hints} */")})
}

#[test]
fn the_program_serves_what_the_page_lists() {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/openapi.yaml"))
            .unwrap();
    let mut page = Page {
        page: serde_yaml_ng::from_str(&text).unwrap(),
        had: BTreeSet::new(),
    };
    let rest = "  body_timeout = \"100ms\"\n  results_bytes = \"300KiB\"";
    let gateway = GatewayProcess::start(1, rest, 0.05);
    page.fits(
        &page.page["components"]["schemas"]["Query"].clone(),
        &query("load", 5, ""),
        "Query",
    );
    let first = gateway.post_query(&query("report", 20_000, WIDE), None);
    page.check(ASK, "post", &first);
    check_queries(&mut page, &gateway);
    check_keyed_queries(&mut page, &gateway);
    check_full_results(&mut page, &gateway);
    check_pages(&mut page, &gateway, &first);
    assert_eq!(page.had, page.listed());
}

fn check_queries(page: &mut Page, gateway: &GatewayProcess) {
    page.check(
        ASK,
        "post",
        &gateway.post_query(&query("lookup", 20_000, ""), None),
    );
    page.check(ASK, "post", &gateway.post_query(&json!({}), None));
    let mut http = gateway.http();
    http.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{");
    page.check(ASK, "post", &http.read());
    let mut http = gateway.http();
    http.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 999999\r\n\r\n{");
    page.check(ASK, "post", &http.read());
    let mut http = gateway.http();
    http.send("POST", ASK, &[("content-type", "text/plain")], b"{}");
    page.check(ASK, "post", &http.read());
}

fn check_keyed_queries(page: &mut Page, gateway: &GatewayProcess) {
    page.check(
        ASK,
        "post",
        &gateway.post_query(&query("load", 9_000, ""), Some("k-1")),
    );
    // One that joins a query that runs, and has less time than that takes.
    let mut long = gateway.http();
    let slow = |budget| {
        let mut slow = query("load", budget, "ms=700");
        slow["estimate_ms"] = 700.into();
        slow
    };
    long.post_query(&slow(9_000), Some("k-4"));
    assert!(gateway.upstreams.wait_for(|c| c.by_key.contains_key("k-4")));
    page.check(ASK, "post", &gateway.post_query(&slow(150), Some("k-4")));
    page.check(ASK, "post", &long.read());
    wait_until("the key is used with another query", || {
        let one = gateway.post_query(&query("load", 9_000, ""), Some("k-2"));
        assert_eq!(one.status, 200);
        let other = gateway.post_query(&query("load", 9_000, "ms=1"), Some("k-2"));
        page.check(ASK, "post", &other);
        other.status == 422
    });
    // Its outcome is unknown, and the window from its beginning is over before the one from its
    // end.
    wait_until("a second one might have its effect twice", || {
        let failed = gateway.post_query(&query("load", 1_500, "ms=60 fail"), Some("k-3"));
        page.check(ASK, "post", &failed);
        let again = gateway.post_query(&query("load", 1_500, "ms=60 fail"), Some("k-3"));
        page.check(ASK, "post", &again);
        [failed.status, again.status].contains(&409)
    });
}

fn check_full_results(page: &mut Page, gateway: &GatewayProcess) {
    let full = gateway.post_query(&query("report", 20_000, WIDE), None);
    page.check(ASK, "post", &full);
    let (mut n, mut last) = (0, full);
    while last.status == 200 && n < 9 {
        (n, last) = (
            n + 1,
            gateway.post_query(&query("report", 20_000, WIDE), None),
        );
        page.check(ASK, "post", &last);
    }
    assert_eq!(last.problem_type(), "results-full");
}

fn check_pages(page: &mut Page, gateway: &GatewayProcess, first: &Reply) {
    let path = first.next().unwrap();
    let id = first.json()["id"].as_str().unwrap().to_owned();
    let mut http = gateway.http();
    let unknown = "/v1/queries/AAAA/pages/2";
    for (method, name) in [("GET", "get"), ("HEAD", "head")] {
        for at in [path.as_str(), unknown] {
            http.send(method, at, &[], b"");
            let reply = http.read();
            page.check(PAGE, name, &reply);
        }
    }
    for (at, status) in [
        (format!("/v1/queries/{id}"), 204),
        (format!("/v1/queries/{id}"), 410),
        ("/v1/queries/A".to_owned(), 404),
    ] {
        http.send("DELETE", &at, &[], b"");
        let reply = http.read();
        assert_eq!(reply.status, status);
        page.check(ONE, "delete", &reply);
    }
    for (method, name) in [("GET", "get"), ("HEAD", "head")] {
        http.send(method, &path, &[], b"");
        let reply = http.read();
        page.check(PAGE, name, &reply);
    }
}
