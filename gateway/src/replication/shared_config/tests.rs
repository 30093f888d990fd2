//! Tests of the shared configuration on a store, without a cluster.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use violetgate_policy::interface::Micros;
use violetgate_replicated_state::{Command, Mutation, Operation, Outcome, Store, Txn};

use super::encoding::requested_by;
use super::settings_versions::{propose, roll_back, RETAINED_VERSIONS};
use super::*;
use crate::discovery::{EngineListSnapshot, StoredEngineList, LIST_SETTLES_AFTER_US};

/// Applies a transaction and returns whether its conditions held.
fn apply(store: &mut Store, transaction: Txn) -> bool {
    let command = Command {
        request_id: None,
        actor: "t".to_owned(),
        time: 0,
        operation: Operation::Txn(transaction),
    };
    matches!(
        store.apply(&command),
        Outcome::Applied {
            conditions_held: true,
            ..
        }
    )
}

fn cordon_change(engine: &str, cordoned: bool) -> ConfigChange {
    ConfigChange::Cordon {
        engine: engine.to_owned(),
        cordoned,
    }
}

#[test]
fn changes_lead_from_one_configuration_to_the_next_cordons_first() {
    let mut store = Store::default();
    let mut config = SharedConfig::read(&store, "2");
    let mut step = |transaction| {
        assert!(apply(&mut store, transaction));
        let next = SharedConfig::read(&store, "2");
        let changes = config.changes_to(&next);
        config = next;
        changes
    };
    assert_eq!(
        step(set_cordon("e-1", true, "op")),
        [cordon_change("e-1", true)]
    );
    assert_eq!(step(set_cordon("e-1", true, "other")), []);
    let both = Txn {
        then: [
            set_cordon("e-1", false, "op").then,
            set_cordon("e-2", true, "op").then,
        ]
        .concat(),
        ..Txn::default()
    };
    let changes = [cordon_change("e-2", true), cordon_change("e-1", false)];
    assert_eq!(step(both), changes);
    assert_eq!(
        step(set_drain("1", true, "op")),
        [],
        "a drain of another instance changes nothing"
    );
    assert_eq!(
        step(set_drain("2", true, "op")),
        [ConfigChange::Drain(true)]
    );
    assert_eq!(
        step(set_drain("2", false, "op")),
        [ConfigChange::Drain(false)]
    );
}

/// Settings are validated before they are proposed. Only one of two concurrent proposals takes
/// effect. A rollback creates a new version, and the oldest versions are deleted.
#[test]
fn settings_versions_are_proposed_checked_and_rolled_back() {
    let mut store = Store::default();
    let text = |results: u64| format!("rest {{\n  results = {results}\n}}\n");
    assert!(matches!(
        propose(&store, "rest { results = 0 }", None),
        Err(SettingsRejection::Invalid(_))
    ));
    let (one, first) = propose(&store, &text(1), Some(0)).unwrap();
    let (_, concurrent) = propose(&store, &text(9), Some(0)).unwrap();
    assert!(one == 1 && apply(&mut store, first) && !apply(&mut store, concurrent));
    assert_eq!(
        propose(&store, &text(2), Some(0)),
        Err(SettingsRejection::VersionConflict { current: 1 })
    );
    for number in 2..=RETAINED_VERSIONS + 1 {
        let (version, transaction) = propose(&store, &text(number), Some(number - 1)).unwrap();
        assert!(version == number && apply(&mut store, transaction));
    }
    assert_eq!(roll_back(&store, 1), Err(SettingsRejection::UnknownVersion));
    let (version, transaction) = roll_back(&store, 2).unwrap();
    assert!(apply(&mut store, transaction));
    assert_eq!(
        SharedConfig::read(&store, "1").settings,
        Some(SettingsVersion {
            number: version,
            text: text(2)
        })
    );
}

fn engine_list(last_offset: u64, count: u64, value: u64) -> EngineListSnapshot {
    EngineListSnapshot {
        last_offset,
        version: 1,
        engines: (0..count)
            .map(|engine| (format!("e-{engine}"), Value::from(value)))
            .collect(),
    }
}

/// Applies all transactions that store a list, and returns their number.
fn store_list(store: &mut Store, list: &EngineListSnapshot, confirmed_at: Micros) -> usize {
    let mut steps = 0;
    while let Some(transaction) = engine_list::next_update(store, list, confirmed_at) {
        assert!(apply(store, transaction));
        steps += 1;
    }
    steps
}

