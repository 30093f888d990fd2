//! Drains, upgrades, settings reloads and logging.

use std::io::Read;

use crate::support::{rest_block, wait_for_exit, wait_until, GatewayProcess, Signal};
use crate::{assert_complete, report, WINDOW};

/// A drained gateway rejects new queries and still serves the pages of earlier results. A
/// connection stays open until its client has fetched the last page of its results.
#[test]
fn a_drained_instance_still_serves_the_pages_of_earlier_results() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let (mut paging, mut idle) = (gateway.http(), gateway.http());
    paging.post_query(&report(30_000, "rows=300 width=60"), None);
    let first = paging.read();
    assert_complete(
        &{
            idle.post_query(&report(30_000, "rows=2"), None);
            idle.read()
        }
        .rows(),
        2,
    );
    assert_eq!(gateway.call("PUT", "/admin/quiesce", "").0, 200);
    assert!(idle.is_closed(), "the idle connection is still open");
    let second = paging.get(&first.next().unwrap());
    assert_eq!(second.status, 200);
    wait_until("new queries are rejected", || {
        let reply = gateway.post_query(&report(30_000, "rows=2"), None);
        assert!(
            reply.status == 200 || reply.problem_type() == "draining",
            "{reply:?}"
        );
        reply.status == 503
    });
    let third = paging.get(&second.next().unwrap());
    assert_eq!(
        (third.status, third.headers["connection"].as_str()),
        (200, "close")
    );
    assert!(third.next().is_none() && paging.is_closed());
    assert_eq!(gateway.call("PUT", "/admin/resume", "").0, 200);
    assert_eq!(
        gateway.post_query(&report(30_000, "rows=2"), None).status,
        200
    );
}

/// At an upgrade and at a planned stop, a client can fetch its remaining pages on its connection,
/// and the old process exits by itself after that. The new process doesn't know the result's token
/// and returns 404.
#[test]
fn an_upgrade_lets_clients_fetch_their_pages_on_their_connections() {
    let mut gateway = GatewayProcess::start(1, "", WINDOW);
    let mut paging = gateway.http();
    paging.post_query(&report(60_000, "rows=300 width=60"), None);
    let first = paging.read();
    let mut old = gateway.upgrade();
    wait_until("new connections reach the new process", || {
        // A connection may still reach the old process, which closes it.
        let reply = std::ops::DerefMut::deref_mut(&mut gateway.http()).get(&first.next().unwrap());
        reply.is_ok_and(|r| r.status == 404)
    });
    let second = paging.get(&first.next().unwrap());
    let third = paging.get(&second.next().unwrap());
    assert_eq!((second.status, third.status), (200, 200));
    assert!(paging.is_closed());
    assert_eq!(wait_for_exit(&mut old), Some(0));

    let mut paging = gateway.http();
    paging.post_query(&report(60_000, "rows=300 width=60"), None);
    let first = paging.read();
    gateway.signal(Signal::TERM);
    assert_eq!(paging.get(&first.next().unwrap()).status, 200);
    assert_eq!(wait_for_exit(&mut gateway.child), Some(0));
}

/// SIGHUP applies the limits in the settings file. An invalid file changes nothing.
#[test]
fn new_limits_are_applied_at_sighup_unless_the_file_is_invalid() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let path = gateway.folder.join("violetgate.hcl");
    let long = || {
        let mut query = report(30_000, "rows=2");
        query["statement"] = format!("SELECT 1 /* {} */", "x".repeat(2_000)).into();
        gateway.post_query(&query, None).status
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

/// A blocked standard error doesn't delay requests: log lines that exceed the queue are dropped,
/// and a later line reports it.
#[test]
fn a_blocked_log_delays_nobody_and_drops_lines() {
    let mut gateway = GatewayProcess::start(1, "", WINDOW);
    gateway.restart_piped();
    // 6,000 lines exceed the capacity of the pipe (64 KiB) and the log queue (4,096 lines).
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

/// Guards against a restarted gateway that gives queries the request ids of the process before, by
/// which engines take them for repeats. The configuration with its seed stays the same.
#[test]
fn a_restarted_gateway_gives_queries_other_request_ids() {
    let mut gateway = GatewayProcess::start(1, "", WINDOW);
    let query = report(10_000, "rows=1");
    assert_eq!(gateway.post_query(&query, None).status, 200);
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    gateway.restart();
    gateway.wait_until_healthy();
    assert_eq!(gateway.post_query(&query, None).status, 200);
    let counts = gateway.upstreams.counts();
    assert_eq!(counts.by_request.len(), 2, "{:?}", counts.by_request);
}
