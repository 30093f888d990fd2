//! Tests one build in two kinds of deployment that differ only in their settings. The first has one
//! locality, engines that report a query's cost but no progress, and a retry budget. The second has
//! two localities, memory grants, engines that report progress but no cost, and no retry budget.
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

/// Maximum time between progress reports according to the settings, in seconds. An attempt without
/// a report for 1.7 times as long is cancelled and sent again.
const PROGRESS_PERIOD_S: f64 = 0.25;
/// Execution time of a statement, in milliseconds. It exceeds 1.7 progress periods, so that only
/// progress reports prevent a second attempt. It also exceeds its estimate, so that without reports
/// the gateway sends a second attempt after the allowed multiple of the estimate.
const WORK_MS: u64 = 600;
/// The clients' estimate of the execution time, in milliseconds.
const ESTIMATE_MS: u64 = 300;
/// Time between the progress reports that an engine sends, in milliseconds. It is shorter than
/// `PROGRESS_PERIOD_S`, so that reports are not late on a busy machine.
const PROGRESS_INTERVAL_MS: u64 = 20;

/// Returns the settings of a deployment with one locality, a retry budget and engines that report
/// cost.
fn one_locality() -> Value {
    settings()
}

/// Returns the settings of a deployment with two localities, at most three attempts, no retry
/// budget, memory grants, and engines that report progress but no cost.
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
    settings["domain"]["note-period"] = PROGRESS_PERIOD_S.into();
    settings["domain"]["out-of-memory"] = "shrink".into();
    settings["domain"]["tells-cost"] = false.into();
    let rules = settings["rules"].as_object_mut().unwrap();
    for budget_key in ["extra-share", "free-resends", "resend-span"] {
        rules.remove(budget_key);
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
        wait_until("the gateway is healthy", || {
            let mut http = HttpClient::new(connect(&gateway.management), WAIT).unwrap();
            http.get("/admin/health").is_ok_and(|r| r.status == 200)
        });
        gateway
    }

    /// Runs a query over PostgreSQL. Returns the number of rows or the error's message.
    fn run_query(&self, fields: &str, statement: &str) -> Result<usize, String> {
        let mut pg = PostgresClient::new(connect(&self.listen), WAIT).unwrap();
        pg.send(&format!("/* {fields} */ {statement}")).unwrap();
        pg.read()
            .unwrap()
            .map(|rows| rows.len())
            .map_err(|_| pg.error_text().to_owned())
    }
}

/// The same build serves both kinds of deployment: queries with and without idempotency keys, and
/// engines that report progress, including a report of an unknown kind. No query is sent twice.
#[test]
fn the_same_build_serves_both_deployments() {
    for (name, settings) in [
        ("one-locality", one_locality()),
        ("two-localities", two_localities()),
    ] {
        let gateway = GatewayProcess::start(name, &settings);
        let cost_hint = if name == "one-locality" { "" } else { "untold" };
        let progress = format!("notes={PROGRESS_INTERVAL_MS}");
        let notes_hint = if name == "one-locality" {
            ""
        } else {
            &progress
        };
        for n in 0..6u64 {
            let fields = format!(
                "method=lookup,rid={:016x},budget=9000,est={ESTIMATE_MS},est_mb=100",
                n + 1
            );
            let statement = format!(
                "SELECT day FROM sales_3.plan /* ms={WORK_MS} rows=5 {notes_hint} {cost_hint} */"
            );
            assert_eq!(gateway.run_query(&fields, &statement), Ok(5), "{name}, {n}");
        }
        let fields = format!(
            "method=load,rid=00000000000000aa,budget=9000,token=5c0f6e1a,obj=7f3a9c21e0b4d655,est={ESTIMATE_MS}"
        );
        let keyed = gateway.run_query(
            &fields,
            &format!(
                "INSERT INTO sales_2.plan SELECT 1 /* ms={ESTIMATE_MS} {notes_hint} {cost_hint} */"
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
        // The gateway grants memory only if the settings enable grants. Otherwise the engine
        // chooses.
        let granted = counts.reserved.values().filter(|mb| **mb > 0).count();
        assert_eq!(
            granted > 0,
            name == "two-localities",
            "{name}: {:?}",
            counts.reserved
        );
    }
}

/// Both deployments accept the field with which a client marks a query as a retry, and reject an
/// invalid value with an error that names the field.
#[test]
fn an_invalid_retry_mark_is_rejected_with_its_reason() {
    for (name, settings) in [
        ("retry-mark-one-locality", one_locality()),
        ("retry-mark-two-localities", two_localities()),
    ] {
        let gateway = GatewayProcess::start(name, &settings);
        let run = |rid: u64, retry_mark: &str| {
            gateway.run_query(
                &format!("method=lookup,rid={rid:016x},budget=5000,again={retry_mark}"),
                "SELECT 1 FROM sales_3.plan",
            )
        };
        assert!(run(1, "1").is_ok());
        let error = run(2, "yes").unwrap_err();
        assert!(
            error.contains("again") && error.contains("is not 1"),
            "{error}"
        );
    }
}

/// If no engine is listed, the rejection states a retry delay within the limit of the settings.
#[test]
fn a_rejection_states_a_bounded_retry_delay() {
    for (name, settings, most) in [
        ("no-engine-one-locality", one_locality(), 1_000),
        ("no-engine-two-localities", two_localities(), 500),
    ] {
        let gateway = GatewayProcess::start(name, &settings);
        for id in gateway.upstreams.ids() {
            gateway.upstreams.remove(&id);
        }
        wait_until("no engine is listed", || {
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
