//! Listeners on loopback.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

/// A burst of connections waits for the listener, as far as the machine lets it, and none is
/// dropped.
#[test]
fn a_burst_of_connections_is_queued_and_none_is_dropped() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap_or_default();
    let burst = most.trim().parse().unwrap_or(300).min(300);
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(900)).unwrap();
    let open: Vec<_> = (0..burst).map(connect).collect();
    assert_eq!(open.len(), burst);
}

/// Two listeners share an address, and what comes reaches one of them once the other has gone.
#[test]
fn two_listeners_share_an_address_and_one_takes_over() {
    let old = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = old.get_ref().local_addr().unwrap();
    let new = listen(addr).unwrap();
    drop(old);
    let _client = TcpStream::connect(addr).unwrap();
    async_io::block_on(new.accept()).unwrap();
}
