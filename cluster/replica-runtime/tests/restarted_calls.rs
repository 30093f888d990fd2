//! Tests that calls of a restarted replica get their own answers.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod replica_group;

use std::rc::Rc;
use std::time::Instant;

use async_executor::Task;
use replica_group::{put_operation, ReplicaGroup, WAIT};
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome, ReplicaRuntime};
use violetgate_replicated_state::{Condition, Mutation, Operation, Outcome, Txn};

/// The number of calls that are under way when the replica is restarted, and of those after it.
const CALLS: usize = 8;

fn submit(
    group: &ReplicaGroup,
    at: &Rc<ReplicaRuntime>,
    request_id: String,
    operation: Operation,
) -> Task<CallOutcome> {
    let replica = Rc::clone(at);
    let call = Call::Propose {
        request_id,
        actor: "test".to_owned(),
        operation,
    };
    group
        .executor
        .spawn(async move { replica.submit(call, WAIT).await })
}

/// Returns an operation that takes a lock that nobody holds.
fn take_lock() -> Operation {
    let put = Mutation::Put {
        key: "lock".to_owned(),
        value: b"second".to_vec(),
        lease: None,
    };
    Operation::Txn(Txn {
        conditions: vec![Condition::RevisionIs("lock".to_owned(), 0)],
        then: vec![put],
        ..Txn::default()
    })
}

/// Runs tasks one by one until the condition holds.
fn run_until(group: &ReplicaGroup, what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in {WAIT:?}: {what}");
        if !group.executor.try_tick() {
            std::thread::yield_now();
        }
    }
}

/// Guards against a caller of a restarted replica that gets the answer to a call of the process
/// before, for instance that it holds a lock which another one holds.
#[test]
fn a_restarted_replica_gives_callers_no_answers_to_earlier_calls() {
    let mut group = ReplicaGroup::new("calls", 1..=3);
    group.start_first_three();
    let executor = Rc::clone(&group.executor);
    let leader = async_io::block_on(executor.run(async {
        group.put("lock", "first").await;
        group.assert_all_hold("lock", "first").await;
        group.leader().await
    }));
    let others: Vec<_> = (1..=3).filter(|id| *id != leader.id()).collect();
    let (restarted, third) = (others[0], others[1]);
    group.members.remove(&third);
    let follower = Rc::clone(&group.members[&restarted]);
    let mut earlier_calls = Vec::new();
    for number in 0..CALLS {
        let (id, operation) = (format!("earlier-{number}"), put_operation("other", b"x"));
        earlier_calls.push(submit(&group, &follower, id, operation));
    }
    let has_calls = || leader.store_at_log_end(|store| store.get("other").is_some());
    run_until(&group, "the leader has the calls", has_calls);
    drop((earlier_calls, follower));
    group.members.remove(&restarted);
    group.start(restarted);
    let follower = Rc::clone(&group.members[&restarted]);
    // The leader commits the earlier calls, and answers them, as soon as the replica has stored
    // them.
    run_until(
        &group,
        "the restarted replica gets the earlier calls",
        || follower.store_at_log_end(|store| store.get("other").is_some()),
    );
    let calls: Vec<_> = (0..CALLS)
        .map(|number| submit(&group, &follower, format!("later-{number}"), take_lock()))
        .collect();
    async_io::block_on(executor.run(async {
        for call in calls {
            let outcome = call.await;
            assert!(
                matches!(
                    outcome,
                    CallOutcome::Completed(Response::Applied(Outcome::Applied {
                        conditions_held: false,
                        ..
                    }))
                ),
                "{outcome:?}"
            );
        }
    }));
}
