//! Tests commits by three replicas on loopback with real files, all on one thread, while one of
//! them stops and returns. Also tests calls that are made at any replica.
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
fn three_replicas_commit_and_one_returns() {
    let mut group = ReplicaGroup::new("agree", 1..=3);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        for n in 0..120 {
            group.put("limit", &n.to_string()).await;
        }
        group.assert_all_hold("limit", "119").await;
        // The leader stops, the others commit until they save a snapshot, and the old leader
        // returns with its folder.
        let stopped = group.leader().await.status().id;
        group.members.remove(&stopped);
        for n in 0..120 {
            group.put("limit", &format!("later-{n}")).await;
        }
        group.start(stopped);
        group.assert_all_hold("limit", "later-119").await;
        // A repeated request has the same outcome.
        let first = group.put("once", "x").await;
        assert_eq!(group.put("once", "x").await, first);
    }));
}

/// A call at any replica must be committed by the leader. The same call at another replica must
/// have the same outcome and must not be applied again.
#[test]
fn a_call_at_any_replica_is_committed_once() {
    let mut group = ReplicaGroup::new("commit-anywhere", 1..=3);
    group.start_first_three();
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
