//! Tests anti-entropy in a simulated fleet: many members that join at once, with and without
//! message loss, and the compatibility of its messages with older builds.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use serde::{Deserialize, Serialize};
use violetgate_membership::{
    BucketRequest, BucketSet, BucketSums, MemberName, MemberState, MemberUpdate, MembershipConfig,
    Message, MessageBody, Micros, BUCKET_COUNT, MAX_NAME_BYTES,
};
use violetgate_simulator::{FaultPlan, Traffic, World, SECOND};

/// The time at which the joining members restart.
const JOIN_AT: Micros = 5 * SECOND;

/// The measured outcome of a join.
struct Join {
    /// The time from the join until all views were correct, in microseconds.
    settled_after: Micros,
    /// The maximum number of bytes that one member sent.
    max_bytes: u64,
}

/// Restarts `joining` members at once, which then know only the seeds; `existing` members are up
/// already.
fn join_at_once(existing: usize, joining: usize, loss: f64, seed: u64) -> Join {
    let config = MembershipConfig::default();
    let faults = FaultPlan {
        loss,
        jitter: 2_000,
        ..FaultPlan::default()
    };
    let mut world = World::settled_fleet(existing + joining, seed, &config, faults);
    world.records_changes = false;
    world.run(JOIN_AT).unwrap();
    world.traffic.fill(Traffic::default());
    for member in existing..existing + joining {
        world.restart(member, &config, 1_000 + JOIN_AT);
    }
    let checks = (1..=60).map(|step| JOIN_AT + step * SECOND / 2);
    let settled_at = checks.into_iter().find(|at| {
        world.run(*at).unwrap();
        world.is_settled()
    });
    Join {
        settled_after: settled_at.unwrap() - JOIN_AT,
        max_bytes: world.traffic.iter().map(|sent| sent.bytes).max().unwrap(),
    }
}

/// Anti-entropy has to stay within its budget, so that the members that the joining ones ask are
/// not overloaded.
#[test]
fn join_of_300_at_once_settles_within_the_budget() {
    let join = join_at_once(50, 300, 0.0, 1);
    let settled_after = join.settled_after;
    assert!(settled_after <= 15 * SECOND, "{settled_after} us");
    let budget = MembershipConfig::default().anti_entropy_bytes_per_s;
    let gossip = 30 * 1_400 * settled_after / SECOND;
    assert!(
        join.max_bytes <= budget * (4 + settled_after / SECOND) + gossip,
        "{} bytes in {settled_after} us",
        join.max_bytes
    );
}

#[test]
fn join_of_100_at_once_settles_under_loss() {
    let join = join_at_once(50, 100, 0.1, 2);
    assert!(
        join.settled_after <= 30 * SECOND,
        "{} us",
        join.settled_after
    );
}

/// The message bodies of builds that don't yet send checksums per bucket of members, as those
/// builds decode them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderBody {
    Ping(u64),
    Ack(u64),
    IndirectPing(u64, String, std::net::SocketAddr),
    IndirectAck(u64, String),
    Gossip,
    ViewDigest(u64),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OlderMessage {
    body: OlderBody,
    updates: Vec<MemberUpdate>,
}

fn longest_update() -> MemberUpdate {
    let name: MemberName = "n".repeat(MAX_NAME_BYTES).as_str().into();
    MemberUpdate {
        name,
        addr: "[2001:db8::ffff:ffff]:65535".parse().unwrap(),
        incarnation: u64::MAX,
        refutations: u32::MAX,
        state: MemberState::Alive,
        accuser: None,
    }
}

#[test]
fn older_builds_read_the_messages_that_they_know() {
    let updates = vec![longest_update(), longest_update()];
    let ack_for = MessageBody::IndirectAck {
        sequence: 7,
        target: "a".into(),
    };
    let digest = u64::MAX;
    for (body, older) in [
        (MessageBody::Ping { sequence: 7 }, OlderBody::Ping(7)),
        (MessageBody::Ack { sequence: 7 }, OlderBody::Ack(7)),
        (ack_for, OlderBody::IndirectAck(7, "a".into())),
        (MessageBody::Gossip, OlderBody::Gossip),
        (
            MessageBody::ViewDigest { digest },
            OlderBody::ViewDigest(digest),
        ),
    ] {
        let message = Message {
            body,
            updates: updates.clone(),
        };
        let bytes = postcard::to_stdvec(&message).unwrap();
        let read: OlderMessage = postcard::from_bytes(&bytes).unwrap();
        let expected = OlderMessage {
            body: older,
            updates: updates.clone(),
        };
        assert_eq!(read, expected);
        assert_eq!(
            postcard::from_bytes::<Message>(&bytes).unwrap().body,
            message.body
        );
    }
}

/// An older build must not decode an unknown message as a different one. Each message also has to
/// fit in one packet.
#[test]
fn older_builds_reject_the_messages_that_they_do_not_know() {
    let sums = BucketSums {
        known_members: 7_600,
        sums: vec![u32::MAX; BUCKET_COUNT],
    };
    let request = BucketRequest {
        buckets: (0..BUCKET_COUNT).collect::<BucketSet>(),
        mutual: true,
    };
    for body in [
        MessageBody::BucketSums(sums),
        MessageBody::BucketRequest(request),
        MessageBody::BucketTransfer,
    ] {
        let message = Message {
            body,
            updates: vec![longest_update()],
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
