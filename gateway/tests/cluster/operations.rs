//! Operators' calls to a member.

use serde_json::json;

use crate::support::wait_until;
use crate::{alone, Api};

/// Calls over the API and over management are one; what is called out outlasts the process.
#[test]
fn operators_calls_are_shared_and_outlast_the_process() {
    let (mut gateway, at) = alone();
    let lookup = json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"});
    assert_eq!(
        gateway.call("PUT", "/admin/cordon", "{\"host\":\"e-1\"}").0,
        200
    );
    assert_eq!(
        gateway
            .call("PUT", "/admin/cordon", "{\"host\":\"nobody\"}")
            .0,
        404
    );
    assert_eq!(
        Api::new(&at).get("/v1/state?key=cordons/e-1").json()["value"],
        "{\"by\":\"management\"}"
    );
    gateway.upstreams.record_cordon("e-1", true);
    (0..20).for_each(|_| assert_eq!(gateway.post_query(&lookup, None).status, 200));
    gateway.restart_piped();
    (0..20).for_each(|_| assert_eq!(gateway.post_query(&lookup, None).status, 200));
    assert_eq!(gateway.upstreams.counts().after_cordon, 0);
    let mut api = Api::new(&at);
    assert_eq!(
        api.call("DELETE", "/v1/cordons?engine=e-1", &[], "").status,
        200
    );
    wait_until("it is used again", || {
        gateway.post_query(&lookup, None);
        gateway.upstreams.counts().after_cordon > 0
    });
    // A drain of this instance.
    assert_eq!(api.call("PUT", "/v1/drains", &[], "").status, 200);
    wait_until("new requests are turned back", || {
        gateway.post_query(&lookup, None).status == 503
    });
    assert_eq!(gateway.call("PUT", "/admin/resume", "").0, 200);
    wait_until("they are taken again", || {
        gateway.post_query(&lookup, None).status == 200
    });
}
