//! Entries of the shared state: reads, changes and conditions.

use serde_json::json;

use crate::{keys, start_single_member, Api};

/// All pages of a listing show the revision of the first page, whatever is written in between. A
/// listing or a watch from a compacted revision gets an error.
#[test]
fn all_pages_of_a_listing_are_of_one_revision() {
    let (_gateway, api_address) = start_single_member();
    let mut api = Api::new(&api_address);
    for n in 0..5 {
        api.put(&format!("a/{n}"), "old");
    }
    let first = api.get("/v1/state?prefix=a/&limit=2").json();
    let (revision, mut all, mut next) = (
        first["revision"].as_u64().unwrap(),
        keys(&first),
        first["next"].clone(),
    );
    while let Some(path) = next.as_str() {
        api.put("a/3", "new");
        api.call("DELETE", "/v1/state?key=a/4", &[], "");
        api.put("a/9", "new");
        let page = api.get(path).json();
        assert_eq!(page["revision"], revision);
        all.extend(keys(&page));
        next = page["next"].clone();
    }
    let expected: Vec<_> = (0..5)
        .map(|n| (format!("a/{n}"), "old".to_owned()))
        .collect();
    assert_eq!(all, expected);
    let changes = api
        .get(&format!("/v1/changes?after={revision}&prefix=a/"))
        .json();
    assert_eq!(changes["changes"][0]["key"], "a/3");
    let now = changes["revision"].as_u64().unwrap();
    let held = api.get("/v1/state?prefix=a/&limit=1").json();
    assert_eq!(
        api.call("POST", &format!("/v1/compactions?revision={now}"), &[], "")
            .status,
        200
    );
    api.put("a/1", "newer");
    for path in [
        first["next"].as_str().unwrap(),
        &format!("/v1/changes?after={revision}"),
    ] {
        let gone = api.get(path);
        assert_eq!(
            (gone.status, gone.problem_type().as_str()),
            (410, "compacted"),
            "{path}"
        );
    }
    let page = api.get(held["next"].as_str().unwrap()).json();
    assert_eq!(keys(&page), [("a/1".to_owned(), "old".to_owned())]);
}

/// Calls that are rejected: method, path, body, and the status and problem type of the error.
const REJECTED_CALLS: [(&str, &str, &str, u16, &str); 13] = [
    ("PUT", "/v1/state?key=cordons/e-1", "x", 403, "reserved"),
    ("PUT", "/v1/state?kee=k", "x", 400, "invalid-request"),
    ("PUT", "/v1/state", "x", 400, "invalid-request"),
    ("GET", "/v1/state?limit=x", "", 400, "invalid-request"),
    (
        "POST",
        "/v1/transactions",
        "{\"then\":[{}]}",
        400,
        "invalid-request",
    ),
    ("POST", "/v1/leases", "{\"id\":1}", 400, "invalid-request"),
    ("PUT", "/v1/state?key=k&lease=77", "x", 404, "no-such-lease"),
    ("DELETE", "/v1/leases?id=77", "", 404, "no-such-lease"),
    (
        "PUT",
        "/v1/cordons?engine=nobody",
        "",
        404,
        "no-such-engine",
    ),
    ("PUT", "/v1/drains?member=7", "", 409, "rejected"),
    (
        "POST",
        "/v1/cluster/members",
        "{\"remove\":1}",
        409,
        "rejected",
    ),
    (
        "POST",
        "/v1/cluster/members",
        "{\"promote\":9}",
        409,
        "rejected",
    ),
    ("GET", "/v1/nothing", "", 404, "no-such-call"),
];

/// A repeated request id changes nothing and gets the same answer. A change whose condition fails
/// has no effect, and a transaction executes exactly one of its two branches.
#[test]
fn changes_are_made_once_for_each_request_id_and_under_conditions() {
    let (_gateway, api_address) = start_single_member();
    let mut api = Api::new(&api_address);
    let id = [("request-id", "one"), ("operator", "amina")];
    let first = api.call("PUT", "/v1/state?key=k", &id, "1").json();
    api.put("k", "2");
    assert_eq!(api.call("PUT", "/v1/state?key=k", &id, "1").json(), first);
    assert_eq!(api.get("/v1/state?key=k").json()["value"], "2");
    let who = api.get("/v1/changes?after=0&prefix=k").json()["changes"][0]["who"].clone();
    assert_eq!(who, "amina");
    let stale = api.call(
        "PUT",
        &format!("/v1/state?key=k&if_revision={}", first["revision"]),
        &[],
        "3",
    );
    assert_eq!(
        (stale.status, stale.problem_type().as_str()),
        (412, "condition-failed")
    );
    let txn = json!({"checks": [{"key": "k", "holds": "2"}, {"key": "new", "changed": 0}],
        "then": [{"put": "new", "value_base64": "/wA="}, {"delete": "k"}], "otherwise": [{"put": "no", "value": ""}]});
    for held in [true, false] {
        let reply = api
            .call("POST", "/v1/transactions", &[], &txn.to_string())
            .json();
        assert_eq!(reply["held"], held);
    }
    assert_eq!(api.get("/v1/state?key=k").status, 404);
    assert_eq!(api.get("/v1/state?key=new").json()["value_base64"], "/wA=");
}

/// Rejected calls get the documented errors. They include writes to reserved keys, invalid
/// parameters, unknown leases and engines, and impossible membership changes.
#[test]
fn calls_that_cannot_be_carried_out_get_their_errors() {
    let (_gateway, api_address) = start_single_member();
    let mut api = Api::new(&api_address);
    for (method, path, body, status, kind) in REJECTED_CALLS {
        let reply = api.call(method, path, &[], body);
        assert_eq!(
            (reply.status, reply.problem_type().as_str()),
            (status, kind),
            "{method} {path}"
        );
    }
    let big = "x".repeat(65 << 10);
    assert_eq!(api.call("PUT", "/v1/state?key=big", &[], &big).status, 413);
}
