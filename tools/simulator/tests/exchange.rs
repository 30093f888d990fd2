//! The comparison of views in a fleet: a join of many at once, under loss too, and the form of messages on the wire.

#![allow(clippy::unwrap_used)]

use serde::{Deserialize, Serialize};
use violetgate_membership::{
    Body, BucketSet, Claim, MembershipConfig, Message, State, ViewSums, Want, BUCKETS, LONGEST_NAME,
};
use violetgate_simulator::{FaultPlan, World, S};

/// Some start anew at once, and know only the seeds; others are there already: when all views are right, and the most bytes that one sent.
fn join_at_once(there: usize, joining: usize, loss: f64, seed: u64) -> (u64, u64) {
    let config = MembershipConfig::default();
    let faults = FaultPlan {
        loss,
        jitter: 2_000,
        ..FaultPlan::default()
    };
    let mut world = World::settled_fleet(there + joining, seed, &config, faults);
    world.records = false;
    world.run(5 * S, |_| Ok(())).unwrap();
    world.sent.iter_mut().for_each(|sent| *sent = (0, 0));
    (there..there + joining).for_each(|i| world.restart(i, &config, 1_000 + 5 * S));
    let known = (1..=60).map(|k| 5 * S + k * S / 2).find(|at| {
        world.run(*at, |_| Ok(())).unwrap();
        world.settled()
    });
    (
        known.unwrap() - 5 * S,
        world.sent.iter().map(|sent| sent.0).max().unwrap(),
    )
}

/// 300 that join 50 at once know all within seconds, and none of those they ask is flooded.
#[test]
fn a_join_of_300_at_once() {
    let (known, busiest) = join_at_once(50, 300, 0.0, 1);
    assert!(known <= 15 * S, "{known} us");
    let budget = MembershipConfig::default().exchange_bytes_per_s;
    let news = 30 * 1_400 * known / S;
    assert!(
        busiest <= budget * (4 + known / S) + news,
        "{busiest} bytes in {known} us"
    );
}

/// The same where a tenth of all messages is lost.
#[test]
fn a_join_of_300_at_once_under_loss() {
    let (known, _) = join_at_once(50, 100, 0.1, 2);
    assert!(known <= 30 * S, "{known} us");
}

/// The messages of builds before sums by bucket, as they were.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderBody {
    Ping(u64),
    Ack(u64),
    PingFor(u64, String, std::net::SocketAddr),
    AckFor(u64, String),
    Tell,
    Compare(u64),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OlderMessage {
    body: OlderBody,
    claims: Vec<Claim>,
}

fn longest_claim() -> Claim {
    let name: violetgate_membership::Name = "n".repeat(LONGEST_NAME).as_str().into();
    let addr = "[2001:db8::ffff:ffff]:65535".parse().unwrap();
    Claim {
        name,
        addr,
        life: u64::MAX,
        turn: u32::MAX,
        state: State::Alive,
        by: None,
    }
}

/// Older builds read what they are sent, and can't take what is new for something else.
#[test]
fn older_builds_read_what_they_know() {
    let claims = vec![longest_claim(), longest_claim()];
    for (body, older) in [
        (Body::Ping(7), OlderBody::Ping(7)),
        (Body::Ack(7), OlderBody::Ack(7)),
        (
            Body::AckFor(7, "a".into()),
            OlderBody::AckFor(7, "a".into()),
        ),
        (Body::Tell, OlderBody::Tell),
        (Body::Compare(u64::MAX), OlderBody::Compare(u64::MAX)),
    ] {
        let bytes = postcard::to_stdvec(&Message {
            body: body.clone(),
            claims: claims.clone(),
        })
        .unwrap();
        let read: OlderMessage = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(
            read,
            OlderMessage {
                body: older,
                claims: claims.clone()
            }
        );
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap().body, body);
    }
    let sums = ViewSums {
        known: 7_600,
        sums: vec![u32::MAX; BUCKETS],
    };
    let want = Want {
        buckets: (0..BUCKETS).collect::<BucketSet>(),
        mutual: true,
    };
    for body in [Body::Sums(sums), Body::Want(want), Body::Piece] {
        let message = Message {
            body,
            claims: vec![longest_claim()],
        };
        let bytes = postcard::to_stdvec(&message).unwrap();
        assert!(
            bytes.len() <= 1_400,
            "{} bytes: more than one packet",
            bytes.len()
        );
        assert!(postcard::from_bytes::<OlderMessage>(&bytes).is_err());
        assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(message));
    }
}
