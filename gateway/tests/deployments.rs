//! One build before two kinds of deployment that differ in their settings only: one locality,
//! engines that report what a query cost and nothing meanwhile, a ration of further attempts; and
//! two localities, grants, notes, engines that report no cost, no ration.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod support;

use std::path::Path;
use std::process::{Child, Stdio};

use serde_json::{json, Value};
use support::{connect, reserve_address, wait_until, PROGRAM, WAIT};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::{settings, FakeUpstreams, Profile};
use violetgate_test_harness::{read_metrics, server_command};

/// Time between notes of progress that the settings promise, in seconds. An attempt without a note
/// for 1.7 of these is taken back and sent again.
const NOTE_PERIOD_S: f64 = 0.25;
/// Work of a statement. It is longer than 1.7 note periods, so only its notes keep it from being
/// sent twice, and longer than its estimate, so that without notes it depends on the multiple of
/// the estimate that an attempt may take.
const WORK_MS: u64 = 600;
/// Estimate that clients give of that work.
const ESTIMATE_MS: u64 = 300;
/// Time between the notes that an engine sends. Shorter than promised, so that a busy machine
/// delays none too long.
const NOTES_MS: u64 = 20;

/// One locality, a ration, engines that report cost.
fn one_locality() -> Value {
    settings()
}

/// Two localities, no ration, at most three attempts; grants and notes, engines that report no
/// cost.
fn two_localities() -> Value {
    let mut settings = settings();
    settings["balancers"] = 2.into();
    settings["localities"] = json!(["z", "y"]);
    settings["locality"] = 1.into();
    settings["limits"]["max-attempts"] = 3.into();
    settings["limits"]["max-retry-after"] = 0.5.into();
    settings["client-habits"] = json!({"marks-retry": true});
    settings["domain"]["grants"] = true.into();
    settings["domain"]["most-grant"] = 0.5.into();
    settings["domain"]["memory-by-kind-mb"] = json!([32768.0]);
    settings["domain"]["note-period"] = NOTE_PERIOD_S.into();
    settings["domain"]["out-of-memory"] = "shrink".into();
    settings["domain"]["tells-cost"] = false.into();
    let rules = settings["rules"].as_object_mut().unwrap();
    for ration in ["extra-share", "free-resends", "resend-span"] {
        rules.remove(ration);
    }
    rules.insert("drain-grace".to_owned(), 0.5.into());
    rules.insert("fall".to_owned(), 1.0.into());
    settings
}

