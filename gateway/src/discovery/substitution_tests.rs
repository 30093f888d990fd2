//! Tests of when a stored engine list is used in place of the own one, without a socket.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::rc::Rc;
use std::time::Instant;

use serde_json::{json, Value};
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{EngineState, ListScope, Micros};

use super::*;
use crate::config::{InitialEvents, NameTable};

/// When the own list was current, in microseconds since the Unix epoch.
const KNOWN_AT: Micros = 1_000_000_000;
/// The offset of the last event of the configuration.
const KNOWN_OFFSET: u64 = 2;

const READY: &str = "in_service";
const DRAINING: &str = "terminating";

/// An update of the list: its scope, and the states of its engines in the order of their names.
type Update = (ListScope, Vec<EngineState>);

fn engine(name: &str, state: &str) -> Value {
    json!({"id": name, "addr": "127.0.0.1:1", "state": state})
}

fn event(offset: u64, is_full: bool, engines: &[Value]) -> Value {
    json!({"offset": offset, "topology": {"full": is_full, "servers": engines}})
}

struct Subject {
    client: DiscoveryClient,
    source: Rc<DiscoverySource>,
    updates: Vec<Update>,
}

impl Subject {
    fn new(retention: ListRetention, initial: InitialEvents) -> Self {
        let source = Rc::new(DiscoverySource::new(([127, 0, 0, 1], 1).into(), retention));
        let client = DiscoveryClient::new(
            NameTable::default(),
            Rc::default(),
            Rc::clone(&source),
            MemoryBudget::new(1_000_000),
        );
        let mut subject = Subject {
            client,
            source,
            updates: Vec::new(),
        };
        subject.call(|client, on_update| client.load_initial(KNOWN_AT, initial, on_update));
        subject.updates.clear();
        subject
    }

    /// Creates a client whose configuration lists `a` as draining and `b` as ready.
    fn with_own_list(retention: ListRetention) -> Self {
        let events = vec![
            event(1, true, &[engine("a", READY), engine("b", READY)]),
            event(2, false, &[engine("a", DRAINING)]),
        ];
        let last_offset = KNOWN_OFFSET;
        Self::new(
            retention,
            InitialEvents {
                last_offset,
                events,
            },
        )
    }

    fn call<T>(&mut self, call: impl FnOnce(&mut DiscoveryClient, client::OnUpdate<'_>) -> T) -> T {
        let updates = &mut self.updates;
        let mut on_update = |scope, listed: &[crate::exchange::ListedEngine]| {
            let states = listed.iter().map(|listed| listed.engine.state).collect();
            updates.push((scope, states));
        };
        call(&mut self.client, &mut on_update)
    }

    /// Offers a stored list and returns the updates that follow.
    fn offer(&mut self, engines: &[Value], confirmed_at: Option<Micros>) -> Vec<Update> {
        let named = |engine: &Value| (engine["id"].as_str().unwrap().to_owned(), engine.clone());
        self.source.offer_stored_list(StoredEngineList {
            engines: engines.iter().map(named).collect(),
            confirmed_at,
        });
        self.call(|client, on_update| client.take_stored_list(on_update));
        std::mem::take(&mut self.updates)
    }

    /// Receives lines of the bus and returns the updates that follow.
    fn receive(&mut self, lines: &[Value]) -> Vec<Update> {
        let mut buffer: Vec<u8> = lines
            .iter()
            .flat_map(|line| format!("{line}\n").into_bytes())
            .collect();
        let (mut silent_at, mut received) = (Instant::now(), false);
        self.call(|client, on_update| {
            client.take_lines(&mut buffer, &mut silent_at, on_update, &mut received)
        })
        .unwrap();
        std::mem::take(&mut self.updates)
    }
}

/// Guards against a stored list that replaces a newer one because its offset, which another start
/// or another instance has counted, is higher: engines that drain would get queries again.
#[test]
fn a_stored_list_that_may_be_older_is_not_used() {
    let mut subject = Subject::with_own_list(ListRetention::Retain);
    let stored = [engine("a", READY), engine("b", READY)];
    for confirmed_at in [
        None,
        Some(KNOWN_AT),
        Some(KNOWN_AT + LIST_SETTLES_AFTER_US - 1),
    ] {
        assert_eq!(subject.offer(&stored, confirmed_at), []);
    }
    assert_eq!(subject.client.last_offset, KNOWN_OFFSET);
}

/// Guards against events that are skipped after the outage: they are requested from the own offset,
/// and change the own list. What was received at once takes effect at once, so that no engine is
/// used in between that the bus has long reported as draining.
#[test]
fn a_newer_stored_list_is_used_until_the_bus_answers() {
    for retention in [ListRetention::Retain, ListRetention::UntilBusAnswers] {
        let mut subject = Subject::with_own_list(retention);
        let stored = [engine("b", READY), engine("c", READY)];
        let confirmed_at = Some(KNOWN_AT + LIST_SETTLES_AFTER_US);
        let ready = EngineState::Ready;
        let used = [(ListScope::Snapshot, vec![ready, ready])];
        assert_eq!(subject.offer(&stored, confirmed_at), used);
        assert_eq!(subject.offer(&stored, confirmed_at), [], "it is in use");
        assert_eq!(subject.client.last_offset, KNOWN_OFFSET);
        let lines = [
            event(3, false, &[engine("c", READY)]),
            event(4, false, &[engine("b", DRAINING)]),
            json!(4),
        ];
        let draining = EngineState::Draining;
        let own = [(ListScope::Snapshot, vec![draining, draining, ready])];
        assert_eq!(subject.receive(&lines), own);
        let next = [event(5, false, &[engine("c", DRAINING)])];
        let patch = [(ListScope::Patch, vec![draining])];
        assert_eq!(subject.receive(&next), patch);
        assert_eq!(subject.offer(&stored, confirmed_at), [], "the bus answers");
        assert_eq!(subject.client.last_offset, 5);
    }
}

/// Without a list of its own, an instance uses the stored one whatever its age. The bus's first
/// event replaces it.
#[test]
fn without_an_own_list_any_stored_one_is_used() {
    let initial = InitialEvents {
        last_offset: 0,
        events: Vec::new(),
    };
    let mut subject = Subject::new(ListRetention::UntilBusAnswers, initial);
    let ready = EngineState::Ready;
    let used = [(ListScope::Snapshot, vec![ready])];
    assert_eq!(subject.offer(&[engine("a", READY)], None), used);
    assert_eq!(subject.receive(&[json!(0)]), [], "there are no events yet");
    let whole = [event(1, true, &[engine("b", READY)])];
    assert_eq!(subject.receive(&whole), used);
}

/// An instance that retains no list could not return to its own one.
#[test]
fn an_instance_without_a_cluster_uses_no_stored_list() {
    let mut subject = Subject::with_own_list(ListRetention::Discard);
    let confirmed_at = Some(Micros::MAX);
    assert_eq!(subject.offer(&[engine("c", READY)], confirmed_at), []);
}
