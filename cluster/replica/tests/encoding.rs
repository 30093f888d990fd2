//! Checks that responses are encoded to the same bytes as by commit 5065b36. A replica sends its
//! response in this encoding to a replica that forwarded a call.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use violetgate_raft::ProposalError;
use violetgate_replica::Response;
use violetgate_replicated_state::{CommandError, Outcome};

const FIXTURE: &str = include_str!("fixtures/encoding.hex");

#[test]
fn responses_are_encoded_as_in_the_fixture() {
    let responses = [
        Response::Applied(Outcome::Applied {
            revision: 1_000,
            conditions_held: true,
        }),
        Response::Applied(Outcome::Rejected(CommandError::UnknownLease(9))),
        Response::MembershipChanged,
        Response::ReadReady,
        Response::NotLeader(Some(300)),
        Response::NotLeader(None),
        Response::Rejected(ProposalError::LearnerBehind),
        Response::OutcomeUnknown,
    ];
    let mut encoded = String::new();
    for response in responses {
        let bytes = postcard::to_stdvec(&response).unwrap();
        let back: Response = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(back, response);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        encoded += &(hex + "\n");
    }
    assert_eq!(encoded, FIXTURE);
}
