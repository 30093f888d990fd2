//! Operators' calls to a cluster member.

use serde_json::json;

use crate::support::wait_until;
use crate::{start_single_member, Api};

/// Cordons and drains that are set over the cluster API and over management are the same state, and
/// a cordon survives a restart of the process.
#[test]
fn operators_calls_are_shared_and_outlast_the_process() {
    let (mut gateway, api_address) = start_single_member();
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
        Api::new(&api_address)
            .get("/v1/state?key=cordons/e-1")
            .json()["value"],
        "{\"by\":\"management\"}"
    );
    gateway.upstreams.record_cordon("e-1", true);
    (0..20).for_each(|_| assert_eq!(gateway.post_query(&lookup, None).status, 200));
    gateway.restart_piped();
    (0..20).for_each(|_| assert_eq!(gateway.post_query(&lookup, None).status, 200));
    assert_eq!(gateway.upstreams.counts().after_cordon, 0);
    let mut api = Api::new(&api_address);
    assert_eq!(
        api.call("DELETE", "/v1/cordons?engine=e-1", &[], "").status,
        200
    );
    wait_until("the uncordoned engine is used again", || {
        gateway.post_query(&lookup, None);
        gateway.upstreams.counts().after_cordon > 0
    });
    // Drains this instance.
    assert_eq!(api.call("PUT", "/v1/drains", &[], "").status, 200);
    wait_until("the drained instance rejects new requests", || {
        gateway.post_query(&lookup, None).status == 503
    });
    assert_eq!(gateway.call("PUT", "/admin/resume", "").0, 200);
    wait_until("the resumed instance accepts new requests", || {
        gateway.post_query(&lookup, None).status == 200
    });
}
