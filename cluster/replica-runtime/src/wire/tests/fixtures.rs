//! Each frame between members as an earlier release encodes it. Both directions are compared: an instance of that
//! release and a new one work together during an upgrade.

use std::collections::BTreeMap;
use std::fmt::Debug;

use violetgate_raft::{Entry, Members, Message, Meta, Payload, Rejected};
use violetgate_replicated_state::{Check, Op, Outcome, Refused, Txn};

use violetgate_state_distribution::Laggard;

use crate::wire::*;

/// One frame a line: its name here, and its bytes in hexadecimal, with the length before them.
const FIXTURES: &str = include_str!("../../../tests/fixtures/frames.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The fixtures, and the frames that were compared with theirs.
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
        let encoded = hex(&frame(message).unwrap());
        let stored = self.stored.remove(name).unwrap_or_default();
        if encoded != stored {
            self.differing.push(format!("{name} {encoded}"));
            return;
        }
        let bytes = unhex(stored);
        let (decoded, size) = take::<T>(&bytes, LONGEST).unwrap().unwrap();
        assert_eq!(size, bytes.len(), "{name}");
        assert_eq!(&decoded, message, "{name}");
        assert_eq!(hex(&frame(&decoded).unwrap()), stored, "{name}");
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
        assert!(found.is_empty(), "differ from the stored ones:\n{found}");
        assert!(self.stored.is_empty(), "not compared: {:?}", self.stored);
    }
}

fn members() -> Members {
    Members {
        voters: [1, 2, 300].into(),
        learners: [4].into(),
        highest: 300,
    }
}

fn votes() -> Vec<Message> {
    vec![
        Message::PreVote {
            term: 200,
            last: (199, 7),
        },
        Message::PreVoteReply {
            term: 200,
            granted: true,
        },
        Message::Vote {
            term: 200,
            last: (199, 7),
            transfer: true,
        },
        Message::VoteReply {
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
        Payload::Members(members()),
    ];
    let entries = (9..).zip(payloads).map(|(index, payload)| Entry {
        term: 3,
        index,
        payload,
    });
    let reply = |matched| Message::AppendReply {
        term: 3,
        matched,
        round: 400,
    };
    vec![
        Message::Append {
            term: 3,
            prev: (2, 8),
            entries: entries.collect(),
            commit: 7,
            round: 400,
        },
        reply(Ok(11)),
        reply(Err(4)),
        Message::Read { ctx: 1_000 },
        Message::ReadReply {
            ctx: 1_000,
            index: Some(11),
        },
        Message::ReadReply {
            ctx: 1_000,
            index: None,
        },
    ]
}

fn snapshots() -> Vec<Message> {
    let meta = Meta {
        index: 500,
        term: 3,
        members: members(),
    };
    vec![
        Message::Snapshot {
            term: 3,
            meta,
            offset: 262_144,
            data: vec![1, 2, 3],
            done: true,
        },
        Message::SnapshotReply {
            term: 3,
            index: 500,
            next: Some(262_147),
        },
        Message::SnapshotReply {
            term: 3,
            index: 500,
            next: None,
        },
    ]
}

fn steps() -> Vec<Step> {
    let txn = Txn {
        checks: vec![
            Check::Changed("k".to_owned(), 300),
            Check::Holds("l".to_owned(), vec![1]),
        ],
        then: vec![
            Op::Put {
                key: "k".to_owned(),
                value: vec![2, 255],
                lease: Some(7),
            },
            Op::Put {
                key: "l".to_owned(),
                value: Vec::new(),
                lease: None,
            },
        ],
        otherwise: vec![Op::Delete("k".to_owned())],
    };
    vec![
        Step::Txn(txn),
        Step::Lease {
            id: 7,
            span: 5_000_000,
        },
        Step::Release(7),
        Step::Expire {
            id: 7,
            ends: 9_000_000,
        },
        Step::Compact(300),
    ]
}

fn calls() -> Vec<Call> {
    let propose = |step| Call::Propose {
        request: "r-1".to_owned(),
        who: "operator".to_owned(),
        step,
    };
    let mut calls: Vec<Call> = steps().into_iter().map(propose).collect();
    calls.extend([
        Call::ChangeMembership(Change::Add(300)),
        Call::ChangeMembership(Change::Promote(4)),
        Call::ChangeMembership(Change::Remove(5)),
        Call::TransferLeadership(2),
    ]);
    calls
}

fn answers() -> Vec<Answer> {
    let refused_outcomes = [
        Refused::TooLarge,
        Refused::Full,
        Refused::NoLease(7),
        Refused::Future,
    ];
    let rejected = [
        Rejected::NotLeader,
        Rejected::Pending,
        Rejected::IdUsed,
        Rejected::Unknown,
        Rejected::Behind,
        Rejected::LastVoter,
        Rejected::Busy,
    ];
    let done = Outcome::Done {
        revision: 300,
        held: true,
    };
    let mut answers = vec![
        Answer::Done(done),
        Answer::Changed,
        Answer::Current,
        Answer::NotLeader(None),
        Answer::NotLeader(Some(300)),
        Answer::Unsure,
    ];
    answers.extend(refused_outcomes.map(|why| Answer::Done(Outcome::Refused(why))));
    answers.extend(rejected.map(Answer::Rejected));
    answers
}

fn welcomes() -> [Welcome; 2] {
    let welcome = Welcome {
        rejected: None,
        born: 1 << 60,
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
    comparison.compare_all("vote", votes().into_iter().map(Frame::Raft));
    comparison.compare_all("replication", replication().into_iter().map(Frame::Raft));
    comparison.compare_all("snapshot", snapshots().into_iter().map(Frame::Raft));
    let ask = |call| Frame::ForwardCall { id: 1_000, call };
    comparison.compare_all("call", calls().into_iter().map(ask));
    let told = |answer| Frame::CallAnswer { id: 1_000, answer };
    comparison.compare_all("answer", answers().into_iter().map(told));
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
    comparison.compare("progress", &Frame::Progress(summary));
    comparison.finish();
}
