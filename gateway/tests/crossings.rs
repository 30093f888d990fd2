//! Tests the whole program in two situations that easily go wrong: the file descriptors run out
//! while the event bus is disconnected, and the process stops with idle sessions.
//! `src/postgres/tests/` tests such situations for a single session.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod support;

use std::io::Read;
use std::net::TcpStream;

use support::{wait_for_exit, wait_until, GatewayProcess, PostgresSession, Signal};

/// Counts the open file descriptors of the gateway process.
fn descriptors(gateway: &GatewayProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .unwrap()
        .count()
}

/// Idle clients must not use the descriptors that the gateway needs to reconnect to the event bus.
/// More clients connect than the limit allows, and the bus closes its connections: the gateway
/// closes the oldest idle sessions, stays within its limit, follows the bus again, and serves
/// queries.
#[test]
fn idle_clients_leave_descriptors_for_the_bus() {
    const LIMIT: usize = 64;
    let gateway = GatewayProcess::start_with_limits(2, "", 192, LIMIT);
    let mut idle = Vec::new();
    for n in 0..4 * LIMIT {
        idle.push(gateway.pg());
        assert!(
            descriptors(&gateway) <= LIMIT,
            "{} descriptors are open with {n} clients",
            descriptors(&gateway)
        );
    }
    gateway.upstreams.break_bus();
    gateway.upstreams.add("e-9", None).unwrap();
    wait_until("the gateway follows the bus again", || {
        gateway.metric("svc_known_engines") == 3.0
    });
    let mut last = idle.pop().unwrap();
    let rows = last
        .query("/* method=lookup,rid=00000000000000a1,budget=9000 */ SELECT 1 FROM sales_3.plan");
    assert_eq!(rows.map(|r| r.len()), Ok(3));
    assert!(descriptors(&gateway) <= LIMIT);
}

/// After SIGTERM the process closes each idle session, logs a reason for each, and exits by itself.
#[test]
fn sessions_at_rest_are_closed_before_the_end() {
    let mut gateway = GatewayProcess::start(1, "", 12.0);
    gateway.restart_piped();
    let sessions: Vec<(PostgresSession, TcpStream)> = (0..5)
        .map(|_| {
            let stream = support::connect(&gateway.listen);
            (
                PostgresSession::from_stream(stream.try_clone().unwrap()),
                stream,
            )
        })
        .collect();
    gateway.signal(Signal::TERM);
    for (_, mut stream) in sessions {
        let mut rest = Vec::new();
        stream
            .read_to_end(&mut rest)
            .expect("the session should be closed without a reset");
        assert!(rest.is_empty(), "{}", rest.escape_ascii());
    }
    assert_eq!(wait_for_exit(&mut gateway.child), Some(0));
    let mut log = String::new();
    gateway
        .child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert_eq!(
        log.lines()
            .filter(|l| l.contains("reason=shutdown"))
            .count(),
        5,
        "{log}"
    );
}
