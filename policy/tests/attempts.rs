//! Tests of attempts that wait for memory, are slow or send no progress.

mod common;

use common::*;
use violetgate_policy::interface::{Class, DedupGroup, Idempotency, NewQuery, Outcome, Progress};
use violetgate_policy::{Event, Settings};

/// A class whose late answers have no weight.
fn zero_late_weight() -> Class {
    Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    }
}

/// A deployment without progress reports. Its only class is for queries of 2 s of work on two
/// threads, with a latency objective of 1.5 s plus 2.5 times the run.
fn without_progress_reports() -> Settings {
    let two_thread_class = Class {
        latency_objective: Some(1_500 * MS),
        objective_stretch: Some(2.5),
        threads: Some(2.0),
        late_weight_fraction: Some(0.5),
        ..class(25 * S)
    };
    Settings {
        progress_period: None,
        ..settings(vec![two_thread_class], 8.0)
    }
}

fn two_thread_query(id: u64) -> NewQuery {
    NewQuery {
        client_timeout: 25 * S,
        ..query(id, 2 * S)
    }
}

fn deduplicated() -> Settings {
    let deduplicated_class = Class {
        idempotency: Idempotency::Deduplicated,
        dedup_group: DedupGroup::All,
        dedup_window: Some(15 * S),
        ..class(25 * S)
    };
    settings(vec![deduplicated_class], 8.0)
}

/// A query that is rerouted because it waits for memory keeps one attempt for failures.
#[test]
fn a_query_that_waits_for_memory_moves_to_another_engine() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    let first = sent_to(&gateway.arrive(query(1, S)), 1).expect("query was not sent");
    assert!(is_cancelled(
        &gateway.report_progress(1, 0, Progress::WaitingForMemory),
        1
    ));
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 0, first, Outcome::Cancelled), 1),
        Some(1 - first)
    );
    // The third attempt of four is not cancelled, so that the fourth is left for failures.
    gateway.report_progress(1, 1, Progress::WaitingForMemory);
    gateway.now += 2 * S;
    let again = gateway.end_attempt(1, 1, 1 - first, Outcome::Cancelled);
    let third = sent_to(&again, 1).expect("the query should get a third attempt");
    assert!(
        !is_cancelled(
            &gateway.report_progress(1, 2, Progress::WaitingForMemory),
            1
        ),
        "the third of four attempts (on engine {third}) should not be cancelled"
    );
}

#[test]
fn a_silent_attempt_is_given_up_while_others_wait_and_moved_otherwise() {
    let after_silence = |others_queued: bool| {
        let mut gateway = TestGateway::new(
            settings(vec![zero_late_weight()], 1.0),
            vec![engine(0), engine(1)],
        );
        (1..=if others_queued { 5 } else { 1 }).for_each(|id| {
            gateway.arrive(query(id, 500 * MS));
        });
        gateway.now += 1_700 * MS;
        gateway.handle(Event::TimerFired)
    };
    assert!(is_rejected(&after_silence(true), 1));
    let alone = after_silence(false);
    assert!(
        !is_rejected(&alone, 1) && is_cancelled(&alone, 1),
        "with no other query queued, the attempt should be cancelled and the query not rejected"
    );
}

#[test]
fn a_slow_attempt_is_moved_before_its_objective_without_progress_reports() {
    let mut gateway = TestGateway::new(without_progress_reports(), vec![engine(0), engine(1)]);
    let first = sent_to(&gateway.arrive(two_thread_query(1)), 1).expect("query was not sent");
    let moved = (0..100)
        .find(|step| is_cancelled(&gateway.advance_to(S + step * 50 * MS), 1))
        .expect("the attempt should be cancelled")
        * 50
        * MS;
    // The objective is 4 s after the arrival and a new attempt takes 1 s.
    assert!(
        (2 * S..=3_050 * MS).contains(&moved),
        "the attempt was cancelled after {moved} us"
    );
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 0, first, Outcome::Cancelled), 1),
        Some(1 - first)
    );
}

#[test]
fn a_deduplicated_query_that_waits_for_memory_moves_only_within_its_window() {
    for (wait, moves) in [(S, true), (14_500 * MS, false)] {
        let mut gateway = TestGateway::new(deduplicated(), vec![engine(0), engine(1)]);
        let request = NewQuery {
            client_timeout: 25 * S,
            ..query(1, 2 * S)
        };
        let target = sent_to(&gateway.arrive(request), 1).expect("query was not sent");
        // Without these progress reports the attempt would count as silent.
        for step in 1..=wait / (500 * MS) {
            gateway.now = S + step * 500 * MS;
            assert!(!is_cancelled(
                &gateway.report_progress(1, 0, Progress::FractionDone(0.95)),
                1
            ));
        }
        assert_eq!(
            is_cancelled(
                &gateway.report_progress(1, 0, Progress::WaitingForMemory),
                1
            ),
            moves,
            "waiting for memory after {wait} us"
        );
        if moves {
            assert_eq!(
                sent_to(&gateway.end_attempt(1, 0, target, Outcome::Cancelled), 1),
                Some(1 - target)
            );
        }
    }
}