struct GatewayProcess {
    upstreams: FakeUpstreams,
    child: Child,
    listen: String,
    management: String,
    folder: std::path::PathBuf,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl GatewayProcess {
    fn start(name: &str, settings: &Value) -> Self {
        let upstreams = FakeUpstreams::start(2, Profile::default()).unwrap();
        let (listen, management) = (reserve_address(), reserve_address());
        let folder = std::env::temp_dir().join(format!("violetgate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = upstreams.config("n0", &listen, settings).to_string();
        std::fs::write(folder.join("config.json"), config).unwrap();
        let child = server_command(Path::new(PROGRAM), &folder)
            .env("PROXY_MANAGEMENT", &management)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let gateway = GatewayProcess {
            upstreams,
            child,
            listen,
            management,
            folder,
        };
        wait_until("it is healthy", || {
            let mut http = HttpClient::new(connect(&gateway.management), WAIT).unwrap();
            http.get("/admin/health").is_ok_and(|r| r.status == 200)
        });
        gateway
    }

    /// The rows, or the error's text.
    fn run_query(&self, fields: &str, statement: &str) -> Result<usize, String> {
        let mut pg = PostgresClient::new(connect(&self.listen), WAIT).unwrap();
        pg.send(&format!("/* {fields} */ {statement}")).unwrap();
        pg.read()
            .unwrap()
            .map(|rows| rows.len())
            .map_err(|_| pg.error_text().to_owned())
    }
}

/// Both kinds of deployment are served by the same build: plain and keyed queries, and attempts
/// that engines speak of while they run, in kinds of notes that are known and one that is not. None
/// is sent twice.
#[test]
fn the_same_build_serves_both_deployments() {
    for (name, settings) in [
        ("one-room", one_locality()),
        ("two-rooms", two_localities()),
    ] {
        let gateway = GatewayProcess::start(name, &settings);
        let cost_field = if name == "one-room" { "" } else { "untold" };
        let notes = format!("notes={NOTES_MS}");
        let notes_field = if name == "one-room" { "" } else { &notes };
        for n in 0..6u64 {
            let fields = format!(
                "method=lookup,rid={:016x},budget=9000,est={ESTIMATE_MS},est_mb=100",
                n + 1
            );
            let statement = format!(
                "SELECT day FROM sales_3.plan /* ms={WORK_MS} rows=5 {notes_field} {cost_field} */"
            );
            assert_eq!(gateway.run_query(&fields, &statement), Ok(5), "{name}, {n}");
        }
        let fields = format!(
            "method=load,rid=00000000000000aa,budget=9000,token=5c0f6e1a,obj=7f3a9c21e0b4d655,est={ESTIMATE_MS}"
        );
        let keyed = gateway.run_query(
            &fields,
            &format!(
                "INSERT INTO sales_2.plan SELECT 1 /* ms={ESTIMATE_MS} {notes_field} {cost_field} */"
            ),
        );
        assert!(keyed.is_ok(), "{name}: {keyed:?}");
        let counts = gateway.upstreams.counts();
        assert!(
            counts.by_request.values().all(|n| *n == 1),
            "{name}: {:?}, {} cancelled",
            counts.by_request,
            counts.cancels
        );
        // Memory is granted where grants are heeded, and the engine's own choice elsewhere.
        let granted = counts.reserved.values().filter(|mb| **mb > 0).count();
        assert_eq!(
            granted > 0,
            name == "two-rooms",
            "{name}: {:?}",
            counts.reserved
        );
    }
}

/// A client's mark of a repeat is heeded, and what is no mark is an error that names the field, on
/// both.
#[test]
fn an_invalid_retry_mark_is_rejected_with_its_reason() {
    for (name, settings) in [("mark-one", one_locality()), ("mark-two", two_localities())] {
        let gateway = GatewayProcess::start(name, &settings);
        let ask = |rid: u64, again: &str| {
            gateway.run_query(
                &format!("method=lookup,rid={rid:016x},budget=5000,again={again}"),
                "SELECT 1 FROM sales_3.plan",
            )
        };
        assert!(ask(1, "1").is_ok());
        let error = ask(2, "yes").unwrap_err();
        assert!(
            error.contains("again") && error.contains("is not 1"),
            "{error}"
        );
    }
}

/// Nobody there to serve: the refusal says in its text for how long to stay away, within what the
/// settings allow.
#[test]
fn a_rejection_states_a_bounded_retry_delay() {
    for (name, settings, most) in [
        ("away-one", one_locality(), 1_000),
        ("away-two", two_localities(), 500),
    ] {
        let gateway = GatewayProcess::start(name, &settings);
        for id in gateway.upstreams.ids() {
            gateway.upstreams.remove(&id);
        }
        wait_until("nobody is listed", || {
            let metrics = read_metrics(gateway.management.parse().unwrap(), WAIT).unwrap();
            metrics.get("svc_known_engines") == Some(&0.0)
        });
        let error = gateway
            .run_query(
                "method=lookup,rid=00000000000000bb,budget=400",
                "SELECT 1 FROM sales_3.plan",
            )
            .unwrap_err();
        let ms: u64 = error
            .split("backoff=")
            .nth(1)
            .and_then(|t| t.split(')').next())
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=most).contains(&ms), "{name}: {error}");
    }
}
