//! Tests of the shared configuration on a store, without a cluster.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use violetgate_replicated_state::{Command, Operation, Outcome, Store, Txn};

use super::encoding::requested_by;
use super::settings_versions::{propose, roll_back, RETAINED_VERSIONS};
use super::*;
use crate::discovery::EngineListSnapshot;

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

/// Guards against a partly stored list that passes as complete: a long list takes several
/// transactions, and only the last one writes the offset. An older list changes nothing.
#[test]
fn engine_list_is_stored_in_steps_with_its_offset_last() {
    let mut store = Store::default();
    let list = |last_offset: u64, count: u64, value: u64| EngineListSnapshot {
        last_offset,
        engines: (0..count)
            .map(|engine| (format!("e-{engine}"), Value::from(value)))
            .collect(),
    };
    for (list, steps) in [(list(7, 300, 1), 3), (list(8, 2, 1), 3), (list(9, 2, 5), 1)] {
        let before = engine_list::stored(&store).map(|stored| stored.last_offset);
        for step in 1..=steps {
            let stored = engine_list::stored(&store).map(|stored| stored.last_offset);
            assert_eq!(stored, before, "step {step}");
            let transaction = engine_list::next_update(&store, &list).unwrap();
            assert!(apply(&mut store, transaction));
        }
        assert_eq!(engine_list::next_update(&store, &list), None);
        assert_eq!(engine_list::stored(&store), Some(list));
    }
    let older = EngineListSnapshot::default();
    assert_eq!(engine_list::next_update(&store, &older), None);
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
    assert_eq!(
        config.addresses(&BTreeMap::from([(4, at(9))])),
        BTreeMap::from([(4, at(9))])
    );
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
