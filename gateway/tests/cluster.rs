//! The program as a member of a cluster, on real sockets: what its API takes and tells, what operators' calls do, and
//! that it neither starts nor sends without its state.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

mod support;

use std::path::Path;

use serde_json::{json, Value};
use support::{reserved, until, violetgate, Front, Http, Reply};

/// A front end that is a cluster by itself, and where its API is.
fn alone() -> (Front, String) {
    let (peer, api) = (reserved(), reserved());
    let block = |folder: &Path| block(folder, 1, &peer, &api, &[(1, &peer)]);
    let front = Front::begin(2, "", 12.0, block);
    (front, api.clone())
}

fn block(folder: &Path, id: u64, peer: &str, api: &str, members: &[(u64, &str)]) -> String {
    let members: String = members
        .iter()
        .map(|(id, at)| format!("    \"{id}\" = \"{at}\"\n"))
        .collect();
    format!(
        "cluster {{\n  name = \"test\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{peer}\"\n  api = \"{api}\"\n  \
         members = {{\n{members}  }}\n}}\n",
        folder.join("member").display()
    )
}

struct Api(Http);

impl Api {
    fn new(at: &str) -> Self {
        Api(Http::open(at))
    }

    fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        self.0.send(method, path, headers, body.as_bytes());
        self.0.read()
    }

    fn get(&mut self, path: &str) -> Reply {
        self.call("GET", path, &[], "")
    }

    fn put(&mut self, key: &str, value: &str) -> u64 {
        let reply = self.call("PUT", &format!("/v1/state?key={key}"), &[], value);
        assert_eq!(reply.status, 200, "{}", reply.body.escape_ascii());
        reply.json()["revision"].as_u64().unwrap()
    }
}

fn keys(page: &Value) -> Vec<(String, String)> {
    let entries = page["entries"].as_array().unwrap();
    entries
        .iter()
        .map(|e| {
            (
                e["key"].as_str().unwrap().into(),
                e["value"].as_str().unwrap().into(),
            )
        })
        .collect()
}

/// All pages of a listing are of the revision of the first, whatever is written between them; what is compacted away
/// is told, to a listing and to a watcher.
#[test]
fn pages_are_of_one_revision() {
    let (_front, at) = alone();
    let mut api = Api::new(&at);
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

/// A request that comes again changes nothing and is told the same; conditions hold or nothing is done; keys with a
/// meaning are not changed by hand.
#[test]
fn changes_are_made_once_and_under_conditions() {
    let (_front, at) = alone();
    let mut api = Api::new(&at);
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
        let told = api
            .call("POST", "/v1/transactions", &[], &txn.to_string())
            .json();
        assert_eq!(told["held"], held);
    }
    assert_eq!(api.get("/v1/state?key=k").status, 404);
    assert_eq!(api.get("/v1/state?key=new").json()["value_base64"], "/wA=");
    for (method, path, body, status, kind) in [
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
    ] {
        let told = api.call(method, path, &[], body);
        assert_eq!(
            (told.status, told.problem_type().as_str()),
            (status, kind),
            "{method} {path}"
        );
    }
    let big = "x".repeat(65 << 10);
    assert_eq!(api.call("PUT", "/v1/state?key=big", &[], &big).status, 413);
}

