//! The bytes of each answer, as commit 5065b36 encodes them for another replica that has forwarded a call.
#![allow(clippy::unwrap_used)]

use violetgate_raft::Rejected;
use violetgate_replica::Answer;
use violetgate_replicated_state::{Outcome, Refused};

const FIXTURE: &str = include_str!("fixtures/encoding.hex");

#[test]
fn answers_are_encoded_as_in_the_fixture() {
    let answers = [
        Answer::Done(Outcome::Done {
            revision: 1_000,
            held: true,
        }),
        Answer::Done(Outcome::Refused(Refused::NoLease(9))),
        Answer::Changed,
        Answer::Current,
        Answer::NotLeader(Some(300)),
        Answer::NotLeader(None),
        Answer::Rejected(Rejected::Behind),
        Answer::Unsure,
    ];
    let mut encoded = String::new();
    for answer in answers {
        let bytes = postcard::to_stdvec(&answer).unwrap();
        let back: Answer = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(back, answer);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        encoded += &(hex + "\n");
    }
    assert_eq!(encoded, FIXTURE);
}
