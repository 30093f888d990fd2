//! Tests a leader that is partitioned from the other replicas.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod replica_group;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use replica_group::{put_operation, ReplicaGroup, WAIT};
use violetgate_raft::Role;
use violetgate_replica::Response;
use violetgate_replica_runtime::CallOutcome;

/// A partitioned leader must not route once its state is older than the drain limit, and must not
/// complete a linearizable read or commit a command. It must take part again when the partition
/// ends.
#[test]
fn a_partitioned_leader_does_not_route() {
    let mut group = ReplicaGroup::new("cut", 1..=3);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        group.put("a", "1").await;
        let leader = group.leader().await;
        leader.transport().block_peers(&[1, 2, 3]);
        let others: Vec<_> = group
            .members
            .values()
            .filter(|replica| !Rc::ptr_eq(replica, &leader))
            .cloned()
            .collect();
        let deadline = Instant::now() + WAIT;
        while leader.may_route().is_ok() {
            assert!(
                Instant::now() < deadline,
                "the partitioned leader still routes"
            );
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(!leader.wait_until_current(Duration::from_millis(300)).await);
        let operation = put_operation("a", b"2");
        let outcome = leader
            .propose(None, "test", operation, Duration::from_millis(300))
            .await;
        assert!(
            !matches!(outcome, CallOutcome::Completed(Response::Applied(_))),
            "{outcome:?}"
        );
        while !others
            .iter()
            .any(|replica| replica.status().role == Role::Leader)
        {
            assert!(Instant::now() < deadline, "no other replica became leader");
            Timer::after(Duration::from_millis(10)).await;
        }
        group.put("a", "3").await;
        leader.transport().block_peers(&[]);
        group.assert_all_hold("a", "3").await;
        // The old leader's replica confirms its state every 250 ms without a call.
        while leader.may_route().is_err() {
            assert!(
                Instant::now() < deadline,
                "the old leader does not route again"
            );
            Timer::after(Duration::from_millis(10)).await;
        }
    }));
}
