//! Messages, entries and stored values are encoded as in commit 5065b36. Replicas of that version
//! and of this one work together during an upgrade, and each reads disks that the other wrote.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_raft::*;

const FIXTURE: &str = include_str!("fixtures/encoding.hex");

/// The encoded values as lines of hexadecimal digits, in the order of the fixture. Each value is
/// also decoded and compared with the original.
#[derive(Default)]
struct Encoded(String);

impl Encoded {
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, value: T) {
        let bytes = postcard::to_stdvec(&value).unwrap();
        let back: T = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(back, value);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0 += &(hex + "\n");
    }
}

fn members() -> Membership {
    let mut members = Membership::bootstrap([1, 2, 300]);
    members.learners = [7, 900].into();
    members.highest_id = 901;
    members
}

fn entries() -> Vec<Entry> {
    let payloads = [
        Payload::Blank,
        Payload::Command(vec![0, 1, 0xfe, 0xff]),
        Payload::Membership(members()),
    ];
    payloads
        .into_iter()
        .zip(129..)
        .map(|(payload, index)| Entry {
            term: 3,
            index,
            payload,
        })
        .collect()
}

fn position(term: Term, index: Index) -> LogPosition {
    LogPosition { term, index }
}

fn add_elections(encoded: &mut Encoded) {
    encoded.add(Message::RequestPreVote {
        term: 4,
        last_log: position(3, 131),
    });
    encoded.add(Message::PreVoteResponse {
        term: 4,
        granted: true,
    });
    encoded.add(Message::PreVoteResponse {
        term: 5,
        granted: false,
    });
    encoded.add(Message::RequestVote {
        term: 4,
        last_log: position(3, 131),
        leadership_transfer: true,
    });
    encoded.add(Message::RequestVote {
        term: 1 << 40,
        last_log: position(0, 0),
        leadership_transfer: false,
    });
    encoded.add(Message::VoteResponse {
        term: 4,
        granted: true,
    });
    encoded.add(Message::TimeoutNow { term: 4 });
}

fn add_replication(encoded: &mut Encoded) {
    encoded.add(Message::AppendEntries {
        term: 4,
        previous: position(3, 128),
        entries: entries(),
        commit: 127,
        round: 77,
    });
    encoded.add(Message::AppendEntries {
        term: 4,
        previous: position(3, 131),
        entries: Vec::new(),
        commit: 131,
        round: 78,
    });
    encoded.add(Message::AppendResponse {
        term: 4,
        outcome: AppendOutcome::Matched(131),
        round: 78,
    });
    encoded.add(Message::AppendResponse {
        term: 4,
        outcome: AppendOutcome::Conflict(12),
        round: 79,
    });
}

fn add_snapshots_and_reads(encoded: &mut Encoded) {
    encoded.add(Message::InstallSnapshot {
        term: 4,
        chunk: SnapshotChunk {
            metadata: SnapshotMetadata {
                index: 130,
                term: 3,
                membership: members(),
            },
            offset: 262_144,
            data: vec![9; 5],
            is_last: true,
        },
    });
    encoded.add(Message::SnapshotResponse {
        term: 4,
        index: 130,
        next_offset: Some(262_149),
    });
    encoded.add(Message::SnapshotResponse {
        term: 4,
        index: 130,
        next_offset: None,
    });
    encoded.add(Message::ReadIndex { read_id: 5_000 });
    encoded.add(Message::ReadIndexResponse {
        read_id: 5_000,
        index: Some(131),
    });
    encoded.add(Message::ReadIndexResponse {
        read_id: 5_001,
        index: None,
    });
}

fn add_stored_values(encoded: &mut Encoded) {
    entries().into_iter().for_each(|entry| encoded.add(entry));
    encoded.add(HardState {
        term: 4,
        vote: Some(300),
    });
    encoded.add(HardState::default());
    encoded.add(SnapshotMetadata::default());
    encoded.add(SnapshotMetadata {
        index: 130,
        term: 3,
        membership: members(),
    });
}

fn add_membership(encoded: &mut Encoded) {
    encoded.add(members());
    encoded.add(MembershipChange::AddLearner(902));
    encoded.add(MembershipChange::PromoteLearner(7));
    encoded.add(MembershipChange::Remove(2));
    for rejected in [
        ProposalError::NotLeader,
        ProposalError::ChangeInProgress,
        ProposalError::IdAlreadyUsed,
        ProposalError::UnknownMember,
        ProposalError::LearnerBehind,
        ProposalError::LastVoter,
        ProposalError::Busy,
    ] {
        encoded.add(rejected);
    }
}

#[test]
fn values_are_encoded_as_in_the_fixture() {
    let mut encoded = Encoded::default();
    add_elections(&mut encoded);
    add_replication(&mut encoded);
    add_snapshots_and_reads(&mut encoded);
    add_stored_values(&mut encoded);
    add_membership(&mut encoded);
    assert_eq!(encoded.0, FIXTURE);
}
