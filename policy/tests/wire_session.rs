//! Replays sessions that were recorded with the simulator, and compares the replies byte for byte.
//!
//! The sessions were recorded before the identifiers of the decision module were renamed, so they
//! show that the wire format did not change. Odd lines of a recording are the simulator's lines,
//! even lines are the replies.

use violetgate_policy::wire::Adapter;

/// A session whose settings have progress reports, load reports and memory grants.
const WITH_ALL_SIGNALS: &str = include_str!("fixtures/wire_session_2.jsonl");
/// A session whose settings have no progress reports, load reports or memory grants.
const WITHOUT_OPTIONAL_SIGNALS: &str = include_str!("fixtures/wire_session_3.jsonl");

fn replay(recording: &str) {
    let mut adapter = Adapter::new();
    let lines: Vec<_> = recording.lines().collect();
    assert!(lines.len() > 500 && lines.len() % 2 == 0);
    for (number, exchange) in lines.chunks(2).enumerate() {
        let reply = adapter
            .line(exchange[0])
            .expect("the line should be accepted");
        assert_eq!(reply, exchange[1], "exchange {number}");
    }
}

#[test]
fn replies_equal_the_recorded_ones_with_every_signal() {
    replay(WITH_ALL_SIGNALS);
}

#[test]
fn replies_equal_the_recorded_ones_without_optional_signals() {
    replay(WITHOUT_OPTIONAL_SIGNALS);
}
