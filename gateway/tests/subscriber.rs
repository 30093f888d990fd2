//! Tests a gateway that subscribes to a cluster, with real processes: a voter, an observer and a
//! subscriber. Committed changes reach the subscriber, and without an observer it sends nothing to
//! the engines.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod support;

use serde_json::{json, Value};
use support::{reserve_address, run_violetgate, wait_until, GatewayProcess, HttpConnection, Reply};

/// A cluster of one voter and one observer.
struct Cluster {
    voter: GatewayProcess,
    observer: GatewayProcess,
    api: String,
    /// Address at which the observer serves subscribers.
    serves_at: String,
}

fn member_block(
    folder: &std::path::Path,
    id: u64,
    own: [&str; 2],
    voter: &str,
    extra_lines: &str,
) -> String {
    let [listen, api] = own;
    format!(
        "cluster {{\n  name = \"test\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{listen}\"\n  api = \"{api}\"\n  \
         members = {{ \"1\" = \"{voter}\", \"{id}\" = \"{listen}\" }}\n{extra_lines}}}\n",
        folder.join("member").display()
    )
}

fn subscriber_block(serves_at: &str) -> String {
    format!(
        "cluster {{\n  role = \"subscriber\"\n  name = \"test\"\n  front_end = \"fe-1\"\n  \
         observers = {{ \"2\" = \"{serves_at}\" }}\n}}\n"
    )
}

impl Cluster {
    fn start() -> Self {
        let (listen, api, serves_at) = (reserve_address(), reserve_address(), reserve_address());
        let voter = GatewayProcess::start_with_blocks(2, "", 12.0, |folder| {
            let members = format!("  members = {{ \"1\" = \"{listen}\" }}\n");
            format!(
                "cluster {{\n  name = \"test\"\n  id = 1\n  folder = \"{}\"\n  listen = \"{listen}\"\n  \
                 api = \"{api}\"\n{members}}}\n",
                folder.join("member").display()
            )
        });
        let observer = Self::join(&listen, &api, &serves_at);
        Cluster {
            voter,
            observer,
            api,
            serves_at,
        }
    }

    /// Starts member 2, which joins as an observer and serves subscribers.
    fn join(voter: &str, api: &str, serves_at: &str) -> GatewayProcess {
        let own = [reserve_address(), reserve_address()];
        let mut gateway = GatewayProcess::start(1, "", 12.0);
        gateway.child.kill().unwrap();
        gateway.child.wait().unwrap();
        let settings = gateway.folder.join("violetgate.hcl");
        let extra_lines = format!("  subscribers_listen = \"{serves_at}\"\n  subscribers = 10\n");
        let block = member_block(&gateway.folder, 2, [&own[0], &own[1]], voter, &extra_lines);
        std::fs::write(
            &settings,
            std::fs::read_to_string(&settings).unwrap() + &block,
        )
        .unwrap();
        let init = [
            "members",
            "init",
            "--join",
            "--settings",
            settings.to_str().unwrap(),
        ];
        let (succeeded, output) = run_violetgate(&init);
        assert!(succeeded, "{output}");
        let add = json!({"add": {"id": 2, "listen": own[0], "api": own[1]}});
        let added = call(api, "POST", "/v1/cluster/members", &add.to_string());
        assert_eq!(added.status, 200, "{}", added.body.escape_ascii());
        gateway.restart();
        gateway.wait_until_healthy();
        gateway
    }

    fn call(&self, method: &str, path: &str, body: &str) -> Reply {
        call(&self.api, method, path, body)
    }

    /// Commits a change and returns its revision.
    fn change(&self, method: &str, path: &str) -> u64 {
        let reply = self.call(method, path, "");
        assert_eq!(reply.status, 200, "{}", reply.body.escape_ascii());
        reply.json()["revision"].as_u64().unwrap()
    }

    fn progress(&self) -> Value {
        self.call("GET", "/v1/fleet/progress", "").json()
    }
}

fn call(api: &str, method: &str, path: &str, body: &str) -> Reply {
    let mut http = HttpConnection::open(api);
    http.send(method, path, &[], body.as_bytes());
    http.read()
}

fn lookup() -> Value {
    json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"})
}

#[test]
fn a_subscriber_follows_the_shared_configuration_and_sends_nothing_without_an_observer() {
    let mut cluster = Cluster::start();
    let gateway =
        GatewayProcess::start_with_blocks(2, "", 12.0, |_| subscriber_block(&cluster.serves_at));
    assert_eq!(gateway.post_query(&lookup(), None).status, 200);
    a_cordon_reaches_the_subscriber(&cluster, &gateway);
    the_subscriber_is_drained_by_its_name(&cluster, &gateway);
    the_subscriber_sends_nothing_without_an_observer(&mut cluster, &gateway);
    // After the observer has restarted, the gateway serves again, with the changes that were
    // committed in the meantime.
    let revision = cluster.change("DELETE", "/v1/cordons?engine=e-1");
    cluster.observer.restart();
    wait_until("the change is in force", || {
        cluster.progress()["in_force"].as_u64() >= Some(revision)
    });
    assert_eq!(gateway.post_query(&lookup(), None).status, 200);
}

