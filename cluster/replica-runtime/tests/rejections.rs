//! What an observer can't serve gets one clear rejection with its code over a real socket; the
//! others go on.
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
use raw::Raw;
use violetgate_state_distribution::{SubscriberHello, SubscriberMessage, SubscriberProgress};

/// The observer that all of this file connects to.
const OBSERVER: u64 = 2;

fn good_hello() -> SubscriberHello {
    Raw::hello(OBSERVER, "stranger")
}

/// The code by which a greeting is rejected.
async fn greeting_rejected(raw: &mut Raw) -> &'static str {
    raw.welcome().await.rejected.unwrap().code()
}

async fn check_greetings_that_do_not_fit(at: SocketAddr) {
    let good = good_hello();
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
        let mut raw = Raw::connect(at).await;
        raw.send(&hello).await;
        assert_eq!(greeting_rejected(&mut raw).await, code);
        raw.closed().await;
    }
}

/// Another protocol, and a greeting of a later version with other fields.
async fn check_greetings_that_can_not_be_read(at: SocketAddr) {
    let mut raw = Raw::connect(at).await;
    raw.write(b"GET /v1/cluster HTTP/1.1\r\nhost: x\r\n\r\n")
        .await;
    assert_eq!(greeting_rejected(&mut raw).await, "not_a_subscriber");
    let mut raw = Raw::connect(at).await;
    raw.write(&[8, 0, 0, 0, b'V', b'G', b'S', b'B', 7, 0xff, 0xff, 0xff])
        .await;
    assert_eq!(greeting_rejected(&mut raw).await, "wrong_version");
}

/// After a good greeting: a frame too long, a malformed one, too many polls.
async fn check_protocol_violations(at: SocketAddr) {
    for bad in [vec![0xff; 64], vec![2, 0, 0, 0, 0x77, 0x77]] {
        let mut raw = Raw::greeted(at, &good_hello()).await;
        raw.write(&bad).await;
        assert_eq!(raw.rejected().await.code(), "protocol");
        raw.closed().await;
    }
    let mut raw = Raw::greeted(at, &good_hello()).await;
    for poll in 0..500 {
        let progress = SubscriberProgress {
            applied: 0,
            serving: false,
        };
        raw.send(&SubscriberMessage::Poll { poll, progress }).await;
    }
    assert_eq!(raw.rejected().await.code(), "protocol");
}

async fn check_future_revision(at: SocketAddr) {
    let hello = SubscriberHello {
        revision: 1_000_000,
        ..good_hello()
    };
    let mut raw = Raw::greeted(at, &hello).await;
    raw.send(&SubscriberMessage::Watch { after: 1_000_000 })
        .await;
    assert_eq!(raw.rejected().await.code(), "revision_ahead");
}

/// The sixth place is free after all that was rejected before, and there is no seventh.
async fn check_capacity(fleet: &Fleet, at: SocketAddr) {
    let mut sixth = Raw::greeted(at, &good_hello()).await;
    let mut seventh = Raw::connect(at).await;
    seventh.send(&Raw::hello(OBSERVER, "seventh")).await;
    assert_eq!(greeting_rejected(&mut seventh).await, "observer_full");
    sixth.send(&SubscriberMessage::StopWatching).await;
    check_silent_connections(at).await;
    drop((sixth, seventh));
    let service = &fleet.services[&OBSERVER];
    until("places are free", || service.subscribers() == 5).await;
}

/// A connection without a greeting is closed, and connections that are opened and dropped use
/// nothing.
async fn check_silent_connections(at: SocketAddr) {
    let mut silent = Raw::connect(at).await;
    for _ in 0..600 {
        drop(Raw::connect(at).await);
    }
    silent.closed().await;
}

#[test]
fn bad_input_is_rejected_with_a_code_and_the_others_go_on() {
    let mut fleet = Fleet::start("bad", 1, 1);
    let executor = Rc::clone(&fleet.executor);
    async_io::block_on(executor.run(async {
        fleet.serve(|config| config.capacity = 6).await;
        fleet.subscribe(5);
        let before = fleet.put("a", b"1").await;
        fleet.in_force(before).await;
        let at = fleet.serving_at[&OBSERVER];
        check_greetings_that_do_not_fit(at).await;
        check_greetings_that_can_not_be_read(at).await;
        check_protocol_violations(at).await;
        check_future_revision(at).await;
        check_capacity(&fleet, at).await;
        let after = fleet.put("a", b"2").await;
        fleet.in_force(after).await;
    }));
}
