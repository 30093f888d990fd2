//! Tests replicas that reach each other at addresses which their own settings do not name.
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

use replica_group::{ReplicaGroup, WAIT};
use violetgate_raft::MembershipChange;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Adds a replica and makes it a voter.
async fn add_voter(group: &ReplicaGroup, id: u64) {
    let deadline = Instant::now() + WAIT;
    loop {
        let leader = group.leader().await;
        let members = leader.status().members;
        let change = if members.voters.contains(&id) {
            return;
        } else if members.contains(id) {
            MembershipChange::PromoteLearner(id)
        } else {
            MembershipChange::AddLearner(id)
        };
        assert!(Instant::now() < deadline, "{change:?} not done in {WAIT:?}");
        leader.change_membership(change, CALL_TIMEOUT).await;
    }
}

/// Guards against a replica that joins and can't answer the leader, as its settings name other
/// members than the leader.
#[test]
fn a_replica_joins_under_a_leader_that_it_does_not_name() {
    let mut group = ReplicaGroup::new("unnamed", 1..=4);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        let leader = group.leader().await.id();
        let other = (1..=3).find(|id| *id != leader).unwrap();
        group.named.insert(4, vec![other, 4]);
        group.create_and_start(4, Vec::new());
        add_voter(&group, 4).await;
        group.put("a", "1").await;
        group.assert_all_hold("a", "1").await;
    }));
}

/// Guards against a replica that moved and is never reached again, as the others have its former
/// address from the replicated state.
#[test]
fn a_replica_that_moved_is_reached_at_its_new_address() {
    let mut group = ReplicaGroup::new("moved", 1..=3);
    let recorded = group.options(3).members;
    (1..=2).for_each(|id| drop(group.named.insert(id, vec![1, 2])));
    group.start_first_three();
    for id in [1, 2] {
        let transport = group.members[&id].transport();
        transport.set_recorded_addresses(recorded.clone());
    }
    let executor = Rc::clone(&group.executor);
    async_io::block_on(executor.run(async {
        group.put("a", "1").await;
        group.members.remove(&3);
        group.move_replica(3);
        group.start(3);
        group.put("a", "2").await;
        group.assert_all_hold("a", "2").await;
    }));
}
