//! Tests the REST API on real sockets, in front of fake engines that count what reaches them.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod disconnects;
mod idempotency;
mod lifecycle;
mod limits;
mod pages;
mod protocol;
#[path = "../support/mod.rs"]
mod support;

use serde_json::{json, Value};

/// The deduplication window, in which engines discard repeats, in seconds, in tests that don't wait
/// for its end.
const WINDOW: f64 = 3_600.0;

fn report(budget_ms: u64, hints: &str) -> Value {
    let statement = format!("SELECT day FROM sales_17.plan /* {hints} */");
    json!({"class": "report", "tenant": "north", "budget_ms": budget_ms, "statement": statement})
}

fn load(order: u64, hints: &str) -> Value {
    json!({"class": "load", "budget_ms": 15_000, "order_key": format!("{order:016x}"), "estimate_ms": 500.0,
           "estimate_mb": 16, "statement": format!("INSERT INTO sales_2.plan SELECT 1 /* {hints} */")})
}

/// Checks that a result has all rows of a single attempt, in order and each once.
fn assert_complete(rows: &[[String; 3]], count: usize) {
    assert_eq!(rows.len(), count);
    for (n, row) in rows.iter().enumerate() {
        assert_eq!(
            (&row[0], &row[1]),
            (&rows[0][0], &rows[0][1]),
            "the result has rows of two attempts"
        );
        assert_eq!(row[2].trim_end_matches('.'), n.to_string());
    }
}
