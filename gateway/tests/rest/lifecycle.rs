//! Drains, upgrades, reloads and the log.

use std::io::Read;

use crate::support::{rest_block, wait_for_exit, wait_until, GatewayProcess, Signal};
use crate::{assert_complete, report, WINDOW};

/// A drained gateway takes no more queries and still serves the pages that it promised; a
/// connection that may ask for them stays open till the last.
#[test]
fn a_drained_instance_still_serves_the_pages_that_it_promised() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let (mut owed, mut idle) = (gateway.http(), gateway.http());
    owed.post_query(&report(30_000, "rows=300 width=60"), None);
    let first = owed.read();
    assert_complete(
        &{
            idle.post_query(&report(30_000, "rows=2"), None);
            idle.read()
        }
        .rows(),
        2,
    );
    assert_eq!(gateway.call("PUT", "/admin/quiesce", "").0, 200);
    assert!(idle.is_closed(), "an idle connection is sent home");
    let second = owed.get(&first.next().unwrap());
    assert_eq!(second.status, 200);
    wait_until("queries are turned back", || {
        let reply = gateway.post_query(&report(30_000, "rows=2"), None);
        assert!(
            reply.status == 200 || reply.problem_type() == "draining",
            "{reply:?}"
        );
        reply.status == 503
    });
    let third = owed.get(&second.next().unwrap());
    assert_eq!(
        (third.status, third.headers["connection"].as_str()),
        (200, "close")
    );
    assert!(third.next().is_none() && owed.is_closed());
    assert_eq!(gateway.call("PUT", "/admin/resume", "").0, 200);
    assert_eq!(
        gateway.post_query(&report(30_000, "rows=2"), None).status,
        200
    );
}

/// At an upgrade, and at a planned stop, a client finishes its pages on the connection that it has;
/// the process ends by itself after that. The new one doesn't know the token, and says so.
#[test]
fn an_upgrade_lets_clients_fetch_their_pages_on_their_connections() {
    let mut gateway = GatewayProcess::start(1, "", WINDOW);
    let mut owed = gateway.http();
    owed.post_query(&report(60_000, "rows=300 width=60"), None);
    let first = owed.read();
    let mut old = gateway.upgrade();
    wait_until("new connections reach the new process", || {
        // One may still reach the old process, and meet its close.
        let reply = std::ops::DerefMut::deref_mut(&mut gateway.http()).get(&first.next().unwrap());
        reply.is_ok_and(|r| r.status == 404)
    });
    let second = owed.get(&first.next().unwrap());
    let third = owed.get(&second.next().unwrap());
    assert_eq!((second.status, third.status), (200, 200));
    assert!(owed.is_closed());
    assert_eq!(wait_for_exit(&mut old), Some(0));

    let mut owed = gateway.http();
    owed.post_query(&report(60_000, "rows=300 width=60"), None);
    let first = owed.read();
    gateway.signal(Signal::TERM);
    assert_eq!(owed.get(&first.next().unwrap()).status, 200);
    assert_eq!(wait_for_exit(&mut gateway.child), Some(0));
}

/// New limits are taken at SIGHUP; a file that can't be used changes nothing.
#[test]
fn new_limits_are_applied_at_sighup_unless_the_file_is_invalid() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let path = gateway.folder.join("violetgate.hcl");
    let long = || {
        let mut ask = report(30_000, "rows=2");
        ask["statement"] = format!("SELECT 1 /* {} */", "x".repeat(2_000)).into();
        gateway.post_query(&ask, None).status
    };
    assert_eq!(long(), 200);
    std::fs::write(&path, rest_block(&gateway.rest, "  max_body = \"1KiB\"")).unwrap();
    gateway.signal(Signal::HUP);
    wait_until("the new limit holds", || long() == 413);
    for text in [
        "rest {",
        "rest {\n  max_body = \"96KiB\"\n}",
        &rest_block(&gateway.rest, "  max_bodi = \"96KiB\""),
    ] {
        std::fs::write(&path, text).unwrap();
        gateway.signal(Signal::HUP);
        assert_eq!(long(), 413);
    }
    std::fs::write(&path, rest_block(&gateway.rest, "")).unwrap();
    gateway.signal(Signal::HUP);
    wait_until("the old limit holds again", || long() == 200);
}

/// A standard error that nobody reads holds up nobody: lines beyond what may wait are dropped, and
/// the last line says that some were.
#[test]
fn a_blocked_log_delays_nobody_and_drops_lines() {
    let mut gateway = GatewayProcess::start(1, "", WINDOW);
    gateway.restart_piped();
    // A pipe takes 64 KiB, and 4,096 lines may wait.
    for _ in 0..6_000 {
        drop(gateway.http());
    }
    assert_complete(
        &gateway.post_query(&report(30_000, "rows=5"), None).rows(),
        5,
    );
    gateway.signal(Signal::TERM);
    let mut log = String::new();
    gateway
        .child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert_eq!(wait_for_exit(&mut gateway.child), Some(0));
    assert!(
        log.lines().count() < 6_000 && log.contains("log lines, as nobody read them"),
        "{}",
        log.len()
    );
}
