//! Snapshots of the responses of the REST interface, management and the cluster API with the keys
//! of their bodies, and of the metrics.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use serde_json::{json, Value};

use crate::support::{reserve_address, wait_until, GatewayProcess, HttpConnection, Reply};

/// Masks the values of metrics and the labels that contain addresses.
fn mask_metrics(text: &str) -> String {
    let mut masked = String::new();
    for line in text.lines() {
        let line = match line.rsplit_once(' ') {
            Some((name, _)) if !line.starts_with('#') => format!("{name} _"),
            _ => line.to_owned(),
        };
        let line = match line.split_once("address=\"") {
            Some((before, rest)) => {
                let (_, after) = rest.split_once('"').unwrap();
                format!("{before}address=\"_\"{after}")
            }
            None => line,
        };
        writeln!(masked, "{line}").unwrap();
    }
    masked
}

/// Replaces the strings and numbers in a JSON document by their types. An array keeps only its
/// first element.
fn shape(value: &Value) -> Value {
    match value {
        Value::Null | Value::Bool(_) => value.clone(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "string".into(),
        Value::Array(items) => items.first().map(shape).into_iter().collect(),
        Value::Object(fields) => fields.iter().map(|(k, v)| (k.clone(), shape(v))).collect(),
    }
}

/// Appends a reply to a snapshot: its status, the names of its headers, and the shape of its body.
/// The body of a problem is written in full.
fn show_reply(all: &mut String, call: &str, reply: &Reply) {
    let headers: BTreeMap<_, _> = reply.headers.iter().collect();
    let names: Vec<_> = headers.keys().map(|name| name.as_str()).collect();
    let kind = reply.headers.get("content-type").cloned();
    let is_error = kind.as_deref() == Some("application/problem+json");
    let body = serde_json::from_slice(&reply.body).map_or_else(
        |_| reply.body.escape_ascii().to_string(),
        |json: Value| if is_error { json } else { shape(&json) }.to_string(),
    );
    writeln!(
        all,
        "{call}\n  {} {kind:?} {}\n  {body}",
        reply.status,
        names.join(" ")
    )
    .unwrap();
}

fn show_call(all: &mut String, at: &str, method: &str, path: &str, body: &str) -> Reply {
    let mut http = HttpConnection::open(at);
    http.send(method, path, &[], body.as_bytes());
    let reply = http.read();
    show_reply(all, &format!("{method} {path} {body}"), &reply);
    reply
}

#[test]
fn rest_and_management_answers_stay() {
    let gateway = GatewayProcess::start(1, "", 12.0);
    let mut all = String::new();
    let ask = json!({"class": "report", "tenant": "north", "budget_ms": 30_000, "statement": "SELECT 1 /* rows=600 */"})
        .to_string();
    let at = gateway.rest.as_str();
    let first = show_call(&mut all, at, "POST", "/v1/queries", &ask);
    let next = first.next().unwrap();
    let mut http = gateway.http();
    let page = http.get(&next);
    show_reply(&mut all, "GET the next page", &page);
    for (method, path, body) in [
        ("GET", "/v1/queries", ""),
        ("POST", "/v1/queries", "{}"),
        ("POST", "/v1/queries", "no json"),
        (
            "POST",
            "/v1/queries",
            "{\"class\":\"nothing\",\"budget_ms\":1,\"statement\":\"x\"}",
        ),
        ("GET", "/v1/results/nothing", ""),
        ("GET", "/nothing", ""),
    ] {
        show_call(&mut all, at, method, path, body);
    }
    for (method, path, body) in [
        ("GET", "/admin/health", ""),
        ("PUT", "/admin/cordon", "{\"host\":\"e-1\"}"),
        ("PUT", "/admin/cordon", "{\"host\":\"nobody\"}"),
        ("PUT", "/admin/cordon", "{\"hots\":\"e-1\"}"),
        ("PUT", "/admin/uncordon", "{\"host\":\"e-1\"}"),
        ("PUT", "/admin/quiesce", ""),
        ("PUT", "/admin/resume", ""),
        ("GET", "/admin/resume", ""),
        ("GET", "/admin/nothing", ""),
    ] {
        let (status, text) = gateway.call(method, path, body);
        writeln!(
            all,
            "{method} {path} {body}\n  {status} {}",
            text.escape_debug()
        )
        .unwrap();
    }
    writeln!(
        all,
        "{}",
        mask_metrics(&gateway.call("GET", "/admin/stats", "").1)
    )
    .unwrap();
    insta::assert_snapshot!("rest_and_management", all);
}

fn member_block(folder: &Path, peer: &str, api: &str, subscribers: &str) -> String {
    let member = folder.join("member");
    format!(
        "cluster {{\n  name = \"test\"\n  id = 1\n  folder = \"{}\"\n  listen = \"{peer}\"\n  api = \"{api}\"\n  \
         subscribers_listen = \"{subscribers}\"\n  members = {{ \"1\" = \"{peer}\" }}\n}}\n",
        member.display()
    )
}

fn fleet_block(member: &str, listen: &str, seed: &str) -> String {
    format!(
        "fleet {{\n  name = \"surface\"\n  member = \"{member}\"\n  listen = \"{listen}\"\n  seeds = [\"{seed}\"]\n}}\n"
    )
}

/// Appends the shape of the JSON value under a key of the shared state to a snapshot.
fn show_stored_record(all: &mut String, api: &str, key: &str) {
    let entry = HttpConnection::open(api)
        .get(&format!("/v1/state?key={key}"))
        .json();
    let record: Value = serde_json::from_str(entry["value"].as_str().unwrap()).unwrap();
    writeln!(all, "{key} {}", shape(&record)).unwrap();
}

#[test]
fn cluster_and_fleet_answers_stay() {
    let (peer, api, subscribers, datagrams) = (
        reserve_address(),
        reserve_address(),
        reserve_address(),
        reserve_address(),
    );
    let gateway = GatewayProcess::start_with_blocks(2, "", 12.0, |folder| {
        member_block(folder, &peer, &api, &subscribers) + &fleet_block("n0", &datagrams, &datagrams)
    });
    let mut all = String::new();
    for (method, path, body) in [
        ("PUT", "/v1/state?key=k", "v"),
        ("GET", "/v1/state?key=k", ""),
        ("GET", "/v1/state?prefix=k", ""),
        ("GET", "/v1/changes?after=0&prefix=k", ""),
        (
            "POST",
            "/v1/transactions",
            "{\"then\":[{\"put\":\"t\",\"value\":\"1\"}]}",
        ),
        ("POST", "/v1/leases", "{\"id\":1,\"ttl_ms\":60000}"),
        ("DELETE", "/v1/leases?id=1", ""),
        ("DELETE", "/v1/state?key=k", ""),
        ("GET", "/v1/cluster", ""),
        ("POST", "/v1/cluster/members", "{\"promote\":9}"),
        ("PUT", "/v1/settings", "log {\n  format = \"text\"\n}\n"),
        ("PUT", "/v1/settings", "rest {\n  results = 10\n}\n"),
        ("GET", "/v1/settings", ""),
        ("GET", "/v1/settings/versions", ""),
        ("POST", "/v1/settings/rollback?version=1", ""),
        ("PUT", "/v1/cordons?engine=e-1", ""),
        ("DELETE", "/v1/cordons?engine=e-1", ""),
        ("PUT", "/v1/drains", ""),
        ("DELETE", "/v1/drains", ""),
        ("GET", "/v1/fleet/progress", ""),
        ("POST", "/v1/compactions?revision=2", ""),
        ("GET", "/v1/changes?after=0", ""),
        ("GET", "/v1/nothing", ""),
    ] {
        show_call(&mut all, &api, method, path, body);
    }
    show_stored_record(&mut all, &api, "members/1");
    wait_until("the engine list is in the shared state", || {
        HttpConnection::open(&api).get("/v1/state?key=list").status == 200
    });
    show_stored_record(&mut all, &api, "engines/e-1");
    wait_until("the gateway knows the size of the fleet", || {
        gateway.metric("svc_fleet_share") >= 1.0
    });
    writeln!(
        all,
        "{}",
        mask_metrics(&gateway.call("GET", "/admin/stats", "").1)
    )
    .unwrap();
    insta::assert_snapshot!("cluster_and_fleet", all);
}

#[test]
fn fleet_member_metrics_stay() {
    let (first, second) = (reserve_address(), reserve_address());
    let gateway =
        GatewayProcess::start_with_blocks(1, "", 12.0, |_| fleet_block("n0", &first, &first));
    let _other =
        GatewayProcess::start_with_blocks(1, "", 12.0, |_| fleet_block("n1", &second, &first));
    let alive = "member=\"n1\",";
    wait_until("the other member is alive", || {
        let stats = gateway.call("GET", "/admin/stats", "").1;
        stats.contains(alive) && stats.contains("state=\"alive\"")
    });
    let stats = mask_metrics(&gateway.call("GET", "/admin/stats", "").1);
    let fleet: Vec<_> = stats
        .lines()
        .filter(|line| line.contains("svc_fleet"))
        .collect();
    insta::assert_snapshot!("fleet_members", fleet.join("\n"));
}

#[test]
fn subscriber_metrics_stay() {
    let unused_address = reserve_address();
    let mut gateway = GatewayProcess::start(1, "", 12.0);
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    let settings = gateway.folder.join("violetgate.hcl");
    let block = format!(
        "cluster {{\n  role = \"subscriber\"\n  name = \"test\"\n  front_end = \"fe-1\"\n  \
         observers = {{ \"2\" = \"{unused_address}\" }}\n}}\n"
    );
    let text = std::fs::read_to_string(&settings).unwrap() + &block;
    std::fs::write(&settings, text).unwrap();
    gateway.restart();
    let mut all = String::new();
    for (method, path, body) in [
        ("GET", "/admin/health", ""),
        ("PUT", "/admin/cordon", "{\"host\":\"e-1\"}"),
        ("PUT", "/admin/quiesce", ""),
    ] {
        let (status, text) = gateway.call(method, path, body);
        writeln!(
            all,
            "{method} {path} {body}\n  {status} {}",
            text.escape_debug()
        )
        .unwrap();
    }
    writeln!(
        all,
        "{}",
        mask_metrics(&gateway.call("GET", "/admin/stats", "").1)
    )
    .unwrap();
    insta::assert_snapshot!("subscriber", all);
}
