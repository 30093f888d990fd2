//! Tests that a leader counts only answers to the heartbeat rounds of its own term.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use violetgate_raft::{
    Action, AppendOutcome, Config, Membership, Message, RaftNode, Restored, SnapshotMetadata,
};

/// The id of the read that the test begins.
const READ: u64 = 7;
/// A round of an earlier term, which had more rounds than this one has yet.
const EARLIER_ROUND: u64 = 100;

/// Performs the node's actions and returns the messages that it sends and the reads that it serves.
fn perform(node: &mut RaftNode) -> (Vec<Message>, Vec<u64>) {
    let (mut messages, mut reads) = (Vec::new(), Vec::new());
    loop {
        let actions = node.take_actions();
        if actions.is_empty() {
            return (messages, reads);
        }
        for action in actions {
            match action {
                Action::Persist(write) => node.persisted(write.sequence),
                Action::Send { message, .. } => messages.push(message),
                Action::ReadReady { read_id, .. } => reads.push(read_id),
                _ => {}
            }
        }
    }
}

/// Returns the round of the latest message to followers.
fn latest_round(messages: &[Message]) -> u64 {
    let rounds = messages.iter().filter_map(|message| match message {
        Message::AppendEntries { round, .. } => Some(*round),
        _ => None,
    });
    rounds.max().unwrap()
}

/// Makes node 1 of three the leader of term 1, and commits its first entry by an answer of node 2.
fn elected_leader() -> RaftNode {
    let restored = Restored {
        snapshot: SnapshotMetadata {
            membership: Membership::bootstrap([1, 2, 3]),
            ..SnapshotMetadata::default()
        },
        ..Restored::default()
    };
    let mut node = RaftNode::new(1, Config::default(), 7, restored, 0);
    node.tick(node.next_tick());
    perform(&mut node);
    let (term, granted) = (1, true);
    node.step(2, Message::PreVoteResponse { term, granted });
    perform(&mut node);
    node.step(2, Message::VoteResponse { term, granted });
    let (messages, _) = perform(&mut node);
    let answer = Message::AppendResponse {
        term,
        outcome: AppendOutcome::Matched(1),
        round: latest_round(&messages),
    };
    node.step(2, answer);
    perform(&mut node);
    assert_eq!(node.commit(), 1);
    node
}

/// Guards against a linearizable read that is confirmed by a peer's answer to a delayed heartbeat of
/// an earlier term: it has the current term, as the peer has adopted it, and the earlier round.
#[test]
fn an_answer_to_a_round_of_an_earlier_term_confirms_no_read() {
    let mut node = elected_leader();
    let answer = |round| Message::AppendResponse {
        term: 1,
        outcome: AppendOutcome::Conflict(0),
        round,
    };
    node.step(2, answer(EARLIER_ROUND));
    perform(&mut node);
    node.read_index(READ);
    let (messages, reads) = perform(&mut node);
    assert!(reads.is_empty(), "served without an answer to its round");
    node.step(2, answer(latest_round(&messages)));
    assert_eq!(perform(&mut node).1, [READ]);
}
