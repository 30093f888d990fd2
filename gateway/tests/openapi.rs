//! Compares docs/openapi.yaml with the program: the program can return every documented response
//! and returns no others, and bodies match their schemas.
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

struct ApiDocument {
    root: Value,
    /// Responses that the program has returned: path, method, status.
    returned: BTreeSet<(String, String, String)>,
}

impl ApiDocument {
    fn resolve<'a>(&'a self, mut value: &'a Value) -> &'a Value {
        while let Some(reference) = value["$ref"].as_str() {
            value = self
                .root
                .pointer(&reference[1..])
                .unwrap_or_else(|| panic!("the reference {reference} points to nothing"));
        }
        value
    }

    fn assert_matches_schema(&self, schema: &Value, value: &Value, json_path: &str) {
        let schema = self.resolve(schema);
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
            "{json_path}: type {kind} is not documented"
        );
        if let Some(known) = schema["enum"].as_array() {
            assert!(
                known.contains(value),
                "{json_path}: {value} is not in the enum"
            );
        }
        for name in schema["required"].as_array().into_iter().flatten() {
            assert!(
                value.get(name.as_str().unwrap()).is_some(),
                "{json_path}: required property {name} is missing"
            );
        }
        for (name, value) in value.as_object().into_iter().flatten() {
            let known = schema["properties"]
                .get(name)
                .unwrap_or_else(|| panic!("{json_path}: property {name} is not documented"));
            self.assert_matches_schema(known, value, &format!("{json_path}.{name}"));
        }
        for value in value.as_array().into_iter().flatten() {
            self.assert_matches_schema(&schema["items"], value, &format!("{json_path}[]"));
        }
    }

    /// Compares a response with those documented for its path and method, and records it.
    fn check_response(&mut self, path: &str, method: &str, reply: &Reply) {
        let status = reply.status.to_string();
        let documented = &self.root["paths"][path][method]["responses"][&status];
        assert!(
            !documented.is_null(),
            "{method} {path}: status {status} is not documented: {reply:?}"
        );
        let documented = self.resolve(documented);
        if let Some(content) = documented["content"].as_object() {
            let (kind, content) = content.iter().next().unwrap();
            assert_eq!(
                &reply.headers["content-type"], kind,
                "{method} {path} {status}"
            );
            self.assert_matches_schema(
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
        self.returned
            .insert((path.to_owned(), method.to_owned(), status));
    }

    /// Returns the documented responses: path, method, status.
    fn documented(&self) -> BTreeSet<(String, String, String)> {
        let mut documented = BTreeSet::new();
        for (path, methods) in self.root["paths"].as_object().unwrap() {
            for (method, operation) in methods.as_object().unwrap() {
                for status in operation["responses"].as_object().unwrap().keys() {
                    documented.insert((path.clone(), method.clone(), status.clone()));
                }
            }
        }
        documented
    }
}

const QUERIES_PATH: &str = "/v1/queries";
const PAGE_PATH: &str = "/v1/queries/{id}/pages/{n}";
const QUERY_PATH: &str = "/v1/queries/{id}";
/// Statement hints that produce a result of several pages.
const SEVERAL_PAGES: &str = "rows=600 width=70";

fn query(class: &str, budget_ms: u64, hints: &str) -> Value {
    json!({"class": class, "tenant": "south", "budget_ms": budget_ms, "estimate_ms": 5, "estimate_mb": 2.5,
           "order_key": "00000000000000aa", "statement": format!("SELECT 1 FROM a_3.b /* {hints} */")})
}

#[test]
fn the_program_returns_exactly_the_documented_responses() {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/openapi.yaml"))
            .unwrap();
    let mut document = ApiDocument {
        root: serde_yaml_ng::from_str(&text).unwrap(),
        returned: BTreeSet::new(),
    };
    let rest = "  body_timeout = \"100ms\"\n  results_bytes = \"300KiB\"";
    let gateway = GatewayProcess::start(1, rest, 0.05);
    document.assert_matches_schema(
        &document.root["components"]["schemas"]["Query"].clone(),
        &query("load", 5, ""),
        "Query",
    );
    let first = gateway.post_query(&query("report", 20_000, SEVERAL_PAGES), None);
    document.check_response(QUERIES_PATH, "post", &first);
    check_queries(&mut document, &gateway);
    check_keyed_queries(&mut document, &gateway);
    check_full_results(&mut document, &gateway);
    check_pages(&mut document, &gateway, &first);
    assert_eq!(document.returned, document.documented());
}

fn check_queries(document: &mut ApiDocument, gateway: &GatewayProcess) {
    document.check_response(
        QUERIES_PATH,
        "post",
        &gateway.post_query(&query("lookup", 20_000, ""), None),
    );
    document.check_response(QUERIES_PATH, "post", &gateway.post_query(&json!({}), None));
    let mut http = gateway.http();
    http.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{");
    document.check_response(QUERIES_PATH, "post", &http.read());
    let mut http = gateway.http();
    http.send_raw(b"POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: 999999\r\n\r\n{");
    document.check_response(QUERIES_PATH, "post", &http.read());
    let mut http = gateway.http();
    http.send(
        "POST",
        QUERIES_PATH,
        &[("content-type", "text/plain")],
        b"{}",
    );
    document.check_response(QUERIES_PATH, "post", &http.read());
}

fn check_keyed_queries(document: &mut ApiDocument, gateway: &GatewayProcess) {
    document.check_response(
        QUERIES_PATH,
        "post",
        &gateway.post_query(&query("load", 9_000, ""), Some("k-1")),
    );
    // The second query joins a running query with the same key, and its budget ends first.
    let mut long = gateway.http();
    let slow = |budget| {
        let mut slow = query("load", budget, "ms=700");
        slow["estimate_ms"] = 700.into();
        slow
    };
    long.post_query(&slow(9_000), Some("k-4"));
    assert!(gateway.upstreams.wait_for(|c| c.by_key.contains_key("k-4")));
    document.check_response(
        QUERIES_PATH,
        "post",
        &gateway.post_query(&slow(150), Some("k-4")),
    );
    document.check_response(QUERIES_PATH, "post", &long.read());
    wait_until(
        "a key that was reused with another query is rejected",
        || {
            let one = gateway.post_query(&query("load", 9_000, ""), Some("k-2"));
            assert_eq!(one.status, 200);
            let other = gateway.post_query(&query("load", 9_000, "ms=1"), Some("k-2"));
            document.check_response(QUERIES_PATH, "post", &other);
            other.status == 422
        },
    );
    // The outcome of the failed query is unknown. The repeat arrives when the deduplication window
    // has passed since the query's start but not since its end, so the query could take effect
    // twice.
    wait_until(
        "a repeat is rejected because it could take effect twice",
        || {
            let failed = gateway.post_query(&query("load", 1_500, "ms=60 fail"), Some("k-3"));
            document.check_response(QUERIES_PATH, "post", &failed);
            let again = gateway.post_query(&query("load", 1_500, "ms=60 fail"), Some("k-3"));
            document.check_response(QUERIES_PATH, "post", &again);
            [failed.status, again.status].contains(&409)
        },
    );
}

fn check_full_results(document: &mut ApiDocument, gateway: &GatewayProcess) {
    let full = gateway.post_query(&query("report", 20_000, SEVERAL_PAGES), None);
    document.check_response(QUERIES_PATH, "post", &full);
    let (mut n, mut last) = (0, full);
    while last.status == 200 && n < 9 {
        (n, last) = (
            n + 1,
            gateway.post_query(&query("report", 20_000, SEVERAL_PAGES), None),
        );
        document.check_response(QUERIES_PATH, "post", &last);
    }
    assert_eq!(last.problem_type(), "results-full");
}

fn check_pages(document: &mut ApiDocument, gateway: &GatewayProcess, first: &Reply) {
    let path = first.next().unwrap();
    let id = first.json()["id"].as_str().unwrap().to_owned();
    let mut http = gateway.http();
    let unknown = "/v1/queries/AAAA/pages/2";
    for (method, name) in [("GET", "get"), ("HEAD", "head")] {
        for target in [path.as_str(), unknown] {
            http.send(method, target, &[], b"");
            let reply = http.read();
            document.check_response(PAGE_PATH, name, &reply);
        }
    }
    for (target, status) in [
        (format!("/v1/queries/{id}"), 204),
        (format!("/v1/queries/{id}"), 410),
        ("/v1/queries/A".to_owned(), 404),
    ] {
        http.send("DELETE", &target, &[], b"");
        let reply = http.read();
        assert_eq!(reply.status, status);
        document.check_response(QUERY_PATH, "delete", &reply);
    }
    for (method, name) in [("GET", "get"), ("HEAD", "head")] {
        http.send(method, &path, &[], b"");
        let reply = http.read();
        document.check_response(PAGE_PATH, name, &reply);
    }
}
