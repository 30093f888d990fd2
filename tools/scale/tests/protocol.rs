//! Tests of the JSON messages between a run and its processes of lightweight gateways.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use violetgate_scale::lightweight_gateway::change_sequence::{ChangeSequence, SequenceFaults};
use violetgate_scale::lightweight_gateway::protocol::{
    Command, FleetSizeRange, Report, SequenceCount, Totals, Traffic,
};

/// A report of totals in the JSON form that must not change.
const TOTALS: &str = concat!(
    r#"{"totals":{"at":1,"running":2,"serving":3,"gates_shut":4,"stale":5,"#,
    r#""faults":{"lost":6,"doubled":7,"out_of_order":8},"#,
    r#""traffic":{"subscription":9,"bus":10,"membership":11},"watching":{"12":13},"#,
    r#""sequences":[{"sequence":{"first":14,"last":15,"digest":14695981039346656037},"front_ends":16}],"#,
    r#""shares":[17,18],"bus_heard":19}}"#,
);

#[test]
fn a_report_of_totals_keeps_its_json_form() {
    let sequence = ChangeSequence {
        first: 14,
        last: 15,
        ..ChangeSequence::default()
    };
    let totals = Totals {
        at: 1,
        running: 2,
        serving: 3,
        gate_closures: 4,
        stale: 5,
        faults: SequenceFaults {
            missing: 6,
            duplicated: 7,
            out_of_order: 8,
        },
        traffic: Traffic {
            subscription: 9,
            bus: 10,
            membership: 11,
        },
        gateways_by_observer: BTreeMap::from([(12, 13)]),
        sequences: vec![SequenceCount {
            sequence,
            gateways: 16,
        }],
        fleet_sizes: Some(FleetSizeRange {
            least: 17,
            greatest: 18,
        }),
        with_bus_events: 19,
    };
    let report = Report::Totals(totals);
    assert_eq!(serde_json::to_string(&report).unwrap(), TOTALS);
    assert_eq!(serde_json::from_str::<Report>(TOTALS).unwrap(), report);
}

#[test]
fn commands_keep_their_json_form() {
    let commands = [
        (
            Command::Answered { revision: 1, at: 2 },
            r#"{"answered":{"revision":1,"at":2}}"#,
        ),
        (Command::Kill { count: 3 }, r#"{"kill":{"count":3}}"#),
        (
            Command::Start {
                running: 4,
                per_second: None,
            },
            r#"{"start":{"running":4,"per_second":null}}"#,
        ),
    ];
    for (command, text) in commands {
        assert_eq!(serde_json::to_string(&command).unwrap(), text);
        assert_eq!(serde_json::from_str::<Command>(text).unwrap(), command);
    }
}

#[test]
fn totals_of_several_processes_are_summed() {
    let totals = |least, greatest, gateways| Totals {
        running: 2,
        gateways_by_observer: BTreeMap::from([(4, gateways)]),
        fleet_sizes: Some(FleetSizeRange { least, greatest }),
        ..Totals::default()
    };
    let mut sum = Totals::default();
    sum.add(totals(5, 9, 1));
    sum.add(totals(3, 7, 2));
    assert_eq!(sum.running, 4);
    assert_eq!(sum.gateways_by_observer, BTreeMap::from([(4, 3)]));
    let range = FleetSizeRange {
        least: 3,
        greatest: 9,
    };
    assert_eq!(sum.fleet_sizes, Some(range));
}
