//! Isolated members, and members that start from a saved state.

use serde_json::json;

use crate::support::{reserve_address, run_violetgate, GatewayProcess};
use crate::{cluster_block, start_single_member, Api};

/// A member without a quorum can't confirm its state. It reports that it is not ready, sends
/// nothing to the engines, and rejects clients at once over both protocols. It rejects reads too,
/// unless they allow stale data.
#[test]
fn an_isolated_member_sends_nothing_and_rejects_reads() {
    let (peer, api) = (reserve_address(), reserve_address());
    let others = [reserve_address(), reserve_address()];
    let members = [
        (1, peer.as_str()),
        (2, others[0].as_str()),
        (3, others[1].as_str()),
    ];
    let mut gateway = GatewayProcess::start(1, "", 12.0);
    let settings = gateway.folder.join("violetgate.hcl");
    let text = std::fs::read_to_string(&settings).unwrap()
        + &cluster_block(&gateway.folder, 1, &peer, &api, &members);
    std::fs::write(&settings, text).unwrap();
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    // The member does not start without its folder.
    let (code, output) = gateway.run_until_exit();
    assert!(
        code == Some(1) && output.contains("`violetgate members init` makes one"),
        "{output}"
    );
    let init = ["members", "init", "--settings", settings.to_str().unwrap()];
    assert!(run_violetgate(&init).0);
    let (succeeded, output) = run_violetgate(&init);
    assert!(
        !succeeded && output.contains("a member's already"),
        "{output}"
    );
    gateway.restart();
    let mut calls = Api::new(&api);
    let (status, _) = gateway.call("GET", "/admin/health", "");
    assert_eq!(status, 503);
    let lookup = json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"});
    let reply = gateway.post_query(&lookup, None);
    assert_eq!(
        (reply.status, reply.problem_type().as_str()),
        (503, "isolated")
    );
    let sql = "/* method=lookup,rid=00000000000000a1,budget=10000 */ SELECT 1";
    assert_eq!(gateway.pg().query(sql), Err("57P03".to_owned()));
    assert_eq!(gateway.upstreams.counts().attempts(), 0);
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

/// A state that was saved from the command line starts another cluster, and the command line
/// reports rejected calls and unusable files.
#[test]
fn a_saved_state_starts_another_cluster() {
    let (gateway, api_address) = start_single_member();
    let ctl = |at: &str, args: &[&str]| run_violetgate(&[&["ctl", "--at", at][..], args].concat());
    assert!(ctl(&api_address, &["put", "greeting", "hello"]).0);
    assert!(ctl(&api_address, &["cordon", "e-2"]).0);
    assert_eq!(
        ctl(&api_address, &["get", "greeting"]),
        (true, "hello\n".to_owned())
    );
    assert!(ctl(
        &api_address,
        &["watch", "greeting", "--after", "0", "--count", "1"]
    )
    .1
    .contains("\"value\":\"hello\""));
    let (succeeded, output) = ctl(
        &api_address,
        &["put", "greeting", "x", "--if-revision", "0"],
    );
    assert!(
        !succeeded && output.contains("a condition does not hold"),
        "{output}"
    );
    let file = gateway.folder.join("saved");
    let file = file.to_str().unwrap();
    assert!(ctl(&api_address, &["snapshot", "save", file]).0);
    assert!(ctl(&api_address, &["members"]).1.contains("leader"));
    // Another cluster, whose only member starts from the saved state.
    let (peer, api) = (reserve_address(), reserve_address());
    let other = GatewayProcess::start(2, "", 12.0);
    let settings = other.folder.join("violetgate.hcl");
    let text = std::fs::read_to_string(&settings).unwrap()
        + &cluster_block(&other.folder, 4, &peer, &api, &[(4, &peer)]);
    std::fs::write(&settings, text).unwrap();
    let settings = settings.to_str().unwrap();
    let (succeeded, output) = run_violetgate(&[
        "ctl",
        "snapshot",
        "restore",
        "/dev/null",
        "--settings",
        settings,
    ]);
    assert!(!succeeded && output.contains("no saved state"), "{output}");
    let (succeeded, output) =
        run_violetgate(&["ctl", "snapshot", "restore", file, "--settings", settings]);
    assert!(succeeded, "{output}");
    let mut other = other;
    other.child.kill().unwrap();
    other.child.wait().unwrap();
    other.restart();
    other.wait_until_healthy();
    assert_eq!(
        ctl(&api, &["get", "greeting"]),
        (true, "hello\n".to_owned())
    );
    assert!(ctl(&api, &["list", "cordons/"])
        .1
        .starts_with("cordons/e-2\t"));
}
