//! Tests of bulk loads, which lock their table group on the engine that runs them.

mod common;

use common::*;
use violetgate_policy::interface::{Class, NewQuery};

/// A gateway with one engine and three classes: 0 is for bulk loads, 1 waits for bulk loads, 2 does
/// neither.
fn gateway() -> TestGateway {
    let bulk_load = Class {
        is_bulk_load: true,
        ..class(10 * S)
    };
    let reader = Class {
        waits_for_bulk_loads: true,
        ..class(10 * S)
    };
    let classes = vec![bulk_load, reader, class(10 * S)];
    TestGateway::new(settings(classes, 8.0), vec![engine(0)])
}

fn request(id: u64, class: u32, table_group: u64) -> NewQuery {
    NewQuery {
        class,
        table_group: Some(table_group),
        ..query(id, 100 * MS)
    }
}

#[test]
fn a_bulk_load_keeps_loads_and_waiting_classes_of_its_tables_off_its_engine() {
    for (class, table_group, fits) in [
        (0, 1, false),
        (1, 1, false),
        (2, 1, true),
        (0, 2, true),
        (1, 2, true),
    ] {
        let mut gateway = gateway();
        assert_eq!(sent_to(&gateway.arrive(request(1, 0, 1)), 1), Some(0));
        let actions = gateway.arrive(request(2, class, table_group));
        assert_eq!(
            sent_to(&actions, 2).is_some(),
            fits,
            "class {class}, tables {table_group}"
        );
    }
}

#[test]
fn a_waiting_class_keeps_a_bulk_load_of_its_tables_off_its_engine() {
    for (table_group, fits) in [(1, false), (2, true)] {
        let mut gateway = gateway();
        assert_eq!(sent_to(&gateway.arrive(request(1, 1, 1)), 1), Some(0));
        let actions = gateway.arrive(request(2, 0, table_group));
        assert_eq!(sent_to(&actions, 2).is_some(), fits, "tables {table_group}");
    }
}
