//! Tests the harness with real processes and sockets.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use violetgate_test_harness::{
    reserve_tcp_address, reserve_tcp_addresses, reserve_udp_addresses, wait_until, KillOnDrop,
    LogTarget, ProcessUsage, ServerProcess,
};

fn temporary_folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("harness-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn free_addresses_differ() {
    let tcp = reserve_tcp_addresses::<20>().unwrap();
    assert_eq!(tcp.iter().collect::<BTreeSet<_>>().len(), 20);
    let udp = reserve_udp_addresses(20).unwrap();
    assert_eq!(udp.iter().collect::<BTreeSet<_>>().len(), 20);
    // All addresses are bound at the same time.
    let _listeners = tcp.map(|address| TcpListener::bind(address).unwrap());
    let _sockets: Vec<_> = udp.iter().map(|at| UdpSocket::bind(at).unwrap()).collect();
    let all: BTreeSet<SocketAddr> = tcp.into_iter().chain(udp).collect();
    assert_eq!(all.len(), 40);
    let in_range = |address: &SocketAddr| (12_000..32_000).contains(&address.port());
    assert!(all.iter().all(in_range));
}

#[test]
fn reserved_addresses_differ_and_can_be_listened_on() {
    let mut addresses = BTreeSet::new();
    for _ in 0..20 {
        let address = reserve_tcp_address().unwrap();
        assert!((12_000..32_000).contains(&address.port()));
        TcpListener::bind(address).unwrap();
        addresses.insert(address);
    }
    assert_eq!(addresses.len(), 20);
}

/// The test binds its sockets at 127.0.0.2, so that they can't take an address that another process
/// has reserved at 127.0.0.1 but does not listen at yet.
#[test]
fn ports_in_use_are_not_reserved() {
    let next = reserve_tcp_address().unwrap().port() + 1;
    let at = |port| SocketAddr::from(([127, 0, 0, 2], port));
    let listeners: Vec<_> = (next..next + 20)
        .filter_map(|port| TcpListener::bind(at(port)).ok())
        .collect();
    let tcp = reserve_tcp_addresses::<40>().unwrap();
    let held = |port| {
        listeners
            .iter()
            .any(|l| l.local_addr().unwrap().port() == port)
    };
    assert!(!listeners.is_empty());
    assert!(!tcp.iter().any(|address| held(address.port())));

    let next = reserve_udp_addresses(1).unwrap().first().unwrap().port() + 1;
    let sockets: Vec<_> = (next..next + 20)
        .filter_map(|port| UdpSocket::bind(at(port)).ok())
        .collect();
    let udp = reserve_udp_addresses(40).unwrap();
    let held = |port| {
        sockets
            .iter()
            .any(|s| s.local_addr().unwrap().port() == port)
    };
    assert!(!sockets.is_empty());
    assert!(!udp.iter().any(|address| held(address.port())));
}

#[test]
fn waiting_ends_when_the_condition_holds_or_the_time_is_over() {
    let mut checks = 0;
    let held = wait_until(Duration::from_secs(10), Duration::from_millis(1), || {
        checks += 1;
        checks == 3
    });
    assert!(held.is_some());
    assert_eq!(checks, 3);
    let never = wait_until(Duration::from_millis(5), Duration::from_millis(1), || false);
    assert!(never.is_none());
}

#[test]
fn usage_of_this_process_is_read_and_of_no_process_is_none() {
    let usage = ProcessUsage::read(std::process::id()).unwrap();
    assert!(usage.resident_bytes > 0);
    assert!(usage.descriptors > 2);
    assert!(ProcessUsage::read(u32::MAX).is_none());
}

#[test]
fn process_that_exits_by_itself_is_counted_as_a_crash_on_kill() {
    let folder = temporary_folder("crash");
    let mut process = ServerProcess::new(Path::new("true"), folder.clone(), LogTarget::File);
    process.start().unwrap();
    let ended = wait_until(Duration::from_secs(10), Duration::from_millis(1), || {
        !process.is_running()
    });
    assert!(ended.is_some());
    process.kill();
    assert_eq!(process.crash_count(), 1);
    process.kill();
    assert_eq!(process.crash_count(), 1);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn expected_exit_is_not_counted_as_a_crash() {
    let folder = temporary_folder("exit");
    let mut process = ServerProcess::new(Path::new("true"), folder.clone(), LogTarget::Discard);
    process.start().unwrap();
    assert!(process.wait_for_exit(Duration::from_secs(10)));
    process.kill();
    assert_eq!(process.crash_count(), 0);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn process_is_killed_when_its_owner_is_dropped() {
    let child = Command::new("sleep").arg("60").spawn().unwrap();
    let mut process = KillOnDrop::new(child);
    assert!(process.is_running());
    let pid = process.pid();
    drop(process);
    assert!(ProcessUsage::read(pid).is_none());
}
