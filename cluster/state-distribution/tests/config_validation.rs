//! Tests the validation of observer and subscriber configurations.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use violetgate_state_distribution::*;

fn observer() -> ObserverConfig {
    ObserverConfig::default_for("c", 1)
}

fn subscriber() -> SubscriberConfig {
    SubscriberConfig::default_for("c", "front-end", vec![1])
}

#[test]
fn the_defaults_are_valid() {
    assert_eq!(observer().validate(), Ok(()));
    assert_eq!(subscriber().validate(), Ok(()));
}

#[test]
fn an_observer_limit_of_zero_is_rejected_by_its_name() {
    let mut no_capacity = observer();
    no_capacity.capacity = 0;
    let mut no_snapshots = observer();
    no_snapshots.max_concurrent_snapshots = 0;
    let mut no_chunks = observer();
    no_chunks.chunk_bytes = 0;
    let mut no_queue = observer();
    no_queue.send_queue_bytes = 0;
    let mut no_load_reports = observer();
    no_load_reports.load_report_interval = 0;
    for (config, field) in [
        (no_capacity, "capacity"),
        (no_snapshots, "max_concurrent_snapshots"),
        (no_chunks, "chunk_bytes"),
        (no_queue, "send_queue_bytes"),
        (no_load_reports, "load_report_interval"),
    ] {
        assert_eq!(config.validate(), Err(InvalidObserverConfig { field }));
    }
}

#[test]
fn a_subscriber_that_would_be_stale_between_two_polls_is_rejected() {
    let config = SubscriberConfig {
        drain_limit: 300_000,
        poll_interval: 300_000,
        ..subscriber()
    };
    let expected = InvalidSubscriberConfig::PollsTooSeldom {
        poll_interval: 300_000,
        drain_limit: 300_000,
    };
    assert_eq!(config.validate(), Err(expected));
}

#[test]
fn subscriber_times_of_zero_and_a_reversed_backoff_are_rejected() {
    let config = SubscriberConfig {
        poll_timeout: 0,
        ..subscriber()
    };
    let field = "poll timeout";
    assert_eq!(
        config.validate(),
        Err(InvalidSubscriberConfig::Zero { field })
    );
    let config = SubscriberConfig {
        backoff: Backoff { initial: 2, max: 1 },
        ..subscriber()
    };
    assert_eq!(
        config.validate(),
        Err(InvalidSubscriberConfig::BackoffOrder { initial: 2, max: 1 })
    );
}
