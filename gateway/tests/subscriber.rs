//! The program as a front end that subscribes, as real processes: a member, an observer beside it,
//! and one that is neither. What is agreed on reaches it, and without an observer it sends nothing.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

mod support;

use serde_json::{json, Value};
use support::{reserved, until, violetgate, Front, Http, Reply};

/// A cluster of one voter and one observer.
struct Cluster {
    voter: Front,
    observer: Front,
    api: String,
    /// Where the observer serves front ends.
    serves_at: String,
}

fn member_block(
    folder: &std::path::Path,
    id: u64,
    own: [&str; 2],
    voter: &str,
    more: &str,
) -> String {
    let [listen, api] = own;
    format!(
        "cluster {{\n  name = \"test\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{listen}\"\n  api = \"{api}\"\n  \
         members = {{ \"1\" = \"{voter}\", \"{id}\" = \"{listen}\" }}\n{more}}}\n",
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
        let (listen, api, serves_at) = (reserved(), reserved(), reserved());
        let voter = Front::begin(2, "", 12.0, |folder| {
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

    /// Starts member 2, which learns and serves front ends.
    fn join(voter: &str, api: &str, serves_at: &str) -> Front {
        let own = [reserved(), reserved()];
        let mut front = Front::start(1, "", 12.0);
        front.child.kill().unwrap();
        front.child.wait().unwrap();
        let settings = front.folder.join("violetgate.hcl");
        let more = format!("  subscribers_listen = \"{serves_at}\"\n  subscribers = 10\n");
        let block = member_block(&front.folder, 2, [&own[0], &own[1]], voter, &more);
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
        let (well, told) = violetgate(&init);
        assert!(well, "{told}");
        let add = json!({"add": {"id": 2, "listen": own[0], "api": own[1]}});
        let added = call(api, "POST", "/v1/cluster/members", &add.to_string());
        assert_eq!(added.status, 200, "{}", added.body.escape_ascii());
        front.start_again();
        front.healthy();
        front
    }

    fn call(&self, method: &str, path: &str, body: &str) -> Reply {
        call(&self.api, method, path, body)
    }

    /// Makes a change; the revision that it made.
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
    let mut http = Http::open(api);
    http.send(method, path, &[], body.as_bytes());
    http.read()
}

fn lookup() -> Value {
    json!({"class": "lookup", "budget_ms": 10_000, "statement": "SELECT 1"})
}

#[test]
fn a_subscriber_follows_the_shared_configuration_and_sends_nothing_without_an_observer() {
    let mut cluster = Cluster::start();
    let front = Front::begin(2, "", 12.0, |_| subscriber_block(&cluster.serves_at));
    assert_eq!(front.ask(&lookup(), None).status, 200);
    a_cordon_reaches_the_subscriber(&cluster, &front);
    the_subscriber_is_drained_by_its_name(&cluster, &front);
    without_an_observer_it_sends_nothing(&mut cluster, &front);
    // It comes back, and so does the front end, with what was agreed on meanwhile.
    let revision = cluster.change("DELETE", "/v1/cordons?engine=e-1");
    cluster.observer.start_again();
    until("it is in force", || {
        cluster.progress()["in_force"].as_u64() >= Some(revision)
    });
    assert_eq!(front.ask(&lookup(), None).status, 200);
}

/// A cordon by a member's API is in force here, and members know that it is.
fn a_cordon_reaches_the_subscriber(cluster: &Cluster, front: &Front) {
    let revision = cluster.change("PUT", "/v1/cordons?engine=e-1");
    until("it is in force", || {
        let told = cluster.progress();
        told["in_force"].as_u64() >= Some(revision)
            && told["serving"] == 1
            && told["observers"] == 1
    });
    assert!(cluster.progress()["last_in_force"]["revision"].as_u64() >= Some(revision));
    assert!(front.figure("svc_cluster_revision") >= revision as f64);
    front.fleet.record_cordon("e-1", true);
    (0..20).for_each(|_| assert_eq!(front.ask(&lookup(), None).status, 200));
    assert_eq!(front.fleet.counts().after_cordon, 0);
    assert_eq!(cluster.observer.figure("svc_cluster_subscribers "), 1.0);
    assert_eq!(cluster.voter.figure("svc_cluster_serving "), 1.0);
    assert_eq!(front.figure("svc_cluster_observer "), 2.0);
}

/// It can't commit anything.
fn the_subscriber_is_drained_by_its_name(cluster: &Cluster, front: &Front) {
    assert_eq!(
        front.call("PUT", "/admin/cordon", "{\"host\":\"e-2\"}").0,
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
    let ctl = |args: &[&str]| violetgate(&[&["ctl", "--at", &cluster.api][..], args].concat());
    let (well, told) = ctl(&["progress"]);
    assert!(well && told.contains("\"serving\":1"), "{told}");
    assert!(ctl(&["quiesce", "fe-1"]).0);
    until("new requests are turned back", || {
        front.ask(&lookup(), None).status == 503
    });
    cluster.change("DELETE", "/v1/drains?front_end=fe-1");
    until("they are taken again", || {
        front.ask(&lookup(), None).status == 200
    });
}

/// Nothing is sent on state that can't be confirmed.
fn without_an_observer_it_sends_nothing(cluster: &mut Cluster, front: &Front) {
    cluster.observer.child.kill().unwrap();
    cluster.observer.child.wait().unwrap();
    until("it sends nothing", || {
        front.ask(&lookup(), None).status == 503
    });
    assert_eq!(front.ask(&lookup(), None).problem_type(), "isolated");
    let attempts = front.fleet.counts().attempts();
    assert_eq!(front.call("GET", "/admin/health", "").0, 503);
    assert_eq!(front.ask(&lookup(), None).status, 503);
    assert_eq!(front.figure("svc_cluster_routes "), 0.0);
    assert_eq!(front.fleet.counts().attempts(), attempts);
    until("members know that it does not serve", || {
        cluster.progress()["observers"] == 0
    });
    until("its log says why", || {
        let log = std::fs::read_to_string(front.folder.join("log")).unwrap();
        log.contains("cluster reason=stale fence is shut: age_ms=")
    });
}

/// A subscriber has no folder to be made, and a wrong key is reported with its line.
#[test]
fn a_subscriber_takes_its_own_keys() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-subscriber", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("violetgate.hcl");
    std::fs::write(&file, subscriber_block("127.0.0.1:7206")).unwrap();
    let path = file.to_str().unwrap();
    assert!(violetgate(&["check", path]).0);
    let (well, told) = violetgate(&["members", "init", "--settings", path]);
    assert!(
        !well && told.contains("a subscriber has no folder"),
        "{told}"
    );
    let text = subscriber_block("127.0.0.1:7206").replace("}\n}", "}\n  id = 3\n}");
    std::fs::write(&file, text).unwrap();
    let (well, told) = violetgate(&["check", path]);
    assert!(
        !well && told.contains("violetgate.hcl:6: cluster.id: is no key of a subscriber"),
        "{told}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
