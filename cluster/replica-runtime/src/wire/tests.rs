//! Tests of the encoding of frames, and of the checks of a hello.

mod fixtures;

use super::*;
use violetgate_raft::{Entry, LogPosition, Message, Payload};
use violetgate_replica::Response;
use violetgate_state_distribution::ProgressSummary;

/// An incomplete frame must not be taken for a malformed one, at whichever byte the input ends.
/// Corrupted bytes must not cause a panic.
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
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x55;
        let _ = decode_frame::<PeerMessage>(&corrupted, MAX_FRAME_BYTES);
    }
}

/// The message variants must keep their numbers, so that replicas of different releases can decode
/// the messages that both know.
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

/// A hello that does not match in one field must be rejected with the reason for that field.
#[test]
fn mismatched_hellos_are_rejected_with_a_reason() {
    let hello = Hello::new("c", 2, 1, 5);
    assert_eq!(hello.check("c", 1, Some(5)), Ok(()));
    for (hello, expected) in [
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
            .contains(expected));
    }
}

/// Guards against replicas of this version and the one before that reject each other in an upgrade:
/// a hello of the version before has no address, and that version ignores what follows its fields.
#[test]
fn hellos_of_the_version_before_are_read_and_it_reads_those_of_this_one() {
    type EarlierHello = ([u8; 4], u16, String, u64, u64, u64);
    let hello = Hello {
        listen: Some(([127, 0, 0, 1], 7480).into()),
        ..Hello::new("lahore", 300, 2, 1 << 60)
    };
    let frame = encode_frame(&hello).unwrap();
    let decoded = decode_frame::<Hello>(&frame, MAX_HELLO_BYTES);
    assert_eq!(decoded.unwrap().unwrap().message, hello);
    let earlier = decode_frame::<EarlierHello>(&frame, MAX_HELLO_BYTES);
    let earlier = earlier.unwrap().unwrap().message;
    assert_eq!((earlier.3, earlier.4, earlier.5), (300, 2, 1 << 60));
    let frame = encode_frame(&earlier).unwrap();
    let decoded = decode_frame::<Hello>(&frame, MAX_HELLO_BYTES);
    assert_eq!(
        decoded.unwrap().unwrap().message,
        Hello::new("lahore", 300, 2, 1 << 60)
    );
}
