//! Measures the memory of cached results in relation to the bytes of their rows.

use serde_json::Value;
use violetgate_acceptance::{Gateway, Result, Verdict};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::requests::query_body;
use crate::{Arguments, REST_SETTINGS};

/// The number of rows of one result.
const ROWS: usize = 800;
/// The bytes of a row, with the tabs and the line end that engines send.
const ROW_BYTES: usize = 55;
/// The number of results that are cached when the memory is measured.
const RESULTS: usize = 1_000;

/// Checks that the process grows by at most 1.2 times the bytes of the rows that it caches.
pub fn measure(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(4, Profile::default())?;
    let gateway = Gateway::start(&arguments.program, &engines, REST_SETTINGS)?;
    let mut body = query_body("report", &format!("ms=0 rows={ROWS} width={ROW_BYTES}"));
    let mut http = gateway.connect_http()?;
    let mut get = |body: &Value| http.send_query(body, None).and_then(|()| http.read());
    for _ in 0..50 {
        get(&body)?;
    }
    body["budget_ms"] = 600_000.into();
    let memory_before = gateway.resident_bytes();
    let mut cached = 0;
    while cached < RESULTS {
        if get(&body)?.status == 200 {
            cached += 1;
        }
    }
    let row_bytes = cached * ROWS * ROW_BYTES;
    let grown = gateway.resident_bytes().saturating_sub(memory_before);
    println!(
        "{cached} results cached: {} KiB of rows, the process has grown by {} KiB",
        row_bytes / 1024,
        grown / 1024
    );
    verdict.at_most("bytes_held_ratio", grown as f64 / row_bytes as f64, 1.2);
    Ok(())
}
