//! The settings that all members of a cluster share.

use serde_json::json;

use crate::{start_single_member, Api};

/// Settings are validated before they are proposed, are versioned and can be rolled back, and take
/// effect at once. A repeated request id gets the first answer.
#[test]
fn shared_settings_are_checked_and_have_versions() {
    let (gateway, api_address) = start_single_member();
    let mut api = Api::new(&api_address);
    let wrong = api.call(
        "PUT",
        "/v1/settings",
        &[],
        "rest {\n  results = 0\n  listen = \"127.0.0.1:1\"\n}\n",
    );
    assert_eq!(wrong.status, 422);
    let detail = wrong.json()["detail"].as_str().unwrap().to_owned();
    assert!(
        detail.contains("2: rest.results") && detail.contains("3: rest.listen"),
        "{detail}"
    );
    let text = |n: u64| format!("rest {{\n  max_body = \"{n}KiB\"\n}}\n");
    let apply = |api: &mut Api, n, expect: u64, id: &str| {
        api.call(
            "PUT",
            &format!("/v1/settings?expect={expect}"),
            &[("request-id", id)],
            &text(n),
        )
    };
    let one = apply(&mut api, 2, 0, "s-1");
    assert_eq!(one.json()["version"], 1);
    assert_eq!(apply(&mut api, 2, 0, "s-1").body, one.body, "repeated id");
    let late = apply(&mut api, 5, 0, "s-2");
    assert_eq!(
        (late.status, late.problem_type().as_str()),
        (409, "settings-replaced")
    );
    let statement = format!("SELECT 1 /* {} */", "x".repeat(3_000));
    let query = json!({"class": "lookup", "budget_ms": 10_000, "statement": statement});
    assert_eq!(gateway.post_query(&query, None).status, 413);
    assert_eq!(apply(&mut api, 64, 1, "s-3").json()["version"], 2);
    assert_eq!(gateway.post_query(&query, None).status, 200);
    assert_eq!(
        api.call("POST", "/v1/settings/rollback?version=1", &[], "")
            .json()["version"],
        3
    );
    assert_eq!(api.get("/v1/settings").body, text(2).as_bytes());
    assert_eq!(gateway.post_query(&query, None).status, 413);
    assert_eq!(
        api.get("/v1/settings/versions").json()["versions"]
            .as_array()
            .unwrap()
            .len(),
        3
    );
    assert_eq!(
        api.call("POST", "/v1/settings/rollback?version=9", &[], "")
            .status,
        404
    );
}
