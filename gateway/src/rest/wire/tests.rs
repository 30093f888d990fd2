//! Tests of parsing requests and formatting answers.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use proptest::prelude::*;

use super::*;
use crate::config::ClassName;

fn names() -> NameTable {
    let class = |name: &str, takes_idempotency_key| ClassName {
        name: name.to_owned(),
        takes_idempotency_key,
    };
    let classes = vec![class("report", false), class("load", true)];
    NameTable {
        classes,
        tenants: vec!["north".to_owned()],
        ..NameTable::default()
    }
}

const GOOD: &str = r#"{"class":"load","tenant":"north","budget_ms":1500,"estimate_ms":8.5,"estimate_mb":96,
    "order_key":"7f3a9c21e0b4d655","statement":"SELECT '\u00fc' FROM sales_17.plan"}"#;

proptest! {
    /// Guards against panics on input from clients: any body and header give a request or an error,
    /// and any path gives a route.
    #[test]
    fn nothing_that_a_client_sends_panics(
        body in proptest::collection::vec(any::<u8>(), 0..200),
        cut in 0..GOOD.len(), at in 0..GOOD.len(), byte in any::<u8>(),
        key in "[ -~]{0,80}", path in "/?v?1?/?queries[/a-z0-9.%-]{0,40}",
    ) {
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", key.parse().unwrap());
        let mut mutated = GOOD.as_bytes().to_vec();
        mutated.splice(at..=at, [byte]);
        for body in [&body[..], GOOD.as_bytes().get(..cut).unwrap(), &mutated] {
            let read = parse_query(&headers, body, &names(), "00000000000000a1", 5);
            if let Ok(request) = read {
                prop_assert!(request.query.client_timeout <= 86_400_000_000 && request.idempotency_key.is_some());
            }
        }
        for method in [Method::GET, Method::POST, Method::DELETE] {
            if let Route::Page { token, page } = route(&method, &path) {
                prop_assert!(page >= 1 && !token.contains('/'));
            }
        }
    }

    /// Guards against changing the text of rows, whatever characters they contain.
    #[test]
    fn rows_are_written_as_the_engine_sent_them(rows in proptest::collection::vec(["[^\t\n\0]{0,9}", "[^\t\n\0]{0,3}", "\\PC{0,3}"], 0..9)) {
        let clean = |c: &String| c.replace(['\t', '\n'], " ");
        let rows: Vec<Vec<String>> = rows.iter().map(|r| r.iter().map(clean).collect()).collect();
        let text: String = rows.iter().map(|r| r.join("\t") + "\n").collect();
        let continuation = Some(Continuation { token: "x", expires_at: 7_000 });
        let page = Page { continuation, query: 1, page: 1, page_count: 2, rows: text.as_bytes() };
        let read: serde_json::Value = serde_json::from_slice(&page.body()).unwrap();
        prop_assert_eq!(serde_json::from_value::<Vec<Vec<String>>>(read["rows"].clone()).unwrap(), rows);
        prop_assert_eq!(read["next"].as_str(), Some("/v1/queries/x/pages/2"));
    }
}

#[test]
fn a_route_is_found_by_path_and_method() {
    let not_allowed = |allow| Route::MethodNotAllowed { allow };
    for (method, path, expected) in [
        (Method::POST, "/v1/queries", Route::Query),
        (Method::GET, "/v1/queries", not_allowed("POST")),
        (
            Method::DELETE,
            "/v1/queries/x",
            Route::Delete { token: "x" },
        ),
        (Method::GET, "/v1/queries/x", not_allowed("DELETE")),
        (
            Method::HEAD,
            "/v1/queries/x/pages/2",
            Route::Page {
                token: "x",
                page: 2,
            },
        ),
        (
            Method::GET,
            "/v1/queries//pages/2",
            Route::Page { token: "", page: 2 },
        ),
        (
            Method::POST,
            "/v1/queries/x/pages/2",
            not_allowed("GET, HEAD"),
        ),
        (Method::GET, "/v1/queries/x/pages/02", Route::NotFound),
        (Method::GET, "/v1/queries/x/pages/1234567", Route::NotFound),
        (Method::GET, "/v1/queries/x/pages/2/", Route::NotFound),
        (Method::GET, "/v1/queries/", Route::NotFound),
        (Method::GET, "/v1/queriesx", Route::NotFound),
        (Method::GET, "/v1", Route::NotFound),
    ] {
        assert_eq!(route(&method, path), expected, "{method} {path}");
    }
}
