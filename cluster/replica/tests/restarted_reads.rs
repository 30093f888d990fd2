//! Tests that a restarted replica isn't answered by what its earlier process has asked.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use violetgate_raft::{LogPosition, Membership, Message, SnapshotMetadata};
use violetgate_replica::{Effect, InitialState, Replica, ReplicaConfig, Response};

const LEADER: u64 = 2;
const CALL: u64 = 1;

/// Starts replica 1 of three, with a leader that it has just heard of. Returns it with the id of its
/// read on behalf of the call `CALL`, as sent to the leader.
fn start_reading(seed: u64) -> (Replica, u64) {
    let initial = InitialState {
        snapshot: SnapshotMetadata {
            membership: Membership::bootstrap([1, 2, 3]),
            ..SnapshotMetadata::default()
        },
        ..InitialState::default()
    };
    let mut replica = Replica::new(1, ReplicaConfig::default(), seed, initial, 0).unwrap();
    let heartbeat = Message::AppendEntries {
        term: 1,
        previous: LogPosition { term: 0, index: 0 },
        entries: Vec::new(),
        commit: 0,
        round: 1,
    };
    replica.step(LEADER, heartbeat);
    take_effects(&mut replica);
    replica.read(CALL);
    let effects = take_effects(&mut replica);
    let read = effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::ReadIndex { read_id },
            ..
        } => Some(*read_id),
        _ => None,
    });
    (replica, read.unwrap())
}

fn take_effects(replica: &mut Replica) -> Vec<Effect> {
    let effects = replica.take_effects();
    for effect in &effects {
        if let Effect::Persist(write) = effect {
            replica.persisted(write.sequence);
        }
    }
    effects
}

/// Delivers the leader's answer to a read, and returns whether the call `CALL` is answered.
fn is_answered_by(replica: &mut Replica, read_id: u64) -> bool {
    let index = Some(0);
    replica.step(LEADER, Message::ReadIndexResponse { read_id, index });
    let response = Response::ReadReady;
    take_effects(replica).contains(&Effect::Respond {
        call: CALL,
        response,
    })
}

/// Guards against a read that is completed by the leader's answer to a read of the process before,
/// whose index is older: it would miss changes that were acknowledged in between.
#[test]
fn an_answer_to_a_read_of_the_process_before_completes_none() {
    let (_, earlier_read) = start_reading(0x5eed);
    let (mut restarted, read) = start_reading(0xf00d);
    assert!(!is_answered_by(&mut restarted, earlier_read));
    assert!(is_answered_by(&mut restarted, read));
}