/// A cordon over a member's API takes effect at the subscriber, and members learn that it has.
fn a_cordon_reaches_the_subscriber(cluster: &Cluster, gateway: &GatewayProcess) {
    let revision = cluster.change("PUT", "/v1/cordons?engine=e-1");
    wait_until("the cordon is in force", || {
        let progress = cluster.progress();
        progress["in_force"].as_u64() >= Some(revision)
            && progress["serving"] == 1
            && progress["observers"] == 1
    });
    assert!(cluster.progress()["last_in_force"]["revision"].as_u64() >= Some(revision));
    assert!(gateway.metric("svc_cluster_revision") >= revision as f64);
    gateway.upstreams.record_cordon("e-1", true);
    (0..20).for_each(|_| assert_eq!(gateway.post_query(&lookup(), None).status, 200));
    assert_eq!(gateway.upstreams.counts().after_cordon, 0);
    assert_eq!(cluster.observer.metric("svc_cluster_subscribers"), 1.0);
    assert_eq!(cluster.voter.metric("svc_cluster_serving"), 1.0);
    assert_eq!(gateway.metric("svc_cluster_observer"), 2.0);
}

/// A subscriber rejects operators' changes, since it can't commit them. It is drained by its name
/// over a member's API.
fn the_subscriber_is_drained_by_its_name(cluster: &Cluster, gateway: &GatewayProcess) {
    assert_eq!(
        gateway.call("PUT", "/admin/cordon", "{\"host\":\"e-2\"}").0,
        409
    );
    for (query, kind) in [
        ("front_end=17", "invalid-request"),
        ("front_end=a&member=1", "invalid-request"),
    ] {
        assert_eq!(
            cluster
                .call("PUT", &format!("/v1/drains?{query}"), "")
                .problem_type(),
            kind
        );
    }
    let ctl = |args: &[&str]| run_violetgate(&[&["ctl", "--at", &cluster.api][..], args].concat());
    let (succeeded, output) = ctl(&["progress"]);
    assert!(succeeded && output.contains("\"serving\":1"), "{output}");
    assert!(ctl(&["quiesce", "fe-1"]).0);
    wait_until("the drained subscriber rejects new requests", || {
        gateway.post_query(&lookup(), None).status == 503
    });
    cluster.change("DELETE", "/v1/drains?front_end=fe-1");
    wait_until("the resumed subscriber accepts new requests", || {
        gateway.post_query(&lookup(), None).status == 200
    });
}

/// The subscriber sends nothing to the engines while it can't confirm its state.
fn the_subscriber_sends_nothing_without_an_observer(
    cluster: &mut Cluster,
    gateway: &GatewayProcess,
) {
    cluster.observer.child.kill().unwrap();
    cluster.observer.child.wait().unwrap();
    wait_until("the subscriber rejects queries", || {
        gateway.post_query(&lookup(), None).status == 503
    });
    assert_eq!(
        gateway.post_query(&lookup(), None).problem_type(),
        "isolated"
    );
    let attempts = gateway.upstreams.counts().attempts();
    assert_eq!(gateway.call("GET", "/admin/health", "").0, 503);
    assert_eq!(gateway.post_query(&lookup(), None).status, 503);
    assert_eq!(gateway.metric("svc_cluster_routes"), 0.0);
    assert_eq!(gateway.upstreams.counts().attempts(), attempts);
    wait_until("members know that the observer is gone", || {
        cluster.progress()["observers"] == 0
    });
    wait_until("the subscriber logs the reason", || {
        let log = std::fs::read_to_string(gateway.folder.join("log")).unwrap();
        log.contains("cluster reason=stale fence is shut: age_ms=")
    });
}

/// A subscriber has no folder to initialize, and a key that only members have is reported with its
/// line.
#[test]
fn a_subscriber_takes_its_own_keys() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-subscriber", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("violetgate.hcl");
    std::fs::write(&file, subscriber_block("127.0.0.1:7206")).unwrap();
    let path = file.to_str().unwrap();
    assert!(run_violetgate(&["check", path]).0);
    let (succeeded, output) = run_violetgate(&["members", "init", "--settings", path]);
    assert!(
        !succeeded && output.contains("a subscriber has no folder"),
        "{output}"
    );
    let text = subscriber_block("127.0.0.1:7206").replace("}\n}", "}\n  id = 3\n}");
    std::fs::write(&file, text).unwrap();
    let (succeeded, output) = run_violetgate(&["check", path]);
    assert!(
        !succeeded && output.contains("violetgate.hcl:6: cluster.id: is no key of a subscriber"),
        "{output}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
