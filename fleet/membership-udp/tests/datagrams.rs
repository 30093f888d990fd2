//! Datagrams that the previous release wrote are read, and written alike: a fleet is upgraded one gateway at a time.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use violetgate_membership::{Body, BucketSet, Claim, Message, State, ViewSums, Want, BUCKETS};
use violetgate_membership_udp::frame::{read, write};

const FLEET: &str = "lahore";

fn claim(name: &str, state: State, accuser: Option<&str>) -> Claim {
    Claim {
        name: name.into(),
        addr: "10.20.30.40:7946".parse().unwrap(),
        life: 1_700_000_000_123_456,
        turn: 3,
        state,
        by: accuser.map(Into::into),
    }
}

/// One of each message, as the stored datagrams hold them.
fn messages() -> Vec<(&'static str, Message)> {
    let target = "[2001:db8::7]:7946".parse().unwrap();
    let sums = ViewSums {
        known: 40,
        sums: (0..BUCKETS as u32).map(|bucket| bucket * 77_777).collect(),
    };
    let want = Want {
        buckets: [0, 7, 8, 100, BUCKETS - 1]
            .into_iter()
            .collect::<BucketSet>(),
        mutual: true,
    };
    let bodies = vec![
        ("ping", Body::Ping(300)),
        ("ack", Body::Ack(u64::MAX)),
        ("ping-for", Body::PingFor(9, "gateway-b".into(), target)),
        ("ack-for", Body::AckFor(9, "gateway-b".into())),
        ("tell", Body::Tell),
        ("compare", Body::Compare(0x0123_4567_89ab_cdef)),
        ("sums", Body::Sums(sums)),
        ("want", Body::Want(want)),
        ("piece", Body::Piece),
    ];
    let own = claim("gateway-a", State::Alive, None);
    let claims = vec![
        own.clone(),
        own,
        claim("gateway-b", State::Suspect, Some("gateway-c")),
        claim("gateway-c", State::Dead, None),
        claim("gateway-d", State::Left, None),
    ];
    let message = |(name, body)| {
        let claims = claims.clone();
        (name, Message { body, claims })
    };
    bodies.into_iter().map(message).collect()
}

#[test]
fn datagrams_of_the_previous_release_are_read_and_written_alike() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let lines: String = messages()
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&write(FLEET, message).unwrap())))
        .collect();
    let stored = include_str!("fixtures/datagrams.txt");
    assert_eq!(lines, stored, "\n{lines}");
    for ((_, message), line) in messages().iter().zip(stored.lines()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|at| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).unwrap())
            .collect();
        let heard = read(FLEET, &bytes).unwrap();
        assert_eq!(&heard, message, "{name}");
        assert!(heard.sender().is_ok(), "{name}");
        assert_eq!(write(FLEET, &heard).unwrap(), bytes, "{name}");
    }
}
