//! Compares each frame between replicas with the encoding of an earlier release, in both
//! directions. During an upgrade, replicas of both releases exchange messages.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_raft::{
    AppendOutcome, Entry, LogPosition, Membership, MembershipChange, Message, Payload,
    ProposalError, SnapshotChunk, SnapshotMetadata,
};
use violetgate_replica::Response;
use violetgate_replicated_state::{CommandError, Condition, Mutation, Operation, Outcome, Txn};

use violetgate_state_distribution::{Laggard, ProgressSummary};

use crate::wire::*;

/// The stored frames, one per line: the name that is used here, then the bytes of the whole frame
/// in hexadecimal.
const FIXTURES: &str = include_str!("../../../tests/fixtures/frames.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The fixtures that are not compared yet, and the encoded frames that differ from theirs.
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
        let encoded = hex(&encode_frame(message).unwrap());
        let stored = self.stored.remove(name).unwrap_or_default();
        if encoded != stored {
            self.differing.push(format!("{name} {encoded}"));
            return;
        }
        let bytes = unhex(stored);
        let decoded = decode_frame::<T>(&bytes, MAX_FRAME_BYTES).unwrap().unwrap();
        assert_eq!(decoded.frame_bytes, bytes.len(), "{name}");
        assert_eq!(&decoded.message, message, "{name}");
        assert_eq!(
            hex(&encode_frame(&decoded.message).unwrap()),
            stored,
            "{name}"
        );
    }

    fn compare_all<T>(&mut self, group: &str, messages: impl IntoIterator<Item = T>)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        for (number, message) in messages.into_iter().enumerate() {
            self.compare(&format!("{group}_{number}"), &message);
        }
    }

    fn finish(self) {
        let found = self.differing.join("\n");
        assert!(
            found.is_empty(),
            "frames differ from the fixtures:\n{found}"
        );
        assert!(
            self.stored.is_empty(),
            "fixtures not compared: {:?}",
            self.stored
        );
    }
}

fn members() -> Membership {
    Membership {
        voters: [1, 2, 300].into(),
        learners: [4].into(),
        highest_id: 300,
    }
}

fn votes() -> Vec<Message> {
    vec![
        Message::RequestPreVote {
            term: 200,
            last_log: LogPosition {
                term: 199,
                index: 7,
            },
        },
        Message::PreVoteResponse {
            term: 200,
            granted: true,
        },
        Message::RequestVote {
            term: 200,
            last_log: LogPosition {
                term: 199,
                index: 7,
            },
            leadership_transfer: true,
        },
        Message::VoteResponse {
            term: 200,
            granted: false,
        },
        Message::TimeoutNow { term: 200 },
    ]
}

fn replication() -> Vec<Message> {
    let payloads = [
        Payload::Blank,
        Payload::Command(vec![5, 6, 255]),
        Payload::Membership(members()),
    ];
    let entries = (9..).zip(payloads).map(|(index, payload)| Entry {
        term: 3,
        index,
        payload,
    });
    let response = |outcome| Message::AppendResponse {
        term: 3,
        outcome,
        round: 400,
    };
    vec![
        Message::AppendEntries {
            term: 3,
            previous: LogPosition { term: 2, index: 8 },
            entries: entries.collect(),
            commit: 7,
            round: 400,
        },
        response(AppendOutcome::Matched(11)),
        response(AppendOutcome::Conflict(4)),
        Message::ReadIndex { read_id: 1_000 },
        Message::ReadIndexResponse {
            read_id: 1_000,
            index: Some(11),
        },
        Message::ReadIndexResponse {
            read_id: 1_000,
            index: None,
        },
    ]
}

fn snapshots() -> Vec<Message> {
    let metadata = SnapshotMetadata {
        index: 500,
        term: 3,
        membership: members(),
    };
    vec![
        Message::InstallSnapshot {
            term: 3,
            chunk: SnapshotChunk {
                metadata,
                offset: 262_144,
                data: vec![1, 2, 3],
                is_last: true,
            },
        },
        Message::SnapshotResponse {
            term: 3,
            index: 500,
            next_offset: Some(262_147),
        },
        Message::SnapshotResponse {
            term: 3,
            index: 500,
            next_offset: None,
        },
    ]
}

