//! Tests observers and subscriptions over real sockets: changes reach all gateways after a process
//! fails, and a slow subscriber does not delay the others.
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
use raw::RawSubscriber;
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

/// A change must reach all gateways, also after an observer or the leader fails, and a gateway must
/// call its callbacks as soon as it applies the change. The failure of one observer must not stop
/// any gateway from routing. The cluster members must learn which revision is in force.
#[test]
fn changes_reach_all_gateways_after_process_failures() {
    let mut fleet = Fleet::start("deaths", 3, 2);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|_| ()).await;
        fleet.subscribe(20);
        let first = fleet.put("cordons/e-1", b"{}").await;
        fleet.wait_in_force(first).await;
        fleet.assert_same_entries();
        let last_notified = Rc::new(Cell::new(0));
        let seen = Rc::clone(&last_notified);
        fleet.subscriptions[0].on_applied(Rc::new(move |replica| seen.set(replica.revision())));
        assert_eq!(
            last_notified.get(),
            first,
            "the callback was not called at once"
        );
        until("replicas know the revision in force", || {
            let totals = fleet.members[&1].fleet_progress();
            totals.serving == 20 && totals.in_force == first && totals.observers == 2
        })
        .await;
        until("all gateways have a watched observer and a standby", || {
            fleet
                .subscriptions
                .iter()
                .all(|s| s.status().watched.is_some() && s.status().standby.is_some())
        })
        .await;
        // Observer 4 fails. All gateways may route while its subscribers move to the other one.
        fleet.kill(4);
        until("all gateways watch the other observer", || {
            let open = fleet.subscriptions.iter().all(|s| s.may_route().is_ok());
            assert!(open, "a gateway may not route");
            watched_by(&fleet.subscriptions, 5) == 20
        })
        .await;
        let second = fleet.put("cordons/e-2", b"{}").await;
        fleet.wait_in_force(second).await;
        assert_eq!(last_notified.get(), second);
        // The leader fails.
        let leader = fleet
            .members
            .values()
            .find(|m| m.status().role == Role::Leader)
            .map(|m| m.id());
        fleet.kill(leader.unwrap());
        let third = fleet.put("cordons/e-3", b"{}").await;
        fleet.wait_in_force(third).await;
        fleet.assert_same_entries();
    }));
}

/// Without any observer, all gateways must stop routing. When observers serve again and the changes
/// since the gateways' revision are compacted, the gateways must fetch a snapshot in chunks. The
/// same holds for a gateway without any state.
#[test]
fn gateways_fetch_a_snapshot_when_changes_are_compacted() {
    let mut fleet = Fleet::start("snapshot", 1, 2);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|config| config.chunk_bytes = 8 << 10).await;
        fleet.subscribe(5);
        for n in 0..20 {
            fleet.put(&format!("key/{n}"), &[n; 4_000]).await;
        }
        let held = fleet.put("key/first", b"1").await;
        fleet.wait_in_force(held).await;
        fleet.services.clear();
        until("no gateway may route", || {
            fleet.subscriptions.iter().all(|s| s.may_route().is_err())
        })
        .await;
        for n in 10..30 {
            fleet.put(&format!("key/{n}"), &[n + 1; 4_000]).await;
        }
        let revision = fleet.members[&1].status().revision;
        fleet.propose(Operation::Compact(revision)).await;
        let last = fleet.put("key/last", b"2").await;
        // The new gateways have no state. The others have a revision that compaction has discarded.
        fleet.subscribe(5);
        fleet
            .serve_at(2, |config| config.chunk_bytes = 8 << 10)
            .await;
        fleet
            .serve_at(3, |config| config.chunk_bytes = 8 << 10)
            .await;
        fleet.wait_in_force(last).await;
        fleet.assert_same_entries();
    }));
}

/// A subscriber that reads nothing must use only a bounded queue, be rejected with the reason, and
/// not delay the others.
#[test]
fn a_slow_subscriber_is_rejected_and_delays_no_other() {
    let mut fleet = Fleet::start("slow", 1, 1);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet
            .serve(|config| config.send_queue_bytes = 256 << 10)
            .await;
        fleet.subscribe(3);
        let first = fleet.put("a", b"1").await;
        fleet.wait_in_force(first).await;
        let mut slow =
            RawSubscriber::connect_accepted(fleet.serving_at[&2], &RawSubscriber::hello(2, "slow"))
                .await;
        slow.send(&SubscriberMessage::Watch { after: 0 }).await;
        let mut last = first;
        for n in 0..200u8 {
            last = fleet.put("big", &vec![n; 60_000]).await;
        }
        fleet.wait_in_force(last).await;
        until("the slow subscriber is rejected", || {
            fleet.services[&2].subscribers() == 3
        })
        .await;
        let mut changes = 0;
        let rejection = loop {
            match slow.read_message().await {
                ObserverMessage::Rejected(rejection) => break rejection,
                ObserverMessage::Changes(ChangeBatch { changes: batch, .. }) => {
                    changes += batch.len()
                }
                _ => {}
            }
        };
        assert_eq!(rejection.code(), "too_slow");
        assert!(changes < 200, "the send queue took all changes");
        let after = fleet.put("a", b"2").await;
        fleet.wait_in_force(after).await;
    }));
}
