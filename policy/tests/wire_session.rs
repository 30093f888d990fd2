//! Replays recorded sessions with the simulator and compares the replies byte for byte.
//!
//! The sessions were recorded before the identifiers of the decision module were renamed, so they
//! show that the wire format did not change. Odd lines of a recording are the simulator's lines,
//! even lines are the replies.

use violetgate_policy::wire::Adapter;

/// A session whose settings have every signal.
const RICH: &str = include_str!("fixtures/wire_session_2.jsonl");
/// A session whose settings have no progress reports, load reports and grants.
const BARE: &str = include_str!("fixtures/wire_session_3.jsonl");

fn replay(recording: &str) {
    let mut adapter = Adapter::new();
    let lines: Vec<_> = recording.lines().collect();
    assert!(lines.len() > 500 && lines.len() % 2 == 0);
    for (number, exchange) in lines.chunks(2).enumerate() {
        let reply = adapter.line(exchange[0]).expect("a legal line");
        assert_eq!(reply, exchange[1], "exchange {number}");
    }
}

#[test]
fn replies_equal_the_recorded_ones_with_every_signal() {
    replay(RICH);
}

#[test]
fn replies_equal_the_recorded_ones_without_optional_signals() {
    replay(BARE);
}
