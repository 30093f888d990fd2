//! Calls of the cluster API that the process has to hold.

use serde_json::json;

use crate::support::HttpConnection;
use crate::{start_single_member, Api};

const MEMORY_MB: u64 = 64;
const CALLERS: usize = 40;
const HALF_BODY_BYTES: usize = 4 << 20;

/// Dozens of callers stopped in the middle of a large transaction, each of which was held for 30 s.
#[test]
fn half_calls_stay_within_the_memory_limit() {
    let (mut gateway, api_address) = start_single_member();
    gateway.restart_with_config(|config| config["limits"]["memory_mb"] = MEMORY_MB.into());
    let half_body = vec![b'x'; HALF_BODY_BYTES];
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut http = HttpConnection::open(&api_address);
        let head = format!(
            "POST /v1/transactions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
            HALF_BODY_BYTES + 1
        );
        http.send_raw(head.as_bytes());
        // The member may close the connection before all is sent.
        let _ = http.try_send_raw(&half_body);
        callers.push(http);
    }
    let mut api = Api::new(&api_address);
    api.put("a", "usual");
    let large_value = "v".repeat(60_000);
    let body = json!({"then": [{"put": "b", "value": large_value}]}).to_string();
    let reply = api.call("POST", "/v1/transactions", &[], &body);
    assert_eq!(reply.status, 200, "{}", reply.body.escape_ascii());
    let peak = gateway.peak_memory_bytes();
    assert!(
        peak <= MEMORY_MB * 1_000_000,
        "the process reached {peak} bytes, with a limit of {MEMORY_MB} MB"
    );
}
