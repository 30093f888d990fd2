//! Tests replicas that join, and replicas that return without their folder.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod replica_group;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use replica_group::{ReplicaGroup, WAIT};
use violetgate_raft::MembershipChange;
use violetgate_replica::Response;
use violetgate_replica_runtime::{Bootstrap, CallOutcome, ReplicaRuntime};

/// A replica must be able to join as a learner and become a voter. A removed id must not be added
/// again. A replica whose identity file is lost must not start, and its folder must not be
/// initialized again.
#[test]
fn a_replica_joins_and_one_without_its_folder_does_not_return() {
    let mut group = ReplicaGroup::new("join", 1..=4);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        group.put("a", "1").await;
        group.create_and_start(4, Vec::new());
        let limit = Duration::from_secs(2);
        for (change, voter_count) in [
            (MembershipChange::AddLearner(4), 3),
            (MembershipChange::PromoteLearner(4), 4),
            (MembershipChange::Remove(2), 3),
        ] {
            let deadline = Instant::now() + WAIT;
            while group.leader().await.status().members.voters.len() != voter_count
                || !group.leader().await.status().members.contains(4)
            {
                assert!(Instant::now() < deadline, "{change:?} not done in {WAIT:?}");
                group.leader().await.change_membership(change, limit).await;
            }
        }
        let leader = group.leader().await;
        let rejoined = leader
            .change_membership(MembershipChange::AddLearner(2), limit)
            .await;
        assert!(
            matches!(rejoined, CallOutcome::Completed(Response::Rejected(_))),
            "{rejoined:?}"
        );
        group.members.remove(&2);
        group.put("a", "2").await;
        group.assert_all_hold("a", "2").await;
    }));
    group.members.remove(&3);
    group.run_pending_tasks();
    let folder = group.folder.join("3");
    std::fs::remove_file(folder.join("member")).unwrap();
    let rejected = ReplicaRuntime::start(&group.executor, &group.options(3))
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default();
    assert!(
        rejected.contains("this folder is no member's"),
        "{rejected}"
    );
    let initialized = ReplicaRuntime::initialize(
        "test",
        3,
        &folder,
        1,
        Bootstrap {
            initial_members: vec![],
            initial_state: vec![],
        },
    );
    assert!(initialized
        .unwrap_err()
        .to_string()
        .contains("a member's already"));
}

/// A replica that returns with a new folder must not exchange messages with the others: it has lost
/// its vote, and could vote twice in a term.
#[test]
fn a_replica_with_another_disk_is_rejected() {
    let mut group = ReplicaGroup::new("another-disk", 1..=3);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        group.put("k", "1").await;
        group.assert_all_hold("k", "1").await;
    }));
    // Replica 3 loses its folder, and a new one is created under the same id.
    group.members.remove(&3);
    group.run_pending_tasks();
    std::fs::remove_dir_all(group.folder.join("3")).unwrap();
    let disks: BTreeMap<_, _> = (1..=3).map(|id| (id, 100 + id)).collect();
    group
        .members
        .values()
        .for_each(|replica| replica.transport().set_known_disks(disks.clone()));
    let bootstrap = Bootstrap {
        initial_members: vec![1, 2, 3],
        initial_state: vec![],
    };
    ReplicaRuntime::initialize("test", 3, &group.folder.join("3"), 7, bootstrap).unwrap();
    group.start(3);
    async_io::block_on(executor.run(async {
        assert!(
            !group.members[&3]
                .wait_until_current(Duration::from_secs(2))
                .await
        );
        let status = group.members[&3].status();
        assert_eq!((status.applied, status.term), (0, 0));
        assert!(
            group.members[&1].wait_until_current(WAIT).await,
            "replica 1 is not current without replica 3"
        );
    }));
}
