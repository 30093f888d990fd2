//! Three replicas on loopback with real files, in one thread: they commit, lose one, and take it
//! back; any of them has calls committed.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod replica_group;

use std::rc::Rc;

use replica_group::{put_operation, ReplicaGroup, WAIT};
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome};
use violetgate_replicated_state::Outcome;

#[test]
fn three_replicas_commit_lose_one_and_take_it_back() {
    let mut group = ReplicaGroup::new("agree", 1..=3);
    group.begin_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        for n in 0..120 {
            group.put("limit", &n.to_string()).await;
        }
        group.all_hold("limit", "119").await;
        // The leader stops; the others commit past a snapshot; it returns with its old folder.
        let stopped = group.leader().await.status().id;
        group.members.remove(&stopped);
        for n in 0..120 {
            group.put("limit", &format!("later-{n}")).await;
        }
        group.start(stopped);
        group.all_hold("limit", "later-119").await;
        // The same request again has the same outcome.
        let first = group.put("once", "x").await;
        assert_eq!(group.put("once", "x").await, first);
    }));
}

/// Any replica has a call committed, by whoever leads; made again, it has the outcome that it had.
#[test]
fn any_replica_has_a_call_committed_once() {
    let mut group = ReplicaGroup::new("commit-anywhere", 1..=3);
    group.begin_three();
    let executor = Rc::clone(&group.executor);
    let call = |n: u8| Call::Propose {
        request_id: format!("r-{n}"),
        actor: "test".to_owned(),
        operation: put_operation("k", &[n]),
    };
    async_io::block_on(executor.run(async {
        for n in 1..=3 {
            let id = u64::from(n);
            let first = group.members[&id].submit(call(n), WAIT).await;
            assert!(
                matches!(
                    first,
                    CallOutcome::Completed(Response::Applied(Outcome::Applied { .. }))
                ),
                "{first:?}"
            );
            assert_eq!(
                group.members[&(id % 3 + 1)].submit(call(n), WAIT).await,
                first
            );
        }
        assert!(group.members[&1].wait_until_current(WAIT).await);
        assert_eq!(group.members[&1].status().revision, 3);
    }));
}