/// Guards against a partly stored list that passes as complete: a long list takes several
/// transactions, and only the last one writes the offset and the confirmation. A list that is
/// stored already changes nothing.
#[test]
fn engine_list_is_stored_in_steps_with_its_confirmation_last() {
    let mut store = Store::default();
    let mut now = 0;
    for (list, steps) in [
        (engine_list(7, 300, 1), 3),
        (engine_list(8, 2, 1), 3),
        (engine_list(9, 2, 5), 1),
        (engine_list(10, 127, 5), 1),
        (engine_list(11, 127, 6), 2),
    ] {
        now += 1;
        for step in 1..=steps {
            let is_confirmed =
                engine_list::stored(&store).is_some_and(|stored| stored.confirmed_at.is_some());
            assert_eq!(is_confirmed, step == 1 && now > 1, "step {step} of {steps}");
            let transaction = engine_list::next_update(&store, &list, now).unwrap();
            assert!(apply(&mut store, transaction));
        }
        assert_eq!(engine_list::next_update(&store, &list, now), None);
        let stored = StoredEngineList {
            engines: list.engines.clone(),
            confirmed_at: Some(now),
        };
        assert_eq!(engine_list::stored(&store), Some(stored));
    }
}

/// Guards against a stored list that stays as it is after the leader was restarted, because events
/// are counted from 1 again.
#[test]
fn a_list_with_a_lower_offset_is_stored() {
    let mut store = Store::default();
    store_list(&mut store, &engine_list(7, 3, 1), 1);
    let list = engine_list(2, 3, 2);
    assert_eq!(store_list(&mut store, &list, 2), 1);
    assert_eq!(engine_list::stored(&store).unwrap().engines, list.engines);
}

/// Guards against a stored list that no instance may use, because it was confirmed too soon after
/// its last change: it is confirmed once more when all events from before have been reported.
#[test]
fn a_list_is_confirmed_again_once_it_has_settled() {
    let mut store = Store::default();
    let list = engine_list(7, 3, 1);
    store_list(&mut store, &list, 5);
    let settled_at = 5 + LIST_SETTLES_AFTER_US;
    assert_eq!(store_list(&mut store, &list, settled_at - 1), 0);
    assert_eq!(store_list(&mut store, &list, settled_at), 1);
    let stored = engine_list::stored(&store).unwrap();
    assert!(stored.includes_events_until(5) && !stored.includes_events_until(6));
    assert_eq!(store_list(&mut store, &list, 10 * settled_at), 0);
}

/// Guards against the belief in a list that a leader of the version before has changed: it writes
/// engines and offset as before, and no confirmation.
#[test]
fn a_list_that_an_earlier_version_stored_is_not_confirmed() {
    let mut store = Store::default();
    let put = |key: &str, value: &str| {
        let put = Mutation::Put {
            key: key.to_owned(),
            value: value.into(),
            lease: None,
        };
        Txn {
            then: vec![put],
            ..Txn::default()
        }
    };
    let list = engine_list(7, 2, 1);
    for (key, value) in [("list", "9"), ("engines/e-0", "5")] {
        store_list(&mut store, &list, 1);
        assert!(engine_list::stored(&store).unwrap().confirmed_at.is_some());
        assert!(apply(&mut store, put(key, value)));
        let stored = engine_list::stored(&store).unwrap();
        assert_eq!(
            (stored.engines.len(), stored.confirmed_at),
            (2, None),
            "{key}"
        );
    }
}

#[test]
fn member_record_follows_its_address_but_not_another_disk() {
    let mut store = Store::default();
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let address = |port, disk_id| MemberAddress {
        listen: at(port),
        api: at(port + 1),
        disk_id,
    };
    for (port, disk_id, held) in [
        (1, None, true),
        (1, Some(5), true),
        (3, Some(5), true),
        (3, Some(6), false),
    ] {
        let transaction = record_member(&store, 4, &address(port, disk_id)).unwrap();
        assert_eq!(apply(&mut store, transaction), held, "{port} {disk_id:?}");
    }
    assert_eq!(record_member(&store, 4, &address(3, Some(5))), None);
    let config = SharedConfig::read(&store, "1");
    assert_eq!(config.disk_ids(), BTreeMap::from([(4, 5)]));
    assert_eq!(config.addresses(), BTreeMap::from([(4, at(3))]));
}

/// Guards against changes of the stored encoding, which other versions of the program read.
#[test]
fn stored_values_have_the_form_that_other_versions_read() {
    assert_eq!(requested_by("amina"), br#"{"by":"amina"}"#);
    let stored = r#"{"listen":"127.0.0.1:1","api":"127.0.0.1:2","born":5}"#;
    let address: MemberAddress = serde_json::from_str(stored).unwrap();
    assert_eq!(address.disk_id, Some(5));
    assert_eq!(serde_json::to_string(&address).unwrap(), stored);
}
