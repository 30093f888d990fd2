//! One build before two kinds of deployment, told apart by their settings only: one room, engines
//! that tell what a query cost and say nothing meanwhile, a ration of further attempts; and two
//! rooms, grants, notes, no cost told, no ration.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

mod support;

use std::process::{Child, Command, Stdio};

use serde_json::{json, Value};
use support::{connect, reserved, until, WAIT};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::{settings, FakeUpstreams, Profile};

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

/// One room, a ration, cost told.
fn one_room() -> Value {
    settings()
}

/// Two rooms, no ration, at most three attempts; grants and notes, and no cost told.
fn two_rooms() -> Value {
    let mut told = settings();
    told["balancers"] = 2.into();
    told["localities"] = json!(["z", "y"]);
    told["locality"] = 1.into();
    told["limits"]["max-attempts"] = 3.into();
    told["limits"]["max-retry-after"] = 0.5.into();
    told["client-habits"] = json!({"marks-retry": true});
    told["domain"]["grants"] = true.into();
    told["domain"]["most-grant"] = 0.5.into();
    told["domain"]["memory-by-kind-mb"] = json!([32768.0]);
    told["domain"]["note-period"] = NOTE_PERIOD_S.into();
    told["domain"]["out-of-memory"] = "shrink".into();
    told["domain"]["tells-cost"] = false.into();
    let rules = told["rules"].as_object_mut().unwrap();
    for ration in ["extra-share", "free-resends", "resend-span"] {
        rules.remove(ration);
    }
    rules.insert("drain-grace".to_owned(), 0.5.into());
    rules.insert("fall".to_owned(), 1.0.into());
    told
}

struct Front {
    fleet: FakeUpstreams,
    child: Child,
    listen: String,
    management: String,
    folder: std::path::PathBuf,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Front {
    fn start(name: &str, told: &Value) -> Self {
        let fleet = FakeUpstreams::start(2, Profile::default()).unwrap();
        let (listen, management) = (reserved(), reserved());
        let folder = std::env::temp_dir().join(format!("violetgate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = folder.join("config.json");
        std::fs::write(&config, fleet.config("n0", &listen, told).to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_violetgate"))
            .env("PROXY_CONFIG", config)
            .env("PROXY_MANAGEMENT", &management)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let front = Front {
            fleet,
            child,
            listen,
            management,
            folder,
        };
        until("it is healthy", || {
            let mut http = HttpClient::new(connect(&front.management), WAIT).unwrap();
            http.get("/admin/health").is_ok_and(|r| r.status == 200)
        });
        front
    }

    /// The rows, or the error's text.
    fn ask(&self, fields: &str, statement: &str) -> Result<usize, String> {
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
fn the_same_build_serves_both() {
    for (name, told) in [("one-room", one_room()), ("two-rooms", two_rooms())] {
        let front = Front::start(name, &told);
        let told_cost = if name == "one-room" { "" } else { "untold" };
        let notes = format!("notes={NOTES_MS}");
        let noted = if name == "one-room" { "" } else { &notes };
        for n in 0..6u64 {
            let fields = format!(
                "method=lookup,rid={:016x},budget=9000,est={ESTIMATE_MS},est_mb=100",
                n + 1
            );
            let statement = format!(
                "SELECT day FROM sales_3.plan /* ms={WORK_MS} rows=5 {noted} {told_cost} */"
            );
            assert_eq!(front.ask(&fields, &statement), Ok(5), "{name}, {n}");
        }
        let fields = format!(
            "method=load,rid=00000000000000aa,budget=9000,token=5c0f6e1a,obj=7f3a9c21e0b4d655,est={ESTIMATE_MS}"
        );
        let keyed = front.ask(
            &fields,
            &format!(
                "INSERT INTO sales_2.plan SELECT 1 /* ms={ESTIMATE_MS} {noted} {told_cost} */"
            ),
        );
        assert!(keyed.is_ok(), "{name}: {keyed:?}");
        let counts = front.fleet.counts();
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
fn a_mark_that_is_none_is_told() {
    for (name, told) in [("mark-one", one_room()), ("mark-two", two_rooms())] {
        let front = Front::start(name, &told);
        let ask = |rid: u64, again: &str| {
            front.ask(
                &format!("method=lookup,rid={rid:016x},budget=5000,again={again}"),
                "SELECT 1 FROM sales_3.plan",
            )
        };
        assert!(ask(1, "1").is_ok());
        let told = ask(2, "yes").unwrap_err();
        assert!(
            told.contains("again") && told.contains("is not 1"),
            "{told}"
        );
    }
}

/// Nobody there to serve: the refusal says in its text for how long to stay away, within what the
/// settings allow.
#[test]
fn a_refusal_says_for_how_long() {
    for (name, told, most) in [
        ("away-one", one_room(), 1_000),
        ("away-two", two_rooms(), 500),
    ] {
        let front = Front::start(name, &told);
        for id in front.fleet.ids() {
            front.fleet.remove(&id);
        }
        until("nobody is listed", || {
            let mut http = HttpClient::new(connect(&front.management), WAIT).unwrap();
            let text = String::from_utf8(http.get("/admin/stats").unwrap().body).unwrap();
            text.lines().any(|l| l == "svc_known_engines 0")
        });
        let told = front
            .ask(
                "method=lookup,rid=00000000000000bb,budget=400",
                "SELECT 1 FROM sales_3.plan",
            )
            .unwrap_err();
        let ms: u64 = told
            .split("backoff=")
            .nth(1)
            .and_then(|t| t.split(')').next())
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=most).contains(&ms), "{name}: {told}");
    }
}