/// Settings are checked before anybody is asked to agree, have versions, and come back; they take effect at once.
#[test]
fn settings_are_agreed_on_in_versions() {
    let (front, at) = alone();
    let mut api = Api::new(&at);
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
    assert_eq!(apply(&mut api, 2, 0, "s-1").body, one.body, "asked again");
    let late = apply(&mut api, 5, 0, "s-2");
    assert_eq!(
        (late.status, late.problem_type().as_str()),
        (409, "settings-replaced")
    );
    let statement = format!("SELECT 1 /* {} */", "x".repeat(3_000));
    let ask = json!({"class": "lookup", "budget_ms": 10_000, "statement": statement});
    assert_eq!(front.ask(&ask, None).status, 413);
    assert_eq!(apply(&mut api, 64, 1, "s-3").json()["version"], 2);
    assert_eq!(front.ask(&ask, None).status, 200);
    assert_eq!(
        api.call("POST", "/v1/settings/rollback?version=1", &[], "")
            .json()["version"],
        3
    );
    assert_eq!(api.get("/v1/settings").body, text(2).as_bytes());
    assert_eq!(front.ask(&ask, None).status, 413);
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

/// Calls over the API and over management are one; what is called out outlasts the process.
#[test]
fn calls_are_agreed_on_and_outlast_the_process() {
    let (mut front, at) = alone();
    let lookup = json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"});
    assert_eq!(
        front.call("PUT", "/admin/cordon", "{\"host\":\"e-1\"}").0,
        200
    );
    assert_eq!(
        front
            .call("PUT", "/admin/cordon", "{\"host\":\"nobody\"}")
            .0,
        404
    );
    assert_eq!(
        Api::new(&at).get("/v1/state?key=cordons/e-1").json()["value"],
        "{\"by\":\"management\"}"
    );
    front.fleet.record_cordon("e-1", true);
    (0..20).for_each(|_| assert_eq!(front.ask(&lookup, None).status, 200));
    front.restart_piped();
    (0..20).for_each(|_| assert_eq!(front.ask(&lookup, None).status, 200));
    assert_eq!(front.fleet.counts().after_cordon, 0);
    let mut api = Api::new(&at);
    assert_eq!(
        api.call("DELETE", "/v1/cordons?engine=e-1", &[], "").status,
        200
    );
    until("it is used again", || {
        front.ask(&lookup, None);
        front.fleet.counts().after_cordon > 0
    });
    // A drain of this instance.
    assert_eq!(api.call("PUT", "/v1/drains", &[], "").status, 200);
    until("new requests are turned back", || {
        front.ask(&lookup, None).status == 503
    });
    assert_eq!(front.call("PUT", "/admin/resume", "").0, 200);
    until("they are taken again", || {
        front.ask(&lookup, None).status == 200
    });
}

/// A member whose others are away can't confirm its state: it says that it is not ready and tells clients at once to go
/// elsewhere, over both fronts; reads are refused, unless an old copy will do.
#[test]
fn a_member_that_is_cut_off_sends_nothing() {
    let (peer, api) = (reserved(), reserved());
    let others = [reserved(), reserved()];
    let members = [
        (1, peer.as_str()),
        (2, others[0].as_str()),
        (3, others[1].as_str()),
    ];
    let mut front = Front::start(1, "", 12.0);
    let settings = front.folder.join("violetgate.hcl");
    let text = std::fs::read_to_string(&settings).unwrap()
        + &block(&front.folder, 1, &peer, &api, &members);
    std::fs::write(&settings, text).unwrap();
    front.child.kill().unwrap();
    front.child.wait().unwrap();
    // Without its folder it does not start.
    let (code, told) = front.start_in_vain();
    assert!(
        code == Some(1) && told.contains("`violetgate members init` makes one"),
        "{told}"
    );
    let init = ["members", "init", "--settings", settings.to_str().unwrap()];
    assert!(violetgate(&init).0);
    let (well, told) = violetgate(&init);
    assert!(!well && told.contains("a member's already"), "{told}");
    front.start_again();
    let mut calls = Api::new(&api);
    let (status, _) = front.call("GET", "/admin/health", "");
    assert_eq!(status, 503);
    let lookup = json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"});
    let told = front.ask(&lookup, None);
    assert_eq!(
        (told.status, told.problem_type().as_str()),
        (503, "isolated")
    );
    let sql = "/* method=lookup,rid=00000000000000a1,budget=10000 */ SELECT 1";
    assert_eq!(front.pg().query(sql), Err("57P03".to_owned()));
    assert_eq!(front.fleet.counts().attempts(), 0);
    assert_eq!(
        calls.get("/v1/state?within_ms=200").problem_type(),
        "isolated"
    );
    assert_eq!(calls.get("/v1/state?stale=true").status, 200);
    let put = calls.call("PUT", "/v1/state?key=k&within_ms=200", &[], "x");
    assert_eq!(
        (put.status, put.problem_type().as_str()),
        (504, "outcome-unknown")
    );
    assert_eq!(calls.get("/v1/cluster").json()["routes"], false);
}

/// The command line: a state that is saved begins another cluster, and what is wrong is told in one line.
#[test]
fn a_saved_state_begins_another_cluster() {
    let (front, at) = alone();
    let ctl = |at: &str, args: &[&str]| violetgate(&[&["ctl", "--at", at][..], args].concat());
    assert!(ctl(&at, &["put", "greeting", "hello"]).0);
    assert!(ctl(&at, &["cordon", "e-2"]).0);
    assert_eq!(ctl(&at, &["get", "greeting"]), (true, "hello\n".to_owned()));
    assert!(
        ctl(&at, &["watch", "greeting", "--after", "0", "--count", "1"])
            .1
            .contains("\"value\":\"hello\"")
    );
    let (well, told) = ctl(&at, &["put", "greeting", "x", "--if-revision", "0"]);
    assert!(
        !well && told.contains("a condition does not hold"),
        "{told}"
    );
    let file = front.folder.join("saved");
    let file = file.to_str().unwrap();
    assert!(ctl(&at, &["snapshot", "save", file]).0);
    assert!(ctl(&at, &["members"]).1.contains("leader"));
    // Another cluster, of one member that begins with that state.
    let (peer, api) = (reserved(), reserved());
    let other = Front::start(2, "", 12.0);
    let settings = other.folder.join("violetgate.hcl");
    let text = std::fs::read_to_string(&settings).unwrap()
        + &block(&other.folder, 4, &peer, &api, &[(4, &peer)]);
    std::fs::write(&settings, text).unwrap();
    let settings = settings.to_str().unwrap();
    let (well, told) = violetgate(&[
        "ctl",
        "snapshot",
        "restore",
        "/dev/null",
        "--settings",
        settings,
    ]);
    assert!(!well && told.contains("no saved state"), "{told}");
    let (well, told) = violetgate(&["ctl", "snapshot", "restore", file, "--settings", settings]);
    assert!(well, "{told}");
    let mut other = other;
    other.child.kill().unwrap();
    other.child.wait().unwrap();
    other.start_again();
    other.healthy();
    assert_eq!(
        ctl(&api, &["get", "greeting"]),
        (true, "hello\n".to_owned())
    );
    assert!(ctl(&api, &["list", "cordons/"])
        .1
        .starts_with("cordons/e-2\t"));
}
