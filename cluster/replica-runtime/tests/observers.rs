//! Observers and subscriptions over real sockets: changes reach all, whoever dies, and what can't be served is refused
//! by a code without cost to the others.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
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
use violetgate_state_distribution::{
    ObserverMessage, SubscriberHello, SubscriberMessage, SubscriberProgress,
};

fn watched_by(subscriptions: &[Rc<Subscription>], observer: u64) -> usize {
    subscriptions
        .iter()
        .filter(|s| s.status().watched == Some(observer))
        .count()
}

/// A change reaches all front ends, in the very turn in which it is applied; one observer's death shuts no gate, and
/// after the leader's the next change reaches all; members know what is in force.
#[test]
fn changes_reach_all_whoever_dies() {
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

/// Without any observer all gates shut; once one serves again the front ends go on from what they hold, or from a
/// snapshot in chunks where the changes since are compacted away.
#[test]
fn a_snapshot_follows_what_is_compacted_away() {
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

/// What an observer can't serve gets one clear rejection with its code; the others go on.
#[test]
fn bad_input_is_refused_with_a_code() {
    let mut fleet = Fleet::start("bad", 1, 1);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|config| config.capacity = 6).await;
        fleet.subscribe(5);
        let before = fleet.put("a", b"1").await;
        fleet.in_force(before).await;
        let at = fleet.serving_at[&2];
        let good = Raw::hello(2, "stranger");
        for (hello, code) in [
            (
                SubscriberHello {
                    cluster: "other".to_owned(),
                    ..good.clone()
                },
                "wrong_cluster",
            ),
            (
                SubscriberHello {
                    version: 9,
                    ..good.clone()
                },
                "wrong_version",
            ),
            (
                SubscriberHello {
                    observer: 1,
                    ..good.clone()
                },
                "wrong_observer",
            ),
            (
                SubscriberHello {
                    magic: *b"GET ",
                    ..good.clone()
                },
                "not_a_subscriber",
            ),
        ] {
            let mut raw = Raw::connect(at).await;
            raw.send(&hello).await;
            assert_eq!(raw.welcome().await.rejected.unwrap().code(), code);
            raw.closed().await;
        }
        // Greetings that are none: words of another protocol, a greeting of a later version with other fields.
        let mut raw = Raw::connect(at).await;
        raw.write(b"GET /v1/cluster HTTP/1.1\r\nhost: x\r\n\r\n")
            .await;
        assert_eq!(
            raw.welcome().await.rejected.unwrap().code(),
            "not_a_subscriber"
        );
        let mut raw = Raw::connect(at).await;
        raw.write(&[8, 0, 0, 0, b'V', b'G', b'S', b'B', 7, 0xff, 0xff, 0xff])
            .await;
        assert_eq!(
            raw.welcome().await.rejected.unwrap().code(),
            "wrong_version"
        );
        // After a good greeting: a frame too long, garbage, polls without end.
        for bad in [vec![0xff; 64], vec![2, 0, 0, 0, 0x77, 0x77]] {
            let mut raw = Raw::greeted(at, &good).await;
            raw.write(&bad).await;
            assert_eq!(raw.refused().await.code(), "protocol");
            raw.closed().await;
        }
        let mut raw = Raw::greeted(at, &good).await;
        for poll in 0..500 {
            let progress = SubscriberProgress {
                applied: 0,
                serving: false,
            };
            raw.send(&SubscriberMessage::Poll { poll, progress }).await;
        }
        assert_eq!(raw.refused().await.code(), "protocol");
        // A revision that nobody has reached.
        let mut raw = Raw::greeted(
            at,
            &SubscriberHello {
                revision: 1_000_000,
                ..good.clone()
            },
        )
        .await;
        raw.send(&SubscriberMessage::Watch { after: 1_000_000 })
            .await;
        assert_eq!(raw.refused().await.code(), "revision_ahead");
        // The sixth place is free again each time, and a seventh is not to be had.
        let mut sixth = Raw::greeted(at, &good).await;
        let mut seventh = Raw::connect(at).await;
        seventh.send(&Raw::hello(2, "seventh")).await;
        assert_eq!(
            seventh.welcome().await.rejected.unwrap().code(),
            "observer_full"
        );
        sixth.send(&SubscriberMessage::StopWatching).await;
        // One that says nothing ends, and connections that are opened and dropped leave nothing behind.
        let mut mute = Raw::connect(at).await;
        for _ in 0..600 {
            drop(Raw::connect(at).await);
        }
        mute.closed().await;
        drop((sixth, seventh));
        until("places are free", || fleet.services[&2].subscribers() == 5).await;
        let after = fleet.put("a", b"2").await;
        fleet.in_force(after).await;
    }));
}

/// A subscriber that takes nothing costs a bounded queue, slows nobody, and sees why it was turned away.
#[test]
fn a_slow_reader_slows_nobody() {
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
