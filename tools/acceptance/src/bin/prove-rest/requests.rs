//! Builds the queries for both protocols.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use serde_json::{json, Value};

/// Returns the next request id as 16 hexadecimal digits.
fn next_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Relaxed))
}

/// Returns the body of a REST query. `hints` set the duration and the result of the query at the
/// fake engine.
pub fn query_body(class: &str, hints: &str) -> Value {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    json!({"class": class, "budget_ms": 10_000, "estimate_ms": 1.0, "estimate_mb": 1, "statement": statement})
}

/// Returns the text of a PostgreSQL query with a unique request id. `fields` are appended to the
/// fields of its comment; `hints` are as for [`query_body`].
pub fn query_text(class: &str, hints: &str, fields: &str) -> String {
    let fields = format!(
        "rid={},budget=10000,est=1.0,est_mb=1{fields}",
        next_request_id()
    );
    format!("/* method={class},{fields} */ SELECT day FROM sales_17.plan /* {hints} */")
}
