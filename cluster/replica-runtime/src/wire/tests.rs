//! The form of frames and greetings.

mod fixtures;

use super::*;
use violetgate_raft::{Entry, LogPosition, Message, Payload};
use violetgate_replica::Response;
use violetgate_state_distribution::ProgressSummary;

/// A frame is the same wherever it is cut; what is no frame is told apart from one that is not
/// whole.
#[test]
fn frames_are_decoded_however_they_are_cut() {
    let entries = vec![Entry {
        term: 3,
        index: 9,
        payload: Payload::Command(vec![5; 40]),
    }];
    let message = PeerMessage::Raft(Message::AppendEntries {
        term: 3,
        previous: LogPosition { term: 2, index: 8 },
        entries,
        commit: 7,
        round: 11,
    });
    let next = PeerMessage::CallAnswer {
        id: 4,
        answer: Response::MembershipChanged,
    };
    let mut bytes = Vec::new();
    bytes.extend(encode_frame(&message).unwrap());
    bytes.extend(encode_frame(&next).unwrap());
    for cut in 0..bytes.len() {
        let read = decode_frame::<PeerMessage>(&bytes[..cut], MAX_FRAME_BYTES).unwrap();
        assert!(read.is_none_or(|read| read.message == message && read.frame_bytes <= cut));
    }
    let first = decode_frame::<PeerMessage>(&bytes, MAX_FRAME_BYTES)
        .unwrap()
        .unwrap();
    let rest = &bytes[first.frame_bytes..];
    assert_eq!(
        decode_frame::<PeerMessage>(rest, MAX_FRAME_BYTES)
            .unwrap()
            .unwrap()
            .message,
        next
    );
    assert!(decode_frame::<PeerMessage>(&bytes, 10).is_err());
    for at in 4..12 {
        let mut bent = bytes.clone();
        bent[at] ^= 0x55;
        let _ = decode_frame::<PeerMessage>(&bent, MAX_FRAME_BYTES);
    }
}

/// Frames keep their numbers, so that members of another age read those that they know.
#[test]
fn frame_variants_keep_their_numbers() {
    let progress = ProgressSummary {
        revision: 7,
        serving: 2,
        ..ProgressSummary::default()
    };
    let frames = [
        PeerMessage::Raft(Message::AppendEntries {
            term: 1,
            previous: LogPosition { term: 0, index: 0 },
            entries: Vec::new(),
            commit: 0,
            round: 0,
        }),
        PeerMessage::ForwardCall {
            id: 1,
            call: Call::TransferLeadership(2),
        },
        PeerMessage::CallAnswer {
            id: 1,
            answer: Response::MembershipChanged,
        },
        PeerMessage::Progress(progress),
    ];
    for (number, message) in frames.iter().enumerate() {
        let bytes = encode_frame(message).unwrap();
        assert_eq!(usize::from(bytes[FRAME_HEADER_BYTES]), number);
        assert_eq!(
            &decode_frame::<PeerMessage>(&bytes, MAX_FRAME_BYTES)
                .unwrap()
                .unwrap()
                .message,
            message
        );
    }
}

/// Who is turned away, and why.
#[test]
fn greetings_of_others_are_rejected_with_their_reason() {
    let hello = Hello::new("c", 2, 1, 5);
    assert_eq!(hello.check("c", 1, Some(5)), Ok(()));
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
        (
            Hello {
                disk_id: 6,
                ..hello
            },
            "another disk",
        ),
    ] {
        assert!(hello
            .check("c", 1, Some(5))
            .unwrap_err()
            .to_string()
            .contains(says));
    }
}
