//! Tests that an observer rejects invalid subscribers with a code, over real sockets, and continues
//! to serve the others.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod fleet;
mod raw;

use std::net::SocketAddr;
use std::rc::Rc;

use fleet::{until, Fleet};
use raw::RawSubscriber;
use violetgate_state_distribution::{SubscriberHello, SubscriberMessage, SubscriberProgress};

/// The id of the observer that all tests of this file connect to.
const OBSERVER: u64 = 2;

fn valid_hello() -> SubscriberHello {
    RawSubscriber::hello(OBSERVER, "stranger")
}

/// Returns the code with which a hello is rejected.
async fn hello_rejection(raw: &mut RawSubscriber) -> &'static str {
    raw.read_welcome().await.rejected.unwrap().code()
}

async fn check_mismatched_hellos(at: SocketAddr) {
    let good = valid_hello();
    let wrong_cluster = SubscriberHello {
        cluster: "other".to_owned(),
        ..good.clone()
    };
    let wrong_version = SubscriberHello {
        version: 9,
        ..good.clone()
    };
    let wrong_observer = SubscriberHello {
        observer: 1,
        ..good.clone()
    };
    let not_a_subscriber = SubscriberHello {
        magic: *b"GET ",
        ..good
    };
    for (hello, code) in [
        (wrong_cluster, "wrong_cluster"),
        (wrong_version, "wrong_version"),
        (wrong_observer, "wrong_observer"),
        (not_a_subscriber, "not_a_subscriber"),
    ] {
        let mut raw = RawSubscriber::connect(at).await;
        raw.send(&hello).await;
        assert_eq!(hello_rejection(&mut raw).await, code);
        raw.wait_closed().await;
    }
}

/// Sends bytes of another protocol, and a hello of another version with other fields.
async fn check_undecodable_hellos(at: SocketAddr) {
    let mut raw = RawSubscriber::connect(at).await;
    raw.write(b"GET /v1/cluster HTTP/1.1\r\nhost: x\r\n\r\n")
        .await;
    assert_eq!(hello_rejection(&mut raw).await, "not_a_subscriber");
    let mut raw = RawSubscriber::connect(at).await;
    raw.write(&[8, 0, 0, 0, b'V', b'G', b'S', b'B', 7, 0xff, 0xff, 0xff])
        .await;
    assert_eq!(hello_rejection(&mut raw).await, "wrong_version");
}

/// After a valid hello, sends a frame that is too long, a malformed one, and too many polls.
async fn check_protocol_violations(at: SocketAddr) {
    for bad in [vec![0xff; 64], vec![2, 0, 0, 0, 0x77, 0x77]] {
        let mut raw = RawSubscriber::connect_accepted(at, &valid_hello()).await;
        raw.write(&bad).await;
        assert_eq!(raw.read_rejection().await.code(), "protocol");
        raw.wait_closed().await;
    }
    let mut raw = RawSubscriber::connect_accepted(at, &valid_hello()).await;
    for poll in 0..500 {
        let progress = SubscriberProgress {
            applied: 0,
            serving: false,
        };
        raw.send(&SubscriberMessage::Poll { poll, progress }).await;
    }
    assert_eq!(raw.read_rejection().await.code(), "protocol");
}

async fn check_future_revision(at: SocketAddr) {
    let hello = SubscriberHello {
        revision: 1_000_000,
        ..valid_hello()
    };
    let mut raw = RawSubscriber::connect_accepted(at, &hello).await;
    raw.send(&SubscriberMessage::Watch { after: 1_000_000 })
        .await;
    assert_eq!(raw.read_rejection().await.code(), "revision_ahead");
}

/// The rejected connections must not count towards the capacity of six: a sixth subscriber is
/// accepted, a seventh is not.
async fn check_capacity(fleet: &Fleet, at: SocketAddr) {
    let mut sixth = RawSubscriber::connect_accepted(at, &valid_hello()).await;
    let mut seventh = RawSubscriber::connect(at).await;
    seventh
        .send(&RawSubscriber::hello(OBSERVER, "seventh"))
        .await;
    assert_eq!(hello_rejection(&mut seventh).await, "observer_full");
    sixth.send(&SubscriberMessage::StopWatching).await;
    check_silent_connections(at).await;
    drop((sixth, seventh));
    let service = &fleet.services[&OBSERVER];
    until("the sixth is disconnected", || service.subscribers() == 5).await;
}

/// A connection without a hello must be closed, and 600 connections that are opened and dropped
/// must not use up any capacity.
async fn check_silent_connections(at: SocketAddr) {
    let mut silent = RawSubscriber::connect(at).await;
    for _ in 0..600 {
        drop(RawSubscriber::connect(at).await);
    }
    silent.wait_closed().await;
}

#[test]
fn bad_input_is_rejected_with_a_code_and_the_others_go_on() {
    let mut fleet = Fleet::start("bad", 1, 1);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|config| config.capacity = 6).await;
        fleet.subscribe(5);
        let before = fleet.put("a", b"1").await;
        fleet.wait_in_force(before).await;
        let at = fleet.serving_at[&OBSERVER];
        check_mismatched_hellos(at).await;
        check_undecodable_hellos(at).await;
        check_protocol_violations(at).await;
        check_future_revision(at).await;
        check_capacity(&fleet, at).await;
        let after = fleet.put("a", b"2").await;
        fleet.wait_in_force(after).await;
    }));
}
