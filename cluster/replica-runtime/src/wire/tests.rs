//! The form of frames and greetings.

mod fixtures;

use super::*;
use violetgate_raft::{Entry, LogPosition, Payload};

/// A frame is the same wherever it is cut; what is no frame is told apart from one that is not whole.
#[test]
fn frames_come_in_any_pieces() {
    let entries = vec![Entry {
        term: 3,
        index: 9,
        payload: Payload::Command(vec![5; 40]),
    }];
    let message = Frame::Raft(Message::AppendEntries {
        term: 3,
        previous: LogPosition { term: 2, index: 8 },
        entries,
        commit: 7,
        round: 11,
    });
    let next = Frame::CallAnswer {
        id: 4,
        answer: Response::MembershipChanged,
    };
    let mut bytes = Vec::new();
    assert!(put(&mut bytes, &message) && put(&mut bytes, &next));
    for cut in 0..bytes.len() {
        let read = take::<Frame>(&bytes[..cut], LONGEST).unwrap();
        assert!(read.is_none_or(|(m, size)| m == message && size <= cut));
    }
    let (_, size) = take::<Frame>(&bytes, LONGEST).unwrap().unwrap();
    assert_eq!(
        take::<Frame>(&bytes[size..], LONGEST).unwrap().unwrap().0,
        next
    );
    assert!(take::<Frame>(&bytes, 10).is_err());
    for at in 4..12 {
        let mut bent = bytes.clone();
        bent[at] ^= 0x55;
        let _ = take::<Frame>(&bent, LONGEST);
    }
}

/// Frames keep their numbers, so that members of another age read those that they know.
#[test]
fn frames_keep_their_numbers() {
    let progress = ProgressSummary {
        revision: 7,
        serving: 2,
        ..ProgressSummary::default()
    };
    let frames = [
        Frame::Raft(Message::AppendEntries {
            term: 1,
            previous: LogPosition { term: 0, index: 0 },
            entries: Vec::new(),
            commit: 0,
            round: 0,
        }),
        Frame::ForwardCall {
            id: 1,
            call: Call::TransferLeadership(2),
        },
        Frame::CallAnswer {
            id: 1,
            answer: Response::MembershipChanged,
        },
        Frame::Progress(progress),
    ];
    for (number, message) in frames.iter().enumerate() {
        let bytes = frame(message).unwrap();
        assert_eq!(usize::from(bytes[HEAD]), number);
        assert_eq!(&take::<Frame>(&bytes, LONGEST).unwrap().unwrap().0, message);
    }
}

/// Who is turned away, and why.
#[test]
fn strangers_are_turned_away() {
    let hello = Hello::new("c", 2, 1, 5);
    assert_eq!(hello.refused("c", 1, Some(5)), None);
    for (hello, says) in [
        (
            Hello {
                magic: *b"GET ",
                ..hello.clone()
            },
            "no member",
        ),
        (
            Hello {
                version: 9,
                ..hello.clone()
            },
            "version 9",
        ),
        (
            Hello {
                cluster: "d".to_owned(),
                ..hello.clone()
            },
            "cluster \"d\"",
        ),
        (
            Hello {
                to: 3,
                ..hello.clone()
            },
            "looks for member 3",
        ),
        (
            Hello {
                from: 1,
                ..hello.clone()
            },
            "this member's id",
        ),
        (Hello { born: 6, ..hello }, "another disk"),
    ] {
        assert!(hello.refused("c", 1, Some(5)).unwrap().contains(says));
    }
}