fn operations() -> Vec<Operation> {
    let txn = Txn {
        conditions: vec![
            Condition::RevisionIs("k".to_owned(), 300),
            Condition::ValueIs("l".to_owned(), vec![1]),
        ],
        then: vec![
            Mutation::Put {
                key: "k".to_owned(),
                value: vec![2, 255],
                lease: Some(7),
            },
            Mutation::Put {
                key: "l".to_owned(),
                value: Vec::new(),
                lease: None,
            },
        ],
        otherwise: vec![Mutation::Delete("k".to_owned())],
    };
    vec![
        Operation::Txn(txn),
        Operation::GrantLease {
            id: 7,
            ttl: 5_000_000,
        },
        Operation::RevokeLease(7),
        Operation::ExpireLease {
            id: 7,
            expires_at: 9_000_000,
        },
        Operation::Compact(300),
    ]
}

fn calls() -> Vec<Call> {
    let propose = |command| Call::Propose {
        request_id: "r-1".to_owned(),
        actor: "operator".to_owned(),
        operation: command,
    };
    let mut calls: Vec<Call> = operations().into_iter().map(propose).collect();
    calls.extend([
        Call::ChangeMembership(MembershipChange::AddLearner(300)),
        Call::ChangeMembership(MembershipChange::PromoteLearner(4)),
        Call::ChangeMembership(MembershipChange::Remove(5)),
        Call::TransferLeadership(2),
    ]);
    calls
}

fn answers() -> Vec<Response> {
    let command_errors = [
        CommandError::TooLarge,
        CommandError::StoreFull,
        CommandError::UnknownLease(7),
        CommandError::FutureRevision,
    ];
    let proposal_errors = [
        ProposalError::NotLeader,
        ProposalError::ChangeInProgress,
        ProposalError::IdAlreadyUsed,
        ProposalError::UnknownMember,
        ProposalError::LearnerBehind,
        ProposalError::LastVoter,
        ProposalError::Busy,
    ];
    let applied = Outcome::Applied {
        revision: 300,
        conditions_held: true,
    };
    let mut answers = vec![
        Response::Applied(applied),
        Response::MembershipChanged,
        Response::ReadReady,
        Response::NotLeader(None),
        Response::NotLeader(Some(300)),
        Response::OutcomeUnknown,
    ];
    answers.extend(command_errors.map(|error| Response::Applied(Outcome::Rejected(error))));
    answers.extend(proposal_errors.map(Response::Rejected));
    answers
}

fn welcomes() -> [Welcome; 2] {
    let welcome = Welcome {
        rejected: None,
        disk_id: 1 << 60,
    };
    let rejected = Some("this is no member".to_owned());
    [
        welcome.clone(),
        Welcome {
            rejected,
            ..welcome
        },
    ]
}

#[test]
fn frames_are_encoded_and_decoded_as_by_an_earlier_release() {
    let mut comparison = Comparison::new();
    comparison.compare("hello", &Hello::new("lahore", 300, 2, 1 << 60));
    comparison.compare_all("welcome", welcomes());
    comparison.compare_all("vote", votes().into_iter().map(PeerMessage::Raft));
    comparison.compare_all(
        "replication",
        replication().into_iter().map(PeerMessage::Raft),
    );
    comparison.compare_all("snapshot", snapshots().into_iter().map(PeerMessage::Raft));
    let forward = |call| PeerMessage::ForwardCall { id: 1_000, call };
    comparison.compare_all("call", calls().into_iter().map(forward));
    let answer_message = |answer| PeerMessage::CallAnswer { id: 1_000, answer };
    comparison.compare_all("answer", answers().into_iter().map(answer_message));
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
    comparison.compare("progress", &PeerMessage::Progress(summary));
    comparison.finish();
}
