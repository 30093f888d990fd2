//! Checks that the wire format has not changed since the previous release. Gateways are upgraded
//! one at a time, so both releases exchange datagrams during an upgrade.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use violetgate_membership::{
    BucketRequest, BucketSet, BucketSums, MemberState, MemberUpdate, Message, MessageBody,
    BUCKET_COUNT,
};
use violetgate_membership_udp::datagram::{decode, encode};

const FLEET: &str = "lahore";

fn update(name: &str, state: MemberState, accuser: Option<&str>) -> MemberUpdate {
    MemberUpdate {
        name: name.into(),
        addr: "10.20.30.40:7946".parse().unwrap(),
        incarnation: 1_700_000_000_123_456,
        refutations: 3,
        state,
        accuser: accuser.map(Into::into),
    }
}

/// Returns one message of each kind, with its label in the fixture of stored datagrams.
fn messages() -> Vec<(&'static str, Message)> {
    let target = "[2001:db8::7]:7946".parse().unwrap();
    let sums = BucketSums {
        known_members: 40,
        sums: (0..BUCKET_COUNT as u32)
            .map(|bucket| bucket * 77_777)
            .collect(),
    };
    let request = BucketRequest {
        buckets: [0, 7, 8, 100, BUCKET_COUNT - 1]
            .into_iter()
            .collect::<BucketSet>(),
        mutual: true,
    };
    let bodies = vec![
        ("ping", MessageBody::Ping { sequence: 300 }),
        ("ack", MessageBody::Ack { sequence: u64::MAX }),
        (
            "ping-for",
            MessageBody::IndirectPing {
                sequence: 9,
                target: "gateway-b".into(),
                addr: target,
            },
        ),
        (
            "ack-for",
            MessageBody::IndirectAck {
                sequence: 9,
                target: "gateway-b".into(),
            },
        ),
        ("tell", MessageBody::Gossip),
        (
            "compare",
            MessageBody::ViewDigest {
                digest: 0x0123_4567_89ab_cdef,
            },
        ),
        ("sums", MessageBody::BucketSums(sums)),
        ("want", MessageBody::BucketRequest(request)),
        ("piece", MessageBody::BucketTransfer),
    ];
    let own = update("gateway-a", MemberState::Alive, None);
    let updates = vec![
        own.clone(),
        own,
        update("gateway-b", MemberState::Suspect, Some("gateway-c")),
        update("gateway-c", MemberState::Dead, None),
        update("gateway-d", MemberState::Left, None),
    ];
    let message = |(name, body)| {
        let updates = updates.clone();
        (name, Message { body, updates })
    };
    bodies.into_iter().map(message).collect()
}

#[test]
fn datagrams_of_the_previous_release_decode_and_encode_unchanged() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let lines: String = messages()
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&encode(FLEET, message).unwrap())))
        .collect();
    let stored = include_str!("fixtures/datagrams.txt");
    assert_eq!(lines, stored, "\n{lines}");
    for ((_, message), line) in messages().iter().zip(stored.lines()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|at| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).unwrap())
            .collect();
        let decoded = decode(FLEET, &bytes).unwrap();
        assert_eq!(&decoded, message, "{name}");
        assert!(decoded.validated_sender().is_ok(), "{name}");
        assert_eq!(encode(FLEET, &decoded).unwrap(), bytes, "{name}");
    }
}
