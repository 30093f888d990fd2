//! Tests of queries that repeat an earlier request with the same idempotency key: they go only
//! where and while engines discard a duplicate of it.

mod common;

use common::*;
use violetgate_policy::interface::{
    Class, DedupGroup, Engine, EngineLocation, Idempotency, NewQuery, Outcome, PossibleRun, QueryId,
};
use violetgate_policy::{Action, Event};

const WINDOW: u64 = 5 * S;
const GROUPS: [DedupGroup; 3] = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell];
const ORDERING_KEY: u64 = 9;

fn at(id: u32, zone: u32, cell: u32) -> Engine {
    Engine {
        zone,
        cell,
        ..engine(id)
    }
}

fn gateway(group: DedupGroup, engines: Vec<Engine>) -> TestGateway {
    let class = Class {
        dedup_group: group,
        dedup_window: Some(WINDOW),
        ordered_by_key: true,
        ..with_idempotency(Idempotency::Deduplicated)
    };
    TestGateway::new(settings(vec![class], 8.0), engines)
}

/// An attempt at an engine of zone 0 and cell 0.
fn run(sent_at: u64) -> PossibleRun {
    PossibleRun {
        location: EngineLocation { zone: 0, cell: 0 },
        sent_at,
    }
}

/// A query whose key an earlier request has used, which was sent `age` ago.
fn repeat(gateway: &TestGateway, id: QueryId, age: u64) -> NewQuery {
    NewQuery {
        earlier_run: Some(run(gateway.now - age)),
        ordering_key: Some(ORDERING_KEY),
        ..query(id, 100 * MS)
    }
}

fn is_answered(actions: &[Action], query: QueryId) -> bool {
    is_rejected(actions, query) || is_failed(actions, query)
}

/// Guards against a repeat that goes to an engine that does not know the earlier request, and runs
/// it a second time.
#[test]
fn a_repeat_goes_only_to_engines_of_its_group() {
    let places = [(0, 0), (0, 1), (1, 0)];
    for (group, allowed) in GROUPS.into_iter().zip([3, 2, 1]) {
        for (number, (zone, cell)) in places.into_iter().enumerate() {
            let mut gateway = gateway(group, vec![at(0, zone, cell)]);
            gateway.now += S;
            let request = repeat(&gateway, 1, S);
            let actions = gateway.arrive(request);
            let is_sent = sent_to(&actions, 1) == Some(0);
            assert_eq!(is_sent, number < allowed, "{group:?} {zone} {cell}");
            assert!(is_sent || is_answered(&actions, 1), "no engine will do");
            assert!(group == DedupGroup::All || !is_rejected(&actions, 1));
        }
    }
}

/// Guards against a repeat that waits, here for its ordering key, and is sent after engines have
/// forgotten the earlier request. It is answered when the window ends, long before its deadline.
#[test]
fn a_repeat_that_waits_is_answered_when_the_window_ends() {
    for group in GROUPS {
        let mut gateway = gateway(group, vec![at(0, 0, 0), at(1, 0, 0)]);
        gateway.now += 4 * S;
        let other = NewQuery {
            ordering_key: Some(ORDERING_KEY),
            ..query(1, 100 * MS)
        };
        assert!(sent_to(&gateway.arrive(other), 1).is_some());
        let request = repeat(&gateway, 2, 4 * S);
        let window_ends = gateway.now + S;
        assert_eq!(gateway.arrive(request), []);
        gateway.now = window_ends - 1;
        assert!(!is_answered(&gateway.handle(Event::TimerFired), 2));
        gateway.now = window_ends;
        assert!(is_answered(&gateway.handle(Event::TimerFired), 2));
    }
}

/// Guards against a query that waits while another one with its idempotency key is sent, and that
/// is then sent without regard to it.
#[test]
fn a_waiting_query_becomes_a_repeat_when_a_duplicate_is_sent() {
    for (wait, is_late) in [(S, false), (WINDOW, true)] {
        let mut gateway = gateway(DedupGroup::Zone, vec![at(0, 0, 0), at(1, 1, 0)]);
        let keyed = |id| NewQuery {
            ordering_key: Some(ORDERING_KEY),
            ..query(id, 100 * MS)
        };
        let target = sent_to(&gateway.arrive(keyed(1)), 1).unwrap_or_default();
        assert_eq!(gateway.arrive(keyed(2)), []);
        let run = run(gateway.now);
        assert_eq!(gateway.handle(Event::DuplicateSent { query: 2, run }), []);
        gateway.now += wait;
        let actions = if is_late {
            gateway.handle(Event::TimerFired)
        } else {
            gateway.end_attempt(1, 0, target, Outcome::Overloaded)
        };
        assert_eq!(is_failed(&actions, 2), is_late, "{wait}");
        let actions = gateway.handle(Event::ClientDisconnected { query: 1 });
        assert_ne!(sent_to(&actions, 2), Some(1), "another zone");
    }
}
