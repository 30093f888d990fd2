//! Compares the encoding of each message between a gateway and an observer with that of an earlier
//! release. Encoding and decoding are both compared, because instances of both releases work
//! together during an upgrade.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_state_distribution::*;

/// One message per line: its name in this test, and its bytes in hexadecimal.
const FIXTURES: &str = include_str!("fixtures/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The fixtures that are not compared yet, and the messages that differ from their fixture.
struct Comparison {
    stored: BTreeMap<&'static str, &'static str>,
    differing: Vec<String>,
}

impl Comparison {
    fn new() -> Self {
        let stored = FIXTURES.lines().map(|line| line.split_once(' ').unwrap());
        Comparison {
            stored: stored.collect(),
            differing: Vec::new(),
        }
    }

    fn compare<T>(&mut self, name: &str, message: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encoded = hex(&postcard::to_stdvec(message).unwrap());
        let stored = self.stored.remove(name).unwrap_or_default();
        if encoded != stored {
            self.differing.push(format!("{name} {encoded}"));
            return;
        }
        let decoded: T = postcard::from_bytes(&unhex(stored)).unwrap();
        assert_eq!(&decoded, message, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&decoded).unwrap()), stored);
    }

    fn finish(self) {
        let found = self.differing.join("\n");
        assert!(
            found.is_empty(),
            "encodings that differ from their fixture:\n{found}"
        );
        assert!(self.stored.is_empty(), "not compared: {:?}", self.stored);
    }
}

fn hello() -> SubscriberHello {
    SubscriberHello {
        magic: PROTOCOL_MAGIC,
        version: PROTOCOL_VERSION,
        cluster: "lahore".to_owned(),
        observer: 300,
        name: "front-end-7".to_owned(),
        revision: 123_456,
    }
}

fn rejections() -> [(&'static str, Rejection); 8] {
    [
        ("not_a_subscriber", Rejection::NotASubscriber),
        (
            "wrong_version",
            Rejection::WrongVersion {
                theirs: 2,
                ours: 300,
            },
        ),
        (
            "wrong_cluster",
            Rejection::WrongCluster {
                theirs: "a".to_owned(),
                ours: "b".to_owned(),
            },
        ),
        (
            "wrong_observer",
            Rejection::WrongObserver {
                wanted: 4,
                actual: 500,
            },
        ),
        ("full", Rejection::Full { capacity: 4_000 }),
        (
            "revision_ahead",
            Rejection::FutureRevision {
                theirs: 10_000,
                ours: 9,
            },
        ),
        (
            "protocol",
            Rejection::ProtocolViolation {
                detail: "a gap between changes".to_owned(),
            },
        ),
        (
            "too_slow",
            Rejection::TooSlow {
                queued_bytes: 4_194_305,
            },
        ),
    ]
}

fn compare_greetings(comparison: &mut Comparison) {
    comparison.compare("hello", &hello());
    let welcome = ObserverWelcome {
        rejected: None,
        revision: 123_457,
        subscribers: 1_900,
        capacity: 4_000,
    };
    comparison.compare("welcome", &welcome);
    for (code, rejection) in rejections() {
        let welcome = ObserverWelcome {
            rejected: Some(rejection.clone()),
            ..welcome.clone()
        };
        comparison.compare(&format!("welcome_{code}"), &welcome);
        comparison.compare(
            &format!("refused_{code}"),
            &ObserverMessage::Rejected(rejection),
        );
    }
}

fn compare_from_subscriber(comparison: &mut Comparison) {
    comparison.compare("watch", &SubscriberMessage::Watch { after: 70_000 });
    comparison.compare("snapshot", &SubscriberMessage::FetchSnapshot { from: None });
    let place = SnapshotCursor {
        revision: 300,
        after_key: "cordons/e-1".to_owned(),
    };
    let from = Some(place);
    comparison.compare("snapshot_from", &SubscriberMessage::FetchSnapshot { from });
    for serving in [false, true] {
        let progress = SubscriberProgress {
            applied: 299,
            serving,
        };
        let message = SubscriberMessage::Poll {
            poll: 1_000,
            progress,
        };
        comparison.compare(&format!("confirm_{serving}"), &message);
    }
    comparison.compare("stop_watching", &SubscriberMessage::StopWatching);
}

fn entry(key: &str, revision: u64, value: &[u8]) -> SnapshotEntry {
    SnapshotEntry {
        key: key.to_owned(),
        revision,
        value: value.to_vec(),
    }
}

fn compare_from_observer(comparison: &mut Comparison) {
    let change = |revision, key: &str, value: Option<&[u8]>| EntryChange {
        revision,
        key: key.to_owned(),
        value: value.map(<[u8]>::to_vec),
    };
    let changes = vec![
        change(129, "cordons/e-1", Some(b"{}")),
        change(130, "cordons/e-2", None),
    ];
    let message = ObserverMessage::Changes(ChangeBatch {
        after: 128,
        to: 130,
        changes: changes.into(),
    });
    comparison.compare("changes", &message);
    comparison.compare("compacted", &ObserverMessage::Compacted { first: 400 });
    for (name, after, last) in [
        ("piece_first", None, false),
        ("piece_last", Some("a".to_owned()), true),
    ] {
        let entries = vec![entry("b", 5, &[1, 2, 255]), entry("c", 300, &[])];
        let message = ObserverMessage::SnapshotChunk(SnapshotChunk {
            revision: 300,
            after,
            entries,
            last,
        });
        comparison.compare(name, &message);
    }
    let queued = ObserverMessage::SnapshotQueued { position: 200 };
    comparison.compare("snapshot_queued", &queued);
    let confirmed = ObserverMessage::PollConfirmed {
        poll: 1_000,
        revision: 300,
    };
    comparison.compare("confirmed", &confirmed);
    let load = ObserverMessage::LoadReport {
        subscribers: 1_900,
        capacity: 4_000,
    };
    comparison.compare("load", &load);
}

fn compare_progress(comparison: &mut Comparison) {
    let summary = ProgressSummary {
        revision: 300,
        serving: 1_900,
        not_serving: 3,
        least_applied: Some(298),
        behind: [1, 2, 3, 400],
        laggards: vec![Laggard {
            name: "front-end-7".to_owned(),
            applied: 298,
        }],
    };
    comparison.compare("progress", &summary);
    comparison.compare("progress_of_none", &ProgressSummary::default());
}

#[test]
fn messages_are_encoded_and_decoded_as_by_an_earlier_release() {
    let mut comparison = Comparison::new();
    compare_greetings(&mut comparison);
    compare_from_subscriber(&mut comparison);
    compare_from_observer(&mut comparison);
    compare_progress(&mut comparison);
    comparison.finish();
}

/// The reason codes and texts of rejections are shown to operators, so they must not change.
#[test]
fn rejections_have_their_stored_codes_and_texts() {
    let found: Vec<String> = rejections()
        .iter()
        .map(|(_, rejection)| format!("{} {rejection}", rejection.code()))
        .collect();
    let stored: Vec<&str> = include_str!("fixtures/refusals.txt").lines().collect();
    assert_eq!(found, stored, "{}", found.join("\n"));
}
