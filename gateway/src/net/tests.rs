//! Tests of listeners on the loopback interface.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

/// The kernel queues a burst of 300 connections, or of `somaxconn` if that is lower, until the
/// listener accepts them. With the standard library's backlog of 128 it would drop some.
#[test]
fn a_burst_of_connections_is_queued_and_none_is_dropped() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let somaxconn = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap_or_default();
    let burst = somaxconn.trim().parse().unwrap_or(300).min(300);
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(900)).unwrap();
    let open: Vec<_> = (0..burst).map(connect).collect();
    assert_eq!(open.len(), burst);
}

/// Two listeners share an address, and once one is closed, a new connection reaches the other.
#[test]
fn two_listeners_share_an_address_and_one_takes_over() {
    let old = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = old.get_ref().local_addr().unwrap();
    let new = listen(addr).unwrap();
    drop(old);
    let _client = TcpStream::connect(addr).unwrap();
    async_io::block_on(new.accept()).unwrap();
}
