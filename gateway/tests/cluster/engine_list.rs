//! The engine list that members store for a start without the event bus.

use crate::support::{wait_until, GatewayProcess};
use crate::{start_single_member, Api};

/// The number of queries that show which engines are used. Each of several usable engines gets some
/// of them.
const QUERIES: u32 = 40;

/// Runs queries and returns how many of them each of `e-1` and `e-2` got.
fn use_engines(gateway: &GatewayProcess, first_id: u32) -> [u32; 2] {
    let attempts = || {
        let counts = gateway.upstreams.counts().by_engine;
        ["e-1", "e-2"].map(|id| counts.get(id).copied().unwrap_or(0))
    };
    let before = attempts();
    let mut session = gateway.pg();
    for id in first_id..first_id + QUERIES {
        let sql = format!(
            "/* method=lookup,rid={id:016x},budget=9000 */ SELECT 1 FROM sales_3.plan /* ms=30 */"
        );
        session.query(&sql).unwrap();
    }
    let after = attempts();
    [0, 1].map(|engine| after[engine] - before[engine])
}

/// Guards against a member that, started while its event bus is unreachable, uses the stored list
/// because its offset is higher than that of its own list, although that offset is of an earlier
/// start: it sent queries to an engine that drains, and skipped the drains that were told later.
#[test]
fn a_member_that_starts_without_its_bus_keeps_to_the_drains_that_it_was_told() {
    let (mut gateway, api) = start_single_member();
    for number in 3..7 {
        gateway.upstreams.add(&format!("e-{number}"), None).unwrap();
    }
    wait_until("all engines are stored", || {
        let stored = Api::new(&api).get("/v1/state?prefix=engines/").json();
        stored["entries"].as_array().unwrap().len() == 6
    });
    for number in 3..7 {
        gateway.upstreams.remove(&format!("e-{number}"));
    }
    gateway.restart_as_on_platform(false);
    gateway.upstreams.drain("e-1");
    wait_until("the drain is stored, under a lower offset", || {
        let stored = Api::new(&api).get("/v1/state?key=engines/e-1");
        stored
            .body
            .escape_ascii()
            .to_string()
            .contains("terminating")
    });

    gateway.restart_as_on_platform(true);
    let [at_draining, at_ready] = use_engines(&gateway, 0x100);
    assert_eq!(at_draining, 0, "e-1 drained before the start");
    assert_eq!(at_ready, QUERIES);

    gateway.upstreams.add("e-7", None).unwrap();
    gateway.upstreams.drain("e-2");
    gateway.upstreams.set_bus_down(false);
    wait_until("the events of the outage are applied", || {
        gateway.metric("svc_known_engines") == 3.0
    });
    let [at_first, at_second] = use_engines(&gateway, 0x200);
    assert_eq!([at_first, at_second], [0, 0], "both drain");
}
