//! Observers and subscriptions over real sockets: changes reach all front ends, whichever process
//! ends, and a slow one does not delay the others.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod fleet;
mod raw;

use std::cell::Cell;
use std::rc::Rc;

use fleet::{until, Fleet};
use raw::Raw;
use violetgate_raft::Role;
use violetgate_replica_runtime::Subscription;
use violetgate_replicated_state::{Entries, Operation};
use violetgate_state_distribution::{ChangeBatch, ObserverMessage, SubscriberMessage};

fn watched_by(subscriptions: &[Rc<Subscription>], observer: u64) -> usize {
    subscriptions
        .iter()
        .filter(|s| s.status().watched == Some(observer))
        .count()
}

/// A change reaches all front ends, in the very turn in which it is applied; one observer's death
/// shuts no gate, and after the leader's the next change reaches all; members know what is in
/// force.
#[test]
fn changes_reach_all_front_ends_whichever_process_ends() {
    let mut fleet = Fleet::start("deaths", 3, 2);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|_| ()).await;
        fleet.subscribe(20);
        let first = fleet.put("cordons/e-1", b"{}").await;
        fleet.in_force(first).await;
        fleet.same_everywhere();
        let told = Rc::new(Cell::new(0));
        let seen = Rc::clone(&told);
        fleet.subscriptions[0].on_applied(Rc::new(move |replica| seen.set(replica.revision())));
        assert_eq!(told.get(), first, "it is called at once");
        until("members know what is in force", || {
            let totals = fleet.members[&1].fleet_progress();
            totals.serving == 20 && totals.in_force == first && totals.observers == 2
        })
        .await;
        until("all hold two observers", || {
            fleet
                .subscriptions
                .iter()
                .all(|s| s.status().watched.is_some() && s.status().standby.is_some())
        })
        .await;
        // Observer 4 dies: nobody's gate shuts while its subscribers move.
        fleet.kill(4);
        until("all watch the other observer", || {
            let open = fleet.subscriptions.iter().all(|s| s.may_route().is_ok());
            assert!(open, "a gate has shut");
            watched_by(&fleet.subscriptions, 5) == 20
        })
        .await;
        let second = fleet.put("cordons/e-2", b"{}").await;
        fleet.in_force(second).await;
        assert_eq!(told.get(), second);
        // The leader dies.
        let leads = fleet
            .members
            .values()
            .find(|m| m.status().role == Role::Leader)
            .map(|m| m.id());
        fleet.kill(leads.unwrap());
        let third = fleet.put("cordons/e-3", b"{}").await;
        fleet.in_force(third).await;
        fleet.same_everywhere();
    }));
}

/// Without any observer all gates shut; once one serves again the front ends go on from what they
/// hold, or from a snapshot in chunks where the changes since are compacted away.
#[test]
fn front_ends_fetch_a_snapshot_where_changes_are_compacted() {
    let mut fleet = Fleet::start("snapshot", 1, 2);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|config| config.chunk_bytes = 8 << 10).await;
        fleet.subscribe(5);
        for n in 0..20 {
            fleet.put(&format!("key/{n}"), &[n; 4_000]).await;
        }
        let held = fleet.put("key/first", b"1").await;
        fleet.in_force(held).await;
        fleet.services.clear();
        until("all gates shut", || {
            fleet.subscriptions.iter().all(|s| s.may_route().is_err())
        })
        .await;
        for n in 10..30 {
            fleet.put(&format!("key/{n}"), &[n + 1; 4_000]).await;
        }
        let revision = fleet.members[&1].status().revision;
        fleet.step(Operation::Compact(revision)).await;
        let last = fleet.put("key/last", b"2").await;
        // Some begin with nothing, the others hold what is compacted away.
        fleet.subscribe(5);
        fleet
            .serve_at(2, |config| config.chunk_bytes = 8 << 10)
            .await;
        fleet
            .serve_at(3, |config| config.chunk_bytes = 8 << 10)
            .await;
        fleet.in_force(last).await;
        fleet.same_everywhere();
    }));
}

/// A subscriber that takes nothing costs a bounded queue, slows nobody, and sees why it was turned
/// away.
#[test]
fn a_slow_reader_is_rejected_and_delays_nobody() {
    let mut fleet = Fleet::start("slow", 1, 1);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet
            .serve(|config| config.send_queue_bytes = 256 << 10)
            .await;
        fleet.subscribe(3);
        let first = fleet.put("a", b"1").await;
        fleet.in_force(first).await;
        let mut slow = Raw::greeted(fleet.serving_at[&2], &Raw::hello(2, "slow")).await;
        slow.send(&SubscriberMessage::Watch { after: 0 }).await;
        let mut last = first;
        for n in 0..200u8 {
            last = fleet.put("big", &vec![n; 60_000]).await;
        }
        fleet.in_force(last).await;
        until("it is turned away", || {
            fleet.services[&2].subscribers() == 3
        })
        .await;
        let mut changes = 0;
        let rejection = loop {
            match slow.message().await {
                ObserverMessage::Rejected(rejection) => break rejection,
                ObserverMessage::Changes(ChangeBatch { changes: some, .. }) => {
                    changes += some.len()
                }
                _ => {}
            }
        };
        assert_eq!(rejection.code(), "too_slow");
        assert!(changes < 200, "what waits for it is bounded");
        let after = fleet.put("a", b"2").await;
        fleet.in_force(after).await;
    }));
}
